/// \file
/// A memory budget for the bodies of unanswered requests, enforced by flow
/// control on callers' connections.
///
/// Before a connection reads a body that is not small, it reserves the body's
/// length with \ref BodyBudget::reserve. While the budget is exhausted the
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
  using ReservedHook = std::function<void()>;

  /// \param Limit in bytes; a larger body is still admitted when nothing else
  ///              is reserved.
  explicit BodyBudget(std::size_t Limit) : Limit(Limit) {}

  /// Reserves memory for a body. When the budget is exhausted, returns false,
  /// queues the reservation and calls \p OnReserved once it is granted, unless
  /// \p Owner cancels it first.
  bool reserve(const void *Owner, std::size_t Bytes, ReservedHook OnReserved);

  /// Adds a body that is already in memory, even beyond the limit.
  void add(std::size_t Bytes) { HeldBytes += Bytes; }

  /// Releases memory that was reserved or added.
  void release(std::size_t Bytes);

  /// Removes the queued reservation of \p Owner. Returns whether there was one.
  bool cancel(const void *Owner);

  /// Reserved and added bytes.
  std::size_t heldBytes() const { return HeldBytes; }
  /// Number of queued reservations.
  std::size_t waiterCount() const { return Waiters.size(); }

private:
  struct Waiter {
    const void *Owner;
    std::size_t Bytes;
    ReservedHook OnReserved;
  };

  bool hasRoomFor(std::size_t Bytes) const;
  void admitWaiters();

  std::size_t Limit;
  std::size_t HeldBytes = 0;
  std::deque<Waiter> Waiters;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLERS_BODYBUDGET_H
