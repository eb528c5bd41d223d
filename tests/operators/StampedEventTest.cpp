#include "operators/StampedEvent.h"

#include "support/Property.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(StampedEvent){};

namespace {

/// An event with arbitrary place, time and field. Bytes that are no UTF-8 are
/// replaced on the way out, so that only ASCII can come back unchanged.
StampedEvent arbitraryEvent() {
  const auto Text =
      rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
  StampedEvent Value;
  Value.Sequence = *rc::gen::arbitrary<std::uint64_t>();
  Value.Time = {*rc::gen::inRange<std::int64_t>(0, 4'000'000'000'000),
                *rc::gen::arbitrary<std::uint16_t>()};
  Value.Node = *Text;
  Value.Domain = *Text;
  Value.What.Id = EventId::CallRefused;
  Value.What.Fields = {{"reason", *Text}};
  return Value;
}

bool same(const StampedEvent &Left, const StampedEvent &Right) {
  return toJsonLine(Left) == toJsonLine(Right);
}

} // namespace

TEST(StampedEvent, ComesBackFromItsJsonLine) {
  checkProperty("fromJsonLine(toJsonLine(e)) = e", [] {
    const StampedEvent Sent = arbitraryEvent();

    const auto Read = fromJsonLine(toJsonLine(Sent));

    RC_ASSERT(Read.has_value());
    RC_ASSERT(same(*Read, Sent));
  });
}

TEST(StampedEvent, ComesBackFromItsTextLine) {
  checkProperty("fromTextLine(toTextLine(e)) = e", [] {
    const StampedEvent Sent = arbitraryEvent();

    const auto Read = fromTextLine(toTextLine(Sent));

    RC_ASSERT(Read.has_value());
    RC_ASSERT(same(*Read, Sent));
  });
}

TEST(StampedEvent, RefusesAnyOtherLine) {
  checkProperty("arbitrary bytes are no event", [](const std::string &Line) {
    RC_ASSERT(!fromJsonLine(Line).has_value());
    RC_ASSERT(!fromTextLine(Line).has_value());
  });
  CHECK_FALSE(fromJsonLine("{\"event\":1}").has_value());
  CHECK_FALSE(fromJsonLine("{\"event\":\"x\"}").has_value());
}

TEST(StampedEvent, SurvivesACutTextLine) {
  checkProperty("a prefix of a line is read whole or not at all", [] {
    const std::string Line = toTextLine(arbitraryEvent());
    const auto Length = *rc::gen::inRange<std::size_t>(0, Line.size());

    const auto Read = fromTextLine(std::string_view(Line).substr(0, Length));

    if (Read)
      RC_ASSERT(Line.starts_with(toTextLine(*Read).substr(0, Length)));
  });
}

TEST(StampedEvent, TextLineStaysOneLine) {
  StampedEvent Value;
  Value.What = {EventId::CallRefused, {{"reason", "two\nlines = \"odd\""}}};

  const std::string Line = toTextLine(Value);

  CHECK(Line.find('\n') == std::string::npos);
}
