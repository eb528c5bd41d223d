#include "support/Property.h"

#include "policy/DomainRamp.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr DurationMs RampTime(1000);

Snapshot with(DomainStatus Status) {
  Snapshot Config;
  Config.Domains["recife"] = {"recife", "coast", Status, 4};
  return Config;
}

} // namespace

TEST_GROUP(DomainRamp) { DomainRamp Ramp{RampTime}; };

TEST(DomainRamp, GivesFullLoadToADomainThatIsInWhenFirstSeen) {
  const auto Changes = Ramp.update(with(DomainStatus::In), TimeMs(0));

  LONGS_EQUAL(0, Changes.size());
  DOUBLES_EQUAL(1, Ramp.share("recife", TimeMs(0)), 0);
  DOUBLES_EQUAL(0, Ramp.share("undeclared", TimeMs(0)), 0);
}

TEST(DomainRamp, VersionThatLeavesTheStatusAloneDoesNotStartTheRampAgain) {
  Ramp.update(with(DomainStatus::Out), TimeMs(0));
  LONGS_EQUAL(1, Ramp.update(with(DomainStatus::In), TimeMs(100)).size());

  LONGS_EQUAL(0, Ramp.update(with(DomainStatus::In), TimeMs(600)).size());

  DOUBLES_EQUAL(0.5, Ramp.share("recife", TimeMs(600)), 0.01);
}

// Whatever operators publish: nothing while out, and never more than the time
// since the last return allows.
TEST(DomainRamp, NeverGivesMoreThanTheTimeSinceTheReturnAllows) {
  checkProperty("0 while out, bounded by the ramp while in", [] {
    DomainRamp Any(RampTime);
    TimeMs Now(0);
    DomainStatus Last = DomainStatus::In;
    std::optional<TimeMs> Returned;
    for (const int Step :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 600))) {
      Now = Now + DurationMs(Step);
      const DomainStatus Next =
          Step % 3 == 0 ? DomainStatus::Out : DomainStatus::In;
      if (Last == DomainStatus::Out && Next == DomainStatus::In)
        Returned = Now;
      Last = Next;
      Any.update(with(Next), Now);
      const TimeMs Later = Now + DurationMs(Step / 2);
      const double Share = Any.share("recife", Later);
      if (Next == DomainStatus::Out) {
        RC_ASSERT(Share == 0.0);
      } else if (Returned) {
        const double Grown = static_cast<double>((Later - *Returned).Value) /
                             static_cast<double>(RampTime.Value);
        RC_ASSERT(Share <= std::max(DomainFirstShare, Grown) + 1e-9);
      }
    }
  });
}
