/// \file
/// TCP connection that carries frames in both directions.
///
/// Internal to \ref PeerServer and \ref PeerConnection; PeerFrame.h has the
/// frame format.

#ifndef FESCUEWOOD_NODES_PEERSTREAM_H
#define FESCUEWOOD_NODES_PEERSTREAM_H

#include "core/Clock.h"
#include "nodes/PeerFrame.h"
#include "nodes/PeerTraffic.h"
#include "policy/StreamBudget.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Place of a frame among those that wait to be written.
enum class PeerFramePlace : std::uint8_t {
  InOrder,
  Ahead, ///< Before those in order; for short frames only.
};

/// Hooks to the owner of a stream, called on the loop's thread.
struct PeerStreamHooks {
  /// Called when bytes have been received, before their frames; optional.
  std::function<void(std::size_t Bytes)> OnBytes;

  /// Called for each received frame. Returning false pauses reading until
  /// \ref PeerStream::resume, so that TCP flow control slows down the sender.
  std::function<bool(std::uint32_t Number, std::string_view Sealed)> OnFrame;

  /// Called before a frame is handed to the system; returning false discards
  /// it.
  std::function<bool(std::uint32_t Number)> OnBeforeWrite;

  /// Called after frames were handed to the system; optional.
  std::function<void()> OnWritten;

  /// Called once when the connection ends other than by \ref PeerStream::close.
  /// \p TooLarge is true if a frame exceeded the largest message.
  std::function<void(bool TooLarge)> OnClosed;
};

/// What the streams of one server or client share to receive large messages.
/// Outlives them.
struct PeerReceiving {
  /// Memory of large messages; a stream without room is not read.
  StreamBudget Memory{8 << 20};
  /// Time for a large message, from its first reservation to its end. A peer
  /// that stops in the middle must not hold the memory of others.
  DurationMs MessageTime{10'000};
};

/// A connected stream, for the loop's thread only. Pending Asio operations
/// share its ownership.
class PeerStream : public std::enable_shared_from_this<PeerStream> {
public:
  /// \param Traffic counts the frames that wait to be written.
  PeerStream(asio::ip::tcp::socket Socket, PeerTraffic &Traffic,
             PeerReceiving &Receiving, PeerStreamHooks Hooks);

  /// Starts reading.
  void start();

  /// Continues reading after OnFrame returned false.
  void resume();

  /// Queues a frame for writing. Frames ahead delay those in order by less
  /// than one write operation each time.
  void write(std::uint32_t Number, std::string Sealed, PeerFramePlace Place);

  /// Bytes of the frames that wait to be written.
  std::size_t queuedBytes() const { return QueuedBytes; }

  /// Bytes taken for writing, in order, since the connection was established.
  std::uint64_t takenBytes() const { return TakenBytes; }

  /// Bytes whose receipt the other machine has acknowledged, at least.
  std::uint64_t deliveredBytes();

  /// Closes the connection; no hook is called from then on.
  void close();

private:
  using WriteCondition =
      std::function<std::size_t(asio::error_code Error, std::size_t Written)>;

  struct Frame {
    std::uint32_t Number = 0;
    std::string Header;
    std::string Sealed;

    std::size_t bytes() const { return Header.size() + Sealed.size(); }
  };

  void read();
  void onRead(std::size_t Count);
  void processFrames();
  void prepareBuffer(std::size_t FrameBytes);
  void growBuffer(std::size_t FrameBytes);
  void releaseShare();
  void shrinkBuffer();
  bool reserve(std::size_t Bytes);
  void limitTime();
  void writeNext();
  void takeFrames(std::deque<Frame> &Queue, std::size_t MaxFrames);
  WriteCondition countAccepted();
  void onWritten(asio::error_code Error);
  void release(const Frame &Item);
  void onConnectionLost(bool TooLarge);

  asio::ip::tcp::socket Socket;
  PeerTraffic &Traffic;
  PeerStreamHooks Hooks;
  bool Closed = false;
  bool Paused = false;
  bool Reading = false;
  bool AwaitsMemory = false; ///< Not read until there is room for its message.

  PeerReceiving &Receiving;
  StreamShare Share; ///< Memory of a large message; may be invalid.
  asio::steady_timer MessageTimer; ///< Limits the time of a large message.
  std::vector<char> Buffer;        ///< Received bytes from Begin to End.
  std::size_t Begin = 0;
  std::size_t End = 0;

  std::deque<Frame> Ahead;
  std::deque<Frame> InOrder;
  std::uint64_t TakenBytes = 0;
  std::uint64_t AcceptedBytes = 0; ///< Taken over by the system.
  std::size_t QueuedBytes = 0;     ///< Of all frames, Writing included.
  std::vector<Frame> Writing;      ///< Frames of the current write operation.
};

using PeerStreamPtr = std::shared_ptr<PeerStream>;

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERSTREAM_H
