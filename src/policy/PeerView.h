/// \file
/// The few nodes with which this one exchanges: mostly of its own failure
/// domain, a few of others and of other regions.
///
/// Call \ref PeerView::refresh whenever members change and now and then, and
/// take the next peer with \ref PeerView::randomPeer. The view is small, so
/// that connections stay open, and one place changes at random in each rotation
/// period, so that over time every pair of nodes may meet. Partial views are
/// after A. Ganesh et al., "Peer-to-Peer Membership Management for Gossip-Based
/// Protocols" (2003).

#ifndef FESCUEWOOD_POLICY_PEERVIEW_H
#define FESCUEWOOD_POLICY_PEERVIEW_H

#include "core/Clock.h"
#include "policy/RandomHook.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace fescuewood {

struct PeerViewSettings {
  std::size_t OwnDomain = 5;   ///< Places for peers of the own domain.
  std::size_t OwnRegion = 2;   ///< Of other domains in the own region.
  std::size_t OtherRegion = 1; ///< Of other regions.
  DurationMs RotationPeriod{15000};
};

/// Where a peer is, seen from this node.
enum class PeerDistance : std::uint8_t { OwnDomain, OwnRegion, OtherRegion };

/// A node that may become a peer.
struct PeerCandidate {
  std::string Name;
  PeerDistance Distance = PeerDistance::OwnDomain;
};

/// The view of one node. Not thread-safe.
class PeerView {
public:
  PeerView(PeerViewSettings Settings, RandomHook Random);

  /// Drops peers that are no candidates any more, fills free places, and
  /// replaces one when the rotation period has passed.
  void refresh(std::span<const PeerCandidate> Candidates, TimeMs Now);

  /// A peer at random, or empty when there is none.
  std::string randomPeer();

  /// Up to \p Count different peers at random.
  std::vector<std::string> sample(std::size_t Count);

  /// Every peer in the view.
  std::vector<std::string> names() const;

private:
  static constexpr std::size_t DistanceCount = 3;

  std::size_t capacity(std::size_t Distance) const;
  void fill(std::size_t Distance, std::vector<std::string> Pool);

  PeerViewSettings Settings;
  RandomHook Random;
  TimeMs NextRotation;
  std::array<std::vector<std::string>, DistanceCount> Peers;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_PEERVIEW_H
