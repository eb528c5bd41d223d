/// \file
/// Reads the files of an intent folder into a bundle.

#ifndef FESCUEWOOD_INTENT_INTENTFOLDER_H
#define FESCUEWOOD_INTENT_INTENTFOLDER_H

#include "ini/Problem.h"
#include "intent/Snapshot.h"

#include <optional>
#include <string>
#include <vector>

namespace fescuewood {

/// A folder as it was read. Its bundle's revision is the newest modification
/// among the folder and its files, in milliseconds since the Unix epoch.
struct IntentFolder {
  IntentBundle Bundle;
  std::vector<std::string> Ignored; ///< Files whose names are not intent.
};

/// Reads a folder. Returns nothing, with the problems, when the folder or a
/// file in it cannot be read or when there is more than one version holds.
/// Sub-folders are not entered.
std::optional<IntentFolder> readIntentFolder(const std::string &Path,
                                             Problems &Found);

} // namespace fescuewood

#endif // FESCUEWOOD_INTENT_INTENTFOLDER_H
