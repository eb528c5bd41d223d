/// \file
/// From the files of one version to a snapshot that can be put in force.
///
/// A node gives a bundle to \ref compileIntent and gets either a closed
/// snapshot or every problem at once, each with file and line; never a part.

#ifndef FESCUEWOOD_INTENT_COMPILEINTENT_H
#define FESCUEWOOD_INTENT_COMPILEINTENT_H

#include "ini/Problem.h"
#include "ini/Schema.h"
#include "intent/Snapshot.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Largest sum of file names and texts in one version, in bytes.
inline constexpr std::size_t MaxBundleBytes = 1024 * 1024;

/// Most files in one version.
inline constexpr std::size_t MaxBundleFiles = 4096;

/// Longest file name, in bytes.
inline constexpr std::size_t MaxFileNameBytes = 128;

/// Whether a file of this name is part of the intent: lower-case letters,
/// digits, '.', '_' and '-', not starting with '.', ending in ".ini".
bool isIntentFileName(std::string_view Name);

/// The outcome of compiling one version.
struct CompiledIntent {
  SnapshotPtr Result; ///< Null exactly when there is a problem.
  Problems Found;     ///< In the order of file and line.
};

/// Parses, merges and validates a bundle. The order of its files does not
/// matter; they are merged in the order of their names.
CompiledIntent compileIntent(const IntentBundle &Bundle);

/// Every key of the intent, in the order of docs/INTENT.md.
std::vector<KeyInfo> intentKeys();

} // namespace fescuewood

#endif // FESCUEWOOD_INTENT_COMPILEINTENT_H
