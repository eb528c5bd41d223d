/// \file
/// Reads the files of an intent folder into a bundle.

#ifndef FESCUEWOOD_INTENT_INTENTFOLDER_H
#define FESCUEWOOD_INTENT_INTENTFOLDER_H

#include "ini/Problem.h"
#include "intent/Snapshot.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescuewood {

/// A folder as it was read. Its bundle's revision is \ref intentFolderRevision.
struct IntentFolder {
  IntentBundle Bundle;
  std::vector<std::string> Ignored; ///< Files whose names are not intent.
};

/// Reads a folder. Returns nothing, with the problems, when the folder or a
/// file in it cannot be read or when there is more than one version holds.
/// Sub-folders are not entered.
std::optional<IntentFolder> readIntentFolder(const std::string &Path,
                                             Problems &Found);

/// The last change of a folder or an intent file in it, in milliseconds since
/// the Unix epoch; 0 when the folder cannot be read. The system's change time
/// counts, which no tool sets back, and which also shows a removed file.
std::uint64_t intentFolderRevision(const std::string &Path);

/// The last change of one file or folder, or 0 when it cannot be read.
std::uint64_t changeTimeMs(const std::string &Path);

} // namespace fescuewood

#endif // FESCUEWOOD_INTENT_INTENTFOLDER_H
