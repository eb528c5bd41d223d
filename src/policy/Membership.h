/// \file
/// The table of the fleet's members as one node sees it.
///
/// The node reports what it observes (\ref Membership::onContact,
/// \ref Membership::onUnreachable), merges the records that other nodes send,
/// and passes on what \ref Membership::takeRumours hands out. A member that
/// does not answer is suspected first and dead only when it has not refuted
/// that in time, by a record of its own with a larger sequence. After A. Das et
/// al., "SWIM: Scalable Weakly-consistent Infection-style Process Group
/// Membership Protocol" (2002).
///
/// Tables are compared by digests of a fixed number of buckets, so that the
/// bytes of a comparison do not grow with the fleet.

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

/// Buckets that members are hashed into for comparison: at 1,100 members about
/// one for each, so that a repair carries little that is known already.
inline constexpr std::size_t MemberBuckets = 1024;

/// One digest for each bucket.
using BucketDigests = std::array<std::uint16_t, MemberBuckets>;

/// What a node knows of one member.
struct Member {
  MemberRecord Record;
  std::optional<TimeMs> LastContactAt; ///< It spoke to this very node.
  TimeMs HealthChangedAt;              ///< Its health changed as seen here.
  std::size_t Bucket = 0;
};

/// Whether merged records are passed on to others.
enum class Propagation : std::uint8_t { Forward, LocalOnly };

/// A row of the platform's list.
struct ListedMember {
  Instance Place;
  bool Leaving = false;
};

/// The table of one node. Not thread-safe.
class Membership {
public:
  using MemberMap = std::map<std::string, Member, std::less<>>;

  Membership(MembershipSettings Settings, const Instance &Self,
             std::uint64_t Incarnation, TimeMs Now);

  /// Changes the own record; nothing happens once this member has left.
  void setOwnState(TargetState State, TimeMs Now);
  void leave(TimeMs Now);

  /// Passes the own record on as news again, for one that does not know it.
  void announceSelf();

  /// A member spoke to this node.
  void onContact(std::string_view Name, TimeMs Now);

  /// A member did not answer this node. Returns whether it is suspected now.
  bool onUnreachable(std::string_view Name, TimeMs Now);

  /// Takes a record that another node sent. Returns whether it was news.
  bool merge(const MemberRecord &Record, Propagation Spread, TimeMs Now);

  /// Takes the platform's list.
  /// \param Complete whether a member that was listed and is not any more is to
  /// get no more work.
  void onListed(std::span<const ListedMember> List, std::uint64_t Revision,
                bool Complete, TimeMs Now);

  /// Declares suspects dead and forgets members when their time has come.
  void expire(TimeMs Now);

  /// Records to pass on, urgent ones first; each a limited number of times.
  std::vector<MemberRecord> takeRumours(std::size_t Most);

  /// Records that wait to be passed on, and the urgent ones among them.
  std::size_t pendingRumours() const { return Rumours.size(); }
  std::size_t urgentRumourCount() const { return Rumours.urgent(); }

  /// The receiver of these rumours knew the ones whose bit is set.
  void onRumoursKnown(std::span<const MemberRecord> Sent, std::uint32_t Known);

  /// Whether something waits that callers depend on: a member that takes no
  /// work any more. Cleared by this call.
  bool takeUrgentChange();

  /// Whether \ref instances has changed since the last call.
  bool takeInstancesChanged();

  /// Times that this member refuted a suspicion.
  std::uint64_t refutations() const { return Refutations; }

  /// Whether another, newer process runs under this member's name.
  bool isReplaced() const { return Replaced; }

  const MemberRecord &self() const { return Table.at(OwnName).Record; }
  const MemberMap &members() const { return Table; }
  const Member *find(std::string_view Name) const;

  /// The slots of a domain that a process is not known to have left for
  /// MembershipSettings::VacancyTime.
  std::set<std::uint32_t> slotsInUse(std::string_view Domain, TimeMs Now) const;

  /// Whether another member spoke to this node within \p Span.
  bool hasContactWithin(DurationMs Span, TimeMs Now) const;

  /// Members as the other duties see them: one that the platform lets leave is
  /// draining, a dead one is down, and one that left is not there.
  std::vector<Instance> instances() const;

  /// One number over all members that are not dead and have not left.
  std::uint64_t digest() const;
  const BucketDigests &bucketDigests() const { return Buckets; }

  /// The records in buckets whose digest differs, dead ones included.
  std::vector<const MemberRecord *>
  differingRecords(const BucketDigests &PeerMessage) const;

  /// The bucket of a name.
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
  bool Replaced = false;
  MemberMap Table;
  BucketDigests Buckets{};
  RumourQueue Rumours;
  bool Urgent = false;
  bool Changed = true;
  std::uint64_t Refutations = 0;
  std::set<std::string, std::less<>> Listed; ///< Names of the last whole list.
};

/// The state that other duties see of a member.
TargetState effectiveState(const MemberRecord &Record);

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_MEMBERSHIP_H
