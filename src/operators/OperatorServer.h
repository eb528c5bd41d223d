/// \file
/// The HTTP server of the operator port, with read-only pages.
///
/// The caller supplies a hook per path. Only GET is supported. A page is
/// generated on the server's thread for each request.

#ifndef FESCUEWOOD_OPERATORS_OPERATORSERVER_H
#define FESCUEWOOD_OPERATORS_OPERATORSERVER_H

#include "core/Endpoint.h"
#include "core/ResultCode.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace fescuewood {

/// Decoded query parameters. The first parameter with a name takes precedence.
using PageQuery = std::map<std::string, std::string, std::less<>>;

/// A response of the operator port.
struct Page {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
};

/// Generates a page from the query parameters.
using PageHook = std::function<Page(const PageQuery &)>;

/// Page hooks by path, such as "/status".
using Pages = std::map<std::string, PageHook, std::less<>>;

/// HTTP server on the operator address, with a thread of its own.
class OperatorServer {
public:
  OperatorServer(const Endpoint &Listen, Pages PagesByPath);
  ~OperatorServer();
  OperatorServer(const OperatorServer &) = delete;
  OperatorServer &operator=(const OperatorServer &) = delete;

  /// Listens and starts the thread. If it cannot listen, returns false and sets
  /// \ref lastReason to ResultCode::OperatorAddressBusy.
  bool start();

  /// Closes the port and all connections and joins the thread.
  void stop();

  /// Reason for the most recent failed call.
  ResultCode lastReason() const { return LastReason; }

private:
  class Impl;
  std::unique_ptr<Impl> State;
  ResultCode LastReason = ResultCode::Ok;
};

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_OPERATORSERVER_H
