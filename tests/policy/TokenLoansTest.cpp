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

double maxRequestsPerWindow() {
  const double Seconds = static_cast<double>(Bound.Window.Value) / 1000;
  return (PerSecond * Seconds + Burst) * (1 + Bound.Overage) + Bound.Slack;
}

/// \p Count instances in three failure domains; the address is the number.
std::vector<Instance> instances(std::size_t Count) {
  std::vector<Instance> Listed;
  for (std::size_t I = 0; I < Count; ++I) {
    Instance Each;
    Each.Name = "node-" + std::to_string(I);
    Each.Domain = "domain-" + std::to_string(I % 3);
    Each.PeerAddress = std::to_string(I);
    Each.State = TargetState::Ready;
    Listed.push_back(Each);
  }
  return Listed;
}

/// Nodes that lend each other tokens, with messages delivered immediately.
class Fleet {
public:
  explicit Fleet(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      Nodes.push_back(start(I));
  }

  std::size_t size() const { return Nodes.size(); }

  /// Replaces a node by a new process.
  void restart(std::size_t At) { Nodes[At] = start(At); }

  /// Charges one request at a node and returns whether it was admitted.
  bool charge(std::size_t At) {
    const auto Decided = Nodes[At]->charge("large", Now, ++Ticket);
    if (Decided)
      return count(Decided->Admitted);
    while (true) {
      for (const LoanDecision &D : Nodes[At]->takeDecided())
        if (D.Ticket == Ticket)
          return count(D.Decision.Admitted);
      const auto Requests = Nodes[At]->takeRequests();
      if (Requests.empty())
        Nodes[At]->tick(Now = Now + MaxLoanWait);
      for (const LoanRequest &Loan : Requests)
        deliver(At, Loan);
    }
  }

  void wait(DurationMs Span) { Now = Now + Span; }

  /// Maximum requests admitted in any window so far.
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
  std::unique_ptr<TokenLoans> start(std::size_t At) {
    const auto Listed = instances(std::max<std::size_t>(Nodes.size(), 12));
    auto Node =
        std::make_unique<TokenLoans>(Listed[At].Name, Listed[At].Domain, Bound);
    Node->setRates(config(), Now);
    Node->setInstances(Listed, Now);
    return Node;
  }

  void deliver(std::size_t From, const LoanRequest &Loan) {
    const std::size_t To = std::stoul(Loan.Address);
    if (To == From || To >= Nodes.size()) {
      Nodes[From]->onRequestFailed(Loan, Now);
      return;
    }
    const auto Grants = Nodes[To]->answer({&Loan.Request, 1}, Now);
    if (LoseReplies)
      Nodes[From]->onRequestFailed(Loan, Now);
    else
      Nodes[From]->onGrant(Loan, Grants.front(), Now);
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

// All requests enter at one of twelve nodes, at half of the organisation's
// rate. With that node's share alone, five in six would be refused.
TEST(TokenLoans, AdmitsHalfTheRateWhenAllRequestsEnterAtOneNode) {
  Fleet TwelveNodes(12);
  TwelveNodes.wait(DurationMs(5000));
  int Admitted = 0;

  for (int I = 0; I < 200; ++I) {
    Admitted += TwelveNodes.charge(0) ? 1 : 0;
    TwelveNodes.wait(DurationMs(50));
  }

  CHECK(Admitted >= 196);
}

TEST(TokenLoans, ChargeWithoutTicketIsRefusedWithARetryDelay) {
  TokenLoans Loans("node-0", "domain-0", Bound);
  Loans.setRates(config(), TimeMs(0));
  Loans.setInstances(instances(12), TimeMs(0));
  CHECK_TRUE(Loans.charge("large", TimeMs(0), std::nullopt)->Admitted);

  const auto Second = Loans.charge("large", TimeMs(0), std::nullopt);

  CHECK_FALSE(Second->Admitted);
  CHECK(Second->RetryAfter > DurationMs(0));
  CHECK(Second->RetryAfter <= DurationMs(300));
}

TEST(TokenLoans, OrganisationWithoutRateIsAdmitted) {
  TokenLoans Loans("node-0", "domain-0", Bound);
  Loans.setRates(Snapshot(), TimeMs(0));

  CHECK_TRUE(Loans.charge("unlimited", TimeMs(0), std::nullopt)->Admitted);
}

TEST(TokenLoans, LenderWithoutTokensIsNotAskedAgainImmediately) {
  TokenLoans Borrower("node-0", "domain-0", Bound);
  Borrower.setRates(config(), TimeMs(0));
  Borrower.setInstances(instances(2), TimeMs(0));
  Borrower.charge("large", TimeMs(0), 1);
  Borrower.charge("large", TimeMs(0), 2);
  const auto First = Borrower.takeRequests();
  TokenGrant Refusal;
  Refusal.Organisation = "large";
  Borrower.onGrant(First.at(0), Refusal, TimeMs(1));

  const auto Next = Borrower.charge("large", TimeMs(2), 3);

  CHECK_TRUE(Next.has_value());
  CHECK_FALSE(Next->Admitted);
  CHECK_TRUE(Borrower.takeRequests().empty());
}

TEST(TokenLoans, RefusalTellsWhenALenderExpectsAToken) {
  TokenLoans Borrower("node-0", "domain-0", Bound);
  Borrower.setRates(config(0.1), TimeMs(0));
  Borrower.setInstances(instances(2), TimeMs(0));
  Borrower.charge("large", TimeMs(0), 1);
  Borrower.charge("large", TimeMs(0), 2);
  TokenGrant Refusal;
  Refusal.Organisation = "large";
  Refusal.TokenDelay = DurationMs(3000);
  Borrower.onGrant(Borrower.takeRequests().at(0), Refusal, TimeMs(0));

  const auto Decided = Borrower.takeDecided();

  LONGS_EQUAL(1, Decided.size());
  CHECK_FALSE(Decided[0].Decision.Admitted);
  LONGS_EQUAL(3000, Decided[0].Decision.RetryAfter.Value);
}

TEST(TokenLoans, SilentLenderIsNotAskedForAnotherOrganisation) {
  Snapshot Config = config();
  Config.Organisations["other"] = {"other", "large", 1};
  TokenLoans Borrower("node-0", "domain-0", Bound);
  Borrower.setRates(Config, TimeMs(0));
  Borrower.setInstances(instances(2), TimeMs(0));
  Borrower.charge("large", TimeMs(0), 1);
  Borrower.charge("large", TimeMs(0), 2);
  Borrower.onRequestFailed(Borrower.takeRequests().at(0), TimeMs(1));
  Borrower.charge("other", TimeMs(1), 3);

  const auto Next = Borrower.charge("other", TimeMs(1), 4);

  CHECK_TRUE(Next.has_value());
  CHECK_FALSE(Next->Admitted);
  CHECK_TRUE(Borrower.takeRequests().empty());
}

TEST(TokenLoans, QueuedRequestIsAdmittedWhenItsRateIsRemoved) {
  TokenLoans Loans("node-0", "domain-0", Bound);
  Loans.setRates(config(), TimeMs(0));
  Loans.setInstances(instances(2), TimeMs(0));
  Loans.charge("large", TimeMs(0), 1);
  Loans.charge("large", TimeMs(0), 2);

  Loans.setRates(Snapshot(), TimeMs(1));
  Loans.tick(TimeMs(1000));

  const auto Decided = Loans.takeDecided();
  LONGS_EQUAL(1, Decided.size());
  CHECK_TRUE(Decided[0].Decision.Admitted);
}

TEST(TokenLoans, TokenThatIsGivenBackAdmitsAnotherRequest) {
  const TimeMs Now{0};
  TokenLoans Loans("node-0", "domain-0", Bound);
  Loans.setRates(config(), Now);
  Loans.setInstances(instances(12), Now);
  const auto First = Loans.charge("large", Now, std::nullopt);

  Loans.giveBack("large", *First, Now);

  CHECK_TRUE(First->Admitted);
  CHECK_TRUE(Loans.charge("large", Now, std::nullopt)->Admitted);
  CHECK_FALSE(Loans.charge("large", Now, std::nullopt)->Admitted);
}

TEST(TokenLoans, RefusedRequestHasNoTokenToGiveBack) {
  const TimeMs Now{0};
  TokenLoans Loans("node-0", "domain-0", Bound);
  Loans.setRates(config(), Now);
  Loans.setInstances(instances(12), Now);
  Loans.charge("large", Now, std::nullopt);
  const auto Second = Loans.charge("large", Now, std::nullopt);

  Loans.giveBack("large", *Second, Now);

  CHECK_FALSE(Second->Admitted);
  CHECK_FALSE(Loans.charge("large", Now, std::nullopt)->Admitted);
}

// A node that becomes a meter again begins with an empty bucket.
TEST(TokenLoans, TokenOfADroppedBucketIsNotTakenBack) {
  const TimeMs Now{0};
  TokenLoans Loans("node-0", "domain-0", Bound);
  Loans.setRates(config(), Now);
  Loans.setInstances(instances(12), Now);
  const auto First = Loans.charge("large", Now, std::nullopt);
  Loans.setRates(Snapshot(), Now);
  Loans.setRates(config(), Now);
  Loans.charge("large", Now, std::nullopt);

  Loans.giveBack("large", *First, Now);

  CHECK_FALSE(Loans.charge("large", Now, std::nullopt)->Admitted);
}

// The fleet's admissions in every window stay within RateBound, for any load,
// with restarted nodes and lost replies.
TEST(TokenLoans, FleetNeverExceedsTheBoundInAnyWindow) {
  checkProperty("no window admits more than rate, burst and allowance", [] {
    Fleet TwelveNodes(12);
    TwelveNodes.wait(DurationMs(*rc::gen::inRange(0, 8000)));
    const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 16), rc::gen::inRange(0, 12)));
    for (const auto &[What, At] : Steps) {
      if (What == 0)
        TwelveNodes.wait(DurationMs(At * 200));
      else if (What == 1)
        TwelveNodes.LoseReplies = !TwelveNodes.LoseReplies;
      else if (What == 2)
        TwelveNodes.restart(static_cast<std::size_t>(At));
      else
        for (int I = 0; I < 20; ++I)
          TwelveNodes.charge(static_cast<std::size_t>(At));
    }
    RC_ASSERT(static_cast<double>(TwelveNodes.busiestWindow()) <=
              maxRequestsPerWindow());
  });
}
