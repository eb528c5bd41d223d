/// \file
/// Partial view of the fleet: the few peers that this node gossips with, most
/// of them in its own failure domain, some in other domains and regions.
///
/// Call \ref PeerView::refresh periodically and when members change, and pick a
/// peer with \ref PeerView::randomPeer. The view is small so that connections
/// stay open; one peer is replaced at random in each rotation period so that
/// over time every pair of nodes may exchange. Partial views follow A. Ganesh
/// et al., "Peer-to-Peer Membership Management for Gossip-Based Protocols"
/// (2003).

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

/// Sizes of the view and its rotation.
struct PeerViewSettings {
  std::size_t OwnDomain = 5;   ///< Peers in the local domain.
  std::size_t OwnRegion = 2;   ///< Peers in other domains of the region.
  std::size_t OtherRegion = 1; ///< Peers in other regions.
  DurationMs RotationPeriod{15000};
};

/// Location of a peer relative to this node.
enum class PeerDistance : std::uint8_t { OwnDomain, OwnRegion, OtherRegion };

/// A node that may become a peer.
struct PeerCandidate {
  std::string Name;
  PeerDistance Distance = PeerDistance::OwnDomain;
};

/// Peer view of one node. Not thread-safe.
class PeerView {
public:
  PeerView(PeerViewSettings Settings, RandomHook Random);

  /// Removes peers that are no longer candidates, fills the view up, and
  /// replaces one peer when the rotation period has passed.
  void refresh(std::span<const PeerCandidate> Candidates, TimeMs Now);

  /// Name of a random peer; empty when the view is empty.
  std::string randomPeer();

  /// Names of up to \p Count distinct random peers.
  std::vector<std::string> sample(std::size_t Count);

  /// Names of all peers in the view.
  std::vector<std::string> names() const;

private:
  static constexpr std::size_t DistanceCount = 3;

  /// Maximum number of peers at a distance.
  std::size_t capacity(std::size_t Distance) const;
  void fill(std::size_t Distance, std::vector<std::string> Pool);

  PeerViewSettings Settings;
  RandomHook Random;
  TimeMs NextRotation;
  std::array<std::vector<std::string>, DistanceCount> Peers;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_PEERVIEW_H
