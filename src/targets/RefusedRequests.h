/// \file
/// Bounded memory of the requests that a target has refused.

#ifndef FESCUEWOOD_TARGETS_REFUSEDREQUESTS_H
#define FESCUEWOOD_TARGETS_REFUSEDREQUESTS_H

#include <cstddef>
#include <deque>
#include <set>
#include <string>

namespace fescuewood {

/// IDs of the latest refused requests. A faulty target may write a refusal once
/// more on the same connection, and the ID does not tell it from the answer to
/// the same request that is sent again.
class RefusedRequests {
public:
  void add(const std::string &Id) {
    if (Id.empty() || !Ids.insert(Id).second)
      return;
    Order.push_back(Id);
    if (Order.size() <= MaxIds)
      return;
    Ids.erase(Order.front());
    Order.pop_front();
  }

  bool contains(const std::string &Id) const { return Ids.contains(Id); }

private:
  /// More than are refused while a connection stays open and idle.
  static constexpr std::size_t MaxIds = 4096;

  std::set<std::string> Ids;
  std::deque<std::string> Order; ///< Oldest first.
};

} // namespace fescuewood

#endif // FESCUEWOOD_TARGETS_REFUSEDREQUESTS_H
