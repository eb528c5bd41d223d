/// \file
/// Supervision of the kept connections of \ref TargetClient.
///
/// libcurl examines an idle connection only when a request could reuse it. The
/// supervision ends one on which bytes arrive that no request asked for.
/// Internal to the package.

#ifndef FESCUEWOOD_TARGETS_IDLECONNECTIONS_H
#define FESCUEWOOD_TARGETS_IDLECONNECTIONS_H

#include <set>

#include <curl/curl.h>

namespace fescuewood {

/// The open sockets of one client. Not thread-safe; must outlive all handles
/// and connections.
class IdleConnections {
public:
  /// Tracks the connection that the transfer of \p Handle may open.
  void track(CURL *Handle);

  /// Ends each connection that has unread bytes or was closed by the target,
  /// and whose local port is not in \p UsedPorts. libcurl then drops it.
  void endReadable(const std::set<int> &UsedPorts);

private:
  static int onOpened(void *UserData, curl_socket_t Socket, curlsocktype);
  static int onClosed(void *UserData, curl_socket_t Socket);

  std::set<curl_socket_t> Sockets;
};

} // namespace fescuewood

#endif // FESCUEWOOD_TARGETS_IDLECONNECTIONS_H
