/// \file
/// Request bodies that arrive at the target's node in pieces, before the
/// request itself.
///
/// Answers the load of many large bodies to one target over a link that they
/// fill: a body that crosses in pieces, each sent once the receiver has granted
/// it, leaves room for small messages in between. A body is used whole or not
/// at all: \ref StagedBodies::take returns only a complete one.
///
/// Memory for a whole body is reserved when its first message arrives and kept
/// until its request runs or ends, so that no body that has crossed the link is
/// thrown away for lack of memory.

#ifndef FESCUEWOOD_POLICY_STAGEDBODIES_H
#define FESCUEWOOD_POLICY_STAGEDBODIES_H

#include "calls/Call.h"
#include "core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Largest piece of a body in one message, in bytes: 10 ms on a link of
/// 13 Mbit/s. A body of more bytes is staged.
inline constexpr std::size_t BodyPieceBytes = 16 * 1024;

/// Largest body that can be staged, in bytes: the highest setting of
/// `[callers] max_body_bytes`.
inline constexpr std::size_t MaxStagedBodyBytes = 16 * 1024 * 1024;

/// Time without a message after which a body is dropped. Its sender sends one
/// every 500 ms by default, and gives up after two without a reply.
inline constexpr DurationMs StagedSilenceLimit{1500};

/// Transfer state of a staged body. Not thread-safe.
struct StagedBody {
  std::string Bytes;            ///< Received so far, without gaps.
  std::size_t TotalBytes = 0;   ///< Of the complete body.
  std::size_t GrantedBytes = 0; ///< The sender may send up to here.
  TimeMs Deadline;              ///< Of its call.
  TimeMs OpenedAt;              ///< First message about it.
  TimeMs HeardAt;               ///< Last message about it.

  bool complete() const { return Bytes.size() == TotalBytes; }
};

/// What happened to a piece.
enum class PieceResult : std::uint8_t {
  Accepted,     ///< Appended, or known before.
  Ahead,        ///< Begins beyond the bytes received; ignored.
  Contradicting ///< Has another total size or exceeds it; the body is dropped.
};

/// Bodies by call id, bounded in bytes. Not thread-safe.
class StagedBodies {
public:
  explicit StagedBodies(std::size_t LimitBytes) : Limit(LimitBytes) {}

  /// Reserves memory for a body of a call that is not known here. A body is
  /// also accepted if there is no other one, whatever the limit. Returns false
  /// if there is no room.
  bool open(const CallId &Id, std::size_t TotalBytes, TimeMs Deadline,
            TimeMs Now);

  /// Adds a piece of an open body. It may repeat received bytes.
  PieceResult add(const CallId &Id, std::size_t Offset, std::size_t TotalBytes,
                  std::string_view Piece, TimeMs Now);

  /// Allows the sender of an open body \p Bytes more, at most the whole body.
  void grant(const CallId &Id, std::size_t Bytes);

  /// The state of a body, or null if there is none.
  const StagedBody *find(const CallId &Id) const;

  /// Removes a complete body and returns it; its memory stays reserved until
  /// \ref release. Returns std::nullopt and drops the body if it is incomplete.
  std::optional<std::string> take(const CallId &Id);

  /// Drops a body, if there is one.
  void drop(const CallId &Id);

  /// Drops the bodies whose deadline has passed or whose sender is silent, and
  /// returns their ids.
  std::vector<CallId> expire(TimeMs Now);

  /// Reserves memory for a body that arrived in one message, under the same
  /// limit. Returns false if there is no room.
  bool reserve(std::size_t Bytes);

  /// Returns memory of a body that was taken or reserved.
  void release(std::size_t Bytes) { Reserved -= Bytes; }

  /// Bytes of open bodies that were not granted yet.
  std::size_t ungrantedBytes() const { return Ungranted; }

  std::size_t size() const { return Bodies.size(); }

  /// Bytes reserved for open and taken bodies.
  std::size_t reservedBytes() const { return Reserved; }
  std::size_t limit() const { return Limit; }

private:
  using BodyMap = std::map<CallId, StagedBody>;

  void erase(BodyMap::iterator At);

  std::size_t Limit;
  std::size_t Reserved = 0;
  std::size_t Ungranted = 0;
  BodyMap Bodies;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_STAGEDBODIES_H
