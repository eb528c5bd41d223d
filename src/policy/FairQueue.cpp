#include "policy/FairQueue.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fescuewood {

namespace {

/// How long all starts must be late before the queue sheds load. A shorter
/// burst is served completely although late; objectives are about as long.
constexpr DurationMs LateGracePeriod{500};

/// Time without a rejection after which the queue stops shedding load. Load
/// peaks at intervals of a second or less count as one overload.
constexpr DurationMs SheddingHoldTime{1000};

/// Overtakes per request below which a lane needs no statistics.
constexpr double NegligibleOvertakes = 0.5;

} // namespace

FairQueue::FairQueue(FairQueueSettings Settings, ExpiryHook OnExpiry)
    : BoundedCallQueue(Settings), OnExpiry(std::move(OnExpiry)) {}

bool FairQueue::push(QueuedCall Call, const ServiceRate &Rate, TimeMs Now) {
  Call.Weight = std::max(1U, Call.Weight);
  if (!hasRoom(Call))
    return refuse(ResultCode::QueueFull);
  if (!Call.CanWait && !canMeetDeadline(Call, Rate, Now))
    return refuse(ResultCode::DeadlineUnreachable);
  add(std::move(Call));
  return true;
}

/// Whether a queued request can no longer be answered in time.
bool FairQueue::isTooLate(const QueuedCall &Call, const ServiceRate &Rate,
                          TimeMs Now) const {
  return Call.Deadline <= Now + minRemainingTime(Call, Rate) ||
         missesSoftDeadline(Call, Now, Now);
}

bool FairQueue::canMeetDeadline(const QueuedCall &Call, const ServiceRate &Rate,
                                TimeMs Now) {
  const TimeMs Start = Now + expectedWait(Call, Rate, Now);
  if (Start + minRemainingTime(Call, Rate) >= Call.Deadline)
    return false;
  if (!missesSoftDeadline(Call, Start, Now))
    return true;
  SheddingUntil = Now + SheddingHoldTime;
  return false;
}

void FairQueue::add(QueuedCall Call) {
  Lane &Destination = Lanes[laneOf(Call)];
  Backlog &Own = Destination.Backlogs[Call.Organisation];
  Own.Weight = Call.Weight;
  const double Start = std::max(Destination.VirtualTime, Own.LastFinish);
  Own.LastFinish = Start + virtualCost(Call) / Call.Weight;
  ++Destination.Size;
  hold(Call);
  Own.Entries.push_back({std::move(Call), Start});
}

std::optional<CallId> FairQueue::pop(const ServiceRate &Rate, TimeMs Now) {
  while (size() > 0) {
    const Class Type =
        nextClass(sizeOf(Class::Urgent) > 0, sizeOf(Class::Deferrable) > 0);
    auto Next = popClass(Type, Now);
    if (!Next)
      return std::nullopt;
    release(*Next);
    onStart(*Next, Now);
    if (isTooLate(*Next, Rate, Now)) {
      OnExpiry(Next->Id);
      continue;
    }
    onServed(Type);
    return Next->Id;
  }
  return std::nullopt;
}

bool FairQueue::remove(const CallId &Id, TimeMs Now) {
  const Location *At = locate(Id);
  if (!At)
    return false;
  Lane &Source = Lanes.at(At->Key);
  Backlog &Own = Source.Backlogs.at(At->Organisation);
  const auto Found =
      std::find_if(Own.Entries.begin(), Own.Entries.end(),
                   [&Id](const Entry &W) { return W.Call.Id == Id; });
  const QueuedCall Call = std::move(Found->Call);
  Own.Entries.erase(Found);
  --Source.Size;
  Source.Overtakes.onUnserved(Source.Size, Now);
  release(Call);
  return true;
}

void FairQueue::expire(const ServiceRate &Rate, TimeMs Now) {
  std::vector<CallId> Expired;
  for (auto &[Key, Source] : Lanes) {
    for (const auto &[Name, Own] : Source.Backlogs)
      for (const Entry &W : Own.Entries)
        if (isTooLate(W.Call, Rate, Now))
          Expired.push_back(W.Call.Id);
    eraseIdleBacklogs(Source);
  }
  for (const CallId &Id : Expired) {
    remove(Id, Now);
    OnExpiry(Id);
  }
  std::erase_if(Lanes, [Now](const auto &Item) {
    const Lane &Each = Item.second;
    return Each.Size == 0 && Each.Backlogs.empty() &&
           Each.Overtakes.expected(Now) < NegligibleOvertakes;
  });
}

void FairQueue::onSpareCapacity() {
  LateSince.reset();
  for (auto &[Id, Each] : Lanes) {
    Each.Overtakes.reset();
  }
}

std::size_t FairQueue::sizeOf(Class Type) const {
  std::size_t Size = 0;
  for (const auto &[Id, Each] : Lanes)
    if (Id.Type == Type)
      Size += Each.Size;
  return Size;
}

/// Whether the queue sheds load and a request that starts at \p Start misses
/// its soft deadline.
bool FairQueue::missesSoftDeadline(const QueuedCall &Call, TimeMs Start,
                                   TimeMs Now) const {
  return Now < SheddingUntil && !Call.CanWait &&
         Start + Call.Cost > Call.SoftDeadline;
}

/// Starts shedding load once all requests have started too late for their soft
/// deadlines for a while: a longer queue then only delays answers.
void FairQueue::onStart(const QueuedCall &Call, TimeMs Now) {
  if (Call.SoftDeadline == Never)
    return;
  if (Now + Call.Cost <= Call.SoftDeadline)
    LateSince.reset();
  else if (!LateSince)
    LateSince = Now;
  else if (Now - *LateSince >= LateGracePeriod)
    SheddingUntil = std::max(SheddingUntil, Now + SheddingHoldTime);
}

/// Pops the next request of a class from its highest non-empty priority.
std::optional<QueuedCall> FairQueue::popClass(Class Type, TimeMs Now) {
  std::optional<QueuedCall> Next;
  for (auto &[Id, Each] : Lanes) {
    if (Id.Type != Type || Each.Size == 0)
      continue;
    if (Next) {
      Each.Overtakes.onOvertaken();
      continue;
    }
    Next = popLane(Each);
    Each.Overtakes.onServed(Now);
  }
  return Next;
}

DurationMs FairQueue::expectedWait(const QueuedCall &Call,
                                   const ServiceRate &Rate, TimeMs Now) {
  const LaneId Key = laneOf(Call);
  // All requests of higher priorities are served first.
  std::size_t HigherPriority = 0;
  for (const auto &[Id, Each] : Lanes)
    if (Id < Key)
      HigherPriority += Each.Size;
  Lane &Destination = Lanes[Key];
  std::uint64_t Weights = Call.Weight;
  std::size_t Ahead = 0;
  for (const auto &[Name, Own] : Destination.Backlogs) {
    if (Name == Call.Organisation)
      Ahead = Own.Entries.size();
    else if (!Own.Entries.empty())
      Weights += Own.Weight;
  }
  // The organisation's earlier requests are served first, each interleaved
  // with one turn of every other organisation; the size of the lane is an upper
  // bound. Later arrivals of higher priorities overtake each of these turns.
  const double OwnTurns =
      std::min(static_cast<double>(Ahead + 1) * static_cast<double>(Weights) /
                   Call.Weight,
               static_cast<double>(Destination.Size + 1));
  const double Turns = static_cast<double>(HigherPriority) +
                       OwnTurns * (1 + Destination.Overtakes.expected(Now));
  const double Rounds = Turns / std::max(1U, Rate.Limit);
  return DurationMs(static_cast<std::int64_t>(
      Rounds * static_cast<double>(Rate.Latency.Value)));
}

std::optional<QueuedCall> FairQueue::popLane(Lane &Source) {
  Backlog *Best = nullptr;
  for (auto &[Name, Own] : Source.Backlogs) {
    if (Own.Entries.empty())
      continue;
    if (!Best || Own.Entries.front().Start < Best->Entries.front().Start)
      Best = &Own;
  }
  if (!Best)
    return std::nullopt;
  Entry Next = std::move(Best->Entries.front());
  Best->Entries.pop_front();
  --Source.Size;
  Source.VirtualTime = std::max(Source.VirtualTime, Next.Start);
  return std::move(Next.Call);
}

void FairQueue::eraseIdleBacklogs(Lane &Source) {
  // A backlog whose finish time has passed no longer affects start times.
  std::erase_if(Source.Backlogs, [&Source](const auto &Item) {
    const Backlog &Own = Item.second;
    return Own.Entries.empty() &&
           (Own.LastFinish <= Source.VirtualTime || Source.Size == 0);
  });
}

} // namespace fescuewood
