/// \file
/// The targets that a store lists, kept over the store's outages.
///
/// The owner reports each entry as it is read and when the store is lost and
/// regained. Entries lapse while the store is away, although their targets
/// live; they come back soon after its return. An entry that vanishes around
/// an outage is therefore kept until that time is over; at any other time a
/// vanished entry means that its target is gone.

#ifndef FESCUEWOOD_POLICY_TARGETLIST_H
#define FESCUEWOOD_POLICY_TARGETLIST_H

#include "core/Clock.h"
#include "policy/ListedInstance.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace fescuewood {

/// Time after the store's return in which targets that live write their entries
/// again: about 2 s by the platform's word, and the same again for the news.
inline constexpr DurationMs RelistTime{2500};

/// The entries by target id. Not thread-safe.
class TargetList {
public:
  /// A target's entry was written.
  void put(ListedInstance Entry);

  /// A target's entry was removed, or cannot be read any more.
  void remove(std::string_view Id, TimeMs Now);

  /// The whole list was read; entries that it does not name have vanished.
  void replaceAll(std::vector<ListedInstance> Entries, TimeMs Now);

  /// The store does not answer (any more), or answers again.
  void onStoreLost();
  void onStoreRecovered(TimeMs Now);

  /// Lets go of vanished entries whose time is over.
  void expire(TimeMs Now);

  /// When \ref expire has something to do next; Never when nothing waits.
  TimeMs nextExpiry() const;

  /// One row for each instance; a live target goes before one that leaves, and
  /// a newer one before an older one.
  InstanceList list(std::uint64_t Revision) const;

  /// The target of \p Service at an address, or nothing.
  std::optional<ListedInstance> find(std::string_view Address,
                                     std::string_view Service) const;

  /// Whether anything has changed since the last call.
  bool takeChanged();

private:
  bool aroundOutage(TimeMs Now) const;
  void vanish(const std::string &Id, TimeMs Now);

  std::map<std::string, ListedInstance, std::less<>> Entries;
  std::set<std::string, std::less<>> Vanished; ///< Kept for the time being.
  bool Lost = false;
  std::optional<TimeMs> KeepUntil; ///< Set once the store is back.
  bool Changed = false;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_TARGETLIST_H
