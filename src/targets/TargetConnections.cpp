#include "targets/TargetConnections.h"

#include "core/Digest.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstddef>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace fescuewood {

namespace {

/// Returns the local port of a socket, or -1 if it is not connected.
int localPort(curl_socket_t Socket) {
  sockaddr_storage Address{};
  socklen_t Size = sizeof(Address);
  if (getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size) != 0)
    return -1;
  if (Address.ss_family == AF_INET)
    return ntohs(reinterpret_cast<const sockaddr_in &>(Address).sin_port);
  if (Address.ss_family == AF_INET6)
    return ntohs(reinterpret_cast<const sockaddr_in6 &>(Address).sin6_port);
  return -1;
}

/// Ends a connection. The bytes that have arrived are discarded, since a target
/// that waits for room in the buffer would not learn of the end; later ones are
/// answered with a reset.
void end(curl_socket_t Socket) {
  constexpr std::size_t BufferBytes = 16 * 1024;
  constexpr int MaxReads = 1024;
  char Buffer[BufferBytes];
  shutdown(Socket, SHUT_RDWR);
  for (int Reads = 0; Reads < MaxReads; ++Reads)
    if (recv(Socket, Buffer, BufferBytes, MSG_DONTWAIT) <= 0)
      break;
}

} // namespace

void TargetConnections::track(CURL *Handle) {
  curl_easy_setopt(Handle, CURLOPT_SOCKOPTFUNCTION, &onOpened);
  curl_easy_setopt(Handle, CURLOPT_SOCKOPTDATA, this);
  curl_easy_setopt(Handle, CURLOPT_CLOSESOCKETFUNCTION, &onClosed);
  curl_easy_setopt(Handle, CURLOPT_CLOSESOCKETDATA, this);
}

std::optional<std::uint32_t>
TargetConnections::onRequest(int LocalPort,
                             std::optional<std::string_view> Id) {
  Connection *Known = find(LocalPort);
  if (!Known)
    return std::nullopt;
  if (Id) {
    const std::uint64_t Hash = stableHash(*Id);
    if (std::ranges::find(Known->SentIds, Hash) != Known->SentIds.end())
      return std::nullopt;
    Known->SentIds.push_back(Hash);
  }
  return ++Known->Requests;
}

/// The connection with a local port, which it gets with its first request. One
/// that was reset has lost its port, which another may have by now.
TargetConnections::Connection *TargetConnections::find(int LocalPort) {
  for (auto &[Socket, Each] : Connections)
    if (Each.LocalPort == LocalPort && localPort(Socket) == LocalPort &&
        !Each.Ended)
      return &Each;
  for (auto &[Socket, Each] : Connections) {
    if (Each.LocalPort != 0 || localPort(Socket) != LocalPort)
      continue;
    Each.LocalPort = LocalPort;
    return &Each;
  }
  return nullptr;
}

void TargetConnections::endReadable(const std::set<int> &UsedPorts) {
  std::vector<pollfd> Polled;
  Polled.reserve(Connections.size());
  for (const auto &[Socket, Each] : Connections)
    if (!Each.Ended)
      Polled.push_back({Socket, POLLIN, 0});
  constexpr int NoWait = 0;
  if (Polled.empty() || poll(Polled.data(), Polled.size(), NoWait) <= 0)
    return;
  for (const pollfd &Each : Polled) {
    // A connection that is being opened is not readable without an error.
    if ((Each.revents & POLLIN) == 0 || (Each.revents & POLLERR) != 0)
      continue;
    const int Port = localPort(Each.fd);
    if (Port < 0 || UsedPorts.contains(Port))
      continue;
    end(Each.fd);
    Connections[Each.fd].Ended = true;
  }
}

int TargetConnections::onOpened(void *UserData, curl_socket_t Socket,
                                curlsocktype) {
  static_cast<TargetConnections *>(UserData)->Connections[Socket] = {};
  return CURL_SOCKOPT_OK;
}

int TargetConnections::onClosed(void *UserData, curl_socket_t Socket) {
  static_cast<TargetConnections *>(UserData)->Connections.erase(Socket);
  return close(Socket);
}

} // namespace fescuewood
