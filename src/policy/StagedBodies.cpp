#include "policy/StagedBodies.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

bool StagedBodies::open(const CallId &Id, std::size_t TotalBytes,
                        TimeMs Deadline, TimeMs Now) {
  if (TotalBytes > MaxStagedBodyBytes || Bodies.contains(Id) ||
      !reserve(TotalBytes))
    return false;
  Ungranted += TotalBytes;
  StagedBody &Body = Bodies[Id];
  Body.TotalBytes = TotalBytes;
  Body.Deadline = Deadline;
  Body.OpenedAt = Now;
  Body.HeardAt = Now;
  return true;
}

bool StagedBodies::reserve(std::size_t Bytes) {
  const bool Fits = Reserved <= Limit && Bytes <= Limit - Reserved;
  if (Reserved > 0 && !Fits)
    return false;
  Reserved += Bytes;
  return true;
}

PieceResult StagedBodies::add(const CallId &Id, std::size_t Offset,
                              std::size_t TotalBytes, std::string_view Piece,
                              TimeMs Now) {
  const auto Found = Bodies.find(Id);
  if (Found == Bodies.end())
    return PieceResult::Ahead;
  StagedBody &Body = Found->second;
  Body.HeardAt = Now;
  const bool Fits =
      Offset <= Body.TotalBytes && Piece.size() <= Body.TotalBytes - Offset;
  if (TotalBytes != Body.TotalBytes || !Fits) {
    erase(Found);
    return PieceResult::Contradicting;
  }
  if (Offset > Body.Bytes.size())
    return PieceResult::Ahead;
  const std::size_t Known = Body.Bytes.size() - Offset;
  if (Known >= Piece.size())
    return PieceResult::Accepted;
  // Growth in steps would hold a large body twice.
  Body.Bytes.reserve(Body.TotalBytes);
  Body.Bytes.append(Piece, Known);
  return PieceResult::Accepted;
}

void StagedBodies::grant(const CallId &Id, std::size_t Bytes) {
  const auto Found = Bodies.find(Id);
  if (Found == Bodies.end())
    return;
  StagedBody &Body = Found->second;
  const std::size_t Added =
      std::min(Bytes, Body.TotalBytes - Body.GrantedBytes);
  Body.GrantedBytes += Added;
  Ungranted -= Added;
}

const StagedBody *StagedBodies::find(const CallId &Id) const {
  const auto Found = Bodies.find(Id);
  return Found == Bodies.end() ? nullptr : &Found->second;
}

std::optional<std::string> StagedBodies::take(const CallId &Id) {
  const auto Found = Bodies.find(Id);
  if (Found == Bodies.end())
    return std::nullopt;
  if (!Found->second.complete()) {
    erase(Found);
    return std::nullopt;
  }
  std::string Bytes = std::move(Found->second.Bytes);
  Ungranted -= Found->second.TotalBytes - Found->second.GrantedBytes;
  Bodies.erase(Found);
  return Bytes;
}

void StagedBodies::drop(const CallId &Id) {
  const auto Found = Bodies.find(Id);
  if (Found != Bodies.end())
    erase(Found);
}

std::vector<CallId> StagedBodies::expire(TimeMs Now) {
  std::vector<CallId> Expired;
  for (const auto &[Id, Body] : Bodies)
    if (Body.Deadline <= Now || Now - Body.HeardAt >= StagedSilenceLimit)
      Expired.push_back(Id);
  for (const CallId &Id : Expired)
    drop(Id);
  return Expired;
}

void StagedBodies::erase(BodyMap::iterator At) {
  Ungranted -= At->second.TotalBytes - At->second.GrantedBytes;
  Reserved -= At->second.TotalBytes;
  Bodies.erase(At);
}

} // namespace fescuewood
