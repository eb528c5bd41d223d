#include "platform/FakeClients.h"

#include "standins/Http.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace fescuewood {

namespace {

/// Small, so that what a client does not read stays with the server.
constexpr int SocketBufferBytes = 8 * 1024;

/// Bytes that one write hands to the system at most.
constexpr std::size_t BlockBytes = 64 * 1024;

/// Bounds the load against a server that closes every connection.
constexpr std::size_t MaxReconnections = 20;

bool isTemporary(const std::error_code &Error) {
  return Error == asio::error::would_block || Error == asio::error::try_again ||
         Error == asio::error::not_connected;
}

/// The bytes of a form from \p Position on, at most \p MaxBytes.
std::string bytesAt(const ClientForm &Form, std::size_t Position,
                    std::size_t MaxBytes) {
  if (Position < Form.Start.size())
    return Form.Start.substr(Position, MaxBytes);
  const std::size_t Repeated = Position - Form.Start.size();
  const std::size_t Size = std::min(MaxBytes, Form.RepeatedBytes - Repeated);
  std::string Bytes;
  if (Size == 0)
    return Bytes;
  Bytes.reserve(Size + Form.Repeated.size());
  Bytes +=
      std::string_view(Form.Repeated).substr(Repeated % Form.Repeated.size());
  while (Bytes.size() < Size)
    Bytes += Form.Repeated;
  Bytes.resize(Size);
  return Bytes;
}

} // namespace

FakeClients::FakeClients(const std::string &Address,
                         std::vector<ClientForm> Forms, std::size_t Count)
    : Server(standins::endpointOf(Address)), Forms(std::move(Forms)) {
  for (std::size_t I = 0; I < Count; ++I)
    connect(Clients.emplace_back(Context, this->Forms[I % this->Forms.size()]));
}

void FakeClients::connect(Client &Item) {
  Item.Sent = 0;
  Item.Socket = asio::ip::tcp::socket(Context);
  Item.Socket.open(Server.protocol());
  Item.Socket.set_option(
      asio::socket_base::receive_buffer_size(SocketBufferBytes));
  Item.Socket.set_option(
      asio::socket_base::send_buffer_size(SocketBufferBytes));
  Item.Socket.non_blocking(true);
  // Asio's connect would block.
  static_cast<void>(
      ::connect(Item.Socket.native_handle(), Server.data(), Server.size()));
}

void FakeClients::step() {
  for (Client &Item : Clients) {
    if (send(Item) && receive(Item))
      continue;
    std::error_code Ignored;
    Item.Socket.close(Ignored);
    if (Item.Reconnections++ < MaxReconnections)
      connect(Item);
  }
}

/// Returns false if the connection has ended.
bool FakeClients::send(Client &Item) {
  if (!Item.Socket.is_open())
    return true;
  const ClientForm &Form = *Item.Form;
  const std::size_t Total = Form.Start.size() + Form.RepeatedBytes;
  std::size_t Left = std::min(Form.SendPerStep, Total - Item.Sent);
  std::error_code Error;
  while (Left > 0 && !Error) {
    const std::string Bytes =
        bytesAt(Form, Item.Sent, std::min(Left, BlockBytes));
    const std::size_t Size = Item.Socket.write_some(asio::buffer(Bytes), Error);
    Item.Sent += Size;
    Left -= Size;
  }
  return !Error || isTemporary(Error);
}

/// Returns false if the connection has ended.
bool FakeClients::receive(Client &Item) {
  if (!Item.Socket.is_open())
    return true;
  std::array<char, 4096> Buffer;
  std::error_code Error;
  if (Item.Form->ReadPerStep == 0) {
    // Notices the end of the connection without taking bytes.
    Item.Socket.receive(asio::buffer(Buffer, 1),
                        asio::socket_base::message_peek, Error);
    return !Error || isTemporary(Error);
  }
  std::size_t Left = Item.Form->ReadPerStep;
  while (Left > 0 && !Error)
    Left -= Item.Socket.read_some(
        asio::buffer(Buffer, std::min(Left, Buffer.size())), Error);
  return !Error || isTemporary(Error);
}

} // namespace fescuewood
