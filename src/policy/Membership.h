/// \file
/// Membership table of the fleet, as one node sees it.
///
/// The caller reports observations (\ref Membership::onContact,
/// \ref Membership::onUnreachable), merges the records received from other
/// nodes, and forwards those returned by \ref Membership::takeRumours. A member
/// that does not answer becomes suspect; it is declared dead unless it refutes
/// the suspicion in time with a record of a larger sequence. Based on A. Das et
/// al., "SWIM: Scalable Weakly-consistent Infection-style Process Group
/// Membership Protocol" (2002).
///
/// Tables are compared by the digests of a fixed number of buckets, so the size
/// of a comparison is independent of the size of the fleet.

#ifndef FESCUEWOOD_POLICY_MEMBERSHIP_H
#define FESCUEWOOD_POLICY_MEMBERSHIP_H

#include "core/Clock.h"
#include "policy/MemberRecord.h"
#include "policy/MembershipSettings.h"
#include "policy/RumourQueue.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Number of buckets that members are hashed into for comparison. With 1,100
/// members a bucket holds about one of them, so a repair sends few records that
/// the receiver already has.
inline constexpr std::size_t MemberBuckets = 1024;

/// Digests of the buckets, by bucket index.
using BucketDigests = std::array<std::uint16_t, MemberBuckets>;

/// Table entry for one member.
struct Member {
  MemberRecord Record;
  std::optional<TimeMs> LastContactAt; ///< Last message received from it.
  TimeMs HealthChangedAt;              ///< Local time of the last change.
  std::size_t Bucket = 0;
};

/// Whether a merged record is queued for gossip.
enum class Propagation : std::uint8_t { Forward, LocalOnly };

/// Row of the platform's instance list.
struct ListedMember {
  Instance Place;
  bool Leaving = false;
  /// Revision of the platform up to which the row was read, if older than that
  /// of the list.
  std::optional<std::uint64_t> ReadAt = {};
};

/// Membership table of one node. Not thread-safe.
class Membership {
public:
  using MemberMap = std::map<std::string, Member, std::less<>>;

  Membership(MembershipSettings Settings, const Instance &Self,
             std::uint64_t Incarnation, TimeMs Now);

  /// Sets the state in the local record. No effect after \ref leave.
  void setOwnState(TargetState State, TimeMs Now);

  /// Marks the local member as left and draining.
  void leave(TimeMs Now);

  /// Queues the local record for gossip again, after a peer reported that it
  /// does not know this member.
  void announceSelf();

  /// Records that a message arrived from a member.
  void onContact(std::string_view Name, TimeMs Now);

  /// Marks a live member that did not answer as suspect. Returns whether its
  /// health changed.
  bool onUnreachable(std::string_view Name, TimeMs Now);

  /// Merges a record received from another node. Returns whether it was new.
  bool merge(const MemberRecord &Record, Propagation Mode, TimeMs Now);

  /// Merges the platform's instance list.
  /// \param Revision revision of the platform at which this list was read.
  /// \param Complete whether a member missing from this list, but present in
  /// the previous complete one, is treated as leaving.
  void onListed(std::span<const ListedMember> List, std::uint64_t Revision,
                bool Complete, TimeMs Now);

  /// Declares suspects dead and removes dead and left members, each after its
  /// time limit in \ref MembershipSettings.
  void expire(TimeMs Now);

  /// Returns up to \p MaxCount records to send, urgent ones first. Each record
  /// is returned a limited number of times.
  std::vector<MemberRecord> takeRumours(std::size_t MaxCount);

  /// Number of records queued for gossip, and of the urgent ones among them.
  std::size_t pendingRumours() const { return Rumours.size(); }
  std::size_t urgentRumourCount() const { return Rumours.urgent(); }

  /// Handles feedback from a receiver: bit i of \p Known is set when it already
  /// knew record i of \p Sent.
  void onRumoursKnown(std::span<const MemberRecord> Sent, std::uint32_t Known);

  /// Whether a member has stopped taking work since the last call. Callers
  /// depend on this, so it is sent at once.
  bool takeUrgentChange();

  /// Returns the members that the platform's list or a peer has reported as
  /// leaving since the last call.
  std::vector<std::string> takeNewlyLeaving();

  /// Whether \ref instances has changed since the last call.
  bool takeInstancesChanged();

  /// Number of suspicions of the local member that it refuted.
  std::uint64_t refutations() const { return Refutations; }

  /// Whether a newer process runs under the name of this member.
  bool isReplaced() const { return NewerProcessSeen; }

  const MemberRecord &self() const { return Table.at(OwnName).Record; }
  const MemberMap &members() const { return Table; }
  const Member *find(std::string_view Name) const;

  /// Slots of a domain that are occupied: a process has run there and has not
  /// been dead for MembershipSettings::VacancyTime.
  std::set<std::uint32_t> slotsInUse(std::string_view Domain, TimeMs Now) const;

  /// Whether any member sent a message to this node within the last \p Span.
  bool hasContactWithin(DurationMs Span, TimeMs Now) const;

  /// Instances with their effective state: draining when the platform lists the
  /// member as leaving, down when it is dead. Members that left are omitted.
  std::vector<Instance> instances() const;

  /// Digest of all members that are neither dead nor left.
  std::uint64_t digest() const;
  const BucketDigests &bucketDigests() const { return Buckets; }

  /// Records in the buckets whose digests differ, including dead members.
  std::vector<const MemberRecord *>
  differingRecords(const BucketDigests &PeerDigests) const;

  /// Index of the bucket that a name hashes into.
  static std::size_t bucketOf(std::string_view Name);

private:
  using Change = std::function<void(MemberRecord &)>;

  void setListing(Member &Entry, std::uint64_t Revision, bool Leaving,
                  TimeMs Now);
  void update(Member &Entry, const Change &Apply, TimeMs Now);
  void updateSelf(const Change &Apply, TimeMs Now);
  void mergeSelf(const MemberRecord &Record, TimeMs Now);
  Member *add(const Instance &Place, TimeMs Now);
  void toggleDigest(const MemberRecord &Record);
  bool isExpired(const Member &Entry, TimeMs Now) const;

  MembershipSettings Settings;
  std::string OwnName;
  TimeMs StartedAt;
  bool NewerProcessSeen = false;
  MemberMap Table;
  BucketDigests Buckets{};
  RumourQueue Rumours;
  bool UrgentChangePending = false;
  std::vector<std::string> NewlyLeaving;
  bool InstancesChanged = true;
  std::uint64_t Refutations = 0;
  /// Names in the last complete list.
  std::set<std::string, std::less<>> ListedNames;
};

/// State of a member after its health and the platform's listing are applied.
TargetState effectiveState(const MemberRecord &Record);

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_MEMBERSHIP_H
