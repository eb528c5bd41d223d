#include "operators/StampedEvent.h"

#include "support/Property.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(StampedEvent){};

TEST(StampedEvent, ComesBackFromItsJsonLine) {
  checkProperty("fromJsonLine(toJsonLine(e)) = e", [] {
    StampedEvent Sent;
    Sent.Sequence = *rc::gen::arbitrary<std::uint64_t>();
    Sent.Time = {*rc::gen::arbitrary<std::int64_t>(),
                 *rc::gen::arbitrary<std::uint32_t>()};
    Sent.Node = "a/b-1";
    Sent.What.Id = EventId::CallRefused;
    // Bytes that are no UTF-8 are replaced in JSON, so only ASCII compares.
    const auto Ascii =
        *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
    Sent.What.Fields = {{"reason", Ascii}};

    const auto Read = fromJsonLine(toJsonLine(Sent));

    RC_ASSERT(Read.has_value());
    RC_ASSERT(Read->Sequence == Sent.Sequence);
    RC_ASSERT(Read->Time == Sent.Time);
    RC_ASSERT(Read->Node == Sent.Node);
    RC_ASSERT(fieldValue(Read->What, "reason") == Ascii);
  });
}

TEST(StampedEvent, RefusesAnyOtherLine) {
  checkProperty("arbitrary bytes are no event", [](const std::string &Line) {
    RC_ASSERT(!fromJsonLine(Line).has_value());
  });
  CHECK_FALSE(fromJsonLine("{\"event\":1}").has_value());
  CHECK_FALSE(fromJsonLine("{\"event\":\"x\"}").has_value());
}

TEST(StampedEvent, TextLineStaysOneLine) {
  StampedEvent Value;
  Value.What = {EventId::CallRefused, {{"reason", "two\nlines = \"odd\""}}};

  const std::string Line = toTextLine(Value);

  CHECK(Line.find('\n') == std::string::npos);
}
