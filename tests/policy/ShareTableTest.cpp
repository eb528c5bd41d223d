#include "policy/ShareTable.h"

#include "support/Property.h"

#include <cmath>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

Snapshot anySnapshot() {
  Snapshot S;
  const int Domains = *rc::gen::inRange(1, 6);
  for (int D = 0; D < Domains; ++D) {
    const std::string Name = "domain-" + std::to_string(D);
    S.Domains[Name] = {Name, "region", DomainStatus::In,
                       *rc::gen::inRange<std::uint32_t>(1, 40)};
  }
  S.Rates["rate"] = {"rate", *rc::gen::inRange(1, 5000) / 7.0,
                     *rc::gen::inRange(1, 5000) / 3.0};
  S.Organisations["registry"] = {"registry", "rate", 1};
  return S;
}

TokenSettings anySettings() {
  TokenSettings Settings;
  Settings.SlotsPerMeter = *rc::gen::inRange<std::uint32_t>(1, 20);
  return Settings;
}

} // namespace

TEST_GROUP(ShareTable){};

TEST(ShareTable, SharesSumToTheRateAndBelongToDeclaredSlots) {
  checkProperty("sum of shares = rate", [] {
    const Snapshot S = anySnapshot();
    const ShareTable Table(S, anySettings());

    double PerSecond = 0;
    double Burst = 0;
    std::set<SlotId> Owners;
    for (const MeterShare &M : Table.meters("registry")) {
      PerSecond += M.Share.PerSecond;
      Burst += M.Share.Burst;
      Owners.insert(M.Slot);
      RC_ASSERT(M.Slot.Slot < S.Domains.at(M.Slot.Domain).Nodes);
      RC_ASSERT(Table.sharesOf(M.Slot).at("registry") == M.Share);
    }

    const Rate &Whole = S.Rates.at("rate");
    RC_ASSERT(std::abs(PerSecond - Whole.PerSecond) < 1e-6);
    RC_ASSERT(std::abs(Burst - Whole.Burst) < 1e-6);
    RC_ASSERT(Owners.size() == Table.meters("registry").size());
  });
}

TEST(ShareTable, SmallOrganisationHasFewMetersWithAMinimumBurst) {
  checkProperty("each meter has the minimum burst", [] {
    const Snapshot S = anySnapshot();
    TokenSettings Settings = anySettings();
    Settings.SlotsPerMeter = 1;
    const ShareTable Table(S, Settings);
    const double Burst = S.Rates.at("rate").Burst;

    for (const MeterShare &M : Table.meters("registry"))
      RC_ASSERT(M.Share.Burst >=
                std::min(Burst, Settings.MinMeterBurst) - 1e-6);
  });
}

TEST(ShareTable, RequestOrderContainsAllMetersOwnDomainFirst) {
  checkProperty("order contains all other meters, own domain first", [] {
    const ShareTable Table(anySnapshot(), anySettings());
    const SlotId Requester{"domain-0", 0};

    const auto Order = Table.requestOrder("registry", Requester);

    std::size_t Others = 0;
    for (const MeterShare &M : Table.meters("registry"))
      Others += M.Slot == Requester ? 0 : 1;
    RC_ASSERT(Order.size() == Others);
    bool PassedOwnDomain = false;
    for (const SlotId &Slot : Order) {
      RC_ASSERT(!PassedOwnDomain || Slot.Domain != Requester.Domain);
      PassedOwnDomain |= Slot.Domain != Requester.Domain;
    }
  });
}

TEST(ShareTable, DigestDiffersExactlyBetweenDivisions) {
  Snapshot S;
  S.Domains["recife"] = {"recife", "agreste", DomainStatus::In, 4};
  S.Rates["rate"] = {"rate", 10, 40};
  S.Organisations["registry"] = {"registry", "rate", 1};
  const ShareTable Before(S, TokenSettings());
  S.Domains["recife"].Status = DomainStatus::Out;
  S.Id.Revision = 2;
  const ShareTable SameDivision(S, TokenSettings());
  S.Domains["recife"].Nodes = 5;
  const ShareTable Moved(S, TokenSettings());

  CHECK(Before.digest() == SameDivision.digest());
  CHECK(Before.digest() != Moved.digest());
}
