/// \file
/// Bounded memory of the requests that a target has not served.

#ifndef FESCUEWOOD_TARGETS_FAILEDREQUESTS_H
#define FESCUEWOOD_TARGETS_FAILEDREQUESTS_H

#include <cstddef>
#include <deque>
#include <set>
#include <string>

namespace fescuewood {

/// IDs of the latest requests that ended without success and may be sent again.
/// A faulty target may write an answer once more on the same connection, and
/// the ID does not tell it from the answer to the same request that is sent
/// again.
class FailedRequests {
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
  /// More than fail while a connection stays open and idle.
  static constexpr std::size_t MaxIds = 4096;

  std::set<std::string> Ids;
  std::deque<std::string> Order; ///< Oldest first.
};

} // namespace fescuewood

#endif // FESCUEWOOD_TARGETS_FAILEDREQUESTS_H
