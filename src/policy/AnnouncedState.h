/// \file
/// What a target has announced in its answers, as its node keeps to it.

#ifndef FESCUEWOOD_POLICY_ANNOUNCEDSTATE_H
#define FESCUEWOOD_POLICY_ANNOUNCEDSTATE_H

#include "core/Clock.h"
#include "policy/NamedLimit.h"
#include "policy/TargetNotice.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace fescuewood {

/// Announced state of one target. Not thread-safe.
class AnnouncedState {
public:
  /// What an answer changed.
  struct Change {
    bool Limit = false;
    bool LimitUnreadable = false; ///< The named limit cannot be read any more.
    bool Leaving = false;         ///< The target has begun to leave.
  };

  /// Names the target beside the node. Another one, or another start of the
  /// same one, has announced nothing yet.
  /// \param StartedAtMs 0 if not known, which is no other start.
  void setTarget(std::string_view Id, std::uint64_t StartedAtMs, TimeMs Now);

  /// Applies an answer of this target to a request that was sent at \p SentAt.
  /// An answer to an earlier request than the target was named is another
  /// target's.
  Change onAnswer(const TargetNotice &Notice, TimeMs SentAt, TimeMs Now);

  void onRequestSent(TimeMs Now) { Limit.onStart(Now); }

  /// Whether this process has seen an answer of the target.
  bool known() const { return Known; }

  /// Whether the target leaves; it stays so until another one is named.
  bool leaving() const { return Leaving; }

  const NamedLimit &limit() const { return Limit; }

  /// Concurrent requests that use up the named rate, at least 1, if each takes
  /// \p Latency; the largest number without a limit.
  std::uint32_t concurrency(DurationMs Latency) const;

private:
  std::string TargetId;
  std::uint64_t StartedAtMs = 0;
  TimeMs NamedAt{0}; ///< When this target was named.
  bool Known = false;
  bool LimitUnreadable = false; ///< In the latest answer.
  bool Leaving = false;
  NamedLimit Limit;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_ANNOUNCEDSTATE_H
