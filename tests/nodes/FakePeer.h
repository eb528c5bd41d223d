/// \file
/// Fake node for the tests of the transport: a plain TCP server with a minimal
/// implementation of the framing, which can close connections or stay silent.

#ifndef FESCUEWOOD_TESTS_NODES_FAKEPEER_H
#define FESCUEWOOD_TESTS_NODES_FAKEPEER_H

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// How the fake handles a request.
enum class FakeReaction {
  Reply,
  Close,
  Silent,
  Trickle, ///< Sends the reply in pieces; reads nothing meanwhile.
  Stall,   ///< Sends half of the reply.
  Deaf,    ///< Sends nothing and reads nothing more.
};

/// Time over which a reply trickles.
inline constexpr std::chrono::milliseconds TrickleTime{3500};

/// How fast the fake reads: a piece, then a pause.
struct PeerPace {
  std::size_t PieceBytes = 4 << 20;
  std::chrono::milliseconds Pause{0};
};

/// Accepts connections and serves each on its own thread.
class FakePeer {
public:
  /// Selects the reaction to a request. Connections and requests are numbered
  /// from 1.
  using ReactHook =
      std::function<FakeReaction(std::size_t Connection, std::size_t Request)>;

  FakePeer(std::string Secret, ReactHook React, PeerPace Pace = {});
  ~FakePeer();

  std::string address() const;
  std::size_t connections() const { return Connections; }
  std::size_t requests() const { return Requests; }

private:
  void acceptLoop();
  void serve(int Socket, std::size_t Connection);

  std::string Secret;
  ReactHook React;
  const PeerPace Pace;
  int Listener = -1;
  int Port = 0;
  std::atomic<std::size_t> Connections{0};
  std::atomic<std::size_t> Requests{0};
  std::mutex Mutex;
  std::vector<int> Sockets;
  std::vector<std::thread> Threads;
  std::thread Acceptor;
};

/// Connects to "IP:port", sends bytes, waits briefly for the peer to close the
/// connection, and closes it.
void sendRaw(const std::string &Address, const std::string &Bytes);

/// Client side of a connection that reads only when told to.
class RawConnection {
public:
  explicit RawConnection(const std::string &Address);
  ~RawConnection();
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  void send(const std::string &Bytes);

  /// Waits up to 20 s for a frame and returns its number; 0 for none.
  std::uint32_t readFrameNumber();

private:
  int Socket = -1;
};

/// Waits up to 20 s for \p Condition to hold and returns whether it did.
bool eventually(const std::function<bool()> &Condition);

#endif // FESCUEWOOD_TESTS_NODES_FAKEPEER_H
