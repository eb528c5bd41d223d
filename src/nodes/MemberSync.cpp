#include "nodes/MemberSync.h"

#include "core/Digest.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

constexpr DurationMs EagerPeriod{500};
constexpr std::size_t EagerPeers = 3;
constexpr DurationMs RefreshPeriod{500};

/// Nodes that tell a member that its target is listed as leaving.
constexpr std::size_t Informants = 4;

/// One in this many exchanges goes to a dead member or a seed.
constexpr std::uint64_t ExchangesPerRejoin = 10;

/// Number of recent exchanges considered, and of failures among them at which
/// this node regards itself as cut off.
constexpr std::size_t OutcomeWindow = 8;
constexpr std::size_t IsolationThreshold = 6;

/// One in this many differences is repaired while rumours are still being sent,
/// since these resolve most differences.
constexpr std::uint64_t DifferencesPerRepair = 4;

/// Minimum time between two repairs of this node. It bounds the cost of many
/// members changing at once, when all tables differ for a while.
constexpr DurationMs RepairPeriod{2000};
constexpr DurationMs EagerRepairPeriod{1000};

/// A table is far smaller if it has less than 1/FarSmallerFactor of the peer's
/// members.
constexpr std::size_t FarSmallerFactor = 2;

} // namespace

MemberSync::MemberSync(const ControlSettings &Settings,
                       std::uint64_t Incarnation, const ControlHooks &Hooks,
                       MemberSyncHooks Callbacks, Clock Time, RandomHook Random,
                       ControlCounts &Counts)
    : Settings(Settings), Hooks(Hooks), Callbacks(std::move(Callbacks)),
      Time(std::move(Time)), Random(std::move(Random)), Counts(Counts),
      Members(Settings.Members, Settings.Self, Incarnation, this->Time.now()),
      View(Settings.Peers, this->Random), NextExchange(this->Time.now()),
      NextEager(NextExchange), NextRefresh(NextExchange),
      NextRepair(NextExchange),
      PushBudget(static_cast<double>(Settings.MaxPushesPerSecond),
                 static_cast<double>(Settings.MaxPushesPerSecond),
                 NextExchange),
      RumourBudget(Settings.RumoursPerSecond, Settings.RumourBurst,
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
  if (Members.takeUrgentChange())
    push(Settings.PushFanout);
  tellLeavingMembers();
  if (Eager && Now >= NextEager) {
    NextEager = Now + EagerPeriod;
    exchangeEagerly();
  }
  if (Now < NextExchange)
    return;
  // Jitter of up to half a period in either direction desynchronises nodes that
  // started together.
  const std::int64_t Period = Settings.ExchangePeriod.Value;
  const auto Jitter =
      static_cast<std::int64_t>(Random() % static_cast<std::uint64_t>(Period));
  NextExchange = Now + DurationMs(Period / 2 + Jitter);
  exchangeWithNextPeer();
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
  const auto PeerRegion = Regions.find(Place.Domain);
  const auto LocalRegion = Regions.find(Settings.Self.Domain);
  if (PeerRegion != Regions.end() && LocalRegion != Regions.end() &&
      PeerRegion->second != LocalRegion->second)
    return PeerDistance::OtherRegion;
  return PeerDistance::OwnRegion;
}

void MemberSync::exchangeWithNextPeer() {
  const std::string Name = View.randomPeer();
  const bool Rejoin = Name.empty() || Random() % ExchangesPerRejoin == 0;
  const std::string Address = Rejoin ? pickRejoinAddress() : std::string();
  if (!Address.empty()) {
    exchange({}, Address, PeerRoute::Reuse);
    return;
  }
  if (const Member *Entry = Members.find(Name))
    exchange(Name, Entry->Record.Place.PeerAddress, PeerRoute::Reuse);
}

/// Address of a random dead member, or of a seed while few peers are known;
/// empty if there is none.
std::string MemberSync::pickRejoinAddress() {
  std::vector<std::string> Addresses;
  for (const auto &[Name, Entry] : Members.members())
    if (Entry.Record.Order.Health == MemberHealth::Dead)
      Addresses.push_back(Entry.Record.Place.PeerAddress);
  // Seeds are needed only while few members are known or many are dead.
  if (Addresses.empty() && View.names().size() < EagerPeers)
    Addresses = Settings.Seeds;
  std::erase(Addresses, Settings.Self.PeerAddress);
  return Addresses.empty() ? std::string()
                           : Addresses[Random() % Addresses.size()];
}

void MemberSync::exchangeEagerly() {
  const std::vector<std::string> Peers = View.sample(EagerPeers);
  for (const std::string &Name : Peers)
    if (const Member *Entry = Members.find(Name))
      exchange(Name, Entry->Record.Place.PeerAddress, PeerRoute::Reuse);
  for (std::size_t I = Peers.size(); I < EagerPeers; ++I) {
    const std::string Address = pickRejoinAddress();
    if (!Address.empty())
      exchange({}, Address, PeerRoute::Reuse);
  }
}

void MemberSync::push(std::size_t Fanout) {
  for (const std::string &Name : View.sample(Fanout)) {
    const Member *Entry = Members.find(Name);
    if (Entry == nullptr || !takePushToken())
      continue;
    ++Counts.Pushes;
    exchange(Name, Entry->Record.Place.PeerAddress, PeerRoute::Reuse);
  }
}

/// Tells members that are newly listed as leaving, whose own reading may be
/// behind. They are the last that can refuse a request to their targets.
void MemberSync::tellLeavingMembers() {
  for (std::string &Name : Members.takeNewlyLeaving())
    if (isInformant(Name))
      LeavingToTell.push_back(std::move(Name));
  while (!LeavingToTell.empty() && takePushToken()) {
    const std::string Name = std::move(LeavingToTell.front());
    LeavingToTell.pop_front();
    const Member *Entry = Members.find(Name);
    if (Entry == nullptr)
      continue;
    ++Counts.Pushes;
    exchange(Name, Entry->Record.Place.PeerAddress, PeerRoute::Reuse);
  }
}

/// Whether this node is among the few that tell \p Leaving about its listing;
/// chosen by rendezvous hashing.
bool MemberSync::isInformant(std::string_view Leaving) const {
  if (Leaving == Settings.Self.Name)
    return false;
  const auto Rank = [Leaving](std::string_view Name) {
    return stableHash(std::string(Leaving) + "/" + std::string(Name));
  };
  const std::uint64_t Own = Rank(Settings.Self.Name);
  std::size_t Before = 0;
  for (const auto &[Name, Entry] : Members.members())
    if (Name != Leaving && Entry.Record.Order.Health == MemberHealth::Alive &&
        Rank(Name) < Own)
      ++Before;
  return Before < Informants;
}

/// Takes one token of the push rate limit; returns whether one was available.
bool MemberSync::takePushToken() { return PushBudget.take(Time.now()); }

/// Records for the next message. Urgent ones are exempt from the rate limit.
std::vector<MemberRecord> MemberSync::takeRumours() {
  const TimeMs Now = Time.now();
  const std::size_t Urgent = Members.urgentRumourCount();
  std::size_t Count = std::min(Urgent, Settings.MaxRumours);
  while (Count < Settings.MaxRumours && Count < Members.pendingRumours() &&
         RumourBudget.take(Now))
    ++Count;
  return Members.takeRumours(Count);
}

ExchangeMessage MemberSync::describe(std::string_view Receiver) {
  ExchangeMessage Message;
  Message.MemberCount = static_cast<std::uint32_t>(Members.members().size());
  Message.Rumours = takeRumours();
  Message.TableDigest = Members.digest();
  addReceiverRecord(Receiver, Message);
  Callbacks.FillState(Message);
  return Message;
}

/// Adds the receiver's own record if it is not alive here, so that the receiver
/// can refute it, or if its target is listed as leaving.
void MemberSync::addReceiverRecord(std::string_view Receiver,
                                   ExchangeMessage &Message) const {
  const Member *Entry = Members.find(Receiver);
  if (Entry == nullptr || (Entry->Record.Order.Health == MemberHealth::Alive &&
                           !Entry->Record.Listing.Leaving))
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
             [this, Pending = Exchange{Name, Address, Route, Time.now(),
                                       Message.Rumours}](
                 const PeerReply &Reply) { onReply(Pending, Reply); });
}

void MemberSync::onReply(const Exchange &Pending, const PeerReply &Reply) {
  const auto PeerMessage =
      Reply.Body ? unpackExchange(*Reply.Body) : std::nullopt;
  if (PeerMessage) {
    onAnswer(Pending, Reply, *PeerMessage);
    return;
  }
  onExchangeFailure(Pending.Name, Pending.Address, Pending.Route);
}

void MemberSync::onExchangeFailure(const std::string &Name,
                                   const std::string &Address,
                                   PeerRoute Route) {
  ++Counts.ExchangeFailures;
  if (Name.empty())
    return;
  RecentOutcomes.push_back(false);
  if (RecentOutcomes.size() > OutcomeWindow)
    RecentOutcomes.pop_front();
  if (Route == PeerRoute::Reuse) {
    exchange(Name, Address, PeerRoute::Fresh);
    return;
  }
  // If most exchanges fail, this node itself is probably cut off.
  if (isIsolated() || !Members.onUnreachable(Name, Time.now()))
    return;
  ++Counts.Suspicions;
  if (Hooks.OnEvent)
    Hooks.OnEvent({EventId::MemberSuspected, {{"node", Name}}});
}

bool MemberSync::isIsolated() const {
  const auto Failures =
      std::count(RecentOutcomes.begin(), RecentOutcomes.end(), false);
  return static_cast<std::size_t>(Failures) >= IsolationThreshold;
}

void MemberSync::onAnswer(const Exchange &Pending, const PeerReply &Reply,
                          const ExchangeMessage &PeerMessage) {
  RecentOutcomes.push_back(true);
  if (RecentOutcomes.size() > OutcomeWindow)
    RecentOutcomes.pop_front();
  Members.onRumoursKnown(Pending.SentRumours, PeerMessage.KnownRumours);
  if (PeerMessage.SenderUnknown)
    Members.announceSelf();
  mergeRumours(PeerMessage.Rumours);
  Members.onContact(Reply.Sender.Name, Time.now());
  Callbacks.OnPeerState(Reply.Sender.Name, Pending.Address, PeerMessage);
  // The delay of the reply is unknown, so the age is subtracted from the send
  // time of the request, the earliest time at which the peer can have answered.
  if (Callbacks.OnPeerProof && PeerMessage.InForce && PeerMessage.ProofAge)
    Callbacks.OnPeerProof(*PeerMessage.InForce,
                          Pending.SentAt - *PeerMessage.ProofAge);
  if (shouldRepair(PeerMessage))
    repair(Pending.Address, PeerMessage);
}

/// Merges records; returns a bitmap of those that were already known.
std::uint32_t
MemberSync::mergeRumours(const std::vector<MemberRecord> &Rumours) {
  std::uint32_t Known = 0;
  for (std::size_t I = 0; I < Rumours.size(); ++I)
    if (!Members.merge(Rumours[I], Propagation::Forward, Time.now()) && I < 32)
      Known |= 1U << I;
  return Known;
}

std::string MemberSync::serve(const PeerIdentity &From, std::string_view Body) {
  const auto Request = unpackExchangeRequest(Body);
  if (!Request)
    return {};
  if (Request->Repair)
    return serveRepair(*Request->Repair);
  const ExchangeMessage &PeerMessage = *Request->Exchange;
  const std::uint32_t Known = mergeRumours(PeerMessage.Rumours);
  Members.onContact(From.Name, Time.now());
  const Member *Entry = Members.find(From.Name);
  const std::string Address =
      Entry == nullptr ? std::string() : Entry->Record.Place.PeerAddress;
  ExchangeMessage Reply = describe(From.Name);
  Reply.KnownRumours = Known;
  Reply.SenderUnknown =
      Entry == nullptr || Entry->Record.Order.Incarnation < From.Incarnation;
  Callbacks.FillSlotBits(PeerMessage, Reply);
  std::string Packed = packExchange(Reply);
  Callbacks.OnPeerState(From.Name, Address, PeerMessage);
  return Packed;
}

bool MemberSync::hasFarFewerMembers(const ExchangeMessage &PeerMessage) const {
  return Members.members().size() * FarSmallerFactor < PeerMessage.MemberCount;
}

/// Whether to compare tables now: while rumours travel they mostly settle a
/// difference by themselves.
bool MemberSync::shouldRepair(const ExchangeMessage &PeerMessage) {
  if (PeerMessage.TableDigest == Members.digest() || Time.now() < NextRepair)
    return false;
  return hasFarFewerMembers(PeerMessage) || PeerMessage.Rumours.empty() ||
         Random() % DifferencesPerRepair == 0;
}

void MemberSync::repair(const std::string &Address,
                        const ExchangeMessage &PeerMessage) {
  ++Counts.Repairs;
  NextRepair = Time.now() + (hasFarFewerMembers(PeerMessage) ? EagerRepairPeriod
                                                             : RepairPeriod);
  PeerRequest Message;
  Message.Address = Address;
  Message.Kind = PeerKind::Exchange;
  Message.Body =
      packRepair({Members.bucketDigests(), hasFarFewerMembers(PeerMessage)});
  Message.Timeout = Settings.ExchangeTimeout;
  Hooks.Send(std::move(Message), [this](const PeerReply &Reply) {
    const auto Repaired =
        Reply.Body ? unpackRepairReply(*Reply.Body) : std::nullopt;
    if (!Repaired)
      return;
    for (const MemberRecord &Record : Repaired->Members)
      Members.merge(Record, Propagation::LocalOnly, Time.now());
  });
}

/// Replies with the records in buckets that differ: all of them if requested,
/// else a random subset.
std::string MemberSync::serveRepair(const RepairRequest &Request) {
  std::vector<const MemberRecord *> Differing =
      Members.differingRecords(Request.Buckets);
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
