#include "nodes/PeerStream.h"

#include "nodes/PeerEnvelope.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

constexpr std::size_t InitialBufferBytes = 4096;

/// A buffer that a large message made grow beyond this is given back.
constexpr std::size_t KeptBufferBytes = 64 * 1024;

/// Frames handed to the system in one call.
constexpr std::size_t MaxFramesPerWrite = 16;

} // namespace

PeerStream::PeerStream(asio::ip::tcp::socket Connected, PeerStreamHooks Hooks)
    : Socket(std::move(Connected)), Hooks(std::move(Hooks)),
      Buffer(InitialBufferBytes) {
  asio::error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
}

void PeerStream::start() { read(); }

void PeerStream::resume() {
  if (Closed || !Paused)
    return;
  Paused = false;
  takeFrames();
  read();
}

void PeerStream::read() {
  if (Closed || Paused || Reading)
    return;
  Reading = true;
  Socket.async_read_some(
      asio::buffer(Buffer.data() + End, Buffer.size() - End),
      [Self = shared_from_this()](asio::error_code Error, std::size_t Count) {
        Self->Reading = false;
        if (Error)
          Self->lost(false);
        else
          Self->received(Count);
      });
}

void PeerStream::received(std::size_t Count) {
  if (Closed)
    return;
  End += Count;
  takeFrames();
  read();
}

void PeerStream::takeFrames() {
  std::size_t Wanted = PeerFrameHeaderBytes;
  while (!Closed && !Paused && End - Begin >= PeerFrameHeaderBytes) {
    const std::string_view Held(Buffer.data() + Begin, End - Begin);
    const PeerFrameHeader Header = readFrameHeader(Held);
    if (Header.Size > MaxPeerMessageBytes) {
      lost(true);
      return;
    }
    Wanted = PeerFrameHeaderBytes + Header.Size;
    if (Held.size() < Wanted)
      break;
    Begin += Wanted;
    Wanted = PeerFrameHeaderBytes;
    const auto Sealed = Held.substr(PeerFrameHeaderBytes, Header.Size);
    Paused = !Hooks.OnFrame(Header.Number, Sealed);
  }
  makeRoom(Wanted);
}

/// Makes room for a frame of \p Wanted bytes from Begin on, and for at least
/// one byte more to read.
void PeerStream::makeRoom(std::size_t Wanted) {
  if (Paused)
    return; // Nothing is read until the frames at hand have been taken.
  if (Begin > 0) {
    std::copy(Buffer.data() + Begin, Buffer.data() + End, Buffer.data());
    End -= Begin;
    Begin = 0;
  }
  const bool TooLarge = Buffer.size() > KeptBufferBytes;
  if (End == 0 && TooLarge && Wanted <= InitialBufferBytes)
    std::vector<char>(InitialBufferBytes).swap(Buffer);
  if (Buffer.size() < Wanted)
    Buffer.resize(Wanted);
}

void PeerStream::write(std::uint32_t Number, std::string Sealed) {
  if (Closed)
    return;
  std::string Header = packFrameHeader({Sealed.size(), Number});
  Queue.push_back({Number, std::move(Header), std::move(Sealed)});
  writeNext();
}

void PeerStream::writeNext() {
  if (Closed || !Writing.empty())
    return;
  while (!Queue.empty() && Writing.size() < MaxFramesPerWrite) {
    Frame Next = std::move(Queue.front());
    Queue.pop_front();
    if (Hooks.OnWriting(Next.Number))
      Writing.push_back(std::move(Next));
  }
  if (Writing.empty())
    return;
  std::vector<asio::const_buffer> Buffers;
  for (const Frame &Each : Writing) {
    Buffers.push_back(asio::buffer(Each.Header));
    Buffers.push_back(asio::buffer(Each.Sealed));
  }
  asio::async_write(
      Socket, Buffers,
      [Self = shared_from_this()](asio::error_code Error, std::size_t) {
        Self->Writing.clear();
        if (Error)
          Self->lost(false);
        else
          Self->writeNext();
      });
}

void PeerStream::lost(bool TooLarge) {
  if (Closed)
    return;
  // Taken out first: the owner may let go of this stream in the hook.
  const auto OnClosed = std::move(Hooks.OnClosed);
  close();
  OnClosed(TooLarge);
}

void PeerStream::close() {
  if (Closed)
    return;
  Closed = true;
  asio::error_code Ignored;
  Socket.close(Ignored);
  Queue.clear();
}

} // namespace fescuewood
