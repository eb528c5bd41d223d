// What the target announces in its answers: keeping to it, and asking for it.
// TargetSide.cpp has the rest of the class.

#include "calls/TargetSide.h"

#include <cstdint>
#include <fmt/format.h>

namespace fescuewood {

namespace {

/// Longest wait of a request for the rate that the target has named; beyond it
/// another target or a later try serves its caller better.
constexpr DurationMs MaxNamedRateWait{150};

/// Probes that may be lost before a target is used whose state is not known.
constexpr int MaxNoticeProbes = 3;

} // namespace

/// Whether the target takes the request too late, by the rate that it named.
bool TargetSide::exceedsNamedRate(const CallRequest &Request) const {
  return !Request.CanWait &&
         Announced.limit().wait(Queue->size(), Context.now()) >
             MaxNamedRateWait;
}

/// The slower of \p BySlots and the rate that the target has named.
ServiceRate TargetSide::boundByNamedRate(const ServiceRate &BySlots) const {
  if (!Announced.limit().rate())
    return BySlots;
  const ServiceRate Named{1, Announced.limit().interval()};
  const bool SlotsAreScarcer =
      BySlots.Latency > Named.Latency * std::int64_t{BySlots.Limit};
  return SlotsAreScarcer ? BySlots : Named;
}

/// Asks a target of which this process has seen no answer for its state. A
/// restarted node does not know what the target told its predecessor.
void TargetSide::askForNotice() {
  if (!announcesState() || Announced.known() || AwaitingNotice ||
      !Listing.entry() || !Context.Config || !Context.Hooks.Target.Probe)
    return;
  AwaitingNotice = true;
  probeForNotice(MaxNoticeProbes);
}

/// Probes the target until it has told its state, \p ProbesLeft times at most.
void TargetSide::probeForNotice(int ProbesLeft) {
  const TimeMs SentAt = Context.now();
  Context.Hooks.Target.Probe(
      [this, SentAt, ProbesLeft](const ProbeResult &Result) {
        Context.run([this, SentAt, ProbesLeft, Result] {
          onProbeNotice(Result, SentAt);
          if (!Announced.known() && ProbesLeft > 1) {
            probeForNotice(ProbesLeft - 1);
            return;
          }
          AwaitingNotice = false;
          updateState();
          startQueued();
        });
      });
}

bool TargetSide::announcesState() const {
  return !Context.Identity.Scheme.RateLimit.empty();
}

/// Applies the answer to a probe, unless another target at the address of the
/// listed one gave it.
void TargetSide::onProbeNotice(const ProbeResult &Result, TimeMs SentAt) {
  const auto &Entry = Listing.entry();
  const bool IsOwn =
      Result.TargetId.empty() || !Entry || Result.TargetId == Entry->TargetId;
  if (Result.Notice && IsOwn)
    onNotice(*Result.Notice, SentAt);
}

void TargetSide::onNotice(const TargetNotice &Notice, TimeMs SentAt) {
  const AnnouncedState::Change Change =
      Announced.onAnswer(Notice, SentAt, Context.now());
  if (Change.LimitUnreadable) {
    Context.report(EventId::TargetLimitChanged,
                   {{"target", Context.Identity.Name},
                    {"reason", "the limit cannot be read"}});
  }
  if (Change.Limit) {
    const auto Rate = Announced.limit().rate();
    Context.report(EventId::TargetLimitChanged,
                   {{"target", Context.Identity.Name},
                    {"limit", Rate ? fmt::format("{}", *Rate) : "none"}});
  }
  if (!Change.Leaving)
    return;
  Context.report(EventId::TargetLeaving, {{"target", Context.Identity.Name}});
  refuseQueued(ResultCode::TargetDraining);
}

} // namespace fescuewood
