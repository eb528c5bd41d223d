#include "policy/PeerView.h"

#include <algorithm>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(PeerView) {
  std::mt19937_64 Engine{1};
  PeerView View{PeerViewSettings(), [this] { return Engine(); }};
  std::vector<PeerCandidate> Candidates;

  void setup() override {
    for (int I = 0; I < 30; ++I)
      Candidates.push_back(
          {"own-" + std::to_string(I), PeerDistance::OwnDomain});
    for (int I = 0; I < 30; ++I)
      Candidates.push_back(
          {"far-" + std::to_string(I), PeerDistance::OtherRegion});
  }
};

TEST(PeerView, HoldsAFewPeersMostlyOfTheOwnDomain) {
  View.refresh(Candidates, TimeMs(0));

  const auto Names = View.names();

  LONGS_EQUAL(6, Names.size());
  LONGS_EQUAL(5, std::count_if(Names.begin(), Names.end(), [](const auto &N) {
                return N.starts_with("own-");
              }));
}

TEST(PeerView, MeetsEveryCandidateOverTime) {
  std::set<std::string> Met;

  for (int Period = 0; Period < 2000; ++Period) {
    View.refresh(Candidates, TimeMs(15000 * Period));
    for (const std::string &Name : View.names())
      Met.insert(Name);
  }

  LONGS_EQUAL(60, Met.size());
}

TEST(PeerView, DropsAPeerThatIsNoCandidateAnyMore) {
  View.refresh(Candidates, TimeMs(0));
  const std::string Gone = View.names().front();
  std::erase_if(Candidates, [&](const auto &C) { return C.Name == Gone; });

  View.refresh(Candidates, TimeMs(1));

  const auto Names = View.names();
  CHECK_TRUE(std::find(Names.begin(), Names.end(), Gone) == Names.end());
  LONGS_EQUAL(6, Names.size());
  CHECK_FALSE(View.randomPeer().empty());
}
