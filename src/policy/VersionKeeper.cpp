#include "policy/VersionKeeper.h"

#include <algorithm>

namespace fescuewood {

namespace {

constexpr std::size_t MaxRefusedVersions = 64;

} // namespace

VersionKeeper::VersionKeeper(VersionKeeperSettings Settings, TimeMs Now)
    : Settings(Settings), StartedAt(Now), LastTick(Now),
      StartDone(Settings.StartAnswers == 0) {}

bool VersionKeeper::tick(TimeMs Now) {
  const bool Paused = Now - LastTick > Settings.PauseLimit;
  LastTick = std::max(LastTick, Now);
  if (!Paused)
    return false;
  ResumedAt = Now;
  AnsweredPeers.clear();
  return true;
}

void VersionKeeper::onPeerAnswer(std::string_view Peer,
                                 const std::optional<Version> &PeerInForce,
                                 bool Starting, TimeMs Now) {
  if (Starting && !PeerInForce)
    return;
  AnsweredPeers.emplace(Peer);
  if (PeerInForce && (!NewestPeerVersion || *PeerInForce > *NewestPeerVersion))
    NewestPeerVersion = PeerInForce;
  if (AnsweredPeers.size() >= Settings.StartAnswers)
    StartDone = true;
  if (!isCatchingUp(Now))
    ResumedAt.reset();
}

VersionVerdict VersionKeeper::evaluate(const Version &Seen,
                                       VersionOrigin Origin, TimeMs Now) const {
  if (InForce && Seen == *InForce)
    return VersionVerdict::Same;
  if (InForce && Seen < *InForce)
    return VersionVerdict::Older;
  if (isRefused(Seen))
    return VersionVerdict::Refused;
  if (Origin == VersionOrigin::Peer)
    return VersionVerdict::Accept;
  if (isStarting(Now) || isCatchingUp(Now))
    return VersionVerdict::Wait;
  // A new process has no version to compare with, so the reports of its peers
  // decide until it has caught up with them.
  if (!InForce && hasNewerPeerVersion(Seen) &&
      Now - StartedAt < Settings.PeerFetchDeadline)
    return VersionVerdict::Wait;
  return VersionVerdict::Accept;
}

bool VersionKeeper::hasConflict(const Version &Seen) const {
  const auto HasOtherContent = [&Seen](const std::optional<Version> &Known) {
    return Known && Known->Number == Seen.Number &&
           Known->Revision == Seen.Revision && Known->Content != Seen.Content;
  };
  return HasOtherContent(InForce) || HasOtherContent(NewestPeerVersion);
}

void VersionKeeper::onApplied(const Version &Applied) {
  InForce = Applied;
  NewestSeen = std::max(NewestSeen, Applied);
}

void VersionKeeper::onRefused(const Version &Bad) {
  NewestSeen = std::max(NewestSeen, Bad);
  if (isRefused(Bad))
    return;
  if (Refused.size() >= MaxRefusedVersions)
    Refused.pop_front();
  Refused.push_back(Bad);
}

bool VersionKeeper::isStarting(TimeMs Now) const {
  return !StartDone && Now - StartedAt < Settings.StartDeadline;
}

bool VersionKeeper::canReadSource(TimeMs Now) const {
  return !isStarting(Now) ||
         Now - StartedAt >= DurationMs(Settings.StartDeadline.Value / 2);
}

bool VersionKeeper::isCatchingUp(TimeMs Now) const {
  return ResumedAt && AnsweredPeers.size() < Settings.CatchUpAnswers &&
         Now - *ResumedAt < Settings.CatchUpDeadline;
}

bool VersionKeeper::isRefused(const Version &Seen) const {
  return std::find(Refused.begin(), Refused.end(), Seen) != Refused.end();
}

bool VersionKeeper::hasNewerPeerVersion(const Version &Seen) const {
  return NewestPeerVersion && *NewestPeerVersion > Seen &&
         !isRefused(*NewestPeerVersion);
}

} // namespace fescuewood
