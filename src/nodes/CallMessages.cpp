#include "nodes/CallMessages.h"

#include <algorithm>
#include <msgpack.hpp>
#include <span>
#include <utility>

namespace fescuewood {

namespace {

/// Longest span of time that a message may name.
constexpr DurationMs MaxSpan{24LL * 60 * 60 * 1000};

/// Fields of the fixed part of each message; another number is malformed.
constexpr std::size_t StartFields = 16;
constexpr std::size_t FetchFields = 5;
constexpr std::size_t CancelFields = 2;
constexpr std::size_t ReplyFields = 14;
constexpr std::size_t AnswerFields = 5;

using Packer = msgpack::packer<msgpack::sbuffer>;

std::string text(const msgpack::sbuffer &Buffer) {
  return {Buffer.data(), Buffer.size()};
}

void packBytes(Packer &Out, std::string_view Value) {
  Out.pack_bin(static_cast<std::uint32_t>(Value.size()));
  Out.pack_bin_body(Value.data(), static_cast<std::uint32_t>(Value.size()));
}

void packSpan(Packer &Out, DurationMs Value) {
  Out.pack(std::clamp(Value, DurationMs(0), MaxSpan).Value);
}

void packId(Packer &Out, const CallId &Id) {
  Out.pack(Id.Incarnation);
  Out.pack(Id.Sequence);
}

void packHeaders(Packer &Out, const std::vector<Header> &Headers) {
  Out.pack_array(static_cast<std::uint32_t>(Headers.size() * 2));
  for (const Header &Field : Headers) {
    packBytes(Out, Field.Name);
    packBytes(Out, Field.Value);
  }
}

/// Reads the elements of one msgpack array in order. The first value that is
/// missing, of another type or out of bounds makes all later reads fail.
class Reader {
public:
  Reader(const msgpack::object &Array, std::size_t Fields) {
    if (Array.type == msgpack::type::ARRAY && Array.via.array.size == Fields)
      Rest = {Array.via.array.ptr, Array.via.array.size};
    else
      Valid = false;
  }

  bool valid() const { return Valid; }

  std::uint64_t number(std::uint64_t Max) {
    const msgpack::object *Value = next(msgpack::type::POSITIVE_INTEGER);
    if (!Value || Value->via.u64 > Max)
      return fail();
    return Value->via.u64;
  }

  DurationMs span() {
    return DurationMs(static_cast<std::int64_t>(
        number(static_cast<std::uint64_t>(MaxSpan.Value))));
  }

  CallId id() {
    const std::uint64_t Incarnation = number(UINT64_MAX);
    return {Incarnation, number(UINT64_MAX)};
  }

  bool flag() {
    const msgpack::object *Value = next(msgpack::type::BOOLEAN);
    return Value && Value->via.boolean;
  }

  std::string bytes(std::size_t Max) {
    const msgpack::object *Value = next(msgpack::type::BIN);
    if (!Value || Value->via.bin.size > Max) {
      fail();
      return {};
    }
    return {Value->via.bin.ptr, Value->via.bin.size};
  }

  std::vector<Header> headers() {
    const msgpack::object *Value = next(msgpack::type::ARRAY);
    if (!Value || Value->via.array.size > MaxHeaderFields * 2 ||
        Value->via.array.size % 2 != 0) {
      fail();
      return {};
    }
    Reader Names(*Value, Value->via.array.size);
    std::vector<Header> Fields(Value->via.array.size / 2);
    for (Header &Field : Fields) {
      Field.Name = Names.bytes(MaxFieldBytes);
      Field.Value = Names.bytes(MaxFieldBytes);
    }
    Valid = Valid && Names.valid();
    return Fields;
  }

  ResultCode reason() {
    const auto Code =
        resultFromNumber(static_cast<std::uint16_t>(number(UINT16_MAX)));
    // A newer node may refuse for a reason that is not known here yet.
    return Code.value_or(ResultCode::CallMessageMalformed);
  }

private:
  const msgpack::object *next(msgpack::type::object_type Type) {
    if (!Valid || Rest.empty() || Rest.front().type != Type) {
      Valid = false;
      return nullptr;
    }
    const msgpack::object *Value = &Rest.front();
    Rest = Rest.subspan(1);
    return Value;
  }

  std::uint64_t fail() {
    Valid = false;
    return 0;
  }

  std::span<const msgpack::object> Rest;
  bool Valid = true;
};

/// Decodes one array that fills \p Bytes exactly; \p Read takes its elements.
template <typename Message, typename ReadFunction>
std::optional<Message> decode(std::string_view Bytes, std::size_t Fields,
                              ReadFunction Read) {
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
    Reader In(Array, Fields);
    Message Result = Read(In);
    if (!In.valid() || Offset != Bytes.size())
      return std::nullopt;
    return Result;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace

std::string encode(const CallStart &Message) {
  const CallRequest &Request = Message.Request;
  msgpack::sbuffer Buffer(Request.Body.size() + 1024);
  Packer Out(Buffer);
  Out.pack_array(StartFields);
  packId(Out, Request.Id);
  packBytes(Out, Request.Method);
  packBytes(Out, Request.Target);
  packHeaders(Out, Request.Headers);
  packBytes(Out, Request.Body);
  packBytes(Out, Request.Route);
  packBytes(Out, Request.Service);
  packBytes(Out, Request.Organisation);
  packSpan(Out, Request.Remaining);
  Out.pack(Request.Depth);
  Out.pack(Request.Idempotent);
  Out.pack(Request.CanWait);
  Out.pack(Request.KeyMark);
  Out.pack(Message.Recipient);
  packBytes(Out, Message.Marks);
  return text(Buffer);
}

std::optional<CallStart> decodeCallStart(std::string_view Bytes) {
  return decode<CallStart>(Bytes, StartFields, [](Reader &In) {
    CallStart Message;
    CallRequest &Request = Message.Request;
    Request.Id = In.id();
    Request.Method = In.bytes(MaxNameBytes);
    Request.Target = In.bytes(MaxFieldBytes);
    Request.Headers = In.headers();
    Request.Body = In.bytes(MaxCallBytes);
    Request.Route = In.bytes(MaxNameBytes);
    Request.Service = In.bytes(MaxNameBytes);
    Request.Organisation = In.bytes(MaxNameBytes);
    Request.Remaining = In.span();
    Request.Depth = static_cast<std::uint8_t>(In.number(UINT8_MAX));
    Request.Idempotent = In.flag();
    Request.CanWait = In.flag();
    Request.KeyMark = In.number(UINT64_MAX);
    Message.Recipient = In.number(UINT64_MAX);
    Message.Marks = In.bytes(MaxMarksBytes);
    return Message;
  });
}

std::string encode(const CallFetch &Message) {
  msgpack::sbuffer Buffer;
  Packer Out(Buffer);
  Out.pack_array(FetchFields);
  packId(Out, Message.Id);
  Out.pack(Message.Offset);
  Out.pack(Message.Fence);
  packSpan(Out, Message.Wait);
  return text(Buffer);
}

std::optional<CallFetch> decodeCallFetch(std::string_view Bytes) {
  return decode<CallFetch>(Bytes, FetchFields, [](Reader &In) {
    CallFetch Message;
    Message.Id = In.id();
    Message.Offset = In.number(MaxCallBytes);
    Message.Fence = In.flag();
    Message.Wait = In.span();
    return Message;
  });
}

std::string encode(const CallCancel &Message) {
  msgpack::sbuffer Buffer;
  Packer Out(Buffer);
  Out.pack_array(CancelFields);
  packId(Out, Message.Id);
  return text(Buffer);
}

std::optional<CallCancel> decodeCallCancel(std::string_view Bytes) {
  return decode<CallCancel>(Bytes, CancelFields,
                            [](Reader &In) { return CallCancel{In.id()}; });
}

std::string encode(const CallReply &Message) {
  msgpack::sbuffer Buffer(Message.Piece.size() + 256);
  Packer Out(Buffer);
  Out.pack_array(ReplyFields);
  Out.pack(static_cast<std::uint8_t>(Message.State));
  Out.pack(static_cast<std::uint16_t>(Message.Reason));
  packSpan(Out, Message.RetryAfter);
  Out.pack(Message.Fenced);
  Out.pack(Message.Offset);
  Out.pack(Message.TotalBytes);
  packBytes(Out, Message.Piece);
  Out.pack(Message.Load.InFlight);
  Out.pack(Message.Load.Limit);
  Out.pack(Message.Load.Queued);
  packSpan(Out, Message.Load.Latency);
  Out.pack(static_cast<std::uint8_t>(Message.Load.State));
  packSpan(Out, Message.Remembered);
  packBytes(Out, Message.Marks);
  return text(Buffer);
}

std::optional<CallReply> decodeCallReply(std::string_view Bytes) {
  return decode<CallReply>(Bytes, ReplyFields, [](Reader &In) {
    CallReply Message;
    Message.State = static_cast<CallState>(
        In.number(static_cast<std::uint8_t>(CallState::Refused)));
    Message.Reason = In.reason();
    Message.RetryAfter = In.span();
    Message.Fenced = In.flag();
    Message.Offset = In.number(MaxCallBytes);
    Message.TotalBytes = In.number(MaxCallBytes);
    Message.Piece = In.bytes(MaxAnswerPieceBytes);
    Message.Load.InFlight = static_cast<std::uint32_t>(In.number(UINT32_MAX));
    Message.Load.Limit = static_cast<std::uint32_t>(In.number(UINT32_MAX));
    Message.Load.Queued = static_cast<std::uint32_t>(In.number(UINT32_MAX));
    Message.Load.Latency = In.span();
    Message.Load.State = static_cast<TargetState>(
        In.number(static_cast<std::uint8_t>(TargetState::Down)));
    Message.Remembered = In.span();
    Message.Marks = In.bytes(MaxMarksBytes);
    return Message;
  });
}

std::string encodeAnswer(const CallAnswer &Answer) {
  msgpack::sbuffer Buffer(Answer.Body.size() + 1024);
  Packer Out(Buffer);
  Out.pack_array(AnswerFields);
  Out.pack(static_cast<std::uint16_t>(Answer.Status));
  packHeaders(Out, Answer.Headers);
  packBytes(Out, Answer.Body);
  Out.pack(static_cast<std::uint8_t>(Answer.Ran));
  Out.pack(static_cast<std::uint16_t>(Answer.Reason));
  return text(Buffer);
}

std::optional<CallAnswer> decodeAnswer(std::string_view Bytes) {
  return decode<CallAnswer>(Bytes, AnswerFields, [](Reader &In) {
    constexpr std::uint64_t MaxStatus = 999;
    CallAnswer Answer;
    Answer.Status = static_cast<int>(In.number(MaxStatus));
    Answer.Headers = In.headers();
    Answer.Body = In.bytes(MaxCallBytes);
    Answer.Ran = static_cast<Outcome>(
        In.number(static_cast<std::uint8_t>(Outcome::Unknown)));
    Answer.Reason = In.reason();
    return Answer;
  });
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
