/// \file
/// The compiler from an intent bundle to a validated snapshot.
///
/// \ref compileIntent returns either a complete snapshot or all problems of the
/// bundle, each with its file and line. It never returns a partial snapshot.

#ifndef FESCUEWOOD_INTENT_COMPILEINTENT_H
#define FESCUEWOOD_INTENT_COMPILEINTENT_H

#include "ini/Problem.h"
#include "ini/Schema.h"
#include "intent/Snapshot.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Maximum total size of the file names and texts of one version, in bytes.
inline constexpr std::size_t MaxBundleBytes = 1024 * 1024;

/// Maximum number of files in one version.
inline constexpr std::size_t MaxBundleFiles = 4096;

/// Maximum length of a file name, in bytes.
inline constexpr std::size_t MaxFileNameBytes = 128;

/// Returns true if \p Name is a valid intent file name: lower-case letters,
/// digits, '.', '_' and '-', not starting with '.', ending in ".ini".
bool isIntentFileName(std::string_view Name);

/// The result of compiling one version.
struct CompiledIntent {
  SnapshotPtr Result; ///< Null if and only if there are problems.
  Problems Found;     ///< Sorted by file and line.
};

/// Parses, merges and validates a bundle. Files are merged in name order,
/// whatever their order in the bundle.
CompiledIntent compileIntent(const IntentBundle &Bundle);

/// Returns all intent keys, in the order of docs/INTENT.md.
std::vector<KeyInfo> intentKeys();

} // namespace fescuewood

#endif // FESCUEWOOD_INTENT_COMPILEINTENT_H
