#include "support/Property.h"

#include "policy/TokenLoans.h"

#include <deque>
#include <memory>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr RateBound Bound{DurationMs(5000), 0.25, 20};
constexpr double PerSecond = 40;
constexpr double Burst = 40;

Snapshot config(double Rate = PerSecond) {
  Snapshot Config;
  Config.Organisations["large"] = {"large", "large", 1};
  Config.Rates["large"] = {"large", Rate, Burst};
  return Config;
}

double mostInAWindow() {
  const double Seconds = static_cast<double>(Bound.Window.Value) / 1000;
  return (PerSecond * Seconds + Burst) * (1 + Bound.Overage) + Bound.Slack;
}

/// Nodes that lend each other tokens over messages that take no time.
class Fleet {
public:
  explicit Fleet(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      Nodes.push_back(start());
  }

  std::size_t size() const { return Nodes.size(); }

  /// A new process in a node's place.
  void restart(std::size_t At) { Nodes[At] = start(); }

  /// \returns whether one request at a node was admitted.
  bool charge(std::size_t At) {
    const auto Decided = Nodes[At]->charge("large", Now, ++Ticket);
    if (Decided)
      return count(Decided->Admitted);
    while (true) {
      for (const LoanDecision &D : Nodes[At]->takeDecided())
        if (D.Ticket == Ticket)
          return count(D.Decision.Admitted);
      const auto Asks = Nodes[At]->takeAsks();
      if (Asks.empty())
        Nodes[At]->tick(Now = Now + LoanPatience);
      for (const LoanAsk &Each : Asks)
        deliver(At, Each);
    }
  }

  void wait(DurationMs Span) { Now = Now + Span; }

  /// Most requests that were admitted in any window so far.
  std::size_t busiestWindow() const {
    std::size_t Most = 0;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < Admitted.size(); ++Last) {
      while (Admitted[Last] - Admitted[First] > Bound.Window)
        ++First;
      Most = std::max(Most, Last - First + 1);
    }
    return Most;
  }

  bool LoseReplies = false;
  TimeMs Now{1'000'000};

private:
  std::unique_ptr<TokenLoans> start() {
    auto Node = std::make_unique<TokenLoans>(Bound);
    Node->setRates(config(), Now);
    const std::size_t Count = std::max<std::size_t>(Nodes.size(), 12);
    Node->setNodes(Count, Now);
    std::vector<Lender> Others;
    for (std::size_t I = 0; I < Count; ++I)
      Others.push_back({std::to_string(I), I % 3 == 0});
    Node->setLenders(Others);
    return Node;
  }

  void deliver(std::size_t From, const LoanAsk &Asked) {
    const std::size_t To = std::stoul(Asked.Address);
    if (To == From || To >= Nodes.size()) {
      Nodes[From]->lose(Asked, Now);
      return;
    }
    const auto Grants = Nodes[To]->answer({&Asked.Ask, 1}, Now);
    if (LoseReplies)
      Nodes[From]->lose(Asked, Now);
    else
      Nodes[From]->accept(Asked, Grants.front(), Now);
  }

  bool count(bool Passed) {
    if (Passed)
      Admitted.push_back(Now);
    return Passed;
  }

  std::vector<std::unique_ptr<TokenLoans>> Nodes;
  std::vector<TimeMs> Admitted;
  std::uint64_t Ticket = 0;
};

} // namespace

TEST_GROUP(TokenLoans){};

// The callers of an organisation sit at one node of twelve and ask for half of
// its rate: a share alone would refuse five in six.
TEST(TokenLoans, ServesAnOrganisationWhoseRequestsEnterAtOneNode) {
  Fleet Twelve(12);
  Twelve.wait(DurationMs(5000));
  int Admitted = 0;

  for (int I = 0; I < 200; ++I) {
    Admitted += Twelve.charge(0) ? 1 : 0;
    Twelve.wait(DurationMs(50));
  }

  CHECK(Admitted >= 196);
}

TEST(TokenLoans, RefusesWithoutATicketAndSaysWhenToComeBack) {
  TokenLoans Alone(Bound);
  Alone.setRates(config(), TimeMs(0));
  Alone.setNodes(12, TimeMs(0));
  CHECK_TRUE(Alone.charge("large", TimeMs(0), std::nullopt)->Admitted);

  const auto Second = Alone.charge("large", TimeMs(0), std::nullopt);

  CHECK_FALSE(Second->Admitted);
  CHECK(Second->RetryAfter > DurationMs(0));
  CHECK(Second->RetryAfter <= DurationMs(300));
}

TEST(TokenLoans, PassesAnOrganisationWithoutARate) {
  TokenLoans Alone(Bound);
  Alone.setRates(Snapshot(), TimeMs(0));

  CHECK_TRUE(Alone.charge("unlimited", TimeMs(0), std::nullopt)->Admitted);
}

TEST(TokenLoans, DoesNotAskALenderAgainAtOnceThatHadNothing) {
  TokenLoans Dry(Bound);
  Dry.setRates(config(), TimeMs(0));
  Dry.setNodes(2, TimeMs(0));
  Dry.setLenders({{"other", true}});
  Dry.charge("large", TimeMs(0), 1);
  Dry.charge("large", TimeMs(0), 2);
  const auto First = Dry.takeAsks();
  TokenGrant Nothing;
  Nothing.Organisation = "large";
  Dry.accept(First.at(0), Nothing, TimeMs(1));

  const auto Next = Dry.charge("large", TimeMs(2), 3);

  CHECK_TRUE(Next.has_value());
  CHECK_FALSE(Next->Admitted);
  CHECK_TRUE(Dry.takeAsks().empty());
}

// Whatever enters where, whoever restarts and whatever is lost: in no window
// does the fleet admit more than the users' bound.
TEST(TokenLoans, NeverExceedsTheBoundInAnyWindow) {
  checkProperty("no window admits more than rate, burst and allowance", [] {
    Fleet Twelve(12);
    Twelve.wait(DurationMs(*rc::gen::inRange(0, 8000)));
    const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 16), rc::gen::inRange(0, 12)));
    for (const auto &[What, At] : Steps) {
      if (What == 0)
        Twelve.wait(DurationMs(At * 200));
      else if (What == 1)
        Twelve.LoseReplies = !Twelve.LoseReplies;
      else if (What == 2)
        Twelve.restart(static_cast<std::size_t>(At));
      else
        for (int I = 0; I < 20; ++I)
          Twelve.charge(static_cast<std::size_t>(At));
    }
    RC_ASSERT(static_cast<double>(Twelve.busiestWindow()) <= mostInAWindow());
  });
}
