/// \file
/// The reader of intent folders.

#ifndef FESCUEWOOD_INTENT_INTENTFOLDER_H
#define FESCUEWOOD_INTENT_INTENTFOLDER_H

#include "ini/Problem.h"
#include "intent/Snapshot.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescuewood {

/// The contents of a folder. The revision of its bundle is the one that
/// \ref intentFolderRevision returns.
struct IntentFolder {
  IntentBundle Bundle;
  std::vector<std::string>
      IgnoredFiles; ///< Names that are no intent file names.
};

/// Reads a folder without its subfolders. Returns std::nullopt and reports
/// problems if the folder or a file in it cannot be read, or if the folder
/// exceeds \ref MaxBundleBytes or \ref MaxBundleFiles.
std::optional<IntentFolder> readIntentFolder(const std::string &Path,
                                             Problems &Found);

/// Returns the latest change time of a folder and the intent files in it, in
/// milliseconds since the Unix epoch, or 0 if the folder cannot be read. This
/// is the inode change time (ctime): unlike the modification time, no tool can
/// set it back, and the ctime of the folder also covers removed files.
std::uint64_t intentFolderRevision(const std::string &Path);

/// Returns the inode change time of a file or folder in milliseconds since the
/// Unix epoch, or 0 if it cannot be read.
std::uint64_t changeTimeMs(const std::string &Path);

} // namespace fescuewood

#endif // FESCUEWOOD_INTENT_INTENTFOLDER_H
