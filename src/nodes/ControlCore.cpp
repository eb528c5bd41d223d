#include "nodes/ControlCore.h"

#include "policy/ReaderChoice.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

/// Peers asked at once after a pause.
constexpr std::size_t CatchUpFanout = 4;

/// Time after start during which new members cause no events.
constexpr DurationMs DiscoveryPeriod{60 * 1000};

/// A node without contact for this time reports no slot as vacant, since it may
/// be cut off.
constexpr DurationMs VacancyContactLimit{5 * 1000};

/// Skips the wait for peers where it proves nothing: at the start of a node
/// that has no seeds other than itself, and always at a node that may read the
/// source itself, since the answers of such a source are never old.
ControlSettings skipNeedlessWaits(ControlSettings Settings) {
  const auto Own = std::count(Settings.Seeds.begin(), Settings.Seeds.end(),
                              Settings.Self.PeerAddress);
  if (Settings.Seeds.size() == static_cast<std::size_t>(Own))
    Settings.Versions.StartAnswers = 0;
  if (Settings.EachNodeMayRead) {
    Settings.Versions.StartAnswers = 0;
    Settings.Versions.CatchUpAnswers = 0;
  }
  return Settings;
}

} // namespace

std::string_view controlPhaseName(ControlPhase Phase) {
  switch (Phase) {
  case ControlPhase::Starting:
    return "starting";
  case ControlPhase::CatchingUp:
    return "catching-up";
  case ControlPhase::Current:
    return "current";
  }
  return "unknown";
}

ControlCore::ControlCore(ControlSettings Settings, std::uint64_t Incarnation,
                         ControlHooks Hooks, Clock Time, RandomHook Random)
    : Settings(skipNeedlessWaits(std::move(Settings))), Hooks(std::move(Hooks)),
      Time(std::move(Time)),
      Versions(this->Settings, this->Hooks, this->Time, Counts,
               [this](const SnapshotPtr &InForce) { onApplied(InForce); }),
      Members(this->Settings, Incarnation, this->Hooks, memberSyncHooks(),
              this->Time, std::move(Random), Counts),
      JoinEventsFrom(this->Time.now() + DiscoveryPeriod),
      RunningSince(this->Time.now()) {}

MemberSyncHooks ControlCore::memberSyncHooks() {
  MemberSyncHooks Result;
  Result.FillState = [this](ExchangeMessage &Message) {
    Message.InForce = Versions.keeper().inForce();
    Message.Starting = Versions.phase() == ControlPhase::Starting;
    Message.SpreadDigest = Spread.digest();
    Message.ProofAge = proofAge();
  };
  Result.FillSlotBits = [this](const ExchangeMessage &PeerMessage,
                               ExchangeMessage &Reply) {
    if (PeerMessage.InForce == Reply.InForce &&
        PeerMessage.SpreadDigest != Reply.SpreadDigest)
      Reply.SlotBits = Spread.bits();
  };
  Result.OnPeerState = [this](const std::string &Peer,
                              const std::string &Address,
                              const ExchangeMessage &PeerMessage) {
    onPeerState(Peer, Address, PeerMessage);
  };
  Result.OnPeerProof = [this](const Version &PeerVersion, TimeMs At) {
    prove(At, PeerVersion.Revision, PeerVersion.Number);
  };
  return Result;
}

void ControlCore::tick() {
  if (Versions.tick()) {
    ++Counts.Pauses;
    // Other nodes may have reported this slot as vacant during the pause.
    Spread.reset();
    Spread.markApplied(Settings.Self.Domain, Settings.Self.Slot);
    RunningSince = Time.now();
    if (Hooks.OnEvent)
      Hooks.OnEvent({EventId::PauseNoticed, {}});
    Members.push(CatchUpFanout);
  }
  updatePhase();
  Members.tick(LastPhase != ControlPhase::Current);
  publishOwnListing();
  publishMembers();
}

void ControlCore::updatePhase() {
  const ControlPhase Phase = Versions.phase();
  if (Phase == LastPhase)
    return;
  const ControlPhase Before = std::exchange(LastPhase, Phase);
  if (Hooks.OnEvent && Phase == ControlPhase::Current)
    Hooks.OnEvent({Before == ControlPhase::Starting ? EventId::ControlStarted
                                                    : EventId::ViewCurrent,
                   {}});
  if (Hooks.OnViewCurrent)
    Hooks.OnViewCurrent(Phase != ControlPhase::CatchingUp);
}

void ControlCore::onApplied(const SnapshotPtr &InForce) {
  Spread.setVersion(*InForce);
  Spread.markApplied(Settings.Self.Domain, Settings.Self.Slot);
  std::map<std::string, std::string, std::less<>> Regions;
  for (const auto &[Name, Domain] : InForce->Domains)
    Regions[Name] = Domain.Region;
  Members.setRegions(std::move(Regions));
  if (!Settings.EachNodeMayRead)
    Members.push(Settings.PushFanout);
}

void ControlCore::onPeerState(const std::string &Peer,
                              const std::string &Address,
                              const ExchangeMessage &PeerMessage) {
  if (PeerMessage.InForce &&
      PeerMessage.InForce == Versions.keeper().inForce()) {
    if (!PeerMessage.SlotBits.empty())
      Spread.merge(PeerMessage.SlotBits);
    if (const Member *Entry = Members.members().find(Peer))
      Spread.markApplied(Entry->Record.Place.Domain, Entry->Record.Place.Slot);
  }
  if (PeerMessage.InForce)
    dropProofOfCopy(*PeerMessage.InForce);
  Versions.onPeerAnswer(Peer, Address, PeerMessage.InForce,
                        PeerMessage.Starting);
}

/// A configuration that is newer but has no later revision than the one in
/// force was lost by the source, so what the source has proved since counts for
/// nothing.
void ControlCore::dropProofOfCopy(const Version &OfPeer) {
  const auto &InForce = Versions.keeper().inForce();
  if (InForce && OfPeer.Number > InForce->Number &&
      OfPeer.Revision <= InForce->Revision)
    ProvenAt = TimeMs(0);
}

void ControlCore::publishMembers() {
  InstancesPending =
      Members.members().takeInstancesChanged() || InstancesPending;
  const TimeMs Now = Time.now();
  if (Now < NextInstancesAt)
    return;
  NextInstancesAt = Now + Settings.InstancesPeriod;
  updateReaderRole();
  markVacantSlots();
  if (!std::exchange(InstancesPending, false))
    return;
  reportHealthChanges();
  if (Hooks.OnInstances)
    Hooks.OnInstances(Members.members().instances());
}

void ControlCore::publishOwnListing() {
  const MemberListing &Newest = Members.members().self().Listing;
  if (Newest == LastOwnListing)
    return;
  LastOwnListing = Newest;
  if (Hooks.OnOwnListing)
    Hooks.OnOwnListing(Newest);
}

/// Reports empty slots of the local domain as vacant. A partition separates
/// whole failure domains, so every running process of this domain has contact
/// with this node. docs/DESIGN.md explains why this is sufficient.
void ControlCore::markVacantSlots() {
  const TimeMs Now = Time.now();
  const Membership &Table = Members.members();
  const std::string &Domain = Settings.Self.Domain;
  const auto Undecided = Spread.undecidedSlots(Domain);
  if (Undecided.empty() || Now - RunningSince < Settings.Members.VacancyTime ||
      !Table.hasContactWithin(VacancyContactLimit, Now))
    return;
  const auto InUse = Table.slotsInUse(Domain, Now);
  for (std::uint32_t Slot : Undecided)
    if (!InUse.contains(Slot))
      Spread.markVacant(Domain, Slot);
}

void ControlCore::reportHealthChanges() {
  const Membership &Table = Members.members();
  if (Table.isReplaced() && !std::exchange(ReportedReplaced, true) &&
      Hooks.OnEvent)
    Hooks.OnEvent({EventId::MemberNameTaken, {{"node", Settings.Self.Name}}});
  std::map<std::string, MemberHealth, std::less<>> Present;
  for (const auto &[Name, Entry] : Table.members())
    Present[Name] = Entry.Record.Order.Health;
  for (const auto &[Name, Health] : Present) {
    const auto Before = LastHealth.find(Name);
    // Members discovered during the start are not new to the fleet.
    if (Before == LastHealth.end() && Time.now() < JoinEventsFrom)
      continue;
    // A suspicion is transient; only its outcome is reported.
    if (Health == MemberHealth::Suspect ||
        (Before != LastHealth.end() &&
         (Before->second == Health || Before->second == MemberHealth::Suspect)))
      continue;
    if (Hooks.OnEvent)
      Hooks.OnEvent(
          {EventId::MemberChanged,
           {{"node", Name}, {"state", std::string(memberHealthName(Health))}}});
  }
  LastHealth = std::move(Present);
}

std::vector<std::string> ControlCore::readers() const {
  std::vector<std::string_view> Names;
  for (const auto &[Name, Entry] : Members.members().members()) {
    const MemberRecord &Record = Entry.Record;
    const bool Runs = Record.Order.Health == MemberHealth::Alive &&
                      Record.Order.Incarnation > 0 &&
                      effectiveState(Record) != TargetState::Draining;
    if (Runs && Record.Place.Domain == Settings.Self.Domain)
      Names.push_back(Name);
  }
  const std::size_t Count =
      Settings.EachNodeMayRead
          ? readerCount(Names.size(), Settings.ReadersPerDomain)
          : Settings.ReadersPerDomain;
  return chooseReaders(Settings.Self.Domain, Names, Count);
}

void ControlCore::updateReaderRole() {
  const std::uint64_t Digest = Members.members().digest();
  const bool CanRead = Versions.keeper().canReadSource(Time.now());
  if (Digest == ReaderDigest && CanRead == ReaderCouldRead)
    return;
  ReaderDigest = Digest;
  ReaderCouldRead = CanRead;
  const std::vector<std::string> Chosen = readers();
  Relays.clear();
  for (const std::string &Name : Chosen)
    if (Name != Settings.Self.Name)
      Relays.push_back(Members.members().find(Name)->Record.Place.PeerAddress);
  const bool Selected = CanRead && Relays.size() < Chosen.size();
  if (Selected == Reader)
    return;
  Reader = Selected;
  if (Hooks.OnEvent)
    Hooks.OnEvent(
        {EventId::ReaderChanged, {{"state", Reader ? "reader" : "no reader"}}});
}

std::string ControlCore::serve(PeerKind Kind, const PeerIdentity &From,
                               std::string_view Body) {
  return Kind == PeerKind::Fetch ? Versions.serve(Body)
                                 : Members.serve(From, Body);
}

void ControlCore::offerBundle(IntentBundle Bundle) {
  Versions.offer(std::move(Bundle));
}

void ControlCore::onProof(TimeMs At, std::uint64_t Revision,
                          std::uint64_t Number) {
  Versions.onSourceAnswer();
  prove(At, Revision, Number);
}

/// A proof of the older configuration that a restored store holds is none of
/// the one in force, whatever their revisions.
void ControlCore::prove(TimeMs At, std::uint64_t Revision,
                        std::uint64_t Number) {
  const auto &InForce = Versions.keeper().inForce();
  const auto &OfPeers = Versions.keeper().newestPeerVersion();
  const bool PeersKnowNewer =
      InForce && OfPeers && OfPeers->Number > InForce->Number;
  if (!InForce || InForce->Number != Number || PeersKnowNewer ||
      InForce->Revision < Revision || At <= ProvenAt)
    return;
  ProvenAt = At;
}

std::optional<DurationMs> ControlCore::proofAge() const {
  if (ProvenAt == TimeMs(0))
    return std::nullopt;
  return std::max(DurationMs(0), Time.now() - ProvenAt);
}

void ControlCore::offerInstances(const InstanceList &List) {
  std::vector<ListedMember> Rows;
  Rows.reserve(List.Instances.size());
  for (const ListedInstance &L : List.Instances) {
    ListedMember &Row = Rows.emplace_back();
    Row.Place = {L.Name, L.Domain,      L.Service,
                 L.Slot, L.PeerAddress, TargetState::Cold};
    Row.Leaving = L.State == ListedState::Leaving;
    if (L.AssumedUntil)
      Row.ReadAt = L.Revision;
  }
  Members.members().onListed(Rows, List.Revision, List.Complete, Time.now());
}

void ControlCore::setOwnState(TargetState State) {
  Members.members().setOwnState(State, Time.now());
}

void ControlCore::leave() {
  Members.members().leave(Time.now());
  Members.push(Settings.PushFanout);
}

ControlStatus ControlCore::status() const {
  ControlStatus Result;
  Result.Phase = Versions.phase();
  Result.InForce = Versions.keeper().inForce();
  Result.LastRefused = Versions.lastRefused();
  Result.Reader = Reader;
  Result.Readers = readers();
  Result.Counts = Counts;
  Result.Counts.Refutations = Members.members().refutations();
  for (const auto &[Name, Entry] : Members.members().members()) {
    MemberStatus Row;
    Row.Place = Entry.Record.Place;
    Row.Place.State = effectiveState(Entry.Record);
    Row.Health = Entry.Record.Order.Health;
    Row.Incarnation = Entry.Record.Order.Incarnation;
    Row.PlatformLeaving = Entry.Record.isListedAsLeaving();
    Row.AtLeast = Spread.slotVersion(Row.Place.Domain, Row.Place.Slot);
    if (Entry.LastContactAt)
      Row.SinceContact = Time.now() - *Entry.LastContactAt;
    Result.Members.push_back(std::move(Row));
  }
  return Result;
}

} // namespace fescuewood
