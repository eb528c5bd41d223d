#include "nodes/FakePeer.h"

#include "nodes/PeerEnvelope.h"

#include <arpa/inet.h>
#include <endian.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstring>
#include <optional>
#include <utility>

using namespace fescuewood;

namespace {

constexpr const char *Host = "127.20.0.99";
constexpr std::size_t RequestIdBytes = 4;
const std::string ReplierGreeting("\0SP\0\0\x31\0\0", 8);

sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

std::optional<std::string> readBytes(int Socket, std::size_t Count) {
  std::string Bytes(Count, '\0');
  if (recv(Socket, Bytes.data(), Count, MSG_WAITALL) !=
      static_cast<ssize_t>(Count))
    return std::nullopt;
  return Bytes;
}

void writeBytes(int Socket, const std::string &Bytes) {
  send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
}

std::optional<std::string> readFrame(int Socket) {
  const auto Header = readBytes(Socket, sizeof(std::uint64_t));
  if (!Header)
    return std::nullopt;
  std::uint64_t Size = 0;
  std::memcpy(&Size, Header->data(), sizeof(Size));
  return readBytes(Socket, be64toh(Size));
}

} // namespace

FakePeer::FakePeer(std::string Secret, ReactHook React)
    : Secret(std::move(Secret)), React(std::move(React)) {
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
  writeBytes(Socket, ReplierGreeting);
  if (!readBytes(Socket, ReplierGreeting.size()))
    return;
  while (const auto Frame = readFrame(Socket)) {
    const FakeReaction Reaction = React(Connection, ++Requests);
    if (Reaction == FakeReaction::Reply)
      reply(Socket, *Frame);
    if (Reaction != FakeReaction::Close)
      continue;
    shutdown(Socket, SHUT_RDWR);
    return;
  }
}

void FakePeer::reply(int Socket, const std::string &Frame) {
  ResultCode Reason = ResultCode::Ok;
  const std::string Id = Frame.substr(0, RequestIdBytes);
  const auto Request = openEnvelope(
      std::string_view(Frame).substr(RequestIdBytes), Secret, Reason);
  if (!Request)
    return;
  const std::string Sealed = sealEnvelope(
      {Request->Kind, PeerPhase::Reply, {"fake", 1}, {}, "fake"}, Secret);
  const std::uint64_t Size = htobe64(Id.size() + Sealed.size());
  std::string Bytes(reinterpret_cast<const char *>(&Size), sizeof(Size));
  writeBytes(Socket, Bytes + Id + Sealed);
}

void sendRaw(const std::string &Address, const std::string &Bytes) {
  const std::size_t Colon = Address.rfind(':');
  const sockaddr_in To =
      addressOf(Address.substr(0, Colon), std::stoi(Address.substr(Colon + 1)));
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  timeval Wait{0, 200 * 1000};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Wait, sizeof(Wait));
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&To), sizeof(To)) ==
      0) {
    writeBytes(Socket, Bytes);
    readBytes(Socket, 64 * 1024);
  }
  close(Socket);
}

bool eventually(const std::function<bool()> &Condition) {
  const auto Deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > Deadline)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}
