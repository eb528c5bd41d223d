/// \file
/// One TCP connection that carries frames in both directions.
///
/// Internal to \ref PeerServer and \ref PeerConnection; see PeerFrame.h for the
/// bytes.

#ifndef FESCUEWOOD_NODES_PEERSTREAM_H
#define FESCUEWOOD_NODES_PEERSTREAM_H

#include "nodes/PeerFrame.h"

#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// What the owner of a stream is told, all on the loop's thread.
struct PeerStreamHooks {
  /// A frame came. Returning false stops the reading until
  /// \ref PeerStream::resume, so that TCP holds the sender back.
  std::function<bool(std::uint32_t Number, std::string_view Sealed)> OnFrame;

  /// The frame is about to be handed to the system; false discards it.
  std::function<bool(std::uint32_t Number)> OnWriting;

  /// The connection ended by other means than \ref PeerStream::close. Called
  /// once; \p TooLarge when a frame claimed more than the largest message.
  std::function<void(bool TooLarge)> OnClosed;
};

/// A connected stream. All members are for the loop's thread only. It shares
/// its ownership with the operations that Asio still has to end.
class PeerStream : public std::enable_shared_from_this<PeerStream> {
public:
  PeerStream(asio::ip::tcp::socket Socket, PeerStreamHooks Hooks);

  /// Begins to read.
  void start();

  /// Reads on after OnFrame returned false.
  void resume();

  /// Queues a frame.
  void write(std::uint32_t Number, std::string Sealed);

  /// Ends the connection; no hook is called from then on.
  void close();

private:
  struct Frame {
    std::uint32_t Number = 0;
    std::string Header;
    std::string Sealed;
  };

  void read();
  void received(std::size_t Count);
  void takeFrames();
  void makeRoom(std::size_t Wanted);
  void writeNext();
  void lost(bool TooLarge);

  asio::ip::tcp::socket Socket;
  PeerStreamHooks Hooks;
  bool Closed = false;
  bool Paused = false;
  bool Reading = false;

  std::vector<char> Buffer; ///< Received bytes from Begin to End.
  std::size_t Begin = 0;
  std::size_t End = 0;

  std::deque<Frame> Queue;
  std::vector<Frame> Writing; ///< Handed to the system together.
};

using PeerStreamPtr = std::shared_ptr<PeerStream>;

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERSTREAM_H
