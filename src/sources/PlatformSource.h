/// \file
/// Read-only interface to the platform: a set of hooks that each kind of source
/// implements.
///
/// An installation with its own protocol replaces \ref httpSource or
/// \ref folderSource by implementing the same hooks. Nothing is ever written to
/// the platform.

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

/// Time without any change after which a folder counts as completely written.
inline constexpr DurationMs FolderSettleTime{100};

/// The result of one read. Value is empty with Reason Ok when the platform has
/// nothing newer than the caller already knows.
template <typename T> struct PlatformRead {
  std::optional<T> Value;
  ResultCode Reason = ResultCode::Ok;
  std::string Detail; ///< Human-readable; set when Reason is not Ok.
};

/// The hooks of one source. Reads are made from a single thread, may block for
/// up to Wait and return early once Cancel was called.
struct PlatformSource {
  /// Reads the intent if it is newer than \p KnownVersion: its revision is
  /// higher, or equal with different content. Returns a complete bundle whose
  /// digests have been checked, or none. A source that cannot have two contents
  /// under one revision may compare the revision alone.
  std::function<PlatformRead<IntentBundle>(const Version &KnownVersion,
                                           DurationMs Wait)>
      ReadIntent;

  /// Reads the list of instances if its revision is higher than
  /// \p AfterRevision.
  std::function<PlatformRead<InstanceList>(std::uint64_t AfterRevision)>
      ReadInstances;

  /// Makes a blocked read and all later ones return. Callable from any thread.
  std::function<void()> Cancel;
};

/// Source that reads the platform over HTTP; docs/DESIGN.md has the protocol.
///
/// \param Timeout longest time that a read may take beyond its wait.
PlatformSource httpSource(const Endpoint &Server, DurationMs Timeout);

/// Source that reads a local folder, for evaluation on one machine: the intent
/// files and an optional instances.json. A change is read once the folder has
/// been unchanged for \ref FolderSettleTime. The revision is the latest
/// modification time of the folder or a file in it, so that all processes that
/// read the folder agree on it.
PlatformSource folderSource(const std::string &Folder);

/// Creates the source that the settings select.
PlatformSource makeSource(const PlatformSettings &Settings);

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_PLATFORMSOURCE_H
