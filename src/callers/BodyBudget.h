/// \file
/// A memory budget for the bodies of unanswered requests, enforced by flow
/// control on callers' connections.
///
/// Before a connection reads a body that is not small, it reserves the body's
/// length with \ref BodyBudget::book. While the budget is exhausted the
/// connection is not read, so that the data stays in the caller's send buffer,
/// until \ref BodyBudget::release frees memory. Reservations are granted in
/// FIFO order.

#ifndef FESCUEWOOD_CALLERS_BODYBUDGET_H
#define FESCUEWOOD_CALLERS_BODYBUDGET_H

#include <cstddef>
#include <deque>
#include <functional>

namespace fescuewood {

/// Accounts for the body bytes that one server holds or is about to read. Not
/// thread-safe.
class BodyBudget {
public:
  using RoomHook = std::function<void()>;

  /// \param Limit in bytes; a larger body is still admitted when nothing else
  ///              is reserved.
  explicit BodyBudget(std::size_t Limit) : Limit(Limit) {}

  /// Reserves memory for a body. When the budget is exhausted, returns false,
  /// queues the reservation and calls \p OnRoom once it is granted, unless
  /// \p Owner cancels it first.
  bool book(const void *Owner, std::size_t Bytes, RoomHook OnRoom);

  /// Adds a body that is already in memory, even beyond the limit.
  void add(std::size_t Bytes) { Held += Bytes; }

  /// Releases memory that was reserved or added.
  void release(std::size_t Bytes);

  /// Removes the queued reservation of \p Owner. Returns whether there was one.
  bool cancel(const void *Owner);

  /// Reserved and added bytes.
  std::size_t held() const { return Held; }
  /// Number of queued reservations.
  std::size_t waiting() const { return Queue.size(); }

private:
  struct Waiter {
    const void *Owner;
    std::size_t Bytes;
    RoomHook OnRoom;
  };

  bool fits(std::size_t Bytes) const;
  void admit();

  std::size_t Limit;
  std::size_t Held = 0;
  std::deque<Waiter> Queue;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLERS_BODYBUDGET_H
