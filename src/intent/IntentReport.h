/// \file
/// What an operator reads of an intent: the merged values with their origin,
/// and every error at once. The `check` command prints it.

#ifndef FESCUEWOOD_INTENT_INTENTREPORT_H
#define FESCUEWOOD_INTENT_INTENTREPORT_H

#include "intent/Snapshot.h"

#include <string>

namespace fescuewood {

/// A report on an intent.
struct IntentReport {
  bool Accepted = false; ///< Whether a node would put the intent in force.
  std::string Merged;    ///< Every value, with the file and line it came from.
  std::string Errors;    ///< One line for each problem; empty when accepted.
};

/// Reports on a bundle. The merged text is given also when there are errors.
IntentReport reportIntent(const IntentBundle &Bundle);

/// Reports on a folder of intent files.
IntentReport reportIntentFolder(const std::string &Path);

} // namespace fescuewood

#endif // FESCUEWOOD_INTENT_INTENTREPORT_H
