#include "policy/VersionKeeper.h"

#include <algorithm>

namespace fescuewood {

namespace {

constexpr std::size_t MaxRefused = 64;

} // namespace

VersionKeeper::VersionKeeper(VersionKeeperSettings Settings, TimeMs Now)
    : Settings(Settings), StartedAt(Now), LastTick(Now),
      StartDone(Settings.StartAnswers == 0) {}

bool VersionKeeper::tick(TimeMs Now) {
  const bool Paused = Now - LastTick > Settings.PauseLimit;
  LastTick = std::max(LastTick, Now);
  if (!Paused)
    return false;
  WokeAt = Now;
  Answered.clear();
  return true;
}

void VersionKeeper::onPeerAnswer(std::string_view Peer,
                                 const std::optional<Version> &Theirs,
                                 bool Starting, TimeMs Now) {
  if (Starting && !Theirs)
    return;
  Answered.emplace(Peer);
  if (Theirs && (!NewestAtPeers || *Theirs > *NewestAtPeers))
    NewestAtPeers = Theirs;
  if (Answered.size() >= Settings.StartAnswers)
    StartDone = true;
  if (!catchingUp(Now))
    WokeAt.reset();
}

VersionVerdict VersionKeeper::consider(const Version &Seen,
                                       VersionOrigin Origin, TimeMs Now) const {
  if (InForce && Seen == *InForce)
    return VersionVerdict::Same;
  if (InForce && Seen < *InForce)
    return VersionVerdict::Older;
  if (refusedBefore(Seen))
    return VersionVerdict::Refused;
  if (Origin == VersionOrigin::Peer)
    return VersionVerdict::Accept;
  if (starting(Now) || catchingUp(Now))
    return VersionVerdict::Wait;
  // A fresh process holds nothing that could tell an old version from a new
  // one, so what its peers said decides until it has caught up with them.
  if (!InForce && peerHasNewer(Seen) &&
      Now - StartedAt < Settings.PeerFetchDeadline)
    return VersionVerdict::Wait;
  return VersionVerdict::Accept;
}

bool VersionKeeper::conflicts(const Version &Seen) const {
  const auto Clashes = [&Seen](const std::optional<Version> &Known) {
    return Known && Known->Revision == Seen.Revision &&
           Known->Content != Seen.Content;
  };
  return Clashes(InForce) || Clashes(NewestAtPeers);
}

void VersionKeeper::onApplied(const Version &Applied) {
  InForce = Applied;
  Held = std::max(Held, Applied);
}

void VersionKeeper::onRefused(const Version &Bad) {
  Held = std::max(Held, Bad);
  if (refusedBefore(Bad))
    return;
  if (Refused.size() >= MaxRefused)
    Refused.pop_front();
  Refused.push_back(Bad);
}

bool VersionKeeper::starting(TimeMs Now) const {
  return !StartDone && Now - StartedAt < Settings.StartDeadline;
}

bool VersionKeeper::mayRead(TimeMs Now) const {
  return !starting(Now) ||
         Now - StartedAt >= DurationMs(Settings.StartDeadline.Value / 2);
}

bool VersionKeeper::catchingUp(TimeMs Now) const {
  return WokeAt && Answered.size() < Settings.CatchUpAnswers &&
         Now - *WokeAt < Settings.CatchUpDeadline;
}

bool VersionKeeper::refusedBefore(const Version &Seen) const {
  return std::find(Refused.begin(), Refused.end(), Seen) != Refused.end();
}

bool VersionKeeper::peerHasNewer(const Version &Seen) const {
  return NewestAtPeers && *NewestAtPeers > Seen &&
         !refusedBefore(*NewestAtPeers);
}

} // namespace fescuewood
