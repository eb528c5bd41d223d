#include "targets/FakeStutteringTarget.h"

#include <chrono>
#include <utility>

namespace fescuewood {

using asio::ip::tcp;

namespace {

/// Long enough for a second request to start before the answer to the first.
constexpr std::chrono::milliseconds RunTime{50};

constexpr std::string_view HeadEnd = "\r\n\r\n";

/// The line with the ID of a request; empty if it has none.
std::string idLineOf(const std::string &Request) {
  constexpr std::string_view LineEnd = "\r\n";
  const std::size_t Start = Request.find("Id: ");
  if (Start == std::string::npos)
    return "";
  const std::size_t End = Request.find(LineEnd, Start) + LineEnd.size();
  return Request.substr(Start, End - Start);
}

} // namespace

struct FakeStutteringTarget::Connection {
  tcp::socket Socket;
  asio::steady_timer Timer;
  std::string Received = {};
  std::string LastAnswer = {};
};

FakeStutteringTarget::FakeStutteringTarget(std::vector<int> Statuses)
    : Statuses(std::move(Statuses)),
      Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}),
      Thread([this] {
        accept();
        Context.run();
      }) {}

FakeStutteringTarget::~FakeStutteringTarget() {
  Context.stop();
  Thread.join();
}

std::string FakeStutteringTarget::address() const {
  return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
}

void FakeStutteringTarget::accept() {
  Acceptor.async_accept([this](std::error_code Error, tcp::socket Socket) {
    if (Error)
      return;
    read(std::make_shared<Connection>(
        Connection{std::move(Socket), asio::steady_timer(Context)}));
    accept();
  });
}

void FakeStutteringTarget::read(const std::shared_ptr<Connection> &Peer) {
  asio::async_read_until(
      Peer->Socket, asio::dynamic_buffer(Peer->Received), HeadEnd,
      [this, Peer](std::error_code Error, std::size_t Length) {
        if (Error)
          return;
        const std::string Request = Peer->Received.substr(0, Length);
        Peer->Received.erase(0, Length);
        Peer->Timer.expires_after(RunTime);
        Peer->Timer.async_wait(
            [this, Peer, Request](std::error_code) { answer(Peer, Request); });
      });
}

void FakeStutteringTarget::answer(const std::shared_ptr<Connection> &Peer,
                                  const std::string &Request) {
  const std::string Copy = std::exchange(
      Peer->LastAnswer, "HTTP/1.1 " + std::to_string(Statuses.at(Answered)) +
                            " Status\r\n" + idLineOf(Request) +
                            "Signed: s\r\nContent-Length: 0\r\n\r\n");
  ++Answered;
  std::error_code Ignored;
  asio::write(Peer->Socket, asio::buffer(Copy + Peer->LastAnswer), Ignored);
  read(Peer);
}

} // namespace fescuewood
