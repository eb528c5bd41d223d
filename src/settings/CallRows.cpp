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
  return keyRow<NodeSettings>(
      "calls", Name, Unit, std::move(Default), std::move(Form),
      nestedMember(&NodeSettings::Calls, Member), Meaning);
}

} // namespace

std::vector<KeyRow<NodeSettings>> callRows() {
  const CallSettings Defaults;
  // clang-format off
  return {
      row("routing", "", "two-choices", oneOf<RoutingMode>({{"two-choices", RoutingMode::TwoChoices}, {"random", RoutingMode::Random}, {"near-first", RoutingMode::NearFirst}, {"earliest-finish", RoutingMode::EarliestFinish}}), &CallSettings::Routing, "How a target is selected; near-first suits platforms where traffic between failure domains is expensive, earliest-finish such platforms whose targets differ in speed, random is for comparison."),
      row("admission", "", "adaptive", oneOf<AdmissionMode>({{"adaptive", AdmissionMode::Adaptive}, {"slots", AdmissionMode::Slots}, {"off", AdmissionMode::Off}}), &CallSettings::Admission, "How the concurrency of the target is limited; slots and off are for comparison."),
      row("retry", "", "fetch", oneOf<RetryMode>({{"fetch", RetryMode::Fetch}, {"plain", RetryMode::Plain}}), &CallSettings::Retry, "What to do when no response arrives; plain may run a request twice and is for comparison."),
      row("choices", "", text(Defaults.Choices), wholeNumber<std::uint32_t>(1, 16), &CallSettings::Choices, "Targets that are compared for each call."),
      row("region_cost_ms", "ms", text(Defaults.RegionCost), milliseconds(0, 10000), &CallSettings::RegionCost, "Routing cost of another failure domain, as a wait."),
      row("remote_cost_ms", "ms", text(Defaults.RemoteCost), milliseconds(0, 10000), &CallSettings::RemoteCost, "Routing cost of another region, as a wait."),
      row("load_max_age_ms", "ms", text(Defaults.LoadMaxAge), milliseconds(10, 600000), &CallSettings::LoadMaxAge, "Age after which a load report is ignored."),
      row("domain_ramp_ms", "ms", text(Defaults.DomainRampTime), milliseconds(0, 3600000), &CallSettings::DomainRampTime, "Time from the return of a failure domain to its full load."),
      row("suspect_ms", "ms", text(Defaults.SuspectTime), milliseconds(10, 600000), &CallSettings::SuspectTime, "Time for which a node that did not answer is avoided; increases with each failure."),
      row("heartbeat_ms", "ms", text(Defaults.HeartbeatInterval), milliseconds(10, 60000), &CallSettings::HeartbeatInterval, "Time without a message about a call after which its node is queried."),
      row("fetch_timeout_ms", "ms", text(Defaults.FetchTimeout), milliseconds(10, 60000), &CallSettings::FetchTimeout, "Timeout for the reply to that query."),
      row("max_attempts", "", text(Defaults.MaxAttempts), wholeNumber<std::uint32_t>(1, 64), &CallSettings::MaxAttempts, "Maximum number of targets that a call is sent to, unless it can wait."),
      row("wait_limit_ms", "ms", text(Defaults.WaitLimit), milliseconds(0, 3600000), &CallSettings::WaitLimit, "Maximum queueing time of a call on a route that can wait."),
      row("max_held_bytes", "bytes", text(Defaults.MaxHeldBytes), wholeNumber<std::size_t>(65536, 1073741824), &CallSettings::MaxHeldBytes, "Memory limit for requests that await a response on this node."),
      row("retry_share", "", text(Defaults.RetryShare), decimalNumber(0, 1), &CallSettings::RetryShare, "Retries added to the retry budget by one success."),
      row("retry_reserve", "", text(Defaults.RetryReserve), decimalNumber(0, 1000), &CallSettings::RetryReserve, "Maximum size of the retry budget."),
      row("cold_share", "", text(Defaults.ColdShare), decimalNumber(0, 1), &CallSettings::ColdShare, "Fraction of the slots that a newly started target gets."),
      row("latency_tolerance", "", text(Defaults.LatencyTolerance), decimalNumber(1, 100), &CallSettings::LatencyTolerance, "Multiple of the usual latency at which the concurrency limit is reduced."),
      row("caution_ms", "ms", text(Defaults.CautionTime), milliseconds(0, 60000), &CallSettings::CautionTime, "Minimum time between two such reductions."),
      row("warm_ms", "ms", text(Defaults.WarmTime), milliseconds(0, 3600000), &CallSettings::WarmTime, "Minimum time from a cold start to the use of all slots."),
      row("idle_decay_ms", "ms", text(Defaults.IdleDecayTime), milliseconds(1000, 86400000), &CallSettings::IdleDecayTime, "Idle time after which the target is considered cold."),
      row("probe_interval_ms", "ms", text(Defaults.ProbeInterval), milliseconds(10, 60000), &CallSettings::ProbeInterval, "Interval between attempts to reach a target that is down."),
      row("queue_order", "", "arrival", oneOf<QueueOrder>({{"arrival", QueueOrder::Arrival}, {"objective", QueueOrder::Objective}}), &CallSettings::Order, "Which queued requests of an organisation and priority run first; objective: those that can still meet their latency objective, and without room the request whose rejection costs callers least gives way."),
      row("dependent_admission", "", "off", oneOf<DependentMode>({{"off", DependentMode::Off}, {"on", DependentMode::On}}), &CallSettings::Dependent, "Whether a node refuses requests of a route while the calls that its target makes for them find no room at the called service in time."),
      row("max_queue_bytes", "bytes", text(Defaults.MaxQueueBytes), wholeNumber<std::size_t>(65536, 1073741824), &CallSettings::MaxQueueBytes, "Memory limit for requests queued for the target."),
      row("waiting_share", "", text(Defaults.WaitingShare), wholeNumber<std::uint32_t>(2, 1000), &CallSettings::WaitingShare, "One in this many slots is assigned to routes that can wait while other requests are queued as well."),
      row("max_kept_bytes", "bytes", text(Defaults.MaxKeptBytes), wholeNumber<std::size_t>(65536, 1073741824), &CallSettings::MaxKeptBytes, "Memory limit for responses that a node receives, keeps for other nodes or joins, whatever its machine."),
      row("answer_memory_share", "", text(Defaults.AnswerMemoryShare), decimalNumber(0.01, 0.9), &CallSettings::AnswerMemoryShare, "Fraction of the machine's memory that these responses may use; the smaller limit applies."),
      row("keep_ms", "ms", text(Defaults.KeepTime), milliseconds(1000, 600000), &CallSettings::KeepTime, "Maximum time for which such a response is kept; it is dropped earlier once nobody can ask for it."),
      row("link_mbps", "Mbit/s", text(Defaults.LinkMbps), decimalNumber(0, 100000), &CallSettings::LinkMbps, "Rate of the machine's link in each direction, by which large responses and bodies are sent in turn so that small ones are not late; 0 to send all at once."),
      row("link_share", "", text(Defaults.LinkShare), decimalNumber(0.1, 1), &CallSettings::LinkShare, "Fraction of `link_mbps` that is scheduled; the rest is for headers of the network and for messages that are not scheduled."),
      row("max_ledger_ids", "", text(Defaults.MaxLedgerIds), wholeNumber<std::size_t>(1000, 10000000), &CallSettings::MaxLedgerIds, "Number of calls that are remembered to prevent duplicate execution."),
      row("crash_limit", "", text(Defaults.CrashLimit), wholeNumber<std::uint32_t>(1, 8), &CallSettings::CrashLimit, "Number of targets that a request may crash before it is rejected."),
      row("crash_memory_ms", "ms", text(Defaults.CrashMemory), milliseconds(1000, 86400000), &CallSettings::CrashMemory, "Time for which a crash is remembered."),
  };
  // clang-format on
}

} // namespace fescuewood
