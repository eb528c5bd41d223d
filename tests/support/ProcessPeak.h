/// \file
/// The highest memory that another process has held.

#ifndef FESCUEWOOD_TESTS_SUPPORT_PROCESSPEAK_H
#define FESCUEWOOD_TESTS_SUPPORT_PROCESSPEAK_H

#include <cstddef>
#include <fstream>
#include <string>

#include <fmt/format.h>
#include <sys/types.h>

namespace fescuewood {

/// Peak of the resident memory in bytes; 0 if the process does not run.
inline std::size_t processPeak(pid_t Id) {
  constexpr std::size_t KiB = 1024;
  const std::string Name = "VmHWM:";
  std::ifstream Status(fmt::format("/proc/{}/status", Id));
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with(Name))
      return std::stoull(Line.substr(Name.size())) * KiB;
  return 0;
}

} // namespace fescuewood

#endif // FESCUEWOOD_TESTS_SUPPORT_PROCESSPEAK_H
