#include "nodes/PeerStream.h"

#include "nodes/PeerEnvelope.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace fescuewood {

namespace {

constexpr std::size_t InitialBufferBytes = 4096;

/// A receive buffer that has grown beyond this size is released once empty.
constexpr std::size_t MaxRetainedBufferBytes = 64 * 1024;

/// A message up to this size needs no reservation: a piece of an answer.
constexpr std::size_t SmallMessageBytes = 72 * 1024;

/// Maximum number of frames in one write operation.
constexpr std::size_t MaxFramesPerWrite = 16;

/// No frame is added to a write operation of this size.
constexpr std::size_t FullWriteBytes = 64 * 1024;

} // namespace

PeerStream::PeerStream(asio::ip::tcp::socket Connected, PeerTraffic &Traffic,
                       PeerReceiving &Receiving, PeerStreamHooks Hooks)
    : Socket(std::move(Connected)), Traffic(Traffic), Hooks(std::move(Hooks)),
      Receiving(Receiving), MessageTimer(Socket.get_executor()),
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
  processFrames();
  read();
}

void PeerStream::read() {
  if (Closed || Paused || Reading || AwaitsMemory)
    return;
  Reading = true;
  Socket.async_read_some(
      asio::buffer(Buffer.data() + End, Buffer.size() - End),
      [Self = shared_from_this()](asio::error_code Error, std::size_t Count) {
        Self->Reading = false;
        if (Error)
          Self->onConnectionLost(false);
        else
          Self->onRead(Count);
      });
}

void PeerStream::onRead(std::size_t Count) {
  if (Closed)
    return;
  End += Count;
  if (Hooks.OnBytes)
    Hooks.OnBytes(Count);
  processFrames();
  read();
}

void PeerStream::processFrames() {
  std::size_t FrameBytes = PeerFrameHeaderBytes;
  while (!Closed && !Paused && End - Begin >= PeerFrameHeaderBytes) {
    const std::string_view Received(Buffer.data() + Begin, End - Begin);
    const PeerFrameHeader Header = readFrameHeader(Received);
    if (Header.Size > MaxPeerMessageBytes) {
      onConnectionLost(true);
      return;
    }
    FrameBytes = PeerFrameHeaderBytes + Header.Size;
    if (Received.size() < FrameBytes)
      break;
    Begin += FrameBytes;
    FrameBytes = PeerFrameHeaderBytes;
    const auto Sealed = Received.substr(PeerFrameHeaderBytes, Header.Size);
    Paused = !Hooks.OnFrame(Header.Number, Sealed);
  }
  prepareBuffer(FrameBytes);
}

/// Moves the received bytes to the front of the buffer and sizes it for a frame
/// of \p FrameBytes bytes, so that at least one more byte can be read.
void PeerStream::prepareBuffer(std::size_t FrameBytes) {
  if (Closed || Paused)
    return; // Nothing is read until the buffered frames have been processed.
  const bool IsLarge = FrameBytes > SmallMessageBytes;
  if (Begin > 0) {
    std::copy(Buffer.data() + Begin, Buffer.data() + End, Buffer.data());
    End -= Begin;
    Begin = 0;
    if (Share.isValid() && IsLarge)
      limitTime();
  }
  const bool TooLarge = Buffer.size() > MaxRetainedBufferBytes;
  if (!IsLarge && Share.isValid())
    releaseShare();
  else if (End == 0 && TooLarge && FrameBytes <= InitialBufferBytes)
    shrinkBuffer();
  if (Buffer.size() < FrameBytes)
    growBuffer(FrameBytes);
}

/// Grows the buffer at once for a small message, and in steps as a large one
/// arrives, since its size is only what the peer claims.
void PeerStream::growBuffer(std::size_t FrameBytes) {
  if (FrameBytes <= SmallMessageBytes) {
    Buffer.resize(FrameBytes);
    return;
  }
  if (End < Buffer.size())
    return;
  const std::size_t Size =
      std::min(FrameBytes, std::max(SmallMessageBytes, Buffer.size() * 2));
  AwaitsMemory = Size > SmallMessageBytes && !reserve(Size);
  if (!AwaitsMemory)
    Buffer.resize(Size);
}

/// Reserves memory for a buffer of \p Bytes. Returns false if the stream has to
/// wait for it.
bool PeerStream::reserve(std::size_t Bytes) {
  if (!Share.isValid()) {
    Share = StreamShare(Receiving.Memory);
    limitTime();
  }
  return Share.reserve(Bytes - Share.bytes(), [this, Bytes] {
    AwaitsMemory = false;
    Buffer.resize(Bytes);
    read();
  });
}

/// Ends the connection if a large message that holds memory does not end in
/// time.
void PeerStream::limitTime() {
  MessageTimer.expires_after(
      std::chrono::milliseconds(Receiving.MessageTime.Value));
  MessageTimer.async_wait([Self = shared_from_this()](asio::error_code Error) {
    if (Error || Self->Closed || !Self->Share.isValid())
      return;
    if (Self->Paused || Self->Share.bytes() == 0)
      Self->limitTime();
    else
      Self->onConnectionLost(false);
  });
}

/// Gives back the memory of a large message that has been processed.
void PeerStream::releaseShare() {
  shrinkBuffer();
  MessageTimer.cancel();
  Share.release();
}

/// Leaves room for the bytes that the buffer holds.
void PeerStream::shrinkBuffer() {
  std::vector<char> Smaller(std::max(InitialBufferBytes, End));
  std::copy(Buffer.data(), Buffer.data() + End, Smaller.data());
  Buffer.swap(Smaller);
}

void PeerStream::write(std::uint32_t Number, std::string Sealed,
                       PeerFramePlace Place) {
  if (Closed)
    return;
  std::string Header = packFrameHeader({Sealed.size(), Number});
  std::deque<Frame> &Queue = Place == PeerFramePlace::Ahead ? Ahead : InOrder;
  Queue.push_back({Number, std::move(Header), std::move(Sealed)});
  QueuedBytes += Queue.back().bytes();
  Traffic.countQueued(Queue.back().bytes());
  writeNext();
}

void PeerStream::writeNext() {
  if (Closed || !Writing.empty())
    return;
  // Leaves place for one frame in order, so that those go on too.
  takeFrames(Ahead, MaxFramesPerWrite - 1);
  takeFrames(InOrder, MaxFramesPerWrite);
  if (Writing.empty())
    return;
  std::vector<asio::const_buffer> Buffers;
  for (const Frame &Item : Writing) {
    Buffers.push_back(asio::buffer(Item.Header));
    Buffers.push_back(asio::buffer(Item.Sealed));
  }
  asio::async_write(
      Socket, Buffers, countAccepted(),
      [Self = shared_from_this()](asio::error_code Error, std::size_t) {
        for (const Frame &Item : std::exchange(Self->Writing, {}))
          Self->release(Item);
        Self->onWritten(Error);
      });
}

/// Moves frames from \p Queue to the next write operation.
void PeerStream::takeFrames(std::deque<Frame> &Queue, std::size_t MaxFrames) {
  std::size_t Bytes = 0;
  for (const Frame &Item : Writing)
    Bytes += Item.bytes();
  while (!Queue.empty() && Writing.size() < MaxFrames &&
         Bytes < FullWriteBytes) {
    Frame Next = std::move(Queue.front());
    Queue.pop_front();
    if (!Hooks.OnBeforeWrite(Next.Number)) {
      release(Next);
      continue;
    }
    Bytes += Next.bytes();
    TakenBytes += Next.bytes();
    Writing.push_back(std::move(Next));
  }
}

void PeerStream::onWritten(asio::error_code Error) {
  if (Closed)
    return;
  if (Error) {
    onConnectionLost(false);
    return;
  }
  writeNext();
  if (Hooks.OnWritten)
    Hooks.OnWritten();
}

/// Completion condition of a write operation: goes on until all is written or
/// an error occurs, and counts what the system takes over.
PeerStream::WriteCondition PeerStream::countAccepted() {
  return [Self = shared_from_this(), Before = AcceptedBytes](
             asio::error_code Error, std::size_t Written) -> std::size_t {
    Self->AcceptedBytes = Before + Written;
    return Error ? 0 : FullWriteBytes;
  };
}

std::uint64_t PeerStream::deliveredBytes() {
  int Unacknowledged = 0;
  if (Closed || ioctl(Socket.native_handle(), SIOCOUTQ, &Unacknowledged) != 0)
    return 0;
  // The count of accepted bytes can lag behind the system's.
  const auto Unacked = static_cast<std::uint64_t>(Unacknowledged);
  return AcceptedBytes - std::min(AcceptedBytes, Unacked);
}

/// Stops counting a frame that was written or discarded.
void PeerStream::release(const Frame &Item) {
  QueuedBytes -= Item.bytes();
  Traffic.countWritten(Item.bytes());
}

void PeerStream::onConnectionLost(bool TooLarge) {
  if (Closed)
    return;
  // Moved out first, since the owner may release this stream in the hook.
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
  MessageTimer.cancel();
  Share.release();
  for (std::deque<Frame> *Queue : {&Ahead, &InOrder})
    for (const Frame &Item : std::exchange(*Queue, {}))
      release(Item);
}

} // namespace fescuewood
