#include "settings/CallRows.h"

#include "ini/Forms.h"

#include <fmt/format.h>

#include <string>
#include <utility>

namespace fescuewood {

namespace {

std::string text(DurationMs Value) { return fmt::format("{}", Value.Value); }

template <typename Number> std::string text(Number Value) {
  return fmt::format("{}", Value);
}

template <typename Value>
KeyRow<NodeSettings> row(const char *Name, const char *Unit,
                         std::string Default, ValueForm<Value> Form,
                         Value CallSettings::*Member, const char *Meaning) {
  return keyRow<NodeSettings>("calls", Name, Unit, std::move(Default),
                              std::move(Form),
                              within(&NodeSettings::Calls, Member), Meaning);
}

} // namespace

std::vector<KeyRow<NodeSettings>> callRows() {
  const CallSettings D;
  // clang-format off
  return {
      row("routing", "", "two-choices", oneOf<RoutingMode>({{"two-choices", RoutingMode::TwoChoices}, {"random", RoutingMode::Random}, {"near-first", RoutingMode::NearFirst}}), &CallSettings::Routing, "How a target is picked; near-first suits platforms on which bytes between failure domains are dear, random is for comparison."),
      row("admission", "", "adaptive", oneOf<AdmissionMode>({{"adaptive", AdmissionMode::Adaptive}, {"slots", AdmissionMode::Slots}, {"off", AdmissionMode::Off}}), &CallSettings::Admission, "How much the target is given at once; slots and off are for comparison."),
      row("retry", "", "fetch", oneOf<RetryMode>({{"fetch", RetryMode::Fetch}, {"plain", RetryMode::Plain}}), &CallSettings::Retry, "What follows when no answer comes; plain may run a request twice and is for comparison."),
      row("choices", "", text(D.Choices), wholeNumber<std::uint32_t>(1, 16), &CallSettings::Choices, "Targets that are compared for each call."),
      row("region_cost_ms", "ms", text(D.RegionCost), milliseconds(0, 10000), &CallSettings::RegionCost, "Wait that another failure domain counts as."),
      row("remote_cost_ms", "ms", text(D.RemoteCost), milliseconds(0, 10000), &CallSettings::RemoteCost, "Wait that another region counts as."),
      row("load_max_age_ms", "ms", text(D.LoadMaxAge), milliseconds(10, 600000), &CallSettings::LoadMaxAge, "Age beyond which a load report is not believed."),
      row("domain_ramp_ms", "ms", text(D.DomainRampTime), milliseconds(0, 3600000), &CallSettings::DomainRampTime, "Time from a failure domain's return to its full load."),
      row("suspect_ms", "ms", text(D.SuspectTime), milliseconds(10, 600000), &CallSettings::SuspectTime, "Time for which a node that did not answer is avoided; longer each time."),
      row("heartbeat_ms", "ms", text(D.HeartbeatInterval), milliseconds(10, 60000), &CallSettings::HeartbeatInterval, "Silence after which a node is asked what became of a call."),
      row("fetch_timeout_ms", "ms", text(D.FetchTimeout), milliseconds(10, 60000), &CallSettings::FetchTimeout, "Longest wait for the reply to that question."),
      row("max_attempts", "", text(D.MaxAttempts), wholeNumber<std::uint32_t>(1, 64), &CallSettings::MaxAttempts, "Targets that a call is sent to at most, unless it can wait."),
      row("wait_limit_ms", "ms", text(D.WaitLimit), milliseconds(0, 3600000), &CallSettings::WaitLimit, "Longest time that a call on a route that can wait may queue."),
      row("max_held_bytes", "bytes", text(D.MaxHeldBytes), wholeNumber<std::size_t>(65536, 1073741824), &CallSettings::MaxHeldBytes, "Memory for requests that wait for their answers here."),
      row("retry_share", "", text(D.RetryShare), decimalNumber(0, 1), &CallSettings::RetryShare, "Retries that one success earns."),
      row("retry_reserve", "", text(D.RetryReserve), decimalNumber(0, 1000), &CallSettings::RetryReserve, "Most retries that are saved up."),
      row("cold_share", "", text(D.ColdShare), decimalNumber(0, 1), &CallSettings::ColdShare, "Share of the slots that a freshly started target is given."),
      row("latency_tolerance", "", text(D.LatencyTolerance), decimalNumber(1, 100), &CallSettings::LatencyTolerance, "Times the usual latency at which the target is given less."),
      row("caution_ms", "ms", text(D.CautionTime), milliseconds(0, 60000), &CallSettings::CautionTime, "Least time between two such cuts."),
      row("warm_ms", "ms", text(D.WarmTime), milliseconds(0, 3600000), &CallSettings::WarmTime, "Least time from a cold start to all slots."),
      row("idle_decay_ms", "ms", text(D.IdleDecayTime), milliseconds(1000, 86400000), &CallSettings::IdleDecayTime, "Idleness after which the target counts as cold."),
      row("probe_interval_ms", "ms", text(D.ProbeInterval), milliseconds(10, 60000), &CallSettings::ProbeInterval, "Time between two tries of a target that is down."),
      row("max_queue_bytes", "bytes", text(D.MaxQueueBytes), wholeNumber<std::size_t>(65536, 1073741824), &CallSettings::MaxQueueBytes, "Memory for requests that wait for the target."),
      row("waiting_share", "", text(D.WaitingShare), wholeNumber<std::uint32_t>(2, 1000), &CallSettings::WaitingShare, "One in so many slots goes to routes that can wait while others wait too."),
      row("max_kept_bytes", "bytes", text(D.MaxKeptBytes), wholeNumber<std::size_t>(65536, 1073741824), &CallSettings::MaxKeptBytes, "Memory for answers that may be asked for again."),
      row("keep_ms", "ms", text(D.KeepTime), milliseconds(1000, 600000), &CallSettings::KeepTime, "Longest time that such an answer is kept."),
      row("max_ledger_ids", "", text(D.MaxLedgerIds), wholeNumber<std::size_t>(1000, 10000000), &CallSettings::MaxLedgerIds, "Calls that are remembered so that none runs twice."),
      row("crash_limit", "", text(D.CrashLimit), wholeNumber<std::uint32_t>(1, 8), &CallSettings::CrashLimit, "Targets that a request may crash before it is refused."),
      row("crash_memory_ms", "ms", text(D.CrashMemory), milliseconds(1000, 86400000), &CallSettings::CrashMemory, "Time for which a crash is remembered."),
  };
  // clang-format on
}

} // namespace fescuewood
