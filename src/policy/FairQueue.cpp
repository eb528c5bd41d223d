#include "policy/FairQueue.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace fescuewood {

namespace {

/// Times a request's own typical latency that must be left when it is started;
/// one that is started later mostly ends in a timeout and wastes its slot.
constexpr double LeastLatencyShare = 1.5;

/// Span in which what was learnt of a rank's chances loses half of its weight:
/// a burst is over within a few such spans.
constexpr double LearntHalfLifeMs = 1000;

/// Starts that are late for so long show more than a burst, which is served
/// whole though late: objectives are about as long.
constexpr DurationMs LatePatience{500};

/// Time without a refusal after which the queue may grow again: load that comes
/// in waves of a second or less stays one load.
constexpr DurationMs ShortMemory{1000};

/// A request that left unserved counts as overtaken so many times as often as
/// it saw.
constexpr double UnservedFactor = 2;

/// Below this, a rank is as good as never overtaken.
constexpr double FewOvertakes = 0.5;

/// Time that must be left when a request is started.
DurationMs leastTime(const QueuedCall &Call, const ServiceRate &Rate) {
  // An idle target is tried whatever its last answers took.
  if (Call.CanWait || Rate.Latency <= DurationMs(0))
    return DurationMs(0);
  return DurationMs(static_cast<std::int64_t>(
      LeastLatencyShare * static_cast<double>(Call.Cost.Value)));
}

/// Virtual service time of a request, before its weight.
double cost(const QueuedCall &Call) {
  return static_cast<double>(std::max<std::int64_t>(1, Call.Cost.Value));
}

} // namespace

FairQueue::FairQueue(FairQueueSettings Settings, ExpiryHook OnExpiry)
    : Settings(Settings), OnExpiry(std::move(OnExpiry)) {}

bool FairQueue::push(QueuedCall Call, const ServiceRate &Rate, TimeMs Now) {
  Call.Weight = std::max(1U, Call.Weight);
  if (!hasRoom(Call))
    return refuse(ResultCode::QueueFull);
  if (!Call.CanWait && !comesInTime(Call, Rate, Now))
    return refuse(ResultCode::DeadlineUnreachable);
  add(std::move(Call));
  return true;
}

/// Whether a request that waits is not worth a slot any more.
bool FairQueue::tooLate(const QueuedCall &Call, const ServiceRate &Rate,
                        TimeMs Now) const {
  return Call.Deadline <= Now + leastTime(Call, Rate) ||
         tooLateToBeGood(Call, Now, Now);
}

bool FairQueue::comesInTime(const QueuedCall &Call, const ServiceRate &Rate,
                            TimeMs Now) {
  const TimeMs Start = Now + expectedWait(Call, Rate, Now);
  if (Start + leastTime(Call, Rate) >= Call.Deadline)
    return false;
  if (!tooLateToBeGood(Call, Start, Now))
    return true;
  ShortUntil = Now + ShortMemory;
  return false;
}

void FairQueue::add(QueuedCall Call) {
  const LaneId Which = laneOf(Call);
  Lane &Into = Lanes[Which];
  Backlog &Own = Into.Backlogs[Call.Organisation];
  Own.Weight = Call.Weight;
  const double Start = std::max(Into.VirtualTime, Own.LastFinish);
  Own.LastFinish = Start + cost(Call) / Call.Weight;
  ++Into.Size;
  Bytes += Call.Bytes;
  BytesByOrganisation[Call.Organisation] += Call.Bytes;
  Index.emplace(Call.Id, Place{Which, Call.Organisation});
  Own.Waiters.push_back({std::move(Call), Start});
}

std::optional<CallId> FairQueue::pop(const ServiceRate &Rate, TimeMs Now) {
  while (!Index.empty()) {
    const bool WaitingTurn = UrgentInARow + 1 >= Settings.WaitingShare;
    const bool FromWaiting = sizeOf(Class::Urgent) == 0 ||
                             (WaitingTurn && sizeOf(Class::Waiting) > 0);
    auto Next = popClass(FromWaiting ? Class::Waiting : Class::Urgent, Now);
    if (!Next)
      return std::nullopt;
    forget(*Next);
    learnStart(*Next, Now);
    if (tooLate(*Next, Rate, Now)) {
      OnExpiry(Next->Id);
      continue;
    }
    UrgentInARow = FromWaiting ? 0 : UrgentInARow + 1;
    return Next->Id;
  }
  return std::nullopt;
}

bool FairQueue::remove(const CallId &Id, TimeMs Now) {
  const auto Found = Index.find(Id);
  if (Found == Index.end())
    return false;
  Lane &From = Lanes.at(Found->second.Which);
  Backlog &Own = From.Backlogs.at(Found->second.Organisation);
  const auto At =
      std::find_if(Own.Waiters.begin(), Own.Waiters.end(),
                   [&Id](const Waiter &W) { return W.Call.Id == Id; });
  const QueuedCall Call = std::move(At->Call);
  Own.Waiters.erase(At);
  --From.Size;
  learnUnserved(From, Now);
  forget(Call);
  return true;
}

void FairQueue::expire(const ServiceRate &Rate, TimeMs Now) {
  std::vector<CallId> Late;
  for (auto &[Which, From] : Lanes) {
    for (const auto &[Name, Own] : From.Backlogs)
      for (const Waiter &W : Own.Waiters)
        if (tooLate(W.Call, Rate, Now))
          Late.push_back(W.Call.Id);
    prune(From);
  }
  for (const CallId &Id : Late) {
    remove(Id, Now);
    OnExpiry(Id);
  }
  std::erase_if(Lanes, [Now](const auto &Item) {
    const Lane &Each = Item.second;
    return Each.Size == 0 && Each.Backlogs.empty() &&
           overtakes(Each, Now) < FewOvertakes;
  });
}

double FairQueue::usuallyOvertaken(const Lane &Of, TimeMs Now) {
  const double Age = static_cast<double>((Now - Of.LearntAt).Value);
  return Of.UsuallyOvertaken * std::exp2(-Age / LearntHalfLifeMs);
}

/// How many of higher ranks go before each request of a lane: what is usual, or
/// more where the one that waits now has seen more.
double FairQueue::overtakes(const Lane &Of, TimeMs Now) {
  const double Usual = usuallyOvertaken(Of, Now);
  return std::max(Usual, (Usual + Of.Overtaken) / 2);
}

void FairQueue::learnServed(Lane &Of, TimeMs Now) {
  Of.UsuallyOvertaken = (usuallyOvertaken(Of, Now) + Of.Overtaken) / 2;
  Of.Overtaken = 0;
  Of.LearntAt = Now;
}

/// A request left a lane without being served: its like would have to wait
/// longer than it did, nobody knows how much.
void FairQueue::learnUnserved(Lane &Of, TimeMs Now) {
  Of.UsuallyOvertaken =
      std::max(usuallyOvertaken(Of, Now), UnservedFactor * Of.Overtaken);
  Of.LearntAt = Now;
  if (Of.Size == 0)
    Of.Overtaken = 0;
}

void FairQueue::onSpareCapacity() {
  LateSince.reset();
  for (auto &[Id, Each] : Lanes) {
    Each.Overtaken = 0;
    Each.UsuallyOvertaken = 0;
  }
}

FairQueue::LaneId FairQueue::laneOf(const QueuedCall &Call) {
  return {Call.CanWait ? Class::Waiting : Class::Urgent, Call.Priority};
}

std::size_t FairQueue::sizeOf(Class Which) const {
  std::size_t Size = 0;
  for (const auto &[Id, Each] : Lanes)
    if (Id.Which == Which)
      Size += Each.Size;
  return Size;
}

/// Whether the queue is kept short and a request that starts then is answered
/// too late.
bool FairQueue::tooLateToBeGood(const QueuedCall &Call, TimeMs Start,
                                TimeMs Now) const {
  return Now < ShortUntil && !Call.CanWait &&
         Start + Call.Cost > Call.SoftDeadline;
}

/// Notes whether a request starts too late to be good; where they all do for a
/// while, the queue is longer than is of use to anybody.
void FairQueue::learnStart(const QueuedCall &Call, TimeMs Now) {
  if (Call.SoftDeadline == Never)
    return;
  if (Now + Call.Cost <= Call.SoftDeadline)
    LateSince.reset();
  else if (!LateSince)
    LateSince = Now;
  else if (Now - *LateSince >= LatePatience)
    ShortUntil = std::max(ShortUntil, Now + ShortMemory);
}

/// Takes the next request of a class, of the highest rank that waits.
std::optional<QueuedCall> FairQueue::popClass(Class Which, TimeMs Now) {
  std::optional<QueuedCall> Next;
  for (auto &[Id, Each] : Lanes) {
    if (Id.Which != Which || Each.Size == 0)
      continue;
    if (Next) {
      ++Each.Overtaken;
      continue;
    }
    Next = popFrom(Each);
    learnServed(Each, Now);
  }
  return Next;
}

bool FairQueue::refuse(ResultCode Reason) {
  LastReason = Reason;
  return false;
}

bool FairQueue::hasRoom(const QueuedCall &Call) const {
  if (Index.size() >= Settings.MaxRequests ||
      Bytes + Call.Bytes > Settings.MaxBytes)
    return false;
  const auto Held = BytesByOrganisation.find(Call.Organisation);
  if (Held == BytesByOrganisation.end())
    return true;
  return Held->second + Call.Bytes <= Settings.MaxBytes - Bytes;
}

DurationMs FairQueue::expectedWait(const QueuedCall &Call,
                                   const ServiceRate &Rate, TimeMs Now) {
  const LaneId Which = laneOf(Call);
  // Every request of a higher rank goes first.
  std::size_t Before = 0;
  for (const auto &[Id, Each] : Lanes)
    if (Id < Which)
      Before += Each.Size;
  Lane &Into = Lanes[Which];
  std::uint64_t Weights = Call.Weight;
  std::size_t Ahead = 0;
  for (const auto &[Name, Own] : Into.Backlogs) {
    if (Name == Call.Organisation)
      Ahead = Own.Waiters.size();
    else if (!Own.Waiters.empty())
      Weights += Own.Weight;
  }
  // Its own organisation's requests go before it, each with a turn of every
  // other; what waits in total bounds that from above. Before each of them go
  // those of higher ranks that will come meanwhile.
  const double OwnTurns =
      std::min(static_cast<double>(Ahead + 1) * static_cast<double>(Weights) /
                   Call.Weight,
               static_cast<double>(Into.Size + 1));
  const double Turns =
      static_cast<double>(Before) + OwnTurns * (1 + overtakes(Into, Now));
  const double Rounds = Turns / std::max(1U, Rate.Limit);
  return DurationMs(static_cast<std::int64_t>(
      Rounds * static_cast<double>(Rate.Latency.Value)));
}

std::optional<QueuedCall> FairQueue::popFrom(Lane &From) {
  Backlog *Best = nullptr;
  for (auto &[Name, Own] : From.Backlogs) {
    if (Own.Waiters.empty())
      continue;
    if (!Best || Own.Waiters.front().Start < Best->Waiters.front().Start)
      Best = &Own;
  }
  if (!Best)
    return std::nullopt;
  Waiter Next = std::move(Best->Waiters.front());
  Best->Waiters.pop_front();
  --From.Size;
  From.VirtualTime = std::max(From.VirtualTime, Next.Start);
  return std::move(Next.Call);
}

void FairQueue::forget(const QueuedCall &Call) {
  Index.erase(Call.Id);
  Bytes -= Call.Bytes;
  const auto Held = BytesByOrganisation.find(Call.Organisation);
  Held->second -= Call.Bytes;
  if (Held->second == 0)
    BytesByOrganisation.erase(Held);
}

void FairQueue::prune(Lane &From) {
  // An organisation whose share is used up in virtual time owes nothing.
  std::erase_if(From.Backlogs, [&From](const auto &Item) {
    const Backlog &Own = Item.second;
    return Own.Waiters.empty() &&
           (Own.LastFinish <= From.VirtualTime || From.Size == 0);
  });
}

} // namespace fescuewood
