/// \file
/// The result of the `check` command, as text or JSON.

#ifndef FESCUEWOOD_APP_CHECKREPORT_H
#define FESCUEWOOD_APP_CHECKREPORT_H

#include "app/CheckInput.h"
#include "app/ExitCode.h"
#include "check/ConfigDifference.h"
#include "check/Finding.h"

#include <optional>
#include <string>

namespace fescuewood {

/// What the check has found.
struct CheckReport {
  CheckInput Input;
  std::string AgainstName;           ///< Empty without a comparison.
  std::optional<CheckInput> Against; ///< The older configuration.
  Findings Warnings;                 ///< Empty if the input is invalid.
  /// Absent without a comparison, or if one of the inputs is invalid.
  std::optional<Differences> Changes;
};

/// Fills in the warnings and differences of inputs that have been read.
/// \param Against std::nullopt for no comparison.
CheckReport makeCheckReport(CheckInput Input, std::string AgainstName,
                            std::optional<CheckInput> Against);

/// The part for standard output: merged values, or differences.
std::string checkOutput(const CheckReport &Report);

/// The part for standard error: errors and warnings, one line each.
std::string checkMessages(const CheckReport &Report);

/// The whole report as one JSON object; docs/COMMANDS.md lists its members.
std::string checkJson(const CheckReport &Report);

/// \param Strict whether warnings change the exit code.
ExitCode checkResult(const CheckReport &Report, bool Strict);

} // namespace fescuewood

#endif // FESCUEWOOD_APP_CHECKREPORT_H
