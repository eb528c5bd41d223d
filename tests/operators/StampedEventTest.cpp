#include "operators/StampedEvent.h"

#include "support/Property.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(StampedEvent){};

namespace {

/// Generates an event with arbitrary origin, time and field. The texts are
/// ASCII, since bytes that are no valid UTF-8 are replaced when written.
StampedEvent arbitraryEvent() {
  const auto Text =
      rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
  StampedEvent Value;
  Value.Sequence = *rc::gen::arbitrary<std::uint64_t>();
  Value.Time = {*rc::gen::inRange<std::int64_t>(0, 4'000'000'000'000),
                *rc::gen::arbitrary<std::uint16_t>()};
  Value.Node = *Text;
  Value.Domain = *Text;
  Value.Occurrence.Id = EventId::CallRefused;
  Value.Occurrence.Fields = {{"reason", *Text}};
  return Value;
}

bool equal(const StampedEvent &Left, const StampedEvent &Right) {
  return toJsonLine(Left) == toJsonLine(Right);
}

} // namespace

TEST(StampedEvent, JsonLineRoundTrips) {
  checkProperty("fromJsonLine(toJsonLine(e)) = e", [] {
    const StampedEvent Original = arbitraryEvent();

    const auto Parsed = fromJsonLine(toJsonLine(Original));

    RC_ASSERT(Parsed.has_value());
    RC_ASSERT(equal(*Parsed, Original));
  });
}

TEST(StampedEvent, TextLineRoundTrips) {
  checkProperty("fromTextLine(toTextLine(e)) = e", [] {
    const StampedEvent Original = arbitraryEvent();

    const auto Parsed = fromTextLine(toTextLine(Original));

    RC_ASSERT(Parsed.has_value());
    RC_ASSERT(equal(*Parsed, Original));
  });
}

TEST(StampedEvent, RejectsMalformedLines) {
  checkProperty("arbitrary bytes are no event", [](const std::string &Line) {
    RC_ASSERT(!fromJsonLine(Line).has_value());
    RC_ASSERT(!fromTextLine(Line).has_value());
  });
  CHECK_FALSE(fromJsonLine("{\"event\":1}").has_value());
  CHECK_FALSE(fromJsonLine("{\"event\":\"x\"}").has_value());
}

TEST(StampedEvent, TruncatedTextLineIsParsedAsAPrefixOrRejected) {
  checkProperty("a prefix of a line is read whole or not at all", [] {
    const std::string Line = toTextLine(arbitraryEvent());
    const auto Length = *rc::gen::inRange<std::size_t>(0, Line.size());

    const auto Parsed = fromTextLine(std::string_view(Line).substr(0, Length));

    if (Parsed)
      RC_ASSERT(Line.starts_with(toTextLine(*Parsed).substr(0, Length)));
  });
}

TEST(StampedEvent, TextLineContainsNoLineBreak) {
  StampedEvent Value;
  Value.Occurrence = {EventId::CallRefused,
                      {{"reason", "two\nlines = \"odd\""}}};

  const std::string Line = toTextLine(Value);

  CHECK(Line.find('\n') == std::string::npos);
}
