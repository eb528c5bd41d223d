#include "policy/BodyTransfer.h"

#include "policy/StagedBodies.h"

#include <algorithm>

namespace fescuewood {

std::optional<BodyRange> BodyTransfer::next() {
  if (complete())
    return std::nullopt;
  const std::size_t Bytes = std::min(Granted - Sent, BodyPieceBytes);
  if (Bytes == 0 && Outstanding > 0)
    return std::nullopt;
  const BodyRange Range{Sent, Bytes, Round};
  Sent += Bytes;
  ++Outstanding;
  return Range;
}

void BodyTransfer::onReply(const BodyRange &Message, std::size_t NowHeld,
                           std::size_t NowGranted) {
  Lost = 0;
  Held = std::clamp(NowHeld, Held, TotalBytes);
  Granted = std::clamp(NowGranted, std::max(Granted, Held), TotalBytes);
  Sent = std::max(Sent, Held);
  // Replies to pieces of an earlier round say nothing about those sent since.
  if (Message.Offset + Message.Bytes > Held && Message.Round == Round)
    sendAgain();
  onEnded();
}

void BodyTransfer::onLost() {
  if (Outstanding == 1)
    ++Lost;
  onEnded();
}

/// Once no message is under way, what the receiver does not have was lost.
void BodyTransfer::onEnded() {
  --Outstanding;
  if (Outstanding == 0 && Sent > Held)
    sendAgain();
}

void BodyTransfer::sendAgain() {
  Sent = Held;
  ++Round;
}

} // namespace fescuewood
