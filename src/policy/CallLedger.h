/// \file
/// Remembers what became of each call id, so that none runs twice.
///
/// The node beside a target asks \ref CallLedger::begin before it runs a call
/// and records the end with \ref CallLedger::finish or \ref CallLedger::refuse.
/// An entry node whose answer does not come has the id looked up and, when it
/// was never seen, fenced: it is refused should it still arrive.
///
/// Ids and answers are bounded in number, bytes and time. Forgetting is safe:
/// ids are forgotten in the order in which they were seen; \ref
/// CallLedger::remembered tells from when on the ledger is complete; and an id
/// at or below the highest forgotten one of its entry node is never run.

#ifndef FESCUEWOOD_POLICY_CALLLEDGER_H
#define FESCUEWOOD_POLICY_CALLLEDGER_H

#include "calls/Call.h"
#include "core/Clock.h"
#include "core/ResultCode.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <string>

namespace fescuewood {

/// Bounds of a \ref CallLedger.
struct CallLedgerLimits {
  std::size_t MaxIds = 100000;
  std::size_t MaxKeptBytes = 24 << 20; ///< All kept answers together.
  DurationMs KeepAnswers{20000};
  DurationMs KeepIds{120000};
};

/// Entry nodes of which the highest forgotten sequence is kept.
inline constexpr std::size_t MaxLedgerIncarnations = 8192;

/// What became of one call.
struct LedgerEntry {
  enum class State : std::uint8_t {
    Running, ///< Queued or at the target.
    Done,    ///< It ended at the target; \ref Answer holds what came of it.
    Refused, ///< It has not run here and never will.
  };

  State Progress = State::Running;
  ResultCode Reason = ResultCode::Ok; ///< Why, when refused.
  std::string Answer; ///< Encoded; empty when done and no longer kept.
  TimeMs Seen;        ///< When the id was first heard of.
  TimeMs Finished;    ///< When it ended at the target.
  bool Kept = false;  ///< Whether \ref Answer is still held.
};

/// The calls of one node's target. Not thread-safe: one duty owns it.
class CallLedger {
public:
  enum class Arrival : std::uint8_t {
    New,   ///< Now recorded as running; the caller of begin shall run it.
    Known, ///< Seen or fenced before; see \ref find.
    Stale, ///< So old that it may have been forgotten; it must not run.
  };

  CallLedger(CallLedgerLimits Limits, TimeMs Now);

  /// Records the arrival of a request with this id.
  Arrival begin(const CallId &Id, TimeMs Now);

  /// Records the end of a running call and keeps its encoded answer.
  void finish(const CallId &Id, std::string Answer, TimeMs Now);

  /// Records that a running call has not run and never will.
  void refuse(const CallId &Id, ResultCode Reason);

  /// Makes sure that an id that was not seen never runs. Returns whether it
  /// was fenced now or before; false when it was seen, or may have been
  /// forgotten.
  bool fence(const CallId &Id, TimeMs Now);

  /// The entry of an id, or null. Valid until the next change.
  const LedgerEntry *find(const CallId &Id) const;

  /// A span: every id that was seen less than it ago is remembered.
  DurationMs remembered(TimeMs Now) const;

  /// Forgets what is older than the limits allow.
  void expire(TimeMs Now);

  std::size_t size() const { return Entries.size(); }
  std::size_t keptBytes() const { return KeptBytes; }

private:
  struct Watermark {
    std::uint64_t Sequence = 0;
    TimeMs Raised;
  };

  using EntryMap = std::map<CallId, LedgerEntry>;

  bool belowWatermark(const CallId &Id) const;
  void add(const CallId &Id, LedgerEntry Entry);
  void dropAnswer(LedgerEntry &Entry);
  bool forgetOldest();
  void raiseWatermark(const CallId &Id, TimeMs Now);

  CallLedgerLimits Limits;
  EntryMap Entries;
  std::list<CallId> BySeen;   ///< Oldest first.
  std::list<CallId> ByAnswer; ///< Those that keep an answer, oldest first.
  std::map<std::uint64_t, Watermark> Watermarks; ///< By incarnation.
  std::size_t KeptBytes = 0;
  TimeMs CompleteSince; ///< Every id seen after this is remembered.
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_CALLLEDGER_H
