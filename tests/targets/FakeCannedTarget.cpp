#include "targets/FakeCannedTarget.h"

#include <utility>

namespace fescuewood {

using asio::ip::tcp;

FakeCannedTarget::FakeCannedTarget(std::string Answer, CloseMode Mode)
    : Answer(std::move(Answer)), Mode(Mode),
      Acceptor(Context, tcp::endpoint(asio::ip::make_address("127.30.0.2"), 0)),
      Thread([this] { serve(); }) {}

FakeCannedTarget::~FakeCannedTarget() {
  // Connects once more to unblock a pending accept.
  asio::io_context WakeContext;
  tcp::socket WakeSocket(WakeContext);
  std::error_code Ignored;
  const auto Endpoint = Acceptor.local_endpoint();
  Acceptor.close(Ignored);
  WakeSocket.connect(Endpoint, Ignored);
  Thread.join();
}

std::string FakeCannedTarget::address() const {
  return "127.30.0.2:" + std::to_string(Acceptor.local_endpoint().port());
}

void FakeCannedTarget::serve() {
  while (Acceptor.is_open()) {
    std::error_code Error;
    tcp::socket Caller(Context);
    Acceptor.non_blocking(true, Error);
    Acceptor.accept(Caller, Error);
    if (Error) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      continue;
    }
    Caller.non_blocking(false, Error);
    asio::streambuf Request;
    asio::read_until(Caller, Request, "\r\n\r\n", Error);
    asio::write(Caller, asio::buffer(Answer), Error);
    if (Mode == CloseMode::Reset) {
      // Lets the client read the bytes before the reset discards them.
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      Caller.set_option(asio::socket_base::linger(true, 0), Error);
    }
    Caller.close(Error);
  }
}

} // namespace fescuewood
