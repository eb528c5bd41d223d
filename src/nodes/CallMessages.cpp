#include "nodes/CallMessages.h"

#include "nodes/FieldCodec.h"

#include <algorithm>
#include <msgpack.hpp>
#include <type_traits>

namespace fescuewood {

namespace {

/// Number of encoded fields of each message; a message with any other number is
/// malformed.
template <typename Message> constexpr std::uint32_t FieldCount = 0;
template <> constexpr std::uint32_t FieldCount<CallStart> = 18;
template <> constexpr std::uint32_t FieldCount<CallFetch> = 5;
template <> constexpr std::uint32_t FieldCount<CallCancel> = 2;
template <> constexpr std::uint32_t FieldCount<CallReply> = 14;
template <> constexpr std::uint32_t FieldCount<CallAnswer> = 5;
template <> constexpr std::uint32_t FieldCount<CallBody> = 10;
template <> constexpr std::uint32_t FieldCount<CallBodyReply> = 9;

/// Typical size of the fields of a message without its body, in bytes.
constexpr std::size_t TypicalFieldBytes = 1024;

/// Matches a message to decode into as well as a constant one to encode.
template <typename Type, typename Message>
concept MessageRef = std::same_as<std::remove_const_t<Type>, Message>;

// The fields of each message in wire order.

template <typename Codec, MessageRef<CallStart> Message>
void visitFields(Codec &Fields, Message &Value) {
  auto &Request = Value.Request;
  Fields.id(Request.Id);
  Fields.bytes(Request.Method, MaxNameBytes);
  Fields.bytes(Request.Target, MaxFieldBytes);
  Fields.headers(Request.Headers, MaxRequestFields);
  Fields.bytes(Request.Body, MaxCallBytes);
  Fields.bytes(Request.Route, MaxNameBytes);
  Fields.bytes(Request.Service, MaxNameBytes);
  Fields.bytes(Request.Organisation, MaxNameBytes);
  Fields.span(Request.Remaining);
  Fields.span(Request.Age);
  Fields.number(Request.Depth);
  Fields.number(Request.Priority);
  Fields.flag(Request.Idempotent);
  Fields.flag(Request.CanWait);
  Fields.number(Request.KeyDigestPrefix);
  Fields.number(Value.Recipient);
  Fields.bytes(Value.Marks, MaxMarksBytes);
}

template <typename Codec, MessageRef<CallFetch> Message>
void visitFields(Codec &Fields, Message &Value) {
  Fields.id(Value.Id);
  Fields.number(Value.Offset, MaxCallBytes);
  Fields.flag(Value.Fence);
  Fields.number(Value.MaxPieceBytes);
}

template <typename Codec, MessageRef<CallCancel> Message>
void visitFields(Codec &Fields, Message &Value) {
  Fields.id(Value.Id);
}

// Without LinkDelay, which takes the place of the retry delay.
template <typename Codec, MessageRef<LoadReport> Message>
void visitFields(Codec &Fields, Message &Value) {
  Fields.number(Value.InFlight);
  Fields.number(Value.Limit);
  Fields.number(Value.Queued);
  Fields.span(Value.Latency);
  Fields.choice(Value.State, TargetState::Down);
}

template <typename Codec, MessageRef<CallReply> Message>
void visitFields(Codec &Fields, Message &Value) {
  Fields.choice(Value.State, CallState::Refused);
  Fields.reason(Value.Reason);
  Fields.span(Value.State == CallState::Refused ? Value.RetryAfter
                                                : Value.Load.LinkDelay);
  Fields.flag(Value.Fenced);
  Fields.number(Value.Offset, MaxCallBytes);
  Fields.number(Value.TotalBytes, MaxCallBytes);
  Fields.bytes(Value.Piece, MaxAnswerPieceBytes);
  visitFields(Fields, Value.Load);
  Fields.span(Value.RetentionTime);
  Fields.bytes(Value.Marks, MaxMarksBytes);
}

template <typename Codec, MessageRef<CallAnswer> Message>
void visitFields(Codec &Fields, Message &Value) {
  Fields.httpStatus(Value.Status);
  Fields.headers(Value.Headers, MaxAnswerFields);
  Fields.bytes(Value.Body, MaxCallBytes);
  Fields.choice(Value.RequestOutcome, Outcome::Unknown);
  Fields.reason(Value.Reason);
}

template <typename Codec, MessageRef<CallBody> Message>
void visitFields(Codec &Fields, Message &Value) {
  Fields.id(Value.Id);
  Fields.number(Value.Offset, MaxStagedBodyBytes);
  Fields.number(Value.TotalBytes, MaxStagedBodyBytes);
  Fields.bytes(Value.Piece, BodyPieceBytes);
  Fields.number(Value.Recipient);
  Fields.span(Value.Remaining);
  Fields.bytes(Value.Route, MaxNameBytes);
  Fields.bytes(Value.Service, MaxNameBytes);
  Fields.flag(Value.Idempotent);
}

template <typename Codec, MessageRef<CallBodyReply> Message>
void visitFields(Codec &Fields, Message &Value) {
  Fields.reason(Value.Reason);
  Fields.span(Value.Reason != ResultCode::Ok ? Value.RetryAfter
                                             : Value.Load.LinkDelay);
  Fields.number(Value.HeldBytes, MaxStagedBodyBytes);
  Fields.number(Value.GrantedBytes, MaxStagedBodyBytes);
  visitFields(Fields, Value.Load);
}

template <typename Message>
std::string encodeFields(const Message &Value, std::size_t BodyBytes = 0) {
  FieldWriter Writer(FieldCount<Message>, BodyBytes + TypicalFieldBytes);
  visitFields(Writer, Value);
  return Writer.take();
}

/// Decodes one array that fills \p Bytes exactly.
template <typename Message>
std::optional<Message> decodeFields(std::string_view Bytes) {
  if (Bytes.size() > MaxCallBytes)
    return std::nullopt;
  constexpr std::size_t MaxDepth = 4;
  const msgpack::unpack_limit Limit(MaxRequestFields * 2, 0, MaxCallBytes,
                                    MaxCallBytes, 0, MaxDepth);
  // Makes msgpack refer to strings in Bytes instead of copying them.
  const auto ReferToInput = [](msgpack::type::object_type, std::size_t,
                               void *) { return true; };
  try {
    msgpack::zone Zone;
    std::size_t Offset = 0;
    bool Referenced = false;
    const msgpack::object Array =
        msgpack::unpack(Zone, Bytes.data(), Bytes.size(), Offset, Referenced,
                        ReferToInput, nullptr, Limit);
    FieldReader Reader(Array, FieldCount<Message>);
    Message Result;
    visitFields(Reader, Result);
    if (!Reader.valid() || Offset != Bytes.size())
      return std::nullopt;
    return Result;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace

std::string encode(const CallStart &Message) {
  return encodeFields(Message, Message.Request.Body.size());
}
std::string encode(const CallFetch &Message) { return encodeFields(Message); }
std::string encode(const CallCancel &Message) { return encodeFields(Message); }
std::string encode(const CallReply &Message) {
  return encodeFields(Message, Message.Piece.size());
}
std::string encode(const CallBody &Message) {
  return encodeFields(Message, Message.Piece.size());
}
std::string encode(const CallBodyReply &Message) {
  return encodeFields(Message);
}
std::string encodeAnswer(const CallAnswer &Answer) {
  return encodeFields(Answer, Answer.Body.size());
}

std::optional<CallStart> decodeCallStart(std::string_view Bytes) {
  return decodeFields<CallStart>(Bytes);
}
std::optional<CallFetch> decodeCallFetch(std::string_view Bytes) {
  return decodeFields<CallFetch>(Bytes);
}
std::optional<CallCancel> decodeCallCancel(std::string_view Bytes) {
  return decodeFields<CallCancel>(Bytes);
}
std::optional<CallReply> decodeCallReply(std::string_view Bytes) {
  return decodeFields<CallReply>(Bytes);
}
std::optional<CallBody> decodeCallBody(std::string_view Bytes) {
  return decodeFields<CallBody>(Bytes);
}
std::optional<CallBodyReply> decodeCallBodyReply(std::string_view Bytes) {
  return decodeFields<CallBodyReply>(Bytes);
}
std::optional<CallAnswer> decodeAnswer(std::string_view Bytes) {
  return decodeFields<CallAnswer>(Bytes);
}

void addAnswerPiece(CallReply &Reply, std::string_view EncodedAnswer,
                    std::uint64_t Offset, std::uint64_t MaxPieceBytes) {
  const std::uint64_t Wanted =
      MaxPieceBytes == 0 ? AnswerPieceBytes : MaxPieceBytes;
  Reply.State = CallState::Done;
  Reply.Offset = std::min<std::uint64_t>(Offset, EncodedAnswer.size());
  Reply.TotalBytes = EncodedAnswer.size();
  Reply.Piece = EncodedAnswer.substr(
      Reply.Offset, std::min<std::uint64_t>(Wanted, MaxAnswerPieceBytes));
}

bool AnswerAssembler::add(const CallReply &Reply) {
  if (Total.value_or(Reply.TotalBytes) != Reply.TotalBytes)
    return false;
  Total = Reply.TotalBytes;
  if (Reply.Offset + Reply.Piece.size() > *Total)
    return false;
  // Growth in steps would copy a large answer several times.
  Received.reserve(std::min<std::uint64_t>(*Total, MaxCallBytes));
  if (Reply.Offset > Received.size()) {
    if (!Reply.Piece.empty() && Ahead.size() < MaxPiecesAhead)
      Ahead.emplace(Reply.Offset, Reply.Piece);
    return true;
  }
  append(Reply.Offset, Reply.Piece);
  while (!Ahead.empty() && Ahead.begin()->first <= Received.size()) {
    append(Ahead.begin()->first, Ahead.begin()->second);
    Ahead.erase(Ahead.begin());
  }
  return true;
}

/// Appends what a piece adds to the received bytes, which it must not leave a
/// gap to.
void AnswerAssembler::append(std::uint64_t Offset, std::string_view Piece) {
  const std::size_t Known = Received.size() - Offset;
  if (Known < Piece.size())
    Received.append(Piece.substr(Known));
}

std::size_t AnswerAssembler::heldBytes() const {
  std::size_t Bytes = Received.size();
  for (const auto &[Offset, Piece] : Ahead)
    Bytes += Piece.size();
  return Bytes;
}

std::optional<CallAnswer> AnswerAssembler::answer() const {
  if (!complete())
    return std::nullopt;
  return decodeAnswer(Received);
}

} // namespace fescuewood
