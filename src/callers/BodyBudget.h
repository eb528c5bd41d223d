/// \file
/// A memory budget for the bodies of unanswered requests, enforced by flow
/// control on callers' connections.
///
/// A connection reserves memory with \ref BodyShare::reserve while a body that
/// is not small arrives, in steps, since the length of a body in chunks is not
/// known before its end. While there is no room the connection is not read, so
/// that the data stays in the caller's send buffer.
///
/// No body waits for ever: the oldest one that holds memory may exceed the
/// limit, and bodies that have had their first step leave half of the memory to
/// those that have not. All bodies together thus hold no more than the limit
/// and one body of the largest size.

#ifndef FESCUEWOOD_CALLERS_BODYBUDGET_H
#define FESCUEWOOD_CALLERS_BODYBUDGET_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <utility>

namespace fescuewood {

/// Accounts for the bodies that one server holds or is about to read. Not
/// thread-safe.
class BodyBudget {
public:
  /// Identifies a body; later ones are greater.
  using BodyId = std::uint64_t;
  using ReservedHook = std::function<void()>;

  /// \param Limit in bytes.
  explicit BodyBudget(std::size_t Limit) : Limit(Limit) {}

  BodyId newBody() { return ++LastBody; }

  /// Reserves \p Bytes more for a body. If there is no room, returns false,
  /// queues the reservation and calls \p OnReserved once it is granted, unless
  /// the body is released first. A body has at most one queued reservation.
  bool reserve(BodyId Body, std::size_t Bytes, ReservedHook OnReserved);

  /// Releases the memory of a body and removes its queued reservation.
  void release(BodyId Body);

  /// Reserved bytes of all bodies.
  std::size_t heldBytes() const { return HeldBytes; }
  /// Reserved bytes of one body.
  std::size_t heldBytes(BodyId Body) const;
  /// Number of queued reservations.
  std::size_t waiterCount() const { return First.size() + Further.size(); }

private:
  struct Waiter {
    BodyId Body;
    std::size_t Bytes;
    ReservedHook OnReserved;
  };
  using Waiters = std::deque<Waiter>;

  bool mayExceed(BodyId Body) const;
  bool mayReserve(BodyId Body, std::size_t Bytes) const;
  void hold(BodyId Body, std::size_t Bytes);
  void admitWaiters();
  bool admitOne(Waiters &Queue);
  bool admitOldest(Waiters &Queue);
  void admit(Waiters &Queue, const Waiters::iterator &Position);

  std::size_t Limit;
  std::size_t HeldBytes = 0;
  BodyId LastBody = 0;
  std::map<BodyId, std::size_t> Held; ///< Bodies that hold memory, by age.
  Waiters First;                      ///< For bodies that hold none; FIFO.
  Waiters Further;                    ///< For bodies that hold some; FIFO.
};

/// The memory of one body, released on destruction. Outlived by its budget.
class BodyShare {
public:
  BodyShare() = default;
  explicit BodyShare(BodyBudget &Budget)
      : Budget(&Budget), Body(Budget.newBody()) {}
  ~BodyShare() { release(); }
  BodyShare(BodyShare &&Other) noexcept
      : Budget(std::exchange(Other.Budget, nullptr)), Body(Other.Body) {}
  BodyShare &operator=(BodyShare &&Other) noexcept {
    release();
    Budget = std::exchange(Other.Budget, nullptr);
    Body = Other.Body;
    return *this;
  }

  /// Whether the share belongs to a budget; false after a move or a release.
  bool isValid() const { return Budget != nullptr; }

  /// As \ref BodyBudget::reserve; the share must be valid.
  bool reserve(std::size_t Bytes, BodyBudget::ReservedHook OnReserved) {
    return Budget->reserve(Body, Bytes, std::move(OnReserved));
  }

  /// Reserved bytes.
  std::size_t bytes() const { return Budget ? Budget->heldBytes(Body) : 0; }

  void release() {
    if (BodyBudget *Owner = std::exchange(Budget, nullptr))
      Owner->release(Body);
  }

private:
  BodyBudget *Budget = nullptr;
  BodyBudget::BodyId Body = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLERS_BODYBUDGET_H
