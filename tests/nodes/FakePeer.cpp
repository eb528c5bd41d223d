#include "nodes/FakePeer.h"

#include "support/Await.h"

#include "nodes/PeerEnvelope.h"
#include "nodes/PeerFrame.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

using namespace fescuewood;

namespace {

constexpr const char *Host = "127.20.0.99";

sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

std::optional<std::string> readBytes(int Socket, std::size_t Count,
                                     PeerPace Pace = {}) {
  std::string Bytes(Count, '\0');
  for (std::size_t Done = 0; Done < Count;) {
    const std::size_t Piece = std::min(Count - Done, Pace.PieceBytes);
    if (recv(Socket, Bytes.data() + Done, Piece, MSG_WAITALL) !=
        static_cast<ssize_t>(Piece))
      return std::nullopt;
    Done += Piece;
    if (Done < Count)
      std::this_thread::sleep_for(Pace.Pause);
  }
  return Bytes;
}

/// Returns a socket that waits \p ReadTimeout for bytes.
int connectTo(const std::string &Address, timeval ReadTimeout) {
  const std::size_t Colon = Address.rfind(':');
  const sockaddr_in Peer =
      addressOf(Address.substr(0, Colon), std::stoi(Address.substr(Colon + 1)));
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &ReadTimeout,
             sizeof(ReadTimeout));
  (void)connect(Socket, reinterpret_cast<const sockaddr *>(&Peer),
                sizeof(Peer));
  return Socket;
}

void writeBytes(int Socket, const std::string &Bytes) {
  send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
}

struct Frame {
  std::uint32_t Number = 0;
  std::string Sealed;
};

std::optional<Frame> readFrame(int Socket, PeerPace Pace = {}) {
  const auto Bytes = readBytes(Socket, PeerFrameHeaderBytes);
  if (!Bytes)
    return std::nullopt;
  const PeerFrameHeader Header = readFrameHeader(*Bytes);
  auto Sealed = readBytes(Socket, Header.Size, Pace);
  if (!Sealed)
    return std::nullopt;
  return Frame{Header.Number, std::move(*Sealed)};
}

std::string replyFrame(const Frame &Request, const std::string &Secret) {
  ResultCode Reason = ResultCode::Ok;
  const auto Opened = openEnvelope(Request.Sealed, Secret, Reason);
  if (!Opened)
    return {};
  const std::string Sealed = sealEnvelope(
      {Opened->Kind, PeerPhase::Reply, {"fake", 1}, {}, "fake"}, Secret);
  return packFrameHeader({Sealed.size(), Request.Number}) + Sealed;
}

/// Sends bytes one by one, evenly over \ref TrickleTime.
void trickle(int Socket, const std::string &Bytes) {
  for (const char Byte : Bytes) {
    writeBytes(Socket, {Byte});
    std::this_thread::sleep_for(TrickleTime / Bytes.size());
  }
}

} // namespace

FakePeer::FakePeer(std::string Secret, ReactHook React, PeerPace Pace)
    : Secret(std::move(Secret)), React(std::move(React)), Pace(Pace) {
  Listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address = addressOf(Host, 0);
  socklen_t Size = sizeof(Address);
  (void)bind(Listener, reinterpret_cast<sockaddr *>(&Address), Size);
  (void)listen(Listener, 16);
  getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
  Port = ntohs(Address.sin_port);
  Acceptor = std::thread([this] { acceptLoop(); });
}

FakePeer::~FakePeer() {
  shutdown(Listener, SHUT_RDWR);
  Acceptor.join();
  for (int Socket : Sockets)
    shutdown(Socket, SHUT_RDWR);
  for (std::thread &Thread : Threads)
    Thread.join();
  for (int Socket : Sockets)
    close(Socket);
  close(Listener);
}

std::string FakePeer::address() const {
  return std::string(Host) + ":" + std::to_string(Port);
}

void FakePeer::acceptLoop() {
  while (true) {
    const int Socket = accept(Listener, nullptr, nullptr);
    if (Socket < 0)
      return;
    const std::size_t Number = ++Connections;
    Sockets.push_back(Socket);
    Threads.emplace_back([this, Socket, Number] { serve(Socket, Number); });
  }
}

void FakePeer::serve(int Socket, std::size_t Connection) {
  while (const auto Request = readFrame(Socket, Pace)) {
    const FakeReaction Reaction = React(Connection, ++Requests);
    if (Reaction == FakeReaction::Deaf)
      return;
    const std::string Reply = replyFrame(*Request, Secret);
    if (Reaction == FakeReaction::Reply)
      writeBytes(Socket, Reply);
    if (Reaction == FakeReaction::Trickle)
      trickle(Socket, Reply);
    if (Reaction == FakeReaction::Stall)
      writeBytes(Socket, Reply.substr(0, Reply.size() / 2));
    if (Reaction != FakeReaction::Close)
      continue;
    shutdown(Socket, SHUT_RDWR);
    return;
  }
}

void sendRaw(const std::string &Address, const std::string &Bytes) {
  const int Socket = connectTo(Address, {0, 200 * 1000});
  writeBytes(Socket, Bytes);
  readBytes(Socket, 64 * 1024);
  close(Socket);
}

RawConnection::RawConnection(const std::string &Address)
    : Socket(connectTo(Address, {20, 0})) {}

RawConnection::~RawConnection() { close(Socket); }

void RawConnection::send(const std::string &Bytes) {
  writeBytes(Socket, Bytes);
}

std::uint32_t RawConnection::readFrameNumber() {
  const auto Received = readFrame(Socket);
  return Received ? Received->Number : 0;
}

bool eventually(const std::function<bool()> &Condition) {
  return waitUntil(Condition, std::chrono::seconds(20),
                   std::chrono::milliseconds(5));
}
