#include "organisations/OrganisationLimiter.h"

#include "core/TaskThread.h"
#include "organisations/TokenCodec.h"
#include "policy/TokenLoans.h"
#include "policy/TokenNode.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>

namespace fescuewood {

namespace {

/// Queue length of the duty, which runs only its own tick.
constexpr std::size_t DutyCapacity = 4;

/// Time for which an organisation counts as near its rate after a refusal.
constexpr DurationMs NearRateWindow{60 * 1000};

bool declaresNoSlots(const Snapshot &Source) {
  return std::all_of(Source.Domains.begin(), Source.Domains.end(),
                     [](const auto &Item) { return Item.second.Nodes == 0; });
}

/// Converts the fields common to \ref TokenStatistics and
/// \ref ObservedShareStatistics.
template <typename Figures>
OrganisationStatus statusOf(const std::string &Name, const Figures &F,
                            TimeMs Now) {
  OrganisationStatus S;
  S.Name = Name;
  S.RatePerSecond = F.FleetRate.PerSecond;
  S.Burst = F.FleetRate.Burst;
  S.RateHeld = F.RateHeld;
  S.Admitted = F.Admitted;
  S.Refused = F.Refused;
  S.NearRate = F.LastRefused && Now - *F.LastRefused < NearRateWindow;
  return S;
}

} // namespace

class OrganisationLimiter::Impl {
public:
  Impl(LimiterIdentity Identity, TokenSettings Settings, LimiterHooks Hooks)
      : Identity(std::move(Identity)), Settings(Settings),
        Hooks(std::move(Hooks)),
        Node({this->Identity.Domain, this->Identity.Slot}, Settings,
             this->Hooks.Now.now()),
        Loans(this->Identity.Name, this->Identity.Domain,
              this->Identity.Bound) {}

  void start() {
    Ticker.start(TokenNode::TickPeriod, [this] { tick(); });
  }

  void stop() {
    Ticker.stop();
    std::map<std::uint64_t, RateDecisionHook> Queued;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Stopped = true;
      Queued = std::exchange(Waiting, {});
    }
    for (auto &[Ticket, OnDecision] : Queued)
      OnDecision({false, Settings.MaxWait});
  }

  RateDecision charge(std::string_view Organisation) {
    std::optional<RateDecision> Decision;
    Work Due;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      const TimeMs Now = Hooks.Now.now();
      Decision = UsesLoans ? Loans.charge(Organisation, Now, std::nullopt)
                           : Node.charge(Organisation, Now, std::nullopt);
      Due = collect();
    }
    perform(std::move(Due));
    return *Decision;
  }

  void charge(std::string_view Organisation,
              const RateDecisionHook &OnDecision) {
    std::optional<RateDecision> Decision;
    Work Due;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      std::optional<std::uint64_t> Ticket;
      if (!Stopped)
        Ticket = ++LastTicket;
      const TimeMs Now = Hooks.Now.now();
      Decision = UsesLoans ? Loans.charge(Organisation, Now, Ticket)
                           : Node.charge(Organisation, Now, Ticket);
      if (!Decision)
        Waiting.emplace(*Ticket, OnDecision);
      Due = collect();
    }
    perform(std::move(Due));
    if (Decision)
      OnDecision(*Decision);
  }

  void giveBack(std::string_view Organisation, const RateDecision &Decision) {
    std::lock_guard<std::mutex> Lock(Mutex);
    // Requests that the token admits are decided at the next tick, since the
    // caller may hold a lock of its own.
    if (UsesLoans)
      Loans.giveBack(Organisation, Decision, Hooks.Now.now());
  }

  void setSnapshot(const Snapshot &Source) {
    if (declaresNoSlots(Source)) {
      std::lock_guard<std::mutex> Lock(Mutex);
      UsesLoans = true;
      Loans.setRates(Source, Hooks.Now.now());
      return;
    }
    const TokenPlan Plan(Source, Settings);
    Work Due;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      UsesLoans = false;
      Node.apply(Plan, Hooks.Now.now());
      Due = collect();
    }
    perform(std::move(Due));
  }

  void setBound(RateBound Bound) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Loans.setBound(Bound, Hooks.Now.now());
  }

  void setInstances(std::span<const Instance> Instances) {
    bool Conflict = false;
    bool Changed = false;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Loans.setInstances(Instances, Hooks.Now.now());
      if (UsesLoans)
        return;
      Addresses.clear();
      for (const Instance &I : Instances) {
        if (I.Name == Identity.Name)
          continue;
        Addresses[{I.Domain, I.Slot}] = I.PeerAddress;
        Conflict |= I.Domain == Identity.Domain && I.Slot == Identity.Slot;
      }
      Changed = std::exchange(InConflict, Conflict) != Conflict;
      // Neither instance can know which of the two the platform assigned to the
      // slot, so both disable their shares.
      Node.setMetering(!Conflict, Hooks.Now.now());
    }
    if (Changed)
      report(Conflict ? EventId::SlotConflict : EventId::SlotConflictEnded);
  }

  void handlePeer(const PeerIdentity &From, std::string_view Body,
                  const ReplyHook &Reply) {
    const auto TokenRequests = decodeTokenRequests(Body);
    if (!TokenRequests) {
      reportMalformed(From);
      Reply(encodeGrants({}));
      return;
    }
    std::vector<TokenGrant> Grants;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      const TimeMs Now = Hooks.Now.now();
      Grants = UsesLoans ? Loans.answer(*TokenRequests, Now)
                         : Node.answer({From.Name, From.Incarnation},
                                       *TokenRequests, Now);
    }
    const std::string Answer = encodeGrants(Grants);
    count(Answer);
    Reply(Answer);
  }

  std::optional<DivisionRun> currentRun() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Node.currentRun();
  }

  LimiterStatus status() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    const TimeMs Now = Hooks.Now.now();
    if (UsesLoans)
      return loanStatus(Now);
    LimiterStatus Result;
    for (const auto &[Name, F] : Node.statistics(Now)) {
      OrganisationStatus S = statusOf(Name, F, Now);
      S.Demand = F.Demand;
      S.TokensHeld = F.Level;
      Result.Organisations.push_back(std::move(S));
    }
    Result.Metering = Node.isMetering();
    Result.MessagesSent = MessagesSent;
    Result.BytesSent = BytesSent;
    return Result;
  }

private:
  /// Calls to make after the lock is released.
  struct Work {
    std::vector<PeerRequest> Requests;
    std::vector<std::vector<TokenRequest>>
        TokenRequests;          ///< For each of `Requests`.
    std::vector<SlotId> Meters; ///< For each of `Requests`.
    std::vector<std::pair<RateDecisionHook, RateDecision>> Decisions;
    std::vector<LoanRequest> LoanRequests;
    bool PauseDetected = false;
  };

  /// Called with the lock held.
  LimiterStatus loanStatus(TimeMs Now) const {
    LimiterStatus Result;
    Result.Metering = true;
    for (const auto &[Name, F] : Loans.share().statistics()) {
      OrganisationStatus S = statusOf(Name, F, Now);
      S.TokensHeld = F.Tokens;
      Result.Organisations.push_back(std::move(S));
    }
    return Result;
  }

  void tick() {
    if (tickLoans())
      return;
    std::optional<DivisionRun> Run = currentRun();
    const TimeMs AgreementCheckedAt = Hooks.Now.now();
    const bool Agreed =
        Run && (!Hooks.AgreedEverywhere || Hooks.AgreedEverywhere(*Run));
    Work Due;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      const TimeMs Now = Hooks.Now.now();
      // Ignore the agreement if another run has become active meanwhile, or if
      // the process was paused, since it is outdated then.
      const auto Current = Node.currentRun();
      const bool InTime = Now - AgreementCheckedAt <= Settings.PauseLimit;
      if (Agreed && InTime && Current && Current->Division == Run->Division &&
          Current->Since == Run->Since)
        Node.onAgreement(Now);
      Node.tick(Now);
      Due = collect();
    }
    perform(std::move(Due));
  }

  /// Ticks \ref TokenLoans if it is in use, and returns whether it is.
  bool tickLoans() {
    Work Due;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (!UsesLoans)
        return false;
      Loans.tick(Hooks.Now.now());
      Due = collect();
    }
    perform(std::move(Due));
    return true;
  }

  /// Called with the lock held.
  Work collect() {
    Work Due;
    Due.LoanRequests = Loans.takeRequests();
    for (const LoanDecision &D : Loans.takeDecided())
      decide(Due, D.Ticket, D.Decision);
    Due.PauseDetected = Node.takePauseDetected();
    for (TokenRequestMessage &Message : Node.takeRequests())
      addRequest(Due, Message.Meter, std::move(Message.TokenRequests));
    for (const ChargeDecision &D : Node.takeDecided())
      decide(Due, D.Ticket, D.Decision);
    return Due;
  }

  void decide(Work &Due, std::uint64_t Ticket, const RateDecision &Decision) {
    auto Found = Waiting.extract(Ticket);
    if (Found)
      Due.Decisions.emplace_back(std::move(Found.mapped()), Decision);
  }

  void sendLoanRequest(LoanRequest Loan) {
    PeerRequest Request;
    Request.Address = Loan.Address;
    Request.Kind = PeerKind::Tokens;
    Request.Body = encodeTokenRequests({&Loan.Request, 1});
    Request.Timeout = LoanRequestTimeout;
    count(Request.Body);
    Hooks.Send(std::move(Request),
               [this, Loan = std::move(Loan)](const PeerReply &Reply) {
                 onLoanReply(Loan, Reply);
               });
  }

  void onLoanReply(const LoanRequest &Loan, const PeerReply &Reply) {
    const auto Grants = Reply.Body ? decodeGrants(*Reply.Body) : std::nullopt;
    if (Reply.Body && !Grants)
      reportMalformed(Reply.Sender);
    Work Due;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      const TimeMs Now = Hooks.Now.now();
      if (Grants && !Grants->empty())
        Loans.onGrant(Loan, Grants->front(), Now);
      else
        Loans.onRequestFailed(Loan, Now);
      Due = collect();
    }
    perform(std::move(Due));
  }

  void addRequest(Work &Due, const SlotId &Meter,
                  std::vector<TokenRequest> TokenRequests) {
    PeerRequest Request;
    const auto It = Addresses.find(Meter);
    if (It != Addresses.end())
      Request.Address = It->second;
    Request.Kind = PeerKind::Tokens;
    Request.Body = encodeTokenRequests(TokenRequests);
    Request.Timeout = Settings.RequestTimeout;
    Due.Requests.push_back(std::move(Request));
    Due.TokenRequests.push_back(std::move(TokenRequests));
    Due.Meters.push_back(Meter);
  }

  void perform(Work Due) {
    if (Due.PauseDetected)
      report(EventId::TokensDiscarded);
    for (auto &[OnDecision, Decision] : Due.Decisions)
      OnDecision(Decision);
    for (LoanRequest &Loan : Due.LoanRequests)
      sendLoanRequest(std::move(Loan));
    for (std::size_t I = 0; I < Due.Requests.size(); ++I)
      send(std::move(Due.Requests[I]), Due.Meters[I],
           std::move(Due.TokenRequests[I]));
  }

  void send(PeerRequest Request, const SlotId &Meter,
            std::vector<TokenRequest> TokenRequests) {
    if (Request.Address.empty()) {
      onReply(Meter, TokenRequests, PeerReply());
      return;
    }
    count(Request.Body);
    Hooks.Send(
        std::move(Request),
        [this, Meter, TokenRequests = std::move(TokenRequests)](
            const PeerReply &Reply) { onReply(Meter, TokenRequests, Reply); });
  }

  void onReply(const SlotId &Meter,
               const std::vector<TokenRequest> &TokenRequests,
               const PeerReply &Reply) {
    std::optional<std::vector<TokenGrant>> Grants;
    if (Reply.Body)
      Grants = decodeGrants(*Reply.Body);
    if (Reply.Body && !Grants)
      reportMalformed(Reply.Sender);
    Work Due;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      const TimeMs Now = Hooks.Now.now();
      if (Grants)
        for (const TokenGrant &G : *Grants)
          Node.onGrant(Meter, G, Now);
      // Has no effect on requests answered above, which are no longer pending.
      for (const TokenRequest &Request : TokenRequests)
        Node.onRequestFailed(Meter, Request, Now);
      Due = collect();
    }
    perform(std::move(Due));
  }

  void count(const std::string &Body) {
    std::lock_guard<std::mutex> Lock(Mutex);
    ++MessagesSent;
    BytesSent += Body.size();
  }

  void report(EventId Id) const {
    if (Hooks.OnEvent)
      Hooks.OnEvent({Id, {{"node", Identity.Name}}});
  }

  void reportMalformed(const PeerIdentity &From) const {
    if (Hooks.OnEvent)
      Hooks.OnEvent({EventId::TokenMessageRefused, {{"node", From.Name}}});
  }

  const LimiterIdentity Identity;
  const TokenSettings Settings;
  const LimiterHooks Hooks;
  mutable std::mutex Mutex;
  mutable TokenNode Node; ///< Reading statistics refills buckets.
  TokenLoans Loans;
  bool UsesLoans = false; ///< The configuration declares no node slots.
  std::map<SlotId, std::string> Addresses;
  std::map<std::uint64_t, RateDecisionHook> Waiting;
  std::uint64_t LastTicket = 0;
  bool InConflict = false;
  bool Stopped = false;
  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesSent = 0;
  TaskThread Ticker{"organisations", DutyCapacity};
};

OrganisationLimiter::OrganisationLimiter(LimiterIdentity Identity,
                                         TokenSettings Settings,
                                         LimiterHooks Hooks)
    : State(std::make_unique<Impl>(std::move(Identity), Settings,
                                   std::move(Hooks))) {}

OrganisationLimiter::~OrganisationLimiter() { State->stop(); }

void OrganisationLimiter::start() { State->start(); }

void OrganisationLimiter::stop() { State->stop(); }

RateDecision OrganisationLimiter::charge(std::string_view Organisation) {
  return State->charge(Organisation);
}

void OrganisationLimiter::charge(std::string_view Organisation,
                                 const RateDecisionHook &OnDecision) {
  State->charge(Organisation, OnDecision);
}

void OrganisationLimiter::giveBack(std::string_view Organisation,
                                   const RateDecision &Decision) {
  State->giveBack(Organisation, Decision);
}

void OrganisationLimiter::setSnapshot(const SnapshotPtr &Snapshot) {
  if (Snapshot)
    State->setSnapshot(*Snapshot);
}

void OrganisationLimiter::setBound(RateBound Bound) { State->setBound(Bound); }

void OrganisationLimiter::setInstances(std::span<const Instance> Instances) {
  State->setInstances(Instances);
}

void OrganisationLimiter::handlePeer(const PeerIdentity &From,
                                     std::string_view Body,
                                     const ReplyHook &Reply) {
  State->handlePeer(From, Body, Reply);
}

std::optional<DivisionRun> OrganisationLimiter::currentRun() const {
  return State->currentRun();
}

LimiterStatus OrganisationLimiter::status() const { return State->status(); }

} // namespace fescuewood
