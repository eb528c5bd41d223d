/// \file
/// Quarantine for requests that crash the targets that run them.
///
/// A node whose target crashes reports each request that the target was running
/// with \ref CrashGuard::onCrash. A request is identified by a fingerprint of
/// its organisation, route and content. After a few distinct crashes it is
/// refused on all nodes; other requests of the organisation are not affected. A
/// successful run clears its crashes, because a request that can run does not
/// crash targets.
///
/// Nodes exchange crash marks in calls and replies, with \ref
/// CrashGuard::encode and \ref CrashGuard::merge. Merging is a set union, which
/// tolerates reordering, loss and repetition of messages. Marks are bounded in
/// number and expire.

#ifndef FESCUEWOOD_POLICY_CRASHGUARD_H
#define FESCUEWOOD_POLICY_CRASHGUARD_H

#include "calls/Call.h"
#include "core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// Identifies requests with the same content.
using RequestFingerprint = std::uint64_t;

/// Fingerprint of a request: a digest of its organisation, route, method, path
/// and query, and body.
RequestFingerprint fingerprintOf(const CallRequest &Request);

/// Identifies one crash of one target; shared by all requests it aborted.
using CrashId = std::uint64_t;

/// Configuration of a \ref CrashGuard.
struct CrashGuardSettings {
  std::uint32_t CrashLimit = 2; ///< Crashes that quarantine a request.
  DurationMs Memory{600000};    ///< Lifetime of a crash mark.
  DurationMs FirstTrial{60000}; ///< Time until the first trial.
};

/// Largest number of requests with crash marks, and of crashes of each.
inline constexpr std::size_t MaxCrashMarks = 128;
inline constexpr std::size_t MaxCrashesPerMark = 8;

/// Largest number of requests whose marks are sent in one message; the newest
/// are sent.
inline constexpr std::size_t MaxCrashMarksSent = 16;

/// Factor on the time to the next trial for each crash above the limit.
inline constexpr std::int64_t TrialBackoff = 4;

/// Crash marks of requests. Not thread-safe.
class CrashGuard {
public:
  explicit CrashGuard(CrashGuardSettings Settings) : Settings(Settings) {}

  /// Records that a target crashed while it ran a request. Returns whether this
  /// crash quarantines the request.
  bool onCrash(RequestFingerprint Request, CrashId Crash, TimeMs Now);

  /// Records that a request received a complete answer.
  void onSuccess(RequestFingerprint Request);

  /// Whether to refuse a request. Lets a quarantined request through from time
  /// to time as a trial.
  bool shouldRefuse(RequestFingerprint Request, TimeMs Now);

  /// Whether there are no marks, so that no fingerprint need be computed.
  bool empty() const { return Marks.empty(); }

  /// Drops expired marks.
  void expire(TimeMs Now);

  /// Number of requests in quarantine.
  std::size_t quarantined() const;

  /// Encodes the newest marks for a message; empty if there are none.
  std::string encode(TimeMs Now) const;

  /// Merges the marks of a message. Malformed messages are ignored.
  void merge(std::string_view Bytes, TimeMs Now);

private:
  struct Crash {
    TimeMs At;
    bool Cleared = false; ///< The request has succeeded since.
  };

  struct Mark {
    std::map<CrashId, Crash> Crashes;
    TimeMs Newest;
    std::optional<TimeMs> Trial; ///< Time of the last trial.
  };

  static std::size_t activeCrashes(const Mark &Entry);
  void add(RequestFingerprint Request, CrashId Id, Crash Entry);

  CrashGuardSettings Settings;
  std::map<RequestFingerprint, Mark> Marks;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_CRASHGUARD_H
