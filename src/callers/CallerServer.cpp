#include "callers/CallerServer.h"

#include "callers/CallerServerCore.h"

#include <utility>

namespace fescuewood {

class CallerServer::Impl {
public:
  // Answers may arrive on any thread after the server has stopped, so answer
  // hooks hold weak references to the core.
  std::shared_ptr<CallerServerCore> Core;
};

CallerServer::CallerServer(CallerServerOptions Options, RequestHook OnRequest,
                           DisconnectHook OnDisconnect, EventHook OnEvent)
    : State(std::make_unique<Impl>()) {
  State->Core = std::make_shared<CallerServerCore>(
      std::move(Options), std::move(OnRequest), std::move(OnDisconnect),
      std::move(OnEvent));
}

CallerServer::~CallerServer() { stop(); }

bool CallerServer::start() { return State->Core->start(); }

std::uint16_t CallerServer::port() const { return State->Core->port(); }

void CallerServer::stopAccepting() { State->Core->stopAccepting(); }

void CallerServer::setLimits(
    const std::optional<CallerLimits> &DeclaredLimits) {
  State->Core->setLimits(DeclaredLimits);
}

std::size_t CallerServer::unansweredCount() const {
  return State->Core->unansweredCount();
}

std::size_t CallerServer::pendingCount() const {
  return State->Core->pendingCount();
}

CallerServerStatus CallerServer::status() const {
  return State->Core->status();
}

void CallerServer::stop() { State->Core->stop(); }

ResultCode CallerServer::lastReason() const {
  return State->Core->lastReason();
}

} // namespace fescuewood
