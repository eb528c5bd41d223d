/// \file
/// State that the entry side and the target side of a node share.

#ifndef FESCUEWOOD_CALLS_CALLCONTEXT_H
#define FESCUEWOOD_CALLS_CALLCONTEXT_H

#include "calls/CallEngine.h"
#include "calls/CallStatus.h"
#include "core/Clock.h"
#include "core/Event.h"
#include "intent/Snapshot.h"
#include "nodes/CallMessages.h"
#include "policy/CallSettings.h"
#include "policy/CrashGuard.h"
#include "policy/DependentAdmission.h"
#include "policy/ParentRequests.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace fescuewood {

/// Time after a call's deadline during which its final reply is still accepted.
inline constexpr DurationMs AnswerGrace{100};

/// Receives the reply to a CallStart message; called at most once.
using CallReplyHook = std::function<void(const CallReply &)>;

/// Identity, settings, hooks and shared state. Not thread-safe.
struct CallContext {
  CallContext(CallIdentity Identity, const CallSettings &Settings,
              CallHooks Hooks, Clock Time)
      : Identity(std::move(Identity)), Settings(Settings),
        Hooks(std::move(Hooks)), Time(std::move(Time)),
        Guard({Settings.CrashLimit, Settings.CrashMemory}),
        Parents(this->Identity.Scheme.ChildIdSeparator),
        Process(processId(this->Identity.Name, this->Identity.Incarnation)) {}

  CallIdentity Identity;
  CallSettings Settings;
  CallHooks Hooks;
  Clock Time;
  SnapshotPtr Config; ///< Null until a configuration is in force.
  CrashGuard Guard;
  ParentRequests Parents; ///< Requests that the local target is running.
  /// Admission by the inner calls of these requests, see
  /// CallSettings::Dependent.
  DependentAdmission Dependents;
  const std::uint64_t Process; ///< Of this node, see \ref processId.
  CallStatus Counters;
  /// Set while the node drains: a call that may end later is not taken.
  std::optional<TimeMs> DrainEnd;
  /// Set from the beginning of a shutdown, before the drain: a call that may
  /// end later does not begin on the target if it can run elsewhere.
  std::optional<TimeMs> LeaveEnd;

  TimeMs now() const { return Time.now(); }

  bool limitsDependents() const {
    return Settings.Dependent == DependentMode::On;
  }

  /// Whether a call with this deadline may outlast the drain of the node.
  bool outlastsDrain(TimeMs Deadline) const {
    return DrainEnd && Deadline > *DrainEnd;
  }

  /// Whether a call with this deadline may outlast the shutdown of the node,
  /// which has begun.
  bool outlastsShutdown(TimeMs Deadline) const {
    return LeaveEnd && Deadline > *LeaveEnd;
  }

  void report(EventId Id, std::vector<EventField> Fields) const {
    if (Hooks.OnEvent)
      Hooks.OnEvent({Id, std::move(Fields)});
  }

  /// Runs a step, or queues it if another step is running. A hook that reports
  /// its result immediately thus never changes state within a running step.
  void run(std::function<void()> Step) {
    Steps.push_back(std::move(Step));
    if (Running)
      return;
    Running = true;
    while (!Steps.empty()) {
      const std::function<void()> Next = std::move(Steps.front());
      Steps.pop_front();
      Next();
    }
    Running = false;
  }

private:
  std::deque<std::function<void()>> Steps;
  bool Running = false;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_CALLCONTEXT_H
