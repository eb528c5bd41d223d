#include "support/Property.h"

#include "policy/DomainRamp.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr DurationMs RampTime(1000);

Snapshot configWith(DomainStatus Status) {
  Snapshot Config;
  Config.Domains["recife"] = {"recife", "coast", Status, 4};
  return Config;
}

} // namespace

TEST_GROUP(DomainRamp) { DomainRamp Ramp{RampTime}; };

TEST(DomainRamp, GivesFullLoadToANewDomain) {
  const auto Changes = Ramp.update(configWith(DomainStatus::In), TimeMs(0));

  LONGS_EQUAL(0, Changes.size());
  DOUBLES_EQUAL(1, Ramp.share("recife", TimeMs(0)), 0);
  DOUBLES_EQUAL(0, Ramp.share("undeclared", TimeMs(0)), 0);
}

TEST(DomainRamp, VersionWithTheSameStatusDoesNotRestartTheRamp) {
  Ramp.update(configWith(DomainStatus::Out), TimeMs(0));
  LONGS_EQUAL(1, Ramp.update(configWith(DomainStatus::In), TimeMs(100)).size());

  LONGS_EQUAL(0, Ramp.update(configWith(DomainStatus::In), TimeMs(600)).size());

  DOUBLES_EQUAL(0.5, Ramp.share("recife", TimeMs(600)), 0.01);
}

// For any sequence of status changes, the share is 0 while the domain is out
// and stays within the linear ramp since its last return.
TEST(DomainRamp, ShareStaysWithinTheRamp) {
  checkProperty("0 while out, bounded by the ramp while in", [] {
    DomainRamp Tested(RampTime);
    TimeMs Now(0);
    DomainStatus Last = DomainStatus::In;
    std::optional<TimeMs> ReturnedAt;
    for (const int Step :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 600))) {
      Now = Now + DurationMs(Step);
      const DomainStatus Next =
          Step % 3 == 0 ? DomainStatus::Out : DomainStatus::In;
      if (Last == DomainStatus::Out && Next == DomainStatus::In)
        ReturnedAt = Now;
      Last = Next;
      Tested.update(configWith(Next), Now);
      const TimeMs Later = Now + DurationMs(Step / 2);
      const double Share = Tested.share("recife", Later);
      if (Next == DomainStatus::Out) {
        RC_ASSERT(Share == 0.0);
      } else if (ReturnedAt) {
        const double RampShare =
            static_cast<double>((Later - *ReturnedAt).Value) /
            static_cast<double>(RampTime.Value);
        RC_ASSERT(Share <= std::max(DomainInitialShare, RampShare) + 1e-9);
      }
    }
  });
}
