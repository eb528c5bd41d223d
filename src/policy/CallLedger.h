/// \file
/// Ledger of the calls at one target, which ensures that each call id runs at
/// most once.
///
/// The target's node calls \ref CallLedger::begin before it runs a call and
/// records the result with \ref CallLedger::finish or \ref CallLedger::refuse.
/// An entry node that receives no answer looks up the id. If the id was never
/// seen, it is fenced: the call is refused if it arrives later.
///
/// An answer is stored for as long as its entry node may ask for it: until a
/// time given to \ref CallLedger::finish or until \ref CallLedger::release.
///
/// The ledger is bounded in ids, bytes and age. Eviction preserves the
/// guarantee: ids are evicted in the order in which they were first seen, \ref
/// CallLedger::remembered tells how far back the ledger is complete, and an id
/// at or below the highest evicted one of its entry node never runs.

#ifndef FESCUEWOOD_POLICY_CALLLEDGER_H
#define FESCUEWOOD_POLICY_CALLLEDGER_H

#include "calls/Call.h"
#include "core/Clock.h"
#include "core/ResultCode.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace fescuewood {

/// Limits of a \ref CallLedger.
struct CallLedgerLimits {
  std::size_t MaxIds = 100000;
  std::size_t MaxKeptBytes = 24 << 20; ///< Total of all stored answers.
  DurationMs KeepAnswers{20000};       ///< At most, from the end of the call.
  DurationMs KeepIds{120000};          ///< From the first arrival of the id.
};

/// Largest number of entry node incarnations whose watermark is stored.
inline constexpr std::size_t MaxLedgerIncarnations = 8192;

/// State of one call.
struct LedgerEntry {
  enum class State : std::uint8_t {
    Running, ///< Queued or at the target.
    Done,    ///< It ended at the target; \ref Answer holds the result.
    Refused, ///< It has not run here and never will.
  };

  State Progress = State::Running;
  ResultCode Reason = ResultCode::Ok; ///< Reason of a refusal.
  std::string Answer;     ///< Encoded; empty once it has been dropped.
  TimeMs FirstSeen;       ///< First arrival or fence of the id.
  TimeMs KeepUntil;       ///< Expiry of \ref Answer.
  bool HasAnswer = false; ///< Whether \ref Answer is stored.
};

/// Calls at the target of one node. Not thread-safe: owned by one duty.
class CallLedger {
public:
  enum class Arrival : std::uint8_t {
    New,   ///< Recorded as running; the caller of \ref begin must run it.
    Known, ///< Seen or fenced before; \ref find returns its state.
    Stale, ///< May have been evicted; must not run.
  };

  CallLedger(CallLedgerLimits Limits, TimeMs Now);

  /// Records the arrival of a request with this id.
  Arrival begin(const CallId &Id, TimeMs Now);

  /// Records the end of a running call and stores its encoded answer until
  /// \p KeepUntil. Returns the number of answers that were dropped to make room
  /// for it.
  std::size_t finish(const CallId &Id, std::string Answer, TimeMs KeepUntil,
                     TimeMs Now);

  /// Drops the answer of a call that nobody will ask for. The call stays known.
  void release(const CallId &Id);

  /// Records that a call from \ref begin was not executed and never will be.
  void refuse(const CallId &Id, ResultCode Reason);

  /// Prevents an id that has not been seen from ever running. Returns whether
  /// the call is fenced or refused; false if it has arrived or if its entry may
  /// have been evicted.
  bool fence(const CallId &Id, TimeMs Now);

  /// Returns the entry of an id, or null. Valid until the next modification.
  const LedgerEntry *find(const CallId &Id) const;

  /// Age up to which the ledger is complete: each id first seen more recently
  /// than this has an entry.
  DurationMs remembered(TimeMs Now) const;

  /// Evicts entries and answers that exceed the age limits.
  void expire(TimeMs Now);

  std::size_t size() const { return Entries.size(); }
  std::size_t keptBytes() const { return KeptBytes; }

private:
  /// Highest evicted sequence of one entry node incarnation.
  struct Watermark {
    std::uint64_t Sequence = 0;
    TimeMs RaisedAt;
  };

  using EntryMap = std::map<CallId, LedgerEntry>;

  bool belowWatermark(const CallId &Id) const;
  void add(const CallId &Id, LedgerEntry Entry);
  void dropAnswer(const CallId &Id, LedgerEntry &Entry);
  std::size_t makeRoom(const CallId &Newest);
  bool evictOldest();
  void raiseWatermark(const CallId &Id, TimeMs Now);

  CallLedgerLimits Limits;
  EntryMap Entries;
  std::list<CallId> IdsByFirstSeen;              ///< Oldest first.
  std::set<std::pair<TimeMs, CallId>> Answers;   ///< Stored ones, by expiry.
  std::map<std::uint64_t, Watermark> Watermarks; ///< By incarnation.
  std::size_t KeptBytes = 0;
  TimeMs CompleteSince; ///< Ids first seen after this have an entry.
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_CALLLEDGER_H
