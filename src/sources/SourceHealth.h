/// \file
/// Reachability of a source, derived from the results of its reads.
///
/// Emits an event and calls a hook when the source becomes unreachable or
/// reachable again.

#ifndef FESCUEWOOD_SOURCES_SOURCEHEALTH_H
#define FESCUEWOOD_SOURCES_SOURCEHEALTH_H

#include "core/Event.h"
#include "core/ResultCode.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

namespace fescuewood {

/// Reachability of one source. Not thread-safe, except for \ref totalFailures.
class SourceHealth {
public:
  /// \param OnReachabilityChange called when the source becomes unreachable
  /// (false) or reachable again (true); may be empty.
  SourceHealth(std::function<void(bool Reachable)> OnReachabilityChange,
               EventHook OnEvent);

  /// Records a successful read. Returns whether the source was unreachable
  /// until now.
  bool onSuccess();

  /// Records a failed read. Returns whether it makes the source unreachable.
  bool onFailure(ResultCode Reason, const std::string &Detail);

  /// Failed reads since the last successful one.
  unsigned consecutiveFailures() const { return ConsecutiveFailures; }

  /// Failed reads since construction. Callable from any thread.
  std::uint64_t totalFailures() const { return TotalFailures.load(); }

private:
  void emit(EventId Id, std::vector<EventField> Fields = {}) const;
  void setReachable(bool NowReachable, EventId Id);

  std::function<void(bool)> OnReachabilityChange;
  EventHook OnEvent;
  unsigned ConsecutiveFailures = 0;
  ResultCode LastFailure = ResultCode::Ok;
  bool Reachable = true;
  std::atomic<std::uint64_t> TotalFailures = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_SOURCEHEALTH_H
