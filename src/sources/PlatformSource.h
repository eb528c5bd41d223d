/// \file
/// How the platform is read: hooks that a source fills in.
///
/// The users' own protocol takes the place of \ref httpSource or
/// \ref folderSource by filling in the same hooks. Nothing is ever written.

#ifndef FESCUEWOOD_SOURCES_PLATFORMSOURCE_H
#define FESCUEWOOD_SOURCES_PLATFORMSOURCE_H

#include "core/Clock.h"
#include "core/ResultCode.h"
#include "intent/Snapshot.h"
#include "policy/ListedInstance.h"
#include "settings/NodeSettings.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fescuewood {

/// Time without any change after which a folder counts as whole.
inline constexpr DurationMs FolderSettleTime{100};

/// The outcome of one read. Value is empty with Reason Ok when the platform
/// holds nothing newer than was asked for.
template <typename T> struct PlatformRead {
  std::optional<T> Value;
  ResultCode Reason = ResultCode::Ok;
  std::string Detail; ///< For people, when Reason is not Ok.
};

/// The hooks of one source. Reads may block for up to Wait and are made from
/// one thread; they return early once Cancel was called.
struct PlatformSource {
  /// Reads the intent if it is news to one who knows \p Known: its revision is
  /// above, or the same with another content. Whole and with its digests
  /// checked, or not at all. A source that cannot show two contents under one
  /// revision may go by the revision alone.
  std::function<PlatformRead<IntentBundle>(const Version &Known,
                                           DurationMs Wait)>
      ReadIntent;

  /// Reads the list of instances if its revision is above \p After.
  std::function<PlatformRead<InstanceList>(std::uint64_t After)> ReadInstances;

  /// Makes a blocked read and all later ones return; from any thread.
  std::function<void()> Cancel;
};

/// The platform behind HTTP; see docs/DESIGN.md for the protocol.
PlatformSource httpSource(const Endpoint &Server, DurationMs Timeout);

/// A local folder, for trying the product on one machine: the intent files and
/// an optional instances.json. A change is read once the folder has been still
/// for \ref FolderSettleTime. Revisions are the newest change of the folder or
/// a file in it, so that all processes that read the folder agree on them.
PlatformSource folderSource(const std::string &Folder);

/// The source that the settings name.
PlatformSource makeSource(const PlatformSettings &Settings);

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_PLATFORMSOURCE_H
