/// \file
/// Bounds the memory that bodies of unanswered requests take, by holding
/// callers' connections back.
///
/// Before a connection reads a body that is not small, it books the body's
/// length with \ref BodyBudget::book. When there is no room it is not read
/// from, so that the caller's own system holds the rest, until \ref
/// BodyBudget::release has made room. Connections get room in the order in
/// which they asked.

#ifndef FESCUEWOOD_CALLERS_BODYBUDGET_H
#define FESCUEWOOD_CALLERS_BODYBUDGET_H

#include <cstddef>
#include <deque>
#include <functional>

namespace fescuewood {

/// The bytes of bodies that one server holds or is about to read. Not
/// thread-safe.
class BodyBudget {
public:
  using RoomHook = std::function<void()>;

  /// \param Limit in bytes; one body that is larger still gets room when
  ///              nothing else is held.
  explicit BodyBudget(std::size_t Limit) : Limit(Limit) {}

  /// Books a body. When there is no room, returns false and calls \p OnRoom
  /// once it is booked, unless \p Owner cancels before.
  bool book(const void *Owner, std::size_t Bytes, RoomHook OnRoom);

  /// Counts a body that is held already, whether there is room or not.
  void add(std::size_t Bytes) { Held += Bytes; }

  /// Gives back what was booked or added.
  void release(std::size_t Bytes);

  /// Takes back what an owner waits for. Returns whether it waited.
  bool cancel(const void *Owner);

  std::size_t held() const { return Held; }
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
