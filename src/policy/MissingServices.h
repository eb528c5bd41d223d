/// \file
/// Services that have had no usable target for some time.
///
/// A call without a target waits a little, since targets are replaced and nodes
/// learn of them late. Once its service has had none for longer than that
/// takes, waiting only costs the caller time that it needs elsewhere.

#ifndef FESCUEWOOD_POLICY_MISSINGSERVICES_H
#define FESCUEWOOD_POLICY_MISSINGSERVICES_H

#include "core/Clock.h"

#include <map>
#include <string>
#include <string_view>

namespace fescuewood {

/// Time without a target after which calls to a service wait no longer.
inline constexpr DurationMs LastingMissTime{2000};

/// Time without a call after which a service counts as not looked for: it may
/// have had targets meanwhile.
inline constexpr DurationMs MissMemory{2000};

/// Remembers since when no call to a service has found a target. Not
/// thread-safe.
class MissingServices {
public:
  /// Notes that a call to \p Service finds no target, and returns whether none
  /// has found one for \ref LastingMissTime.
  bool miss(std::string_view Service, TimeMs Now) {
    auto Found = Missing.find(Service);
    if (Found == Missing.end() || Now - Found->second.Last > MissMemory)
      Found =
          Missing.insert_or_assign(std::string(Service), Span{Now, Now}).first;
    Found->second.Last = Now;
    return Now - Found->second.First >= LastingMissTime;
  }

  /// Notes that a call to \p Service has found a target.
  void find(std::string_view Service) {
    if (const auto Found = Missing.find(Service); Found != Missing.end())
      Missing.erase(Found);
  }

private:
  struct Span {
    TimeMs First; ///< First call without a target.
    TimeMs Last;  ///< Last call without a target.
  };

  std::map<std::string, Span, std::less<>> Missing;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_MISSINGSERVICES_H
