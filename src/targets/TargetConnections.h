/// \file
/// The kept connections of \ref TargetClient and what each has been used for.
///
/// libcurl chooses the connection of a request itself, and examines an idle one
/// only when a request could reuse it. This class ends an idle connection on
/// which bytes arrive that no request asked for. Internal to the package.

#ifndef FESCUEWOOD_TARGETS_TARGETCONNECTIONS_H
#define FESCUEWOOD_TARGETS_TARGETCONNECTIONS_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include <curl/curl.h>

namespace fescuewood {

/// The open connections of one client. Not thread-safe; must outlive all
/// handles and connections.
class TargetConnections {
public:
  /// Tracks the connection that the transfer of \p Handle may open.
  void track(CURL *Handle);

  /// Records that a request is about to be sent on the connection with a local
  /// port. Returns its place among the requests of that connection, from 1.
  /// Returns std::nullopt and records nothing if the request must not be sent
  /// there: the connection has carried its ID before, or is not known.
  ///
  /// A faulty target may write an answer once more, late. The ID tells it from
  /// the answers to other requests, not from that to another sending.
  ///
  /// \param Id empty if the request has none; std::nullopt if answers need not
  /// name their requests.
  std::optional<std::uint32_t> onRequest(int LocalPort,
                                         std::optional<std::string_view> Id);

  /// Ends each connection that has unread bytes or was closed by the target,
  /// and whose local port is not in \p UsedPorts. libcurl then drops it.
  void endReadable(const std::set<int> &UsedPorts);

private:
  struct Connection {
    int LocalPort = 0; ///< 0 until its first request.
    std::uint32_t Requests = 0;
    std::vector<std::uint64_t> SentIds; ///< Hashes.
    bool Ended = false; ///< By \ref endReadable; libcurl still holds it.
  };

  Connection *find(int LocalPort);
  static int onOpened(void *UserData, curl_socket_t Socket, curlsocktype);
  static int onClosed(void *UserData, curl_socket_t Socket);

  std::map<curl_socket_t, Connection> Connections;
};

} // namespace fescuewood

#endif // FESCUEWOOD_TARGETS_TARGETCONNECTIONS_H
