/// \file
/// Stops a request that crashes each target that runs it.
///
/// A node that sees its target break off while it runs requests reports each of
/// them with \ref CrashGuard::onCrash. A request is known by its fingerprint of
/// organisation, route and content. After a few distinct crashes it is refused
/// everywhere; other requests of the organisation go on. A success clears it,
/// since a request that runs does not crash targets.
///
/// Marks are shared with calls and their replies: \ref CrashGuard::encode and
/// \ref CrashGuard::merge. Merging is a union, so that order, loss and
/// repetition do not matter. Marks are bounded in number and expire.

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

/// Tells requests apart that would run the same way.
using RequestFingerprint = std::uint64_t;

/// The fingerprint of a request: organisation, route, method, path and query,
/// and body; costs one digest over them.
RequestFingerprint fingerprintOf(const CallRequest &Request);

/// One crash of one target, the same for every request that it broke off.
using CrashId = std::uint64_t;

/// Behaviour of a \ref CrashGuard.
struct CrashGuardSettings {
  std::uint32_t CrashLimit = 2; ///< Crashes after which it is refused.
  DurationMs Memory{600000};    ///< A crash is remembered this long.
  DurationMs FirstTrial{60000}; ///< Refusal before one request is let by.
};

/// Requests and crashes of each that are remembered.
inline constexpr std::size_t MaxCrashMarks = 128;
inline constexpr std::size_t MaxCrashesPerMark = 8;

/// Marks that travel in one message; the newest go first.
inline constexpr std::size_t MaxCrashMarksSent = 16;

/// Factor by which the time to the next trial grows with each further crash.
inline constexpr std::int64_t TrialBackoff = 4;

/// What is known of crashing requests. Not thread-safe.
class CrashGuard {
public:
  explicit CrashGuard(CrashGuardSettings Settings) : Settings(Settings) {}

  /// Records that a target crashed while it ran a request. Returns whether the
  /// request is refused from now on because of this crash.
  bool onCrash(RequestFingerprint Request, CrashId Crash, TimeMs Now);

  /// Records that a request was answered whole.
  void onSuccess(RequestFingerprint Request);

  /// Whether a request shall be refused. Now and then one is let by as a trial.
  bool shouldRefuse(RequestFingerprint Request, TimeMs Now);

  /// Whether nothing is marked, so that fingerprints need not be computed.
  bool empty() const { return Marks.empty(); }

  /// Drops what has expired.
  void expire(TimeMs Now);

  /// Requests refused at present.
  std::size_t quarantined() const;

  /// The newest marks, for a message; empty when there are none.
  std::string encode(TimeMs Now) const;

  /// Takes in the marks of a message. Malformed ones are ignored.
  void merge(std::string_view Bytes, TimeMs Now);

private:
  struct Crash {
    TimeMs When;
    bool Cleared = false; ///< The request has run whole since.
  };

  struct Mark {
    std::map<CrashId, Crash> Crashes;
    TimeMs Newest;
    std::optional<TimeMs> Trial; ///< When the last trial was let by.
  };

  static std::size_t standing(const Mark &Entry);
  void add(RequestFingerprint Request, CrashId Id, Crash Entry);

  CrashGuardSettings Settings;
  std::map<RequestFingerprint, Mark> Marks;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_CRASHGUARD_H
