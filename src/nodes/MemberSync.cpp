#include "nodes/MemberSync.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

constexpr DurationMs EagerPeriod{500};
constexpr std::size_t EagerPeers = 3;
constexpr DurationMs RefreshPeriod{500};

/// One exchange in this many goes to a dead member or a seed.
constexpr std::uint64_t OutsiderShare = 10;

constexpr std::size_t RememberedOutcomes = 8;
constexpr std::size_t IsolatedFailures = 6;

/// One difference in this many is repaired while rumours still travel, which
/// would mostly settle it.
constexpr std::uint64_t RepairShare = 4;

/// Least time between two repairs of this node, so that a change of many
/// members at once, which makes all tables differ for a while, stays cheap.
constexpr DurationMs RepairPeriod{2000};
constexpr DurationMs EagerRepairPeriod{1000};

/// A table is far smaller when it is less than the other's part by this.
constexpr std::size_t FarSmallerFactor = 2;

} // namespace

MemberSync::MemberSync(const ControlSettings &Settings,
                       std::uint64_t Incarnation, const ControlHooks &Hooks,
                       MemberSyncHooks Own, Clock Time, RandomHook Random,
                       ControlCounts &Counts)
    : Settings(Settings), Hooks(Hooks), Own(std::move(Own)),
      Time(std::move(Time)), Random(std::move(Random)), Counts(Counts),
      Members(Settings.Members, Settings.Self, Incarnation, this->Time.now()),
      View(Settings.Peers, this->Random), NextExchange(this->Time.now()),
      NextEager(NextExchange), NextRefresh(NextExchange),
      NextRepair(NextExchange),
      Pushes(static_cast<double>(Settings.MaxPushesPerSecond),
             static_cast<double>(Settings.MaxPushesPerSecond), NextExchange),
      RumoursOut(Settings.RumoursPerSecond, Settings.RumourBurst,
                 NextExchange) {}

void MemberSync::setRegions(
    std::map<std::string, std::string, std::less<>> ByDomain) {
  if (Regions == ByDomain)
    return;
  Regions = std::move(ByDomain);
  refreshView();
}

void MemberSync::tick(bool Eager) {
  const TimeMs Now = Time.now();
  if (Now >= NextRefresh) {
    NextRefresh = Now + RefreshPeriod;
    Members.expire(Now);
    if (Members.digest() != ViewDigest || Now >= NextRotation)
      refreshView();
  }
  if (Members.takeUrgent())
    push(Settings.PushFanout);
  if (Eager && Now >= NextEager) {
    NextEager = Now + EagerPeriod;
    askEagerly();
  }
  if (Now < NextExchange)
    return;
  // Spread over half a period to either side, so that nodes which started
  // together do not stay in step.
  const std::int64_t Period = Settings.ExchangePeriod.Value;
  const auto Jitter =
      static_cast<std::int64_t>(Random() % static_cast<std::uint64_t>(Period));
  NextExchange = Now + DurationMs(Period / 2 + Jitter);
  exchangeInTurn();
}

void MemberSync::refreshView() {
  ViewDigest = Members.digest();
  NextRotation = Time.now() + Settings.Peers.RotationPeriod;
  std::vector<PeerCandidate> Candidates;
  for (const auto &[Name, Entry] : Members.members()) {
    if (Name == Settings.Self.Name ||
        Entry.Record.Order.Health >= MemberHealth::Dead)
      continue;
    Candidates.push_back({Name, distanceOf(Entry.Record.Place)});
  }
  View.refresh(Candidates, Time.now());
}

PeerDistance MemberSync::distanceOf(const Instance &Place) const {
  if (Place.Domain == Settings.Self.Domain)
    return PeerDistance::OwnDomain;
  const auto Theirs = Regions.find(Place.Domain);
  const auto Ours = Regions.find(Settings.Self.Domain);
  if (Theirs != Regions.end() && Ours != Regions.end() &&
      Theirs->second != Ours->second)
    return PeerDistance::OtherRegion;
  return PeerDistance::OwnRegion;
}

void MemberSync::exchangeInTurn() {
  const std::string Name = View.next();
  const bool Outsider = Name.empty() || Random() % OutsiderShare == 0;
  const std::string Other = Outsider ? pickOutsider() : std::string();
  if (!Other.empty()) {
    exchange({}, Other, PeerRoute::Reuse);
    return;
  }
  if (const Member *Entry = Members.find(Name))
    exchange(Name, Entry->Record.Place.PeerAddress, PeerRoute::Reuse);
}

/// The address of a dead member or a seed, or empty when there is none.
std::string MemberSync::pickOutsider() {
  std::vector<std::string> Addresses;
  for (const auto &[Name, Entry] : Members.members())
    if (Entry.Record.Order.Health == MemberHealth::Dead)
      Addresses.push_back(Entry.Record.Place.PeerAddress);
  // Seeds matter only while no others are known or many are dead.
  if (Addresses.empty() && View.names().size() < EagerPeers)
    Addresses = Settings.Seeds;
  std::erase(Addresses, Settings.Self.PeerAddress);
  return Addresses.empty() ? std::string()
                           : Addresses[Random() % Addresses.size()];
}

void MemberSync::askEagerly() {
  const std::vector<std::string> Peers = View.sample(EagerPeers);
  for (const std::string &Name : Peers)
    if (const Member *Entry = Members.find(Name))
      exchange(Name, Entry->Record.Place.PeerAddress, PeerRoute::Reuse);
  for (std::size_t I = Peers.size(); I < EagerPeers; ++I) {
    const std::string Address = pickOutsider();
    if (!Address.empty())
      exchange({}, Address, PeerRoute::Reuse);
  }
}

void MemberSync::push(std::size_t Fanout) {
  for (const std::string &Name : View.sample(Fanout)) {
    const Member *Entry = Members.find(Name);
    if (Entry == nullptr || !mayPush())
      continue;
    ++Counts.Pushes;
    exchange(Name, Entry->Record.Place.PeerAddress, PeerRoute::Reuse);
  }
}

/// Whether the allowance for exchanges out of turn permits one more.
bool MemberSync::mayPush() { return Pushes.take(Time.now()); }

/// The records to pass on now. Urgent ones do not wait for the allowance.
std::vector<MemberRecord> MemberSync::takeRumours() {
  const TimeMs Now = Time.now();
  const std::size_t Urgent = Members.urgentRumours();
  std::size_t Most = std::min(Urgent, Settings.MaxRumours);
  while (Most < Settings.MaxRumours && Most < Members.waitingRumours() &&
         RumoursOut.take(Now))
    ++Most;
  return Members.takeRumours(Most);
}

ExchangeMessage MemberSync::describe(std::string_view Receiver) {
  ExchangeMessage Message;
  Message.MemberCount = static_cast<std::uint32_t>(Members.members().size());
  Message.Rumours = takeRumours();
  Message.TableDigest = Members.digest();
  addBelief(Receiver, Message);
  Own.Describe(Message);
  return Message;
}

/// Tells a member what is wrongly thought of it, so that it can refute that.
void MemberSync::addBelief(std::string_view Receiver,
                           ExchangeMessage &Message) const {
  const Member *Entry = Members.find(Receiver);
  if (Entry == nullptr || Entry->Record.Order.Health == MemberHealth::Alive)
    return;
  Message.Rumours.push_back(Entry->Record);
}

void MemberSync::exchange(const std::string &Name, const std::string &Address,
                          PeerRoute Route) {
  ++Counts.Exchanges;
  std::string Receiver = Name;
  if (Receiver.empty())
    for (const auto &[Known, Entry] : Members.members())
      if (Entry.Record.Place.PeerAddress == Address)
        Receiver = Known;
  const ExchangeMessage Message = describe(Receiver);
  PeerRequest Request;
  Request.Address = Address;
  Request.Kind = PeerKind::Exchange;
  Request.Body = packExchange(Message);
  Request.Timeout = Settings.ExchangeTimeout;
  Request.Route = Route;
  Hooks.Send(std::move(Request),
             [this, Asked = Exchange{Name, Address, Route, Time.now(),
                                     Message.Rumours}](const PeerReply &Reply) {
               onReply(Asked, Reply);
             });
}

void MemberSync::onReply(const Exchange &Asked, const PeerReply &Reply) {
  const auto Theirs = Reply.Body ? unpackExchange(*Reply.Body) : std::nullopt;
  if (Theirs) {
    onAnswer(Asked, Reply, *Theirs);
    return;
  }
  onSilence(Asked.Name, Asked.Address, Asked.Route);
}

void MemberSync::onSilence(const std::string &Name, const std::string &Address,
                           PeerRoute Route) {
  ++Counts.ExchangeFailures;
  if (Name.empty())
    return;
  Outcomes.push_back(false);
  if (Outcomes.size() > RememberedOutcomes)
    Outcomes.pop_front();
  if (Route == PeerRoute::Reuse) {
    exchange(Name, Address, PeerRoute::Fresh);
    return;
  }
  // A node that hardly reaches anyone has itself to suspect.
  if (isolated() || !Members.onUnreachable(Name, Time.now()))
    return;
  ++Counts.Suspicions;
  if (Hooks.OnEvent)
    Hooks.OnEvent({EventId::MemberSuspected, {{"node", Name}}});
}

bool MemberSync::isolated() const {
  const auto Failures = std::count(Outcomes.begin(), Outcomes.end(), false);
  return static_cast<std::size_t>(Failures) >= IsolatedFailures;
}

void MemberSync::onAnswer(const Exchange &Asked, const PeerReply &Reply,
                          const ExchangeMessage &Theirs) {
  Outcomes.push_back(true);
  if (Outcomes.size() > RememberedOutcomes)
    Outcomes.pop_front();
  Members.onRumoursKnown(Asked.Sent, Theirs.KnownRumours);
  if (Theirs.SenderUnknown)
    Members.announce();
  mergeRumours(Theirs.Rumours);
  Members.onHeard(Reply.Sender.Name, Time.now());
  Own.OnDescribed(Reply.Sender.Name, Asked.Address, Theirs);
  // How long the reply was on its way is not known, so the proof counts from
  // the sending of the request, before which the peer cannot have answered.
  if (Own.OnPeerProof && Theirs.InForce && Theirs.ProofAge)
    Own.OnPeerProof(*Theirs.InForce, Asked.SentAt - *Theirs.ProofAge);
  if (wantsRepair(Theirs))
    repair(Asked.Address, Theirs);
}

/// Merges records; returns the bits of those that were known.
std::uint32_t
MemberSync::mergeRumours(const std::vector<MemberRecord> &Rumours) {
  std::uint32_t Known = 0;
  for (std::size_t I = 0; I < Rumours.size(); ++I)
    if (!Members.merge(Rumours[I], Spreading::PassOn, Time.now()) && I < 32)
      Known |= 1U << I;
  return Known;
}

std::string MemberSync::serve(const PeerIdentity &From, std::string_view Body) {
  const auto Request = unpackExchangeRequest(Body);
  if (!Request)
    return {};
  if (Request->Repair)
    return serveRepair(*Request->Repair);
  const ExchangeMessage &Theirs = *Request->Exchange;
  const std::uint32_t Known = mergeRumours(Theirs.Rumours);
  Members.onHeard(From.Name, Time.now());
  const Member *Entry = Members.find(From.Name);
  const std::string Address =
      Entry == nullptr ? std::string() : Entry->Record.Place.PeerAddress;
  ExchangeMessage Reply = describe(From.Name);
  Reply.KnownRumours = Known;
  Reply.SenderUnknown =
      Entry == nullptr || Entry->Record.Order.Incarnation < From.Incarnation;
  Own.DescribeDifference(Theirs, Reply);
  std::string Packed = packExchange(Reply);
  Own.OnDescribed(From.Name, Address, Theirs);
  return Packed;
}

bool MemberSync::farSmallerThan(const ExchangeMessage &Theirs) const {
  return Members.members().size() * FarSmallerFactor < Theirs.MemberCount;
}

/// Whether to compare tables now: while rumours travel they mostly settle a
/// difference by themselves.
bool MemberSync::wantsRepair(const ExchangeMessage &Theirs) {
  if (Theirs.TableDigest == Members.digest() || Time.now() < NextRepair)
    return false;
  return farSmallerThan(Theirs) || Theirs.Rumours.empty() ||
         Random() % RepairShare == 0;
}

void MemberSync::repair(const std::string &Address,
                        const ExchangeMessage &Theirs) {
  ++Counts.Repairs;
  NextRepair =
      Time.now() + (farSmallerThan(Theirs) ? EagerRepairPeriod : RepairPeriod);
  PeerRequest Message;
  Message.Address = Address;
  Message.Kind = PeerKind::Exchange;
  Message.Body = packRepair({Members.bucketDigests(), farSmallerThan(Theirs)});
  Message.Timeout = Settings.ExchangeTimeout;
  Hooks.Send(std::move(Message), [this](const PeerReply &Reply) {
    const auto Repaired =
        Reply.Body ? unpackRepairReply(*Reply.Body) : std::nullopt;
    if (!Repaired)
      return;
    for (const MemberRecord &Record : Repaired->Members)
      Members.merge(Record, Spreading::Keep, Time.now());
  });
}

/// Sends the records in buckets that differ: some at random, or all.
std::string MemberSync::serveRepair(const RepairRequest &Request) {
  std::vector<const MemberRecord *> Differing =
      Members.differing(Request.Buckets);
  while (!Request.AllBuckets && Differing.size() > Settings.MaxRepairRecords) {
    std::swap(Differing[Random() % Differing.size()], Differing.back());
    Differing.pop_back();
  }
  RepairReply Reply;
  Reply.Members.reserve(Differing.size());
  for (const MemberRecord *Record : Differing)
    Reply.Members.push_back(*Record);
  return packRepairReply(Reply);
}

} // namespace fescuewood
