/// \file
/// Whether a source answers, judged by its reads, and the events that tell so.

#ifndef FESCUEWOOD_SOURCES_SOURCEHEALTH_H
#define FESCUEWOOD_SOURCES_SOURCEHEALTH_H

#include "core/Event.h"
#include "core/ResultCode.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

namespace fescuewood {

/// Told of each read by the one thread that reads; \ref failures may be asked
/// by any.
class SourceHealth {
public:
  /// \param OnState the source has become unreachable (false) or answers again
  /// (true); may be empty.
  SourceHealth(std::function<void(bool Reachable)> OnState, EventHook OnEvent);

  /// A read succeeded. Returns whether the source was out until now.
  bool succeeded();

  /// A read failed. Returns whether the source counts as out from now on.
  bool failed(ResultCode Reason, const std::string &Detail);

  /// Failed reads since the last one that succeeded.
  unsigned failuresInARow() const { return InARow; }

  /// Failed reads in all.
  std::uint64_t failures() const { return All.load(); }

private:
  void emit(EventId Id, std::vector<EventField> Fields = {}) const;
  void tell(bool NowReachable, EventId Id);

  std::function<void(bool)> OnState;
  EventHook OnEvent;
  unsigned InARow = 0;
  ResultCode LastFailure = ResultCode::Ok;
  bool Reachable = true;
  std::atomic<std::uint64_t> All = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_SOURCEHEALTH_H
