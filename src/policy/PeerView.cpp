#include "policy/PeerView.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

bool contains(const std::vector<std::string> &Names, const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

} // namespace

PeerView::PeerView(PeerViewSettings Settings, RandomHook Random)
    : Settings(Settings), Random(std::move(Random)) {}

void PeerView::refresh(std::span<const PeerCandidate> Candidates, TimeMs Now) {
  std::array<std::vector<std::string>, DistanceCount> Pools;
  for (const PeerCandidate &C : Candidates)
    Pools[static_cast<std::size_t>(C.Distance)].push_back(C.Name);
  const bool Rotate = Now >= NextRotation;
  if (Rotate)
    NextRotation = Now + Settings.RotationPeriod;
  // A rotation replaces one peer of the whole view.
  const std::size_t Rotated = Rotate ? Random() % DistanceCount : DistanceCount;
  for (std::size_t D = 0; D < DistanceCount; ++D) {
    std::erase_if(Peers[D], [&](const std::string &Name) {
      return !contains(Pools[D], Name);
    });
    if (D == Rotated && Pools[D].size() > Peers[D].size() && !Peers[D].empty())
      Peers[D].erase(Peers[D].begin());
    fill(D, std::move(Pools[D]));
  }
}

std::size_t PeerView::capacity(std::size_t Distance) const {
  const std::array<std::size_t, DistanceCount> Capacities{
      Settings.OwnDomain, Settings.OwnRegion, Settings.OtherRegion};
  return Capacities[Distance];
}

/// Fills the view with random peers from the pool. New peers are appended, so
/// the oldest one is rotated out first.
void PeerView::fill(std::size_t Distance, std::vector<std::string> Pool) {
  std::vector<std::string> &Chosen = Peers[Distance];
  std::erase_if(Pool, [&Chosen](const std::string &Name) {
    return contains(Chosen, Name);
  });
  while (Chosen.size() < capacity(Distance) && !Pool.empty()) {
    const std::size_t Index = Random() % Pool.size();
    Chosen.push_back(std::move(Pool[Index]));
    Pool[Index] = std::move(Pool.back());
    Pool.pop_back();
  }
}

std::string PeerView::randomPeer() {
  const std::vector<std::string> All = names();
  return All.empty() ? std::string() : All[Random() % All.size()];
}

std::vector<std::string> PeerView::sample(std::size_t Count) {
  std::vector<std::string> All = names();
  for (std::size_t I = 0; I + 1 < All.size(); ++I)
    std::swap(All[I], All[I + Random() % (All.size() - I)]);
  if (All.size() > Count)
    All.resize(Count);
  return All;
}

std::vector<std::string> PeerView::names() const {
  std::vector<std::string> All;
  for (const auto &Group : Peers)
    All.insert(All.end(), Group.begin(), Group.end());
  return All;
}

} // namespace fescuewood
