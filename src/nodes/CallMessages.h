/// \file
/// Messages by which one node runs a call at another, encoded in msgpack.
///
/// The entry node sends one \ref CallStart, then as many \ref CallFetch as
/// needed; each is answered by a \ref CallReply. A large body may precede the
/// start in pieces, each a \ref CallBody that is answered by a
/// \ref CallBodyReply. The encoded answer is
/// transferred in pieces that are requested by call id and offset, so messages
/// may be lost, delayed or repeated. \ref AnswerAssembler joins the pieces.
///
/// Decoding checks every bound and returns std::nullopt for a message that is
/// malformed, too large or followed by other bytes.

#ifndef FESCUEWOOD_NODES_CALLMESSAGES_H
#define FESCUEWOOD_NODES_CALLMESSAGES_H

#include "calls/Call.h"
#include "policy/Instance.h"
#include "policy/StagedBodies.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// Largest piece of an answer in one reply, in bytes.
inline constexpr std::size_t MaxAnswerPieceBytes = 256 * 1024;

/// Size of the pieces that cross the network, in bytes. A small piece delays
/// other messages on the same connection only briefly.
inline constexpr std::size_t AnswerPieceBytes = 64 * 1024;

/// Largest set of crash marks in one message, in bytes.
inline constexpr std::size_t MaxMarksBytes = 4 * 1024;

/// Largest encoded request or answer, in bytes; larger ones are refused.
inline constexpr std::size_t MaxCallBytes = 8 * 1024 * 1024;

/// Maximum number of header fields of a request: those of a caller and as many
/// as nodes may add.
inline constexpr std::size_t MaxRequestFields = MaxCallerFields + 32;

/// Maximum number of header fields of an answer.
inline constexpr std::size_t MaxAnswerFields = 128;

/// Longest method, route, service or organisation name, in bytes.
inline constexpr std::size_t MaxNameBytes = 256;

/// Longest request target, header name or header value, in bytes.
inline constexpr std::size_t MaxFieldBytes = 32 * 1024;

/// Load of one target as measured by its node; part of every reply.
struct LoadReport {
  std::uint32_t InFlight = 0;
  std::uint32_t Limit = 0; ///< Concurrency limit of the node for its target.
  std::uint32_t Queued = 0;
  DurationMs Latency{0}; ///< Recent typical duration of a request.
  TargetState State = TargetState::Cold;
  /// Queueing delay of the machine's link; 0 if it is not scheduled. Sent in
  /// the field of the retry delay, which nodes of earlier versions read in
  /// refusals only; a refusal has no link delay.
  DurationMs LinkDelay{0};

  bool operator==(const LoadReport &) const = default;
};

/// Asks a node to run a request at its target.
struct CallStart {
  CallRequest Request;
  /// Incarnation of the intended node; any other incarnation fences the call. 0
  /// when unknown, which is permitted for idempotent requests only.
  std::uint64_t Recipient = 0;
  std::string Marks; ///< Crash marks as encoded by policy/CrashGuard.
  /// The body was staged and Request::Body is empty. Not encoded: sent as
  /// PeerKind::CallStartStaged.
  bool IsStaged = false;
};

/// A piece of a request body that is staged before its CallStart; without bytes
/// to ask for a grant. It never runs a request.
struct CallBody {
  CallId Id;
  std::uint64_t Offset = 0;     ///< Position of \ref Piece in the body.
  std::uint64_t TotalBytes = 0; ///< Size of the body.
  std::string Piece;
  /// As in \ref CallStart.
  std::uint64_t Recipient = 0;
  DurationMs Remaining{0}; ///< Time left when the message was sent.
  std::string Route;
  std::string Service;
  bool Idempotent = false;

  bool operator==(const CallBody &) const = default;
};

/// The reply to a \ref CallBody. It may be deferred until the link of the
/// replying node has room for more of the body.
struct CallBodyReply {
  /// Ok, or why the body was dropped or not accepted. The call has not run.
  ResultCode Reason = ResultCode::Ok;
  DurationMs RetryAfter{0};       ///< Minimum retry delay when refused.
  std::uint64_t HeldBytes = 0;    ///< Bytes received without gaps.
  std::uint64_t GrantedBytes = 0; ///< The body may be sent up to here.
  LoadReport Load;

  bool operator==(const CallBodyReply &) const = default;
};

/// Requests the state of a call and its answer from an offset on.
struct CallFetch {
  CallId Id;
  std::uint64_t Offset = 0;
  bool Fence = false; ///< If the id was not seen, never run it.
  /// Largest piece that the reply may carry; 0 for \ref AnswerPieceBytes.
  std::uint64_t MaxPieceBytes = 0;

  bool operator==(const CallFetch &) const = default;
};

/// Cancels a call that no caller waits for any more.
struct CallCancel {
  CallId Id;

  bool operator==(const CallCancel &) const = default;
};

/// State of a call at the target's node. The numbers are part of the wire
/// format.
enum class CallState : std::uint8_t {
  Running = 0,   ///< Queued or at the target.
  Done = 1,      ///< The answer is available; the reply carries a piece of it.
  NeverSeen = 2, ///< The id was never received or its record has expired.
  Refused = 3,   ///< Not run, never will be; see \ref CallReply::Reason.
};

/// The reply to a start, a fetch or a cancel.
struct CallReply {
  CallState State = CallState::NeverSeen;
  ResultCode Reason = ResultCode::Ok; ///< Set when refused.
  DurationMs RetryAfter{0};           ///< Minimum retry delay when refused.
  bool Fenced = false;                ///< The id will never run at this node.
  std::uint64_t Offset = 0; ///< Position of \ref Piece in the encoded answer.
  std::uint64_t TotalBytes = 0; ///< Size of the encoded answer; set when done.
  std::string Piece;
  LoadReport Load;
  /// Retention time of call records: every id received less than this time ago
  /// is still known, so a call that was sent within it and is NeverSeen has not
  /// run.
  DurationMs RetentionTime{0};
  std::string Marks; ///< Crash marks as encoded by policy/CrashGuard.

  bool operator==(const CallReply &) const = default;
};

std::string encode(const CallStart &Message);
std::string encode(const CallFetch &Message);
std::string encode(const CallCancel &Message);
std::string encode(const CallReply &Message);
std::string encode(const CallBody &Message);
std::string encode(const CallBodyReply &Message);

std::optional<CallStart> decodeCallStart(std::string_view Bytes);
std::optional<CallFetch> decodeCallFetch(std::string_view Bytes);
std::optional<CallCancel> decodeCallCancel(std::string_view Bytes);
std::optional<CallReply> decodeCallReply(std::string_view Bytes);
std::optional<CallBody> decodeCallBody(std::string_view Bytes);
std::optional<CallBodyReply> decodeCallBodyReply(std::string_view Bytes);

/// Encodes a complete answer, which is then transferred in pieces.
std::string encodeAnswer(const CallAnswer &Answer);
std::optional<CallAnswer> decodeAnswer(std::string_view Bytes);

/// Adds to \p Reply the piece of \p EncodedAnswer that starts at \p Offset and
/// has at most \p MaxPieceBytes, or \ref AnswerPieceBytes if that is 0. An
/// offset beyond the end gives an empty piece.
void addAnswerPiece(CallReply &Reply, std::string_view EncodedAnswer,
                    std::uint64_t Offset, std::uint64_t MaxPieceBytes);

/// Largest number of pieces that are kept ahead of a missing one.
inline constexpr std::size_t MaxPiecesAhead = 8;

/// Joins the pieces of one answer. Pieces may be lost, repeated or reordered.
class AnswerAssembler {
public:
  /// Adds the part of a reply's piece that lies beyond \ref offset. A piece
  /// that starts later is kept until those before it are here, if there are not
  /// too many. Returns false when the reply contradicts the total size or
  /// exceeds it.
  bool add(const CallReply &Reply);

  /// Offset of the next piece to request.
  std::uint64_t offset() const { return Received.size(); }

  /// Size of the answer; 0 while it is unknown.
  std::uint64_t totalBytes() const { return Total.value_or(0); }

  /// Whether a piece from \p Offset on is kept ahead of a missing one.
  bool keepsAhead(std::uint64_t Offset) const { return Ahead.contains(Offset); }

  /// Bytes that are held, those ahead of a missing piece included.
  std::size_t heldBytes() const;

  bool complete() const { return Total && Received.size() == *Total; }

  /// The answer; std::nullopt while incomplete or when its bytes are malformed.
  std::optional<CallAnswer> answer() const;

private:
  void append(std::uint64_t Offset, std::string_view Piece);

  std::string Received;
  std::map<std::uint64_t, std::string> Ahead; ///< Later pieces, by offset.
  std::optional<std::uint64_t> Total;
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_CALLMESSAGES_H
