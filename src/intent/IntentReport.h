/// \file
/// The report that the `check` command prints about an intent: the merged
/// values with their origins, and all errors.

#ifndef FESCUEWOOD_INTENT_INTENTREPORT_H
#define FESCUEWOOD_INTENT_INTENTREPORT_H

#include "intent/IntentFolder.h"
#include "intent/Snapshot.h"

#include <string>

namespace fescuewood {

/// The merged values and the errors of an intent.
struct IntentReport {
  bool Accepted = false; ///< Whether a node would apply the intent.
  std::string Merged;    ///< All values, each with its file and line.
  std::string Errors;    ///< One line per problem; empty if accepted.
};

/// Reports on a bundle. \ref IntentReport::Merged is filled in even if there
/// are errors.
IntentReport reportIntent(const IntentBundle &Bundle);

/// Reports on a folder that has been read, including its ignored files.
IntentReport reportIntentFolder(const IntentFolder &Folder);

/// Reads a folder of intent files and reports on it.
IntentReport reportIntentFolder(const std::string &Path);

} // namespace fescuewood

#endif // FESCUEWOOD_INTENT_INTENTREPORT_H
