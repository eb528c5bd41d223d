/// \file
/// The messages by which one node runs a call at another, in msgpack.
///
/// The entry node sends a \ref CallStart once, then as many \ref CallFetch as
/// it needs; each is answered by a \ref CallReply. An answer travels as pieces
/// of its encoding, asked for by call id and offset, so that every message may
/// be lost, late or repeated without harm. \ref AnswerAssembler joins them.
///
/// Decoding checks every bound and returns nothing for a message that is
/// malformed, too large or followed by other bytes.

#ifndef FESCUEWOOD_NODES_CALLMESSAGES_H
#define FESCUEWOOD_NODES_CALLMESSAGES_H

#include "calls/Call.h"
#include "policy/Instance.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// Largest piece of an answer in one reply, in bytes.
inline constexpr std::size_t MaxAnswerPieceBytes = 256 * 1024;

/// Largest set of crash marks in one message, in bytes.
inline constexpr std::size_t MaxMarksBytes = 4 * 1024;

/// Largest request or answer as encoded, in bytes; larger ones are refused.
inline constexpr std::size_t MaxCallBytes = 8 * 1024 * 1024;

/// Most header fields of a request or an answer.
inline constexpr std::size_t MaxHeaderFields = 128;

/// Longest method, route, service or organisation name, in bytes.
inline constexpr std::size_t MaxNameBytes = 256;

/// Longest request target, header name or header value, in bytes.
inline constexpr std::size_t MaxFieldBytes = 32 * 1024;

/// Asks a node to run a request at its target.
struct CallStart {
  CallRequest Request;
  /// Incarnation of the node that it is meant for; another one fences it. 0
  /// when it is not known, which only an idempotent request may leave open.
  std::uint64_t Recipient = 0;
  std::string Marks; ///< Crash marks as encoded by policy/CrashGuard.
};

/// Asks what became of a call, and for its answer from an offset on.
struct CallFetch {
  CallId Id;
  std::uint64_t Offset = 0;
  bool Fence = false; ///< Never run this id from now on if it was not seen.
  DurationMs Wait{0}; ///< How long the node may hold the reply for a change.

  bool operator==(const CallFetch &) const = default;
};

/// Tells a node that nobody waits for a call any longer.
struct CallCancel {
  CallId Id;

  bool operator==(const CallCancel &) const = default;
};

/// What the node beside the target knows of a call. Numbers are on the wire.
enum class CallState : std::uint8_t {
  Running = 0,   ///< Queued or at the target.
  Done = 1,      ///< The answer is held; the reply carries a piece of it.
  NeverSeen = 2, ///< The id never came here, or is forgotten.
  Refused = 3, ///< Not run and never will be; \ref CallReply::Reason says why.
};

/// The load of one target as its node sees it; carried back on every reply.
struct LoadReport {
  std::uint32_t InFlight = 0;
  std::uint32_t Limit = 0; ///< Requests that the node gives its target at once.
  std::uint32_t Queued = 0;
  DurationMs Latency{0}; ///< Recent typical time of a request at the target.
  TargetState State = TargetState::Cold;

  bool operator==(const LoadReport &) const = default;
};

/// The reply to a start, a fetch or a cancel.
struct CallReply {
  CallState State = CallState::NeverSeen;
  ResultCode Reason = ResultCode::Ok; ///< Why, when refused.
  DurationMs RetryAfter{0};           ///< Earliest useful retry, when refused.
  bool Fenced = false;                ///< The id will never run here.
  std::uint64_t Offset = 0;           ///< Of \ref Piece in the encoded answer.
  std::uint64_t TotalBytes = 0;       ///< Of the encoded answer, when done.
  std::string Piece;
  LoadReport Load;
  /// Every id seen less than this span ago is still remembered; a call that was
  /// sent within it and is NeverSeen has not run.
  DurationMs RetentionTime{0};
  std::string Marks; ///< Crash marks as encoded by policy/CrashGuard.

  bool operator==(const CallReply &) const = default;
};

std::string encode(const CallStart &Message);
std::string encode(const CallFetch &Message);
std::string encode(const CallCancel &Message);
std::string encode(const CallReply &Message);

std::optional<CallStart> decodeCallStart(std::string_view Bytes);
std::optional<CallFetch> decodeCallFetch(std::string_view Bytes);
std::optional<CallCancel> decodeCallCancel(std::string_view Bytes);
std::optional<CallReply> decodeCallReply(std::string_view Bytes);

/// The whole answer as the bytes that travel in pieces.
std::string encodeAnswer(const CallAnswer &Answer);
std::optional<CallAnswer> decodeAnswer(std::string_view Bytes);

/// The reply that carries the piece of \p EncodedAnswer from \p Offset on; an
/// offset beyond the end gives an empty piece.
CallReply answerPiece(std::string_view EncodedAnswer, std::uint64_t Offset,
                      const LoadReport &Load);

/// Joins the pieces of one answer, in whatever order and number they come.
class AnswerAssembler {
public:
  /// Takes a reply whose state is Done. Pieces that do not continue what is
  /// held are ignored; a reply with another total is refused (false).
  bool add(const CallReply &Reply);

  /// Offset to ask for next.
  std::uint64_t offset() const { return Held.size(); }

  bool complete() const { return Total && Held.size() == *Total; }

  /// The answer, once complete; nothing when its bytes are malformed.
  std::optional<CallAnswer> answer() const;

private:
  std::string Held;
  std::optional<std::uint64_t> Total;
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_CALLMESSAGES_H
