/// \file
/// What callers, targets and the driver of a soak have seen. Times are those of
/// the machine's monotonic clock, which all processes share.

#ifndef FESCUEWOOD_SOAK_HISTORY_H
#define FESCUEWOOD_SOAK_HISTORY_H

#include "core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace fescuewood::soak {

/// A request that a caller sent once. An ID that is sent twice is two of them.
struct Send {
  std::string Id;
  std::string Method = "GET";
  std::string Path;
  std::string RequestBody;
  std::string Key;         ///< API key; empty for none.
  bool Repeatable = true;  ///< May run more than once.
  std::size_t Node = 0;    ///< Index of the node that the caller sent it to.
  std::int64_t SentMs = 0; ///< Read before the first byte was written.
  std::int64_t EndMs = 0;  ///< Read after the last byte arrived; 0: no end.
  int Status = 0;          ///< 0 if there was no complete answer.
  std::string AnsweredId;  ///< ID of the request that the answer names.
  std::string Signature;   ///< Signature of the run that the answer names.
  std::string Body;
  std::string Stray; ///< Bytes that came while no request was waiting.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Send, Id, Method, Path, RequestBody, Key,
                                   Repeatable, Node, SentMs, EndMs, Status,
                                   AnsweredId, Signature, Body, Stray)

/// A run of a request, recorded by the target before it answered.
struct Run {
  std::string Id;
  std::string Target;    ///< ID of the target at its present start.
  std::size_t Node = 0;  ///< Index of the node beside the target.
  std::string Signature; ///< Differs for each run.
  std::string Method;
  std::string Path;
  std::string RequestBody;
  std::string Organisation; ///< As the target was told.
  bool SawKey = false;      ///< The API key itself was passed on.
  std::int64_t BeganMs = 0;
  int Status = 200;
  std::string Body; ///< The whole body of its answer.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Run, Id, Target, Node, Signature, Method,
                                   Path, RequestBody, Organisation, SawKey,
                                   BeganMs, Status, Body)

/// The store has taken a configuration without the key.
struct Withdrawal {
  std::string Key;
  std::int64_t AckMs = 0;
};

/// The store has taken the report that a target leaves.
struct Departure {
  std::string Target;
  std::int64_t AckMs = 0;
};

/// A time in which bounds do not hold for a node, or for all of them.
struct Disturbance {
  std::optional<std::size_t> Node; ///< Empty: the store is disturbed.
  std::int64_t FromMs = 0;
  std::int64_t ToMs = 0;
};

/// The time of any fault.
struct FaultTime {
  std::int64_t FromMs = 0;
  std::int64_t ToMs = 0;
  bool StopsANode = false; ///< Calls to it stay open meanwhile.
  /// Calls that its target takes meanwhile stay open to their deadlines.
  bool SilencesATarget = false;
};

/// Exit codes of a node after SIGTERM.
inline constexpr int DrainedCode = 0;
inline constexpr int DrainTimedOutCode = 3;

/// How a node ended after SIGTERM.
struct Drain {
  std::size_t Node = 0;
  std::int64_t FromMs = 0;
  std::int64_t ToMs = 0;
  int Code = 0;
  std::size_t OwnFault = 0; ///< Index of the SIGTERM in \ref FaultTimes.
};

/// A process that ended although nobody stopped it.
struct UnexpectedEnd {
  std::string Process;
  std::int64_t AtMs = 0;
  std::string Detail;
};

/// The whole history of one soak.
struct History {
  std::deque<Send> Sends; ///< References stay valid while it grows.
  std::vector<Run> Runs;
  std::vector<Withdrawal> Withdrawals;
  std::vector<Departure> Departures;
  std::vector<Disturbance> Disturbances;
  std::vector<FaultTime> FaultTimes;
  std::vector<Drain> Drains;
  std::vector<UnexpectedEnd> Ends;
  std::size_t NodeCount = 0;
  std::int64_t LastFaultEndMs = 0;
};

} // namespace fescuewood::soak

#endif // FESCUEWOOD_SOAK_HISTORY_H
