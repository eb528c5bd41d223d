/// \file
/// The requests that the local target is running, as possible parents of calls
/// that arrive meanwhile.
///
/// Answers the load of a service whose requests make calls of their own while
/// the services behind it are short of room. Such a call has to be told apart
/// from a caller's request: work is lost at two services if it is turned away.
/// Without organisations no key tells them apart, but a target that appends to
/// the id of the request it runs names the parent in the id of each call.

#ifndef FESCUEWOOD_POLICY_PARENTREQUESTS_H
#define FESCUEWOOD_POLICY_PARENTREQUESTS_H

#include "core/Clock.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// Requests that run at the local target, by request id. Not thread-safe.
class ParentRequests {
public:
  /// \param Separator between the id of a request and what its target appends
  /// to it for a call; '\0' if ids are not nested.
  explicit ParentRequests(char Separator) : Separator(Separator) {}

  /// Adds a request that begins to run. The same id may run more than once.
  /// \param Deadline time at which its caller stops waiting.
  /// \param Route route of the request; the empty default for callers of \ref
  /// parentDeadline only.
  void add(std::string_view RequestId, TimeMs Deadline,
           std::string_view Route = {});

  /// Removes one run of a request.
  void remove(std::string_view RequestId, TimeMs Deadline);

  /// Latest deadline among the running requests that may have made the call
  /// with the id \p CallRequestId; std::nullopt if there are none.
  std::optional<TimeMs> parentDeadline(std::string_view CallRequestId) const;

  /// Route of the request whose deadline \ref parentDeadline returns;
  /// std::nullopt if there is none.
  std::optional<std::string> parentRoute(std::string_view CallRequestId) const;

  std::size_t size() const { return Running.size(); }

private:
  struct Request {
    TimeMs Deadline;
    std::string Route;
  };

  /// The running request that ends last of those that may have made the call;
  /// null if there are none.
  const Request *parent(std::string_view CallRequestId) const;

  char Separator;
  std::multimap<std::string, Request, std::less<>> Running;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_PARENTREQUESTS_H
