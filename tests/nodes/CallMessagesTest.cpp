#include "support/Property.h"

#include "nodes/CallMessages.h"
#include "nodes/FieldCodec.h"

#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

CallStart anyStart() {
  CallStart Start;
  CallRequest &R = Start.Request;
  R.Id = {*rc::gen::arbitrary<std::uint64_t>(),
          *rc::gen::arbitrary<std::uint64_t>()};
  R.Method = *rc::gen::element<std::string>("GET", "POST", "PURGE");
  R.Target = "/" + *rc::gen::arbitrary<std::string>();
  for (const auto &Value : *rc::gen::arbitrary<std::vector<std::string>>())
    R.Headers.push_back({"X-Field", Value});
  R.Body = *rc::gen::arbitrary<std::string>();
  R.Organisation = *rc::gen::arbitrary<std::string>();
  R.Remaining = DurationMs(*rc::gen::inRange(0, 100'000));
  R.Age = DurationMs(*rc::gen::inRange(0, 100'000));
  R.Idempotent = *rc::gen::arbitrary<bool>();
  R.KeyDigestPrefix = *rc::gen::arbitrary<std::uint64_t>();
  Start.Recipient = *rc::gen::arbitrary<std::uint64_t>();
  Start.Marks = *rc::gen::arbitrary<std::string>();
  return Start;
}

CallReply anyReply() {
  CallReply Reply;
  Reply.State = *rc::gen::element(CallState::Running, CallState::Done,
                                  CallState::NeverSeen, CallState::Refused);
  Reply.Reason = *rc::gen::element(ResultCode::Ok, ResultCode::ShuttingDown);
  Reply.Offset = *rc::gen::inRange<std::uint64_t>(0, MaxCallBytes);
  Reply.TotalBytes = *rc::gen::inRange<std::uint64_t>(0, MaxCallBytes);
  Reply.Piece = *rc::gen::arbitrary<std::string>();
  Reply.Load.InFlight = *rc::gen::arbitrary<std::uint32_t>();
  Reply.Load.State = *rc::gen::element(TargetState::Cold, TargetState::Down);
  DurationMs &Delay = Reply.State == CallState::Refused ? Reply.RetryAfter
                                                        : Reply.Load.LinkDelay;
  Delay = DurationMs(*rc::gen::inRange(0, 100'000));
  Reply.RetentionTime = DurationMs(*rc::gen::inRange(0, 100'000));
  Reply.Marks = *rc::gen::arbitrary<std::string>();
  return Reply;
}

/// A time span as it is encoded in a message.
std::string encodedNumber(DurationMs Span) {
  std::ostringstream Bytes;
  msgpack::pack(Bytes, Span.Value);
  return Bytes.str();
}

CallBody anyBody() {
  CallBody Body;
  Body.Id = {*rc::gen::arbitrary<std::uint64_t>(), 7};
  Body.Offset = *rc::gen::inRange<std::uint64_t>(0, MaxStagedBodyBytes);
  Body.TotalBytes = *rc::gen::inRange<std::uint64_t>(0, MaxStagedBodyBytes);
  Body.Piece = *rc::gen::arbitrary<std::string>();
  Body.Recipient = *rc::gen::arbitrary<std::uint64_t>();
  Body.Remaining = DurationMs(*rc::gen::inRange(0, 100'000));
  Body.Route = "receipt";
  Body.Service = "records";
  Body.Idempotent = *rc::gen::arbitrary<bool>();
  return Body;
}

CallBodyReply anyBodyReply() {
  CallBodyReply Reply;
  Reply.Reason = *rc::gen::element(ResultCode::Ok, ResultCode::QueueFull);
  DurationMs &Delay =
      Reply.Reason == ResultCode::Ok ? Reply.Load.LinkDelay : Reply.RetryAfter;
  Delay = DurationMs(*rc::gen::inRange(0, 100'000));
  Reply.HeldBytes = *rc::gen::inRange<std::uint64_t>(0, MaxStagedBodyBytes);
  Reply.GrantedBytes = *rc::gen::inRange<std::uint64_t>(0, MaxStagedBodyBytes);
  Reply.Load.Queued = *rc::gen::arbitrary<std::uint32_t>();
  return Reply;
}

} // namespace

TEST_GROUP(CallMessages){};

TEST(CallMessages, RoundTrip) {
  checkProperty("decode(encode(x)) = x", [] {
    const CallStart Start = anyStart();
    const CallReply Reply = anyReply();
    const CallFetch Fetch{Start.Request.Id, Reply.Offset, true, 7};
    const CallCancel Cancel{Start.Request.Id};

    const auto Decoded = decodeCallStart(encode(Start));

    RC_ASSERT(Decoded.has_value());
    RC_ASSERT(Decoded->Request.Id == Start.Request.Id);
    RC_ASSERT(Decoded->Request.Target == Start.Request.Target);
    RC_ASSERT(Decoded->Request.Headers == Start.Request.Headers);
    RC_ASSERT(Decoded->Request.Body == Start.Request.Body);
    RC_ASSERT(Decoded->Request.Organisation == Start.Request.Organisation);
    RC_ASSERT(Decoded->Request.Remaining == Start.Request.Remaining);
    RC_ASSERT(Decoded->Request.Age == Start.Request.Age);
    RC_ASSERT(Decoded->Request.Idempotent == Start.Request.Idempotent);
    RC_ASSERT(Decoded->Request.KeyDigestPrefix ==
              Start.Request.KeyDigestPrefix);
    RC_ASSERT(Decoded->Recipient == Start.Recipient);
    RC_ASSERT(Decoded->Marks == Start.Marks);
    RC_ASSERT(decodeCallReply(encode(Reply)) == std::optional(Reply));
    RC_ASSERT(decodeCallFetch(encode(Fetch)) == std::optional(Fetch));
    RC_ASSERT(decodeCallCancel(encode(Cancel)) == std::optional(Cancel));
  });
}

TEST(CallMessages, RoundTripOfBodies) {
  checkProperty("decode(encode(x)) = x", [] {
    const CallBody Body = anyBody();
    const CallBodyReply Reply = anyBodyReply();

    RC_ASSERT(decodeCallBody(encode(Body)) == std::optional(Body));
    RC_ASSERT(decodeCallBodyReply(encode(Reply)) == std::optional(Reply));
  });
}

// Guards against a node that reserves memory, or fills its link, beyond what a
// message about a body may claim.
TEST(CallMessages, RefuseBodiesOutOfBounds) {
  CallBody Body;
  Body.Piece = std::string(BodyPieceBytes, 'b');
  Body.Offset = MaxStagedBodyBytes;
  Body.TotalBytes = MaxStagedBodyBytes;
  CHECK_TRUE(decodeCallBody(encode(Body)).has_value());

  CallBody LongPiece = Body;
  LongPiece.Piece += "b";
  CallBody FarOffset = Body;
  ++FarOffset.Offset;
  CallBody LargeTotal = Body;
  ++LargeTotal.TotalBytes;
  CallBody LongRoute = Body;
  LongRoute.Route = std::string(MaxNameBytes + 1, 'r');
  for (const CallBody &Refused : {LongPiece, FarOffset, LargeTotal, LongRoute})
    CHECK_FALSE(decodeCallBody(encode(Refused)).has_value());
  CHECK_FALSE(decodeCallBody(encode(Body) + "x").has_value());
}

// Guards against replies with a link delay that nodes of earlier versions do
// not read: they take exactly 14 and 9 fields, the third and second of them a
// time span that they use in refusals only.
TEST(CallMessages, CarryTheLinkDelayInAFieldThatEarlierVersionsRead) {
  CallReply Reply;
  CallBodyReply BodyReply;
  Reply.State = CallState::Done;
  Reply.Load.LinkDelay = DurationMs(7);
  BodyReply.Load.LinkDelay = DurationMs(8);

  STRCMP_EQUAL("\x9e\x01", encode(Reply).substr(0, 2).c_str());
  LONGS_EQUAL(7, encode(Reply).at(3));
  STRCMP_EQUAL("\x99", encode(BodyReply).substr(0, 1).c_str());
  LONGS_EQUAL(8, encode(BodyReply).at(2));
}

// Any input may arrive from the network. A truncated, extended or altered
// message must be refused or decode to a message within the bounds.
TEST(CallMessages, StayWithinBoundsOnMutatedBytes) {
  checkProperty("no decoder fails on mutated bytes", [] {
    std::string Bytes;
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
      Bytes = encode(anyStart());
      break;
    case 1:
      Bytes = encode(anyReply());
      break;
    case 2:
      Bytes = encode(anyBody());
      break;
    default:
      Bytes = encode(anyBodyReply());
    }
    const auto Offset = *rc::gen::inRange<std::size_t>(0, Bytes.size());
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
      Bytes.resize(Offset);
      break;
    case 1:
      Bytes[Offset] = *rc::gen::arbitrary<char>();
      break;
    default:
      Bytes.insert(Offset, *rc::gen::arbitrary<std::string>());
    }

    const auto Start = decodeCallStart(Bytes);
    const auto Reply = decodeCallReply(Bytes);
    decodeCallFetch(Bytes);
    decodeCallCancel(Bytes);
    decodeAnswer(Bytes);
    const auto Body = decodeCallBody(Bytes);
    const auto BodyReply = decodeCallBodyReply(Bytes);

    RC_ASSERT(!Body || Body->Piece.size() <= BodyPieceBytes);
    RC_ASSERT(!BodyReply || BodyReply->HeldBytes <= MaxStagedBodyBytes);
    RC_ASSERT(!Start || Start->Request.Headers.size() <= MaxRequestFields);
    RC_ASSERT(!Start || (Start->Request.Age >= DurationMs(0) &&
                         Start->Request.Age <= MaxFieldSpan));
    RC_ASSERT(!Reply || Reply->Piece.size() <= MaxAnswerPieceBytes);
  });
}

// Guards against heads that callers may send and that other nodes refuse, and
// against messages whose fields exhaust the memory of a node.
TEST(CallMessages, CarryAllFieldsOfAHeadAndRefuseMore) {
  CallStart Start;
  Start.Request.Headers.assign(MaxRequestFields, {"x", ""});
  const auto Decoded = decodeCallStart(encode(Start));
  CHECK_TRUE(Decoded.has_value());
  CHECK(Decoded->Request.Headers == Start.Request.Headers);

  Start.Request.Headers.push_back({"x", ""});
  CHECK_FALSE(decodeCallStart(encode(Start)).has_value());
  CallAnswer Answer;
  Answer.Headers.assign(MaxAnswerFields + 1, {"x", ""});
  CHECK_FALSE(decodeAnswer(encodeAnswer(Answer)).has_value());
}

// Guards against an objective that is computed from an age out of bounds.
TEST(CallMessages, RefuseAnAgeOutOfBounds) {
  CallStart Start;
  Start.Request.Age = MaxFieldSpan;
  std::string Bytes = encode(Start);
  const std::string Longest = encodedNumber(MaxFieldSpan);
  const std::size_t At = Bytes.find(Longest);
  CHECK(At != std::string::npos);
  CHECK_TRUE(decodeCallStart(Bytes).has_value());

  Bytes.replace(At, Longest.size(),
                encodedNumber(MaxFieldSpan + DurationMs(1)));
  CHECK_FALSE(decodeCallStart(Bytes).has_value());

  const std::string Negative = encodedNumber(DurationMs(-1));
  CHECK_FALSE(
      decodeCallStart(encode(Start).replace(At, Longest.size(), Negative))
          .has_value());
}

TEST(CallMessages, RefuseBytesAfterTheMessage) {
  const std::string Bytes = encode(CallCancel{{1, 2}});

  CHECK_FALSE(decodeCallCancel(Bytes + "x").has_value());
  CHECK_FALSE(decodeCallCancel(Bytes.substr(1)).has_value());
}

// Pieces may be lost, repeated or reordered; the assembler returns the complete
// answer or none.
TEST(CallMessages, AssembleAnAnswerFromPiecesInAnyOrder) {
  checkProperty("assembled = sent", [] {
    CallAnswer Answer;
    Answer.Status = 200;
    Answer.Headers = {{"ETag", "x"}};
    Answer.Body = std::string(*rc::gen::inRange<std::size_t>(0, 900'000), 'b');
    const std::string Encoded = encodeAnswer(Answer);
    AnswerAssembler Assembler;

    for (int Step = 0; Step < 200 && !Assembler.complete(); ++Step) {
      RC_ASSERT(!Assembler.answer().has_value());
      const auto RandomOffset =
          *rc::gen::inRange<std::uint64_t>(0, Encoded.size());
      const bool Next = *rc::gen::inRange(0, 3) != 0;
      CallReply Reply;
      addAnswerPiece(Reply, Encoded, Next ? Assembler.offset() : RandomOffset,
                     *rc::gen::inRange<std::uint64_t>(0, 300'000));
      RC_ASSERT(Assembler.add(Reply));
    }

    RC_PRE(Assembler.complete());
    const auto Assembled = Assembler.answer();
    RC_ASSERT(Assembled.has_value());
    RC_ASSERT(Assembled->Body == Answer.Body);
    RC_ASSERT(Assembled->Headers == Answer.Headers);
  });
}
