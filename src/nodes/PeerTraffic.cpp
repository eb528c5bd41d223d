#include "nodes/PeerTraffic.h"

#include "nodes/PeerFrame.h"

namespace fescuewood {

namespace {

constexpr std::size_t SegmentPayloadBytes = 1448;
constexpr std::size_t SegmentHeaderBytes = 52;
constexpr std::size_t AcknowledgementShareBytes = SegmentHeaderBytes / 2;
constexpr std::uint16_t FirstReasonCode = 400;

} // namespace

std::size_t wireBytes(std::size_t SealedBytes) {
  const std::size_t Payload = SealedBytes + PeerFrameHeaderBytes;
  const std::size_t Segments =
      (Payload + SegmentPayloadBytes - 1) / SegmentPayloadBytes;
  return Payload + Segments * (SegmentHeaderBytes + AcknowledgementShareBytes);
}

void PeerTraffic::countSent(PeerKind Kind, std::size_t SealedBytes) {
  KindCounters &Counters = Kinds[static_cast<std::size_t>(Kind) % KindCount];
  ++Counters.MessagesSent;
  Counters.BytesSent += wireBytes(SealedBytes);
}

void PeerTraffic::countReceived(PeerKind Kind, std::size_t SealedBytes) {
  KindCounters &Counters = Kinds[static_cast<std::size_t>(Kind) % KindCount];
  ++Counters.MessagesReceived;
  Counters.BytesReceived += wireBytes(SealedBytes);
}

void PeerTraffic::countRefused(ResultCode Reason) {
  const auto Number = static_cast<std::uint16_t>(Reason);
  if (Number >= FirstReasonCode && Number < FirstReasonCode + ReasonCount)
    ++Refused[Number - FirstReasonCode];
}

void PeerTraffic::countQueued(std::size_t Bytes) {
  QueuedBytes += Bytes;
  ++QueuedFrames;
}

void PeerTraffic::countWritten(std::size_t Bytes) {
  QueuedBytes -= Bytes;
  --QueuedFrames;
}

std::vector<PeerKindTraffic> PeerTraffic::byKind() const {
  std::vector<PeerKindTraffic> Result;
  for (std::size_t I = 0; I < KindCount; ++I) {
    const KindCounters &Counters = Kinds[I];
    if (Counters.MessagesSent + Counters.MessagesReceived == 0)
      continue;
    Result.push_back({static_cast<PeerKind>(I), Counters.MessagesSent,
                      Counters.MessagesReceived, Counters.BytesSent,
                      Counters.BytesReceived});
  }
  return Result;
}

std::vector<PeerRefusals> PeerTraffic::refusals() const {
  std::vector<PeerRefusals> Result;
  for (std::size_t I = 0; I < ReasonCount; ++I)
    if (Refused[I] != 0)
      Result.push_back(
          {static_cast<ResultCode>(FirstReasonCode + I), Refused[I]});
  return Result;
}

} // namespace fescuewood
