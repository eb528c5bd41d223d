#include "policy/ObjectiveQueue.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

/// Requests that one decision moves to the late group at most; the next
/// decisions move the rest, for instance after a pause of the target.
constexpr std::size_t MaxMovesPerDecision = 8;

/// The same for a tick, which is no part of a decision.
constexpr std::size_t MaxMovesPerTick = 256;

/// Overtaking work per request below which a lane needs no statistics.
constexpr double NegligibleOvertakesMs = 1;

} // namespace

ObjectiveQueue::ObjectiveQueue(CallQueueSettings Settings,
                               RefusalHook OnRefusal)
    : BoundedCallQueue(Settings), OnRefusal(std::move(OnRefusal)) {}

bool ObjectiveQueue::push(QueuedCall Call, const ServiceRate &Rate,
                          TimeMs Now) {
  Call.Weight = std::max(1U, Call.Weight);
  const CallId Id = Call.Id;
  std::vector<ObjectiveBacklog::Entry> Displaced;
  if (!makeRoom(Call, Now, Displaced))
    return refuse(ResultCode::QueueFull);
  using Group = ObjectiveBacklog::Group;
  const Group In = Call.CanWait ? Group::Late : Group::InTime;
  add({std::move(Call), NextArrival++, In});
  if (!shed(Id, Rate, Now, Displaced)) {
    for (ObjectiveBacklog::Entry &Restored : Displaced)
      add(std::move(Restored));
    return refuse(ResultCode::DeadlineUnreachable);
  }
  for (const ObjectiveBacklog::Entry &Each : Displaced)
    OnRefusal({Each.Call.Id, ResultCode::Displaced, Id});
  return true;
}

std::optional<CallId> ObjectiveQueue::pop(const ServiceRate &Rate, TimeMs Now) {
  while (size() > 0) {
    const Class Type =
        nextClass(hasRequests(Class::Urgent), hasRequests(Class::Deferrable));
    Lane &Source = *nextLane(Type);
    Share &Own = *nextShare(Source);
    if (Type == Class::Urgent) {
      const ServicePace Pace =
          pace(laneOf(Own.Requests.next().Call), Own, Rate, Now);
      Own.Requests.deferLate(Pace, MaxMovesPerDecision);
    }
    const ObjectiveBacklog::Entry &Next = Own.Requests.next();
    const CallId Id = Next.Call.Id;
    if (Next.Call.Deadline <= Now + minRemainingTime(Next.Call, Rate)) {
      drop(Id, Now);
      continue;
    }
    Own.Requests.onStart(Next, Now);
    Source.VirtualTime = std::max(Source.VirtualTime, Own.Start);
    Own.Start += virtualCost(Next.Call) / Own.Weight;
    onPop(Source, take(Id), Now);
    onServed(Type);
    return Id;
  }
  return std::nullopt;
}

bool ObjectiveQueue::remove(const CallId &Id, TimeMs Now) {
  if (!locate(Id))
    return false;
  takeUnserved(Id, Now);
  return true;
}

ObjectiveBacklog::Entry ObjectiveQueue::takeUnserved(const CallId &Id,
                                                     TimeMs Now) {
  const Location At = *locate(Id);
  Lane &Source = Lanes.at(At.Key);
  ObjectiveBacklog::Entry Taken = take(Id);
  Source.Overtakes.onUnserved(Source.Size, Now);
  if (Taken.In == ObjectiveBacklog::Group::Late)
    Source.Shares.at(At.Organisation).Requests.onUnserved(Now);
  return Taken;
}

void ObjectiveQueue::drop(const CallId &Id, TimeMs Now) {
  remove(Id, Now);
  OnRefusal({Id, ResultCode::DeadlineUnreachable, {}});
}

void ObjectiveQueue::expire(const ServiceRate &Rate, TimeMs Now) {
  std::vector<CallId> Expired;
  for (const auto &[Expiry, Id] : ByExpiry) {
    if (Expiry > Now)
      break;
    const Location &At = *locate(Id);
    const QueuedCall &Call =
        Lanes.at(At.Key).Shares.at(At.Organisation).Requests.find(Id).Call;
    if (Call.Deadline <= Now + minRemainingTime(Call, Rate))
      Expired.push_back(Id);
  }
  for (const CallId &Id : Expired)
    drop(Id, Now);
  deferLate(Rate, Now);
}

/// Keeps the groups of all backlogs up to date, and forgets the organisations
/// whose use of the target no longer counts.
void ObjectiveQueue::deferLate(const ServiceRate &Rate, TimeMs Now) {
  for (auto &[Key, Source] : Lanes) {
    for (auto &[Name, Own] : Source.Shares)
      if (Key.Type == Class::Urgent && !Own.Requests.empty())
        Own.Requests.deferLate(pace(Key, Own, Rate, Now), MaxMovesPerTick);
    std::erase_if(Source.Shares, [&Each = Source](const auto &Item) {
      const Share &Own = Item.second;
      return Own.Requests.empty() &&
             (Own.Start <= Each.VirtualTime || Each.Size == 0);
    });
  }
  std::erase_if(Lanes, [Now](const auto &Item) {
    const Lane &Each = Item.second;
    return Each.Size == 0 && Each.Shares.empty() &&
           Each.Overtakes.expected(Now) < NegligibleOvertakesMs;
  });
}

void ObjectiveQueue::onSpareCapacity() {
  for (auto &[Key, Each] : Lanes) {
    Each.PassedOver = 0;
    Each.Overtakes.reset();
    for (auto &[Name, Own] : Each.Shares)
      Own.Requests.onSpareCapacity();
  }
}

std::pair<TimeMs, CallId> ObjectiveQueue::expiryOf(const QueuedCall &Call) {
  const ServiceRate Busy{1, DurationMs(1)};
  return {Call.Deadline - minRemainingTime(Call, Busy), Call.Id};
}

/// Removes requests whose refusal costs callers less than that of \p Call until
/// it has room. Returns false, and removes none, if that is not possible.
bool ObjectiveQueue::makeRoom(const QueuedCall &Call, TimeMs Now,
                              std::vector<ObjectiveBacklog::Entry> &Displaced) {
  while (!hasRoom(Call)) {
    const ObjectiveBacklog::Entry *Victim =
        Displaced.size() < MaxDisplaced ? victimFor(Call, Now) : nullptr;
    if (!Victim) {
      for (ObjectiveBacklog::Entry &Restored : Displaced)
        add(std::move(Restored));
      Displaced.clear();
      return false;
    }
    Displaced.push_back(takeUnserved(Victim->Call.Id, Now));
  }
  return true;
}

/// The queued request whose refusal costs callers least, if it costs less than
/// that of \p Call; otherwise null.
const ObjectiveBacklog::Entry *ObjectiveQueue::victimFor(const QueuedCall &Call,
                                                         TimeMs Now) const {
  const bool IsInner = Call.Priority == InnerCallPriority;
  const LaneId Own = laneOf(Call);
  using Group = ObjectiveBacklog::Group;
  const Group In = latestStart(Call) < Now ? Group::Late : Group::InTime;
  const ObjectiveBacklog::Entry Arrival{Call, NextArrival, In};
  for (auto At = Lanes.rbegin(); At != Lanes.rend(); ++At) {
    const auto &[Key, Each] = *At;
    if (Key < Own)
      return nullptr;
    if (Key.Priority == InnerCallPriority && !IsInner)
      continue;
    const ObjectiveBacklog::Entry *Victim = nullptr;
    for (const auto &[Name, Candidate] : Each.Shares) {
      const bool MayBeDisplaced = IsInner || Name == Call.Organisation;
      if (!MayBeDisplaced || Candidate.Requests.empty())
        continue;
      const ObjectiveBacklog::Entry &Cheapest = Candidate.Requests.cheapest();
      if (!Victim || Cheapest.costsLessThan(*Victim))
        Victim = &Cheapest;
    }
    if (Victim && (Key > Own || Victim->costsLessThan(Arrival)))
      return Victim;
  }
  return nullptr;
}

/// Moves what cannot meet its objective behind the others to the late group and
/// removes what then cannot meet its deadline. Returns false if that is the
/// request that has just arrived.
bool ObjectiveQueue::shed(const CallId &Arrival, const ServiceRate &Rate,
                          TimeMs Now,
                          std::vector<ObjectiveBacklog::Entry> &Displaced) {
  const Location At = *locate(Arrival);
  if (At.Key.Type == Class::Deferrable || Rate.Latency <= DurationMs(0))
    return true;
  Share &Own = Lanes.at(At.Key).Shares.at(At.Organisation);
  // The first slot is free after the run of a request, divided by the slots.
  const DurationMs SlotWait(Rate.Latency.Value / std::max(1U, Rate.Limit));
  const ServicePace Pace = pace(At.Key, Own, Rate, Now + SlotWait);
  Own.Requests.deferLate(Pace, MaxMovesPerDecision);
  while (Displaced.size() < MaxDisplaced) {
    const auto Unreachable = Own.Requests.unreachable(Pace, Now);
    if (!Unreachable)
      return true;
    if (*Unreachable == Arrival) {
      take(Arrival);
      return false;
    }
    Displaced.push_back(takeUnserved(*Unreachable, Now));
  }
  return true;
}

void ObjectiveQueue::add(ObjectiveBacklog::Entry Added) {
  const QueuedCall &Call = Added.Call;
  Lane &Destination = Lanes[laneOf(Call)];
  Share &Own = Destination.Shares[Call.Organisation];
  Own.Weight = Call.Weight;
  if (Own.Requests.empty())
    Own.Start = std::max(Destination.VirtualTime, Own.Start);
  if (Destination.Size == 0)
    Destination.PassedOver = 0;
  ++Destination.Size;
  Destination.Work = Destination.Work + Call.Cost;
  hold(Call);
  ByExpiry.insert(expiryOf(Call));
  Own.Requests.add(std::move(Added));
}

ObjectiveBacklog::Entry ObjectiveQueue::take(const CallId &Id) {
  const Location &At = *locate(Id);
  Lane &Source = Lanes.at(At.Key);
  ObjectiveBacklog::Entry Taken =
      Source.Shares.at(At.Organisation).Requests.take(Id);
  const QueuedCall &Call = Taken.Call;
  --Source.Size;
  Source.Work = Source.Work - Call.Cost;
  ByExpiry.erase(expiryOf(Call));
  release(Call);
  return Taken;
}

/// How fast the requests of an organisation in a lane are served from \p Begin
/// on: all requests of higher priorities start first, and later ones overtake;
/// the rest is shared with other organisations.
ServicePace ObjectiveQueue::pace(const LaneId &Key, const Share &Own,
                                 const ServiceRate &Rate, TimeMs Begin) const {
  const auto Limit = static_cast<double>(std::max(1U, Rate.Limit));
  DurationMs Higher{0};
  for (const auto &[Id, Each] : Lanes)
    if (Id < Key)
      Higher = Higher + Each.Work;
  const Lane &Source = Lanes.at(Key);
  std::uint64_t Weights = 0;
  for (const auto &[Name, Each] : Source.Shares)
    if (!Each.Requests.empty())
      Weights += Each.Weight;
  const double MeanWork =
      static_cast<double>(Source.Work.Value) /
      static_cast<double>(std::max<std::size_t>(1, Source.Size));
  const double Slowdown =
      1 + Source.Overtakes.expected(Begin) / std::max(1.0, MeanWork);
  const double Wait = static_cast<double>(Higher.Value) / Limit;
  return {Begin + DurationMs(static_cast<std::int64_t>(Wait)),
          paceSpeed(Limit * Own.Weight /
                    (static_cast<double>(Weights) * Slowdown))};
}

bool ObjectiveQueue::hasRequests(Class Type) const {
  return std::any_of(Lanes.begin(), Lanes.end(), [Type](const auto &Item) {
    return Item.first.Type == Type && Item.second.Size > 0;
  });
}

/// The lane to serve next: the one that was passed over most often if that is
/// too often, otherwise the highest priority.
ObjectiveQueue::Lane *ObjectiveQueue::nextLane(Class Type) {
  Lane *Next = nullptr;
  for (auto &[Key, Each] : Lanes) {
    if (Key.Type != Type || Each.Size == 0)
      continue;
    const bool IsStarved = Each.PassedOver >= MaxOvertakes;
    if (!Next || (IsStarved && Each.PassedOver > Next->PassedOver))
      Next = &Each;
  }
  return Next;
}

ObjectiveQueue::Share *ObjectiveQueue::nextShare(Lane &Source) {
  Share *Next = nullptr;
  for (auto &[Name, Each] : Source.Shares)
    if (!Each.Requests.empty() && (!Next || Each.Start < Next->Start))
      Next = &Each;
  return Next;
}

void ObjectiveQueue::onPop(Lane &Source, const ObjectiveBacklog::Entry &Popped,
                           TimeMs Now) {
  const Class Type = laneOf(Popped.Call).Type;
  for (auto &[Key, Each] : Lanes) {
    if (Key.Type != Type || Each.Size == 0 || &Each == &Source)
      continue;
    ++Each.PassedOver;
    Each.Overtakes.onOvertaken(virtualCost(Popped.Call));
  }
  Source.PassedOver = 0;
  Source.Overtakes.onServed(Now);
}

} // namespace fescuewood
