#include "policy/ObjectiveBacklog.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

/// Least time before the objective at which a request counts as in time, as a
/// multiple of its expected service time. Service times vary: with 1, 3.5
/// percentage points fewer of all requests meet their objectives at 1.2 times
/// the capacity; with 2, a tenth fewer where service times are overestimated
/// by 1.4 (QueueOrderBench).
constexpr double ObjectiveCostFactor = 1.5;

TimeMs before(TimeMs Time, double Factor, DurationMs Cost) {
  return Time - DurationMs(static_cast<std::int64_t>(
                    Factor * static_cast<double>(Cost.Value)));
}

/// Latest start that still meets the deadline.
TimeMs latestUsefulStart(const QueuedCall &Call) {
  if (Call.CanWait)
    return Never;
  return before(Call.Deadline, MinRemainingCostFactor, Call.Cost);
}

} // namespace

TimeMs latestStart(const QueuedCall &Call) {
  const TimeMs Useful = latestUsefulStart(Call);
  if (Call.SoftDeadline == Never)
    return Useful;
  return std::min(Useful,
                  before(Call.SoftDeadline, ObjectiveCostFactor, Call.Cost));
}

bool ObjectiveBacklog::Entry::costsLessThan(const Entry &Other) const {
  if (In != Other.In)
    return In == Group::Late;
  return Call.Cost > Other.Call.Cost;
}

WorkItem ObjectiveBacklog::itemOf(const Entry &Queued) {
  WorkItem Item;
  Item.Arrival = Queued.Arrival;
  Item.Id = Queued.Call.Id;
  Item.Work = std::max(DurationMs(1), Queued.Call.Cost);
  if (Queued.In == Group::InTime) {
    Item.LatestStart = latestStart(Queued.Call);
    Item.Key = Item.LatestStart.Value;
  } else {
    Item.LatestStart = latestUsefulStart(Queued.Call);
  }
  return Item;
}

WorkList &ObjectiveBacklog::listOf(const Entry &Queued) {
  return Queued.In == Group::InTime ? InTime : Late;
}

void ObjectiveBacklog::add(Entry Added) {
  listOf(Added).insert(itemOf(Added));
  const CallId Id = Added.Call.Id;
  Entries.emplace(Id, std::move(Added));
}

ObjectiveBacklog::Entry ObjectiveBacklog::take(const CallId &Id) {
  auto Node = Entries.extract(Id);
  Entry Taken = std::move(Node.mapped());
  listOf(Taken).erase(itemOf(Taken));
  return Taken;
}

std::size_t ObjectiveBacklog::deferLate(const ServicePace &Pace,
                                        std::size_t MaxMoves) {
  for (std::size_t Moves = 0; Moves < MaxMoves; ++Moves) {
    const auto Longest = InTime.longestUpToFirstLate(Pace);
    if (!Longest)
      return Moves;
    Entry &Deferred = Entries.at(Longest->Id);
    InTime.erase(*Longest);
    Deferred.In = Group::Late;
    Late.insert(itemOf(Deferred));
  }
  return MaxMoves;
}

std::optional<CallId> ObjectiveBacklog::unreachable(const ServicePace &Pace,
                                                    TimeMs Now) {
  if (Late.empty())
    return std::nullopt;
  // The in-time group starts first; more of its requests arrive meanwhile.
  const double MeanWork =
      static_cast<double>(Late.work().Value) / static_cast<double>(Late.size());
  const double Slowdown = 1 + LateOvertakes.expected(Now) / MeanWork;
  const double Wait = static_cast<double>(InTime.work().Value) / Pace.Speed;
  const ServicePace LatePace{Pace.Begin +
                                 DurationMs(static_cast<std::int64_t>(Wait)),
                             paceSpeed(Pace.Speed / Slowdown)};
  const auto Longest = Late.longestUpToFirstLate(LatePace);
  return Longest ? std::optional(Longest->Id) : std::nullopt;
}

const ObjectiveBacklog::Entry &ObjectiveBacklog::cheapest() const {
  const auto Longest = Late.empty() ? InTime.longest() : Late.longest();
  return Entries.at(Longest->Id);
}

const ObjectiveBacklog::Entry &ObjectiveBacklog::next() const {
  return Entries.at((InTime.empty() ? Late : InTime).front().Id);
}

void ObjectiveBacklog::onStart(const Entry &Started, TimeMs Now) {
  if (Started.In == Group::Late)
    LateOvertakes.onServed(Now);
  else if (!Late.empty())
    LateOvertakes.onOvertaken(virtualCost(Started.Call));
}

void ObjectiveBacklog::onUnserved(TimeMs Now) {
  LateOvertakes.onUnserved(Late.size(), Now);
}

} // namespace fescuewood
