/// \file
/// A memory budget for data that arrives on many streams, such as the bodies of
/// requests or of answers, enforced by flow control.
///
/// Whoever reads a stream reserves memory with \ref StreamShare::reserve in
/// steps, since the length of a stream is often not known before its end. While
/// there is no room the stream is not read, so that the data stays with its
/// sender.
///
/// No stream waits for ever: the oldest one that holds memory may exceed the
/// limit, and streams that have had their first step leave half of the memory
/// to those that have not. All streams together thus hold no more than the
/// limit and one stream of the largest size. Streams whose sender stops have to
/// be ended by a timeout of their reader.

#ifndef FESCUEWOOD_POLICY_STREAMBUDGET_H
#define FESCUEWOOD_POLICY_STREAMBUDGET_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <utility>

namespace fescuewood {

/// Accounts for the data that is held or about to be read. Not thread-safe.
class StreamBudget {
public:
  /// Identifies a stream; later ones are greater.
  using StreamId = std::uint64_t;
  using ReservedHook = std::function<void()>;

  /// \param Limit in bytes.
  explicit StreamBudget(std::size_t Limit) : Limit(Limit) {}

  StreamId newStream() { return ++LastStream; }

  /// Reserves \p Bytes more for a stream. If there is no room, returns false,
  /// queues the reservation and calls \p OnReserved once it is granted, unless
  /// the stream is released first. A stream has at most one queued reservation.
  /// The hook may be called within \ref release of another stream.
  bool reserve(StreamId Stream, std::size_t Bytes, ReservedHook OnReserved);

  /// Releases the memory of a stream and removes its queued reservation.
  void release(StreamId Stream);

  /// Reserved bytes of all streams.
  std::size_t heldBytes() const { return HeldBytes; }
  /// Reserved bytes of one stream.
  std::size_t heldBytes(StreamId Stream) const;
  /// Number of queued reservations.
  std::size_t waiterCount() const { return First.size() + Further.size(); }

private:
  struct Waiter {
    StreamId Stream;
    std::size_t Bytes;
    ReservedHook OnReserved;
  };
  using Waiters = std::deque<Waiter>;

  bool mayExceed(StreamId Stream) const;
  bool mayReserve(StreamId Stream, std::size_t Bytes) const;
  void hold(StreamId Stream, std::size_t Bytes);
  void admitWaiters();
  bool admitOne(Waiters &Queue);
  bool admitOldest(Waiters &Queue);
  void admit(Waiters &Queue, const Waiters::iterator &Position);

  std::size_t Limit;
  std::size_t HeldBytes = 0;
  StreamId LastStream = 0;
  std::map<StreamId, std::size_t> Held; ///< Streams that hold memory, by age.
  Waiters First;                        ///< For streams that hold none; FIFO.
  Waiters Further;                      ///< For streams that hold some; FIFO.
};

/// The memory of one stream, released on destruction. Outlived by its budget.
class StreamShare {
public:
  StreamShare() = default;
  explicit StreamShare(StreamBudget &Budget)
      : Budget(&Budget), Stream(Budget.newStream()) {}
  ~StreamShare() { release(); }
  StreamShare(StreamShare &&Other) noexcept
      : Budget(std::exchange(Other.Budget, nullptr)), Stream(Other.Stream) {}
  StreamShare &operator=(StreamShare &&Other) noexcept {
    release();
    Budget = std::exchange(Other.Budget, nullptr);
    Stream = Other.Stream;
    return *this;
  }

  /// Whether the share belongs to a budget; false after a move or a release.
  bool isValid() const { return Budget != nullptr; }

  /// As \ref StreamBudget::reserve; the share must be valid.
  bool reserve(std::size_t Bytes, StreamBudget::ReservedHook OnReserved) {
    return Budget->reserve(Stream, Bytes, std::move(OnReserved));
  }

  /// Reserved bytes.
  std::size_t bytes() const { return Budget ? Budget->heldBytes(Stream) : 0; }

  void release() {
    if (StreamBudget *Owner = std::exchange(Budget, nullptr))
      Owner->release(Stream);
  }

private:
  StreamBudget *Budget = nullptr;
  StreamBudget::StreamId Stream = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_STREAMBUDGET_H
