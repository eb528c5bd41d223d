/// \file
/// The order and the times in which transfers pass one direction of a machine's
/// link.
///
/// Answers the load of large messages on a narrow link: 64 kB keep a link of
/// 10 Mbit/s busy for 52 ms, and small messages behind them are late. Large
/// messages are therefore sent in pieces of at most \ref LinkPieceBytes, and
/// each piece waits for its turn here. Small messages wait for no turn; they
/// are reported with \ref LinkSchedule::onSent.
///
/// Pieces get their turn one after the other at the rate of the link, those
/// with the earliest deadline first. Whoever drives the schedule calls
/// \ref LinkSchedule::release after \ref LinkSchedule::add and at
/// \ref LinkSchedule::nextDue.

#ifndef FESCUEWOOD_POLICY_LINKSCHEDULE_H
#define FESCUEWOOD_POLICY_LINKSCHEDULE_H

#include "core/Clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace fescuewood {

/// Largest piece that waits for a turn, in bytes. It takes a link of 10 Mbit/s
/// 13 ms, which is what a small message waits at most.
inline constexpr std::size_t LinkPieceBytes = 16 * 1024;

/// Largest message, or piece of one, that is sent without a turn, in bytes.
inline constexpr std::size_t SmallMessageBytes = 8 * 1024;

/// Lateness of turns that is made up for while transfers wait; the thread that
/// releases them runs every 5 ms.
inline constexpr DurationMs MaxLateTurn{10};

/// Bytes that a link of \p Mbps megabits per second carries in a millisecond.
constexpr double linkBytesPerMs(double Mbps) { return Mbps * 125; }

/// Identifies a queued transfer.
struct LinkTransferId {
  TimeMs Deadline;
  std::uint64_t Number = 0; ///< In order of arrival, from 1.

  auto operator<=>(const LinkTransferId &) const = default;
};

/// One direction of a link. Not thread-safe.
class LinkSchedule {
public:
  using TurnHook = std::function<void()>;

  /// \param BytesPerMs rate of the link; 0 if transfers are not delayed.
  explicit LinkSchedule(double BytesPerMs) : BytesPerMs(BytesPerMs) {}

  /// Whether the link has a rate.
  bool limited() const { return BytesPerMs > 0; }

  /// Queues a transfer. \p OnTurn is called within \ref release.
  LinkTransferId add(std::size_t Bytes, TimeMs Deadline, TurnHook OnTurn,
                     TimeMs Now);

  /// Removes a transfer without calling its hook. Returns whether it was
  /// queued.
  bool remove(const LinkTransferId &Id);

  /// Accounts for bytes that pass the link without a turn.
  void onSent(std::size_t Bytes, TimeMs Now);

  /// Calls the hooks of all transfers that are due. Hooks may add and remove
  /// transfers.
  void release(TimeMs Now);

  /// Time from which \ref release has something to do; Never if nothing is
  /// queued.
  TimeMs nextDue() const;

  /// Time until \p Bytes more have been sent after all that is queued.
  DurationMs timeToSend(std::size_t Bytes, TimeMs Now) const;

  /// Whether \p Bytes more can be sent by \p Deadline, after all that is
  /// queued. Transfers that were accepted by this check before stay in time,
  /// since an earlier deadline only passes them if all of them fit before it.
  bool fits(std::size_t Bytes, TimeMs Deadline, TimeMs Now) const {
    return Now + timeToSend(Bytes, Now) <= Deadline;
  }

  /// Time for which the link has been busy without a break; 0 while it is idle.
  DurationMs busyFor(TimeMs Now) const;

  std::size_t queuedBytes() const { return QueuedBytes; }
  std::size_t queuedTransfers() const { return Queue.size(); }

private:
  struct Transfer {
    std::size_t Bytes;
    TurnHook OnTurn;
  };

  bool idle(TimeMs Now) const;
  void resume(TimeMs Now);
  void occupy(std::size_t Bytes, TimeMs Now);

  double BytesPerMs;
  std::map<LinkTransferId, Transfer> Queue;
  std::size_t QueuedBytes = 0;
  std::uint64_t LastNumber = 0;
  double FreeAtMs = 0; ///< When the link has sent all that had its turn.
  TimeMs BusySince{0};
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_LINKSCHEDULE_H
