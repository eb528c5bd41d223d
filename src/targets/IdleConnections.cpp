#include "targets/IdleConnections.h"

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
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  if (getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size) != 0 ||
      Address.sin_family != AF_INET)
    return -1;
  return ntohs(Address.sin_port);
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

void IdleConnections::track(CURL *Handle) {
  curl_easy_setopt(Handle, CURLOPT_SOCKOPTFUNCTION, &onOpened);
  curl_easy_setopt(Handle, CURLOPT_SOCKOPTDATA, this);
  curl_easy_setopt(Handle, CURLOPT_CLOSESOCKETFUNCTION, &onClosed);
  curl_easy_setopt(Handle, CURLOPT_CLOSESOCKETDATA, this);
}

void IdleConnections::endReadable(const std::set<int> &UsedPorts) {
  std::vector<pollfd> Polled;
  Polled.reserve(Sockets.size());
  for (const curl_socket_t Socket : Sockets)
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
    Sockets.erase(Each.fd);
  }
}

int IdleConnections::onOpened(void *UserData, curl_socket_t Socket,
                              curlsocktype) {
  static_cast<IdleConnections *>(UserData)->Sockets.insert(Socket);
  return CURL_SOCKOPT_OK;
}

int IdleConnections::onClosed(void *UserData, curl_socket_t Socket) {
  static_cast<IdleConnections *>(UserData)->Sockets.erase(Socket);
  return close(Socket);
}

} // namespace fescuewood
