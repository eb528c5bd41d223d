#include "nodes/ControlCore.h"

#include "policy/ReaderChoice.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

constexpr std::size_t CatchUpFanout = 4;

/// Time after a start in which the other members are found.
constexpr DurationMs FindingTime{60 * 1000};

/// A node that heard from nobody within this time vouches for nothing.
constexpr DurationMs HeardTime{5 * 1000};

/// A node that has no one to ask starts at once.
ControlSettings withoutVainWait(ControlSettings Settings) {
  const auto Own = std::count(Settings.Seeds.begin(), Settings.Seeds.end(),
                              Settings.Self.PeerAddress);
  if (Settings.Seeds.size() == static_cast<std::size_t>(Own) ||
      Settings.EveryNodeReads)
    Settings.Versions.StartAnswers = 0;
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
    : Settings(withoutVainWait(std::move(Settings))), Hooks(std::move(Hooks)),
      Time(std::move(Time)),
      Versions(this->Settings, this->Hooks, this->Time, Counts,
               [this](const SnapshotPtr &InForce) { onApplied(InForce); }),
      Members(this->Settings, Incarnation, this->Hooks, memberHooks(),
              this->Time, std::move(Random), Counts),
      JoinsAreNews(this->Time.now() + FindingTime),
      RunsSince(this->Time.now()) {}

MemberSyncHooks ControlCore::memberHooks() {
  MemberSyncHooks Result;
  Result.Describe = [this](ExchangeMessage &Message) {
    Message.InForce = Versions.keeper().inForce();
    Message.Starting = Versions.phase() == ControlPhase::Starting;
    Message.SpreadDigest = Spread.digest();
    Message.ProofAge = proofAge();
  };
  Result.DescribeDifference = [this](const ExchangeMessage &Theirs,
                                     ExchangeMessage &Reply) {
    if (Theirs.InForce == Reply.InForce &&
        Theirs.SpreadDigest != Reply.SpreadDigest)
      Reply.SlotBits = Spread.bits();
  };
  Result.OnDescribed = [this](const std::string &Peer,
                              const std::string &Address,
                              const ExchangeMessage &Theirs) {
    onDescribed(Peer, Address, Theirs);
  };
  Result.OnPeerProof = [this](const Version &Theirs, TimeMs At) {
    prove(At, Theirs.Revision);
  };
  return Result;
}

void ControlCore::tick() {
  if (Versions.tick()) {
    ++Counts.Pauses;
    // Meanwhile others may have taken this node's slot for vacant.
    Spread.forget();
    Spread.mark(Settings.Self.Domain, Settings.Self.Slot);
    RunsSince = Time.now();
    if (Hooks.OnEvent)
      Hooks.OnEvent({EventId::PauseNoticed, {}});
    Members.push(CatchUpFanout);
  }
  notePhase();
  Members.tick(LastPhase != ControlPhase::Current);
  noteMembers();
}

void ControlCore::notePhase() {
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
  Spread.mark(Settings.Self.Domain, Settings.Self.Slot);
  std::map<std::string, std::string, std::less<>> Regions;
  for (const auto &[Name, Domain] : InForce->Domains)
    Regions[Name] = Domain.Region;
  Members.setRegions(std::move(Regions));
  if (!Settings.EveryNodeReads)
    Members.push(Settings.PushFanout);
}

void ControlCore::onDescribed(const std::string &Peer,
                              const std::string &Address,
                              const ExchangeMessage &Theirs) {
  if (Theirs.InForce && Theirs.InForce == Versions.keeper().inForce()) {
    if (!Theirs.SlotBits.empty())
      Spread.merge(Theirs.SlotBits);
    if (const Member *Entry = Members.members().find(Peer))
      Spread.mark(Entry->Record.Place.Domain, Entry->Record.Place.Slot);
  }
  Versions.onPeerAnswer(Peer, Address, Theirs.InForce, Theirs.Starting);
}

void ControlCore::noteMembers() {
  InstancesDue = Members.members().takeChanged() || InstancesDue;
  const TimeMs Now = Time.now();
  if (Now < NextInstances)
    return;
  NextInstances = Now + Settings.InstancesPeriod;
  chooseReader();
  vouchForVacancies();
  if (!std::exchange(InstancesDue, false))
    return;
  noteHealth();
  if (Hooks.OnInstances)
    Hooks.OnInstances(Members.members().instances());
}

/// A partition separates failure domains, so that a process of this domain
/// which runs is heard here. docs/DESIGN.md has the argument.
void ControlCore::vouchForVacancies() {
  const TimeMs Now = Time.now();
  const Membership &Table = Members.members();
  const std::string &Domain = Settings.Self.Domain;
  const auto Undecided = Spread.undecidedSlots(Domain);
  if (Undecided.empty() || Now - RunsSince < Settings.Members.VacancyTime ||
      !Table.heardWithin(HeardTime, Now))
    return;
  const auto InUse = Table.slotsInUse(Domain, Now);
  for (std::uint32_t Slot : Undecided)
    if (!InUse.contains(Slot))
      Spread.markVacant(Domain, Slot);
}

void ControlCore::noteHealth() {
  const Membership &Table = Members.members();
  if (Table.replaced() && !std::exchange(ReportedReplaced, true) &&
      Hooks.OnEvent)
    Hooks.OnEvent({EventId::MemberNameTaken, {{"node", Settings.Self.Name}}});
  std::map<std::string, MemberHealth, std::less<>> Present;
  for (const auto &[Name, Entry] : Table.members())
    Present[Name] = Entry.Record.Order.Health;
  for (const auto &[Name, Health] : Present) {
    const auto Before = LastHealth.find(Name);
    // Whom a node finds when it starts is no news.
    if (Before == LastHealth.end() && Time.now() < JoinsAreNews)
      continue;
    // A suspicion is passing; only what follows from it is told.
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
  return chooseReaders(Settings.Self.Domain, Names, Settings.ReadersPerDomain);
}

void ControlCore::chooseReader() {
  const std::uint64_t Digest = Members.members().digest();
  const bool MayRead = Versions.keeper().mayRead(Time.now());
  if (Digest == ReaderDigest && MayRead == ReaderMayRead)
    return;
  ReaderDigest = Digest;
  ReaderMayRead = MayRead;
  const std::vector<std::string> Chosen = readers();
  const bool Now = Settings.EveryNodeReads ||
                   (MayRead && std::find(Chosen.begin(), Chosen.end(),
                                         Settings.Self.Name) != Chosen.end());
  if (Now == Reader)
    return;
  Reader = Now;
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

void ControlCore::onProof(TimeMs At, std::uint64_t Revision) {
  Versions.onOwnReading();
  prove(At, Revision);
}

void ControlCore::prove(TimeMs At, std::uint64_t Revision) {
  const auto &InForce = Versions.keeper().inForce();
  if (!InForce || InForce->Revision < Revision || At <= ProvenAt)
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
  for (const ListedInstance &L : List.Instances)
    Rows.push_back({{L.Name, L.Domain, L.Service, L.Slot, L.PeerAddress,
                     TargetState::Cold},
                    L.State == ListedState::Leaving});
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
    Row.PlatformLeaving = Entry.Record.platformLeaving();
    Row.AtLeast = Spread.slotVersion(Row.Place.Domain, Row.Place.Slot);
    if (Entry.HeardAt)
      Row.SinceContact = Time.now() - *Entry.HeardAt;
    Result.Members.push_back(std::move(Row));
  }
  return Result;
}

} // namespace fescuewood
