/// \file
/// Gossip protocol: exchanges versions and member records with other nodes.
///
/// In each period the node exchanges with one peer of its partial view; urgent
/// changes are pushed to a few peers at once (rumour mongering, Demers et al.,
/// 1987). Tables that still differ are repaired by bucket. A peer that does not
/// answer, even over a fresh connection, becomes suspect. Some exchanges go to
/// a dead member or a seed, so that the sides of a healed partition merge.

#ifndef FESCUEWOOD_NODES_MEMBERSYNC_H
#define FESCUEWOOD_NODES_MEMBERSYNC_H

#include "core/Clock.h"
#include "nodes/ControlHooks.h"
#include "nodes/ControlMessages.h"
#include "nodes/ControlSettings.h"
#include "nodes/ControlStatus.h"
#include "nodes/PeerTransport.h"
#include "policy/Membership.h"
#include "policy/PeerView.h"
#include "policy/RandomHook.h"
#include "policy/TokenBucket.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Hooks through which gossip reads and updates the rest of the control duty.
struct MemberSyncHooks {
  /// Sets the version in force, the phase, the digest of the slot bits and the
  /// age of the proof.
  std::function<void(ExchangeMessage &)> FillState;
  /// Sets the slot bits of a reply if those of the peer differ.
  std::function<void(const ExchangeMessage &PeerMessage,
                     ExchangeMessage &Reply)>
      FillSlotBits;
  /// Called with the state that a peer sent; the address may be empty.
  std::function<void(const std::string &Peer, const std::string &Address,
                     const ExchangeMessage &PeerMessage)>
      OnPeerState;
  /// Called when a peer's version was known to be the newest at time \p At.
  std::function<void(const Version &PeerVersion, TimeMs At)> OnPeerProof = {};
};

/// Gossip of one node. Not thread-safe; reply hooks of its requests must be
/// called on the thread that calls \ref MemberSync::tick.
class MemberSync {
public:
  MemberSync(const ControlSettings &Settings, std::uint64_t Incarnation,
             const ControlHooks &Hooks, MemberSyncHooks Callbacks, Clock Time,
             RandomHook Random, ControlCounts &Counts);

  /// Performs the work that is due.
  /// \param Eager whether to ask several peers frequently, as after a start.
  void tick(bool Eager);

  /// Exchanges with up to \p Fanout peers at once, within the push rate.
  void push(std::size_t Fanout);

  /// Returns the reply body for a request of kind Exchange; empty when the
  /// request is malformed.
  std::string serve(const PeerIdentity &From, std::string_view Body);

  /// Sets the region of each domain, used to choose peers.
  void setRegions(std::map<std::string, std::string, std::less<>> ByDomain);

  Membership &members() { return Members; }
  const Membership &members() const { return Members; }

private:
  void refreshView();
  void exchangeWithNextPeer();
  void exchangeEagerly();
  std::string pickRejoinAddress();
  void exchange(const std::string &Name, const std::string &Address,
                PeerRoute Route);
  /// An exchange that awaits its reply.
  struct Exchange {
    std::string Name; ///< Empty if only the address is known.
    std::string Address;
    PeerRoute Route = PeerRoute::Reuse;
    TimeMs SentAt;
    std::vector<MemberRecord> SentRumours;
  };

  void onReply(const Exchange &Pending, const PeerReply &Reply);
  void onExchangeFailure(const std::string &Name, const std::string &Address,
                         PeerRoute Route);
  void onAnswer(const Exchange &Pending, const PeerReply &Reply,
                const ExchangeMessage &PeerMessage);
  ExchangeMessage describe(std::string_view Receiver);
  void addReceiverRecord(std::string_view Receiver,
                         ExchangeMessage &Message) const;
  std::uint32_t mergeRumours(const std::vector<MemberRecord> &Rumours);
  bool hasFarFewerMembers(const ExchangeMessage &PeerMessage) const;
  bool shouldRepair(const ExchangeMessage &PeerMessage);
  void repair(const std::string &Address, const ExchangeMessage &PeerMessage);
  std::string serveRepair(const RepairRequest &Request);
  void tellLeavingMembers();
  bool isInformant(std::string_view Leaving) const;
  bool takePushToken();
  std::vector<MemberRecord> takeRumours();
  bool isIsolated() const;
  PeerDistance distanceOf(const Instance &Place) const;

  const ControlSettings &Settings;
  const ControlHooks &Hooks;
  MemberSyncHooks Callbacks;
  Clock Time;
  RandomHook Random;
  ControlCounts &Counts;
  Membership Members;
  PeerView View;
  std::map<std::string, std::string, std::less<>> Regions;
  TimeMs NextExchange;
  TimeMs NextEager;
  TimeMs NextRefresh;
  TimeMs NextRotation;
  TimeMs NextRepair;
  std::uint64_t ViewDigest = 0; ///< Of the members that View was built from.
  std::deque<std::string> LeavingToTell; ///< Members that wait for the budget.
  TokenBucket PushBudget;
  TokenBucket RumourBudget;
  std::deque<bool> RecentOutcomes; ///< True if answered; newest last.
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_MEMBERSYNC_H
