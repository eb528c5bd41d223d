/// \file
/// Exchanges versions and members with other nodes: the gossip of the fleet.
///
/// Each period the node exchanges with one peer of its small view; news that
/// cannot wait is pushed to a few peers at once (rumour mongering, Demers et
/// al., 1987). Tables that still differ are repaired bucket by bucket. A peer
/// that does not answer, also not over a fresh connection, is suspected. Now
/// and then a dead member or a seed is tried, so that the halves of a healed
/// partition find each other.

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

/// What the exchange asks of the rest of the control duty.
struct MemberSyncHooks {
  /// Fills in the version, the phase and the slot bits' digest.
  std::function<void(ExchangeMessage &)> FillState;
  /// Fills in the slot bits if the other side's differ.
  std::function<void(const ExchangeMessage &PeerMessage,
                     ExchangeMessage &Reply)>
      FillSlotBits;
  /// A peer has described itself; the address may be empty.
  std::function<void(const std::string &Peer, const std::string &Address,
                     const ExchangeMessage &PeerMessage)>
      OnPeerState;
  /// A peer's version was known to be the newest at this time.
  std::function<void(const Version &PeerMessage, TimeMs At)> OnPeerProof = {};
};

/// The exchange of one node. Not thread-safe; replies to its requests must come
/// back on the thread that drives it.
class MemberSync {
public:
  MemberSync(const ControlSettings &Settings, std::uint64_t Incarnation,
             const ControlHooks &Hooks, MemberSyncHooks Own, Clock Time,
             RandomHook Random, ControlCounts &Counts);

  /// Does what is due. \p Eager: asks several peers often, as after a start.
  void tick(bool Eager);

  /// Tells \p Fanout peers at once.
  void push(std::size_t Fanout);

  /// Answers a request of kind Exchange; an empty body when it is malformed.
  std::string serve(const PeerIdentity &From, std::string_view Body);

  /// Regions of the domains, for the choice of peers.
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
  /// An exchange that waits for its reply.
  struct Exchange {
    std::string Name; ///< Empty when only the address is known.
    std::string Address;
    PeerRoute Route = PeerRoute::Reuse;
    TimeMs SentAt;
    std::vector<MemberRecord> Sent;
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
  bool takePushToken();
  std::vector<MemberRecord> takeRumours();
  bool isIsolated() const;
  PeerDistance distanceOf(const Instance &Place) const;

  const ControlSettings &Settings;
  const ControlHooks &Hooks;
  MemberSyncHooks Own;
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
  std::uint64_t ViewDigest = 0; ///< Of the members that the view rests on.
  TokenBucket Pushes;
  TokenBucket RumourBudget;
  std::deque<bool>
      RecentOutcomes; ///< Of the last exchanges; true for answered.
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_MEMBERSYNC_H
