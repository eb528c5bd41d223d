#include "policy/ObservedShare.h"

#include "policy/Membership.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(ObservedShare){};

// A third of 90 nodes is cut off from the others and from the store for 12
// s, and the entries of their targets lapse after 4.5 s. These nodes go on
// admitting what their own callers send, here as much as they may.
TEST(ObservedShare, CutOffNodesWhoseTargetsEntriesLapseKeepTheirPartOfARate) {
  constexpr std::size_t NodeCount = 90;
  constexpr std::size_t CutCount = 31;
  constexpr std::int64_t CutAt = 30'000;
  constexpr std::int64_t LapseAt = CutAt + 4500;
  constexpr std::int64_t HealAt = CutAt + 12'000;
  constexpr std::int64_t StepMs = 10;
  constexpr double PerSecond = 50;
  constexpr double Burst = 20;
  const RateBound Bound{DurationMs(5000), 0.25, 20};
  const double Allowed = (PerSecond * 5 + Burst) * 1.25 + 20;
  Snapshot Config;
  Config.Organisations["large"].Rate = "rate";
  Config.Rates["rate"].PerSecond = PerSecond;
  Config.Rates["rate"].Burst = Burst;

  // What a node that reads the store publishes, as in ControlCore.
  std::vector<ListedMember> Listed;
  for (std::size_t I = 0; I < NodeCount; ++I) {
    Instance Place;
    Place.Name = "node-" + std::to_string(I);
    Place.State = TargetState::Ready;
    Listed.push_back({Place});
  }
  Membership Table({}, Listed.back().Place, 1, TimeMs(0));
  for (std::size_t I = 0; I + 1 < NodeCount; ++I)
    Table.merge({Listed[I].Place, {1, 0, MemberHealth::Alive}, {}},
                Propagation::Forward, TimeMs(0));
  Table.onListed(Listed, 5, true, TimeMs(0));
  std::vector<std::unique_ptr<ObservedShare>> Shares;
  for (const ListedMember &Each : Listed) {
    Shares.push_back(std::make_unique<ObservedShare>(Each.Place.Name, Bound));
    Shares.back()->setRates(Config, TimeMs(0));
    Shares.back()->setInstances(Table.instances(), TimeMs(0));
  }

  std::deque<std::int64_t> Window;
  std::size_t Most = 0;
  std::size_t MostBefore = 0;
  for (std::int64_t At = 0; At < HealAt; At += StepMs) {
    if (At == LapseAt) {
      Table.onListed({Listed.data() + CutCount, NodeCount - CutCount}, 9, true,
                     TimeMs(At));
      for (std::size_t I = CutCount; I < NodeCount; ++I)
        Shares[I]->setInstances(Table.instances(), TimeMs(At));
    }
    for (const auto &Share : Shares)
      while (Share->take("large", TimeMs(At)))
        Window.push_back(At);
    while (!Window.empty() && Window.front() <= At - Bound.Window.Value)
      Window.pop_front();
    if (At < LapseAt)
      MostBefore = std::max(MostBefore, Window.size());
    Most = std::max(Most, Window.size());
  }

  CHECK_TEXT(static_cast<double>(Most) <= Allowed,
             ("admitted " + std::to_string(Most) + " within 5 s, " +
              std::to_string(MostBefore) + " before the lapse; allowed " +
              std::to_string(Allowed))
                 .c_str());
}
