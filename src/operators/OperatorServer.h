/// \file
/// The operator port: pages that are read and never change anything.
///
/// Give \ref OperatorServer a hook per path. Only GET is answered; a page is
/// made on the server's own thread at the time of the request.

#ifndef FESCUEWOOD_OPERATORS_OPERATORSERVER_H
#define FESCUEWOOD_OPERATORS_OPERATORSERVER_H

#include "core/Endpoint.h"
#include "core/ResultCode.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace fescuewood {

/// Decoded query parameters; the first of two with one name counts.
using PageQuery = std::map<std::string, std::string, std::less<>>;

/// One answer of the operator port.
struct Page {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
};

using PageHook = std::function<Page(const PageQuery &)>;

/// Pages by path, such as "/status".
using Pages = std::map<std::string, PageHook, std::less<>>;

/// An HTTP server on the operator address.
class OperatorServer {
public:
  OperatorServer(const Endpoint &Listen, Pages Served);
  ~OperatorServer();
  OperatorServer(const OperatorServer &) = delete;
  OperatorServer &operator=(const OperatorServer &) = delete;

  /// Listens and starts the thread. Returns false with \ref lastReason
  /// (OperatorAddressBusy) when it cannot listen.
  bool start();

  /// Closes everything and joins the thread.
  void stop();

  ResultCode lastReason() const { return LastReason; }

private:
  class Impl;
  std::unique_ptr<Impl> State;
  ResultCode LastReason = ResultCode::Ok;
};

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_OPERATORSERVER_H
