/// \file
/// The sender's state of one request body that is staged at another node.
///
/// \ref BodyTransfer::next names what to send until it returns nothing; each
/// message ends with \ref BodyTransfer::onReply or \ref BodyTransfer::onLost.
/// The first message carries no bytes, so that the receiver can refuse a body
/// before any of it crosses the link. The receiver grants bytes by its replies;
/// a message without bytes asks it for more.

#ifndef FESCUEWOOD_POLICY_BODYTRANSFER_H
#define FESCUEWOOD_POLICY_BODYTRANSFER_H

#include <cstddef>
#include <cstdint>
#include <optional>

namespace fescuewood {

/// Consecutive losses, without a reply in between, after which the receiver is
/// considered silent. One may be a faulty connection.
inline constexpr std::uint32_t MaxLostTransfers = 2;

/// A part of a body; without bytes to ask for a grant.
struct BodyRange {
  std::size_t Offset = 0;
  std::size_t Bytes = 0;
  std::uint32_t Round = 0; ///< Number of times that bytes were sent again.

  bool operator==(const BodyRange &) const = default;
};

/// Sender of one body. Not thread-safe.
class BodyTransfer {
public:
  explicit BodyTransfer(std::size_t TotalBytes) : TotalBytes(TotalBytes) {}

  /// The next message to send; std::nullopt while replies are to be awaited and
  /// once the body is complete.
  std::optional<BodyRange> next();

  /// Handles the reply to a message. A piece that the receiver does not have
  /// by then arrived before an earlier one and is sent again.
  /// \param NowHeld bytes that the receiver has.
  /// \param NowGranted bytes of the body that may be sent.
  void onReply(const BodyRange &Message, std::size_t NowHeld,
               std::size_t NowGranted);

  /// Handles a message without reply: what is not known to have arrived is sent
  /// again.
  void onLost();

  /// Whether the receiver has the whole body.
  bool complete() const { return Held == TotalBytes; }

  bool receiverSilent() const { return Lost >= MaxLostTransfers; }

private:
  void onEnded();
  void sendAgain();

  std::size_t TotalBytes;
  std::size_t Held = 0;
  std::size_t Granted = 0;
  std::size_t Sent = 0; ///< Begin of the next piece.
  std::uint32_t Round = 0;
  std::uint32_t Outstanding = 0;
  std::uint32_t Lost = 0; ///< Times that no message was replied to.
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_BODYTRANSFER_H
