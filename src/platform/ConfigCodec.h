/// \file
/// Decoder of the platform's configuration document into a snapshot.
///
/// Nodes exchange a version as the bytes that the store holds, and each node
/// decodes them itself.

#ifndef FESCUEWOOD_PLATFORM_CONFIGCODEC_H
#define FESCUEWOOD_PLATFORM_CONFIGCODEC_H

#include "intent/Snapshot.h"

#include <map>
#include <string>
#include <vector>

namespace fescuewood::platform {

/// Region of each failure domain. The configuration document contains none.
using DomainRegions = std::map<std::string, std::string, std::less<>>;

/// An error because of which a configuration document is refused.
struct ConfigProblem {
  std::string Where;    ///< Such as "routes[3].name"; empty for the whole.
  std::string Found;    ///< The value; empty when there is none to show.
  std::string Expected; ///< What was expected instead.

  /// "found value, expected ...".
  std::string detail() const;

  /// "where: " and the detail.
  std::string text() const;
};

using ConfigProblems = std::vector<ConfigProblem>;

/// Decodes a bundle that was made by \ref fescuewood::StoreLoop. Returns null
/// when the bundle or its configuration is invalid, and sets \p Found to
/// all errors, at most \ref fescuewood::MaxProblems.
SnapshotPtr compileConfiguration(const IntentBundle &Bundle,
                                 const DomainRegions &Regions,
                                 ConfigProblems &Found);

/// Decodes a bundle that was made by \ref fescuewood::StoreLoop. Returns null
/// when the bundle or its configuration is invalid, and sets \p Error to a
/// message for the operator, which names the first error and the number of
/// others.
SnapshotPtr compileConfiguration(const IntentBundle &Bundle,
                                 const DomainRegions &Regions,
                                 std::string &Error);

} // namespace fescuewood::platform

#endif // FESCUEWOOD_PLATFORM_CONFIGCODEC_H
