#include "nodes/CallMessages.h"

#include "nodes/FieldCodec.h"

#include <algorithm>
#include <msgpack.hpp>
#include <type_traits>

namespace fescuewood {

namespace {

/// Fields of the fixed part of each message; another number is malformed.
template <typename Message> constexpr std::uint32_t FieldCount = 0;
template <> constexpr std::uint32_t FieldCount<CallStart> = 17;
template <> constexpr std::uint32_t FieldCount<CallFetch> = 5;
template <> constexpr std::uint32_t FieldCount<CallCancel> = 2;
template <> constexpr std::uint32_t FieldCount<CallReply> = 14;
template <> constexpr std::uint32_t FieldCount<CallAnswer> = 5;

/// Bytes that the fields of a message take beside its body, as a rule.
constexpr std::size_t LikelyFieldBytes = 1024;

/// A message to be read into, or a constant one to be written.
template <typename Given, typename Message>
concept Either = std::same_as<std::remove_const_t<Given>, Message>;

// The fields of each message in their order on the wire.

template <typename Codec, Either<CallStart> Message>
void eachField(Codec &Fields, Message &Each) {
  auto &Request = Each.Request;
  Fields.id(Request.Id);
  Fields.bytes(Request.Method, MaxNameBytes);
  Fields.bytes(Request.Target, MaxFieldBytes);
  Fields.headers(Request.Headers);
  Fields.bytes(Request.Body, MaxCallBytes);
  Fields.bytes(Request.Route, MaxNameBytes);
  Fields.bytes(Request.Service, MaxNameBytes);
  Fields.bytes(Request.Organisation, MaxNameBytes);
  Fields.span(Request.Remaining);
  Fields.number(Request.Depth);
  Fields.number(Request.Priority);
  Fields.flag(Request.Idempotent);
  Fields.flag(Request.CanWait);
  Fields.number(Request.KeyDigestPrefix);
  Fields.number(Each.Recipient);
  Fields.bytes(Each.Marks, MaxMarksBytes);
}

template <typename Codec, Either<CallFetch> Message>
void eachField(Codec &Fields, Message &Each) {
  Fields.id(Each.Id);
  Fields.number(Each.Offset, MaxCallBytes);
  Fields.flag(Each.Fence);
  Fields.span(Each.Wait);
}

template <typename Codec, Either<CallCancel> Message>
void eachField(Codec &Fields, Message &Each) {
  Fields.id(Each.Id);
}

template <typename Codec, Either<LoadReport> Message>
void eachField(Codec &Fields, Message &Each) {
  Fields.number(Each.InFlight);
  Fields.number(Each.Limit);
  Fields.number(Each.Queued);
  Fields.span(Each.Latency);
  Fields.choice(Each.State, TargetState::Down);
}

template <typename Codec, Either<CallReply> Message>
void eachField(Codec &Fields, Message &Each) {
  Fields.choice(Each.State, CallState::Refused);
  Fields.reason(Each.Reason);
  Fields.span(Each.RetryAfter);
  Fields.flag(Each.Fenced);
  Fields.number(Each.Offset, MaxCallBytes);
  Fields.number(Each.TotalBytes, MaxCallBytes);
  Fields.bytes(Each.Piece, MaxAnswerPieceBytes);
  eachField(Fields, Each.Load);
  Fields.span(Each.RetentionTime);
  Fields.bytes(Each.Marks, MaxMarksBytes);
}

template <typename Codec, Either<CallAnswer> Message>
void eachField(Codec &Fields, Message &Each) {
  Fields.httpStatus(Each.Status);
  Fields.headers(Each.Headers);
  Fields.bytes(Each.Body, MaxCallBytes);
  Fields.choice(Each.Ran, Outcome::Unknown);
  Fields.reason(Each.Reason);
}

template <typename Message>
std::string encodeFields(const Message &Each, std::size_t BodyBytes = 0) {
  FieldWriter Out(FieldCount<Message>, BodyBytes + LikelyFieldBytes);
  eachField(Out, Each);
  return Out.text();
}

/// Decodes one array that fills \p Bytes exactly.
template <typename Message>
std::optional<Message> decodeFields(std::string_view Bytes) {
  if (Bytes.size() > MaxCallBytes)
    return std::nullopt;
  constexpr std::size_t MaxDepth = 4;
  const msgpack::unpack_limit Limit(MaxHeaderFields * 2, 0, MaxCallBytes,
                                    MaxCallBytes, 0, MaxDepth);
  // The strings stay in Bytes until the reader copies them.
  const auto Refer = [](msgpack::type::object_type, std::size_t, void *) {
    return true;
  };
  try {
    msgpack::zone Zone;
    std::size_t Offset = 0;
    bool Referenced = false;
    const msgpack::object Array =
        msgpack::unpack(Zone, Bytes.data(), Bytes.size(), Offset, Referenced,
                        Refer, nullptr, Limit);
    FieldReader In(Array, FieldCount<Message>);
    Message Result;
    eachField(In, Result);
    if (!In.valid() || Offset != Bytes.size())
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
std::optional<CallAnswer> decodeAnswer(std::string_view Bytes) {
  return decodeFields<CallAnswer>(Bytes);
}

CallReply answerPiece(std::string_view EncodedAnswer, std::uint64_t Offset,
                      const LoadReport &Load) {
  CallReply Reply;
  Reply.State = CallState::Done;
  Reply.Offset = std::min<std::uint64_t>(Offset, EncodedAnswer.size());
  Reply.TotalBytes = EncodedAnswer.size();
  Reply.Piece = EncodedAnswer.substr(Reply.Offset, MaxAnswerPieceBytes);
  Reply.Load = Load;
  return Reply;
}

bool AnswerAssembler::add(const CallReply &Reply) {
  if (Total.value_or(Reply.TotalBytes) != Reply.TotalBytes)
    return false;
  Total = Reply.TotalBytes;
  if (Reply.Offset != Held.size())
    return true;
  if (Held.size() + Reply.Piece.size() > *Total)
    return false;
  Held += Reply.Piece;
  return true;
}

std::optional<CallAnswer> AnswerAssembler::answer() const {
  if (!complete())
    return std::nullopt;
  return decodeAnswer(Held);
}

} // namespace fescuewood
