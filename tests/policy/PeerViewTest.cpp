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

TEST(PeerView, PrefersPeersOfTheLocalDomain) {
  View.refresh(Candidates, TimeMs(0));

  const auto Names = View.names();

  LONGS_EQUAL(6, Names.size());
  LONGS_EQUAL(5, std::count_if(Names.begin(), Names.end(), [](const auto &N) {
                return N.starts_with("own-");
              }));
}

TEST(PeerView, RotatesThroughAllCandidates) {
  std::set<std::string> SeenPeers;

  for (int Period = 0; Period < 2000; ++Period) {
    View.refresh(Candidates, TimeMs(15000 * Period));
    for (const std::string &Name : View.names())
      SeenPeers.insert(Name);
  }

  LONGS_EQUAL(60, SeenPeers.size());
}

TEST(PeerView, RemovesPeerThatIsNoLongerCandidate) {
  View.refresh(Candidates, TimeMs(0));
  const std::string Removed = View.names().front();
  std::erase_if(Candidates, [&](const auto &C) { return C.Name == Removed; });

  View.refresh(Candidates, TimeMs(1));

  const auto Names = View.names();
  CHECK_TRUE(std::find(Names.begin(), Names.end(), Removed) == Names.end());
  LONGS_EQUAL(6, Names.size());
  CHECK_FALSE(View.randomPeer().empty());
}
