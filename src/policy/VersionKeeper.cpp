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
                                 const std::optional<Version> &Theirs,
                                 bool Starting, TimeMs Now) {
  if (Starting && !Theirs)
    return;
  AnsweredPeers.emplace(Peer);
  if (Theirs && (!NewestPeerVersion || *Theirs > *NewestPeerVersion))
    NewestPeerVersion = Theirs;
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
  // A fresh process holds nothing that could tell an old version from a new
  // one, so what its peers said decides until it has caught up with them.
  if (!InForce && hasNewerPeerVersion(Seen) &&
      Now - StartedAt < Settings.PeerFetchDeadline)
    return VersionVerdict::Wait;
  return VersionVerdict::Accept;
}

bool VersionKeeper::hasConflict(const Version &Seen) const {
  const auto Clashes = [&Seen](const std::optional<Version> &Known) {
    return Known && Known->Revision == Seen.Revision &&
           Known->Content != Seen.Content;
  };
  return Clashes(InForce) || Clashes(NewestPeerVersion);
}

void VersionKeeper::onApplied(const Version &Applied) {
  InForce = Applied;
  Held = std::max(Held, Applied);
}

void VersionKeeper::onRefused(const Version &Bad) {
  Held = std::max(Held, Bad);
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
