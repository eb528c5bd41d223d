/// \file
/// The report of a soak: JSON for programs and a short text for people.

#ifndef FESCUEWOOD_SOAK_REPORT_H
#define FESCUEWOOD_SOAK_REPORT_H

#include "soak/Soak.h"

#include <string>

namespace fescuewood::soak {

/// What was run.
struct SoakInput {
  std::uint64_t Seed = 0;
  std::string ScenarioFile;
  std::string ScenarioText;
  std::string Folder;      ///< Holds the logs of the nodes.
  std::string NodeProgram; ///< Explains a request from the logs.
};

std::string reportJson(const SoakInput &Input, const SoakResult &Result);
std::string reportText(const SoakInput &Input, const SoakResult &Result);

} // namespace fescuewood::soak

#endif // FESCUEWOOD_SOAK_REPORT_H
