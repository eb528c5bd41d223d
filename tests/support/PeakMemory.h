/// \file
/// Measures how much memory an action needs at its peak.

#ifndef FESCUEWOOD_TESTS_SUPPORT_PEAKMEMORY_H
#define FESCUEWOOD_TESTS_SUPPORT_PEAKMEMORY_H

#include <optional>

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace fescuewood {

/// Runs \p Action in a child process and returns by how many KiB its resident
/// memory grew at its peak; std::nullopt when the child did not end normally.
template <typename Callable>
std::optional<long> peakGrowthKiB(Callable &&Action) {
  const auto PeakKiB = [] {
    rusage Usage{};
    getrusage(RUSAGE_SELF, &Usage);
    return Usage.ru_maxrss;
  };
  int Ends[2];
  if (pipe(Ends) != 0)
    return std::nullopt;
  const pid_t Child = fork();
  if (Child == 0) {
    const long Before = PeakKiB();
    Action();
    const long Growth = PeakKiB() - Before;
    const bool Written =
        write(Ends[1], &Growth, sizeof Growth) == sizeof Growth;
    _exit(Written ? 0 : 1);
  }
  close(Ends[1]);
  long Growth = 0;
  const bool WasRead = Child > 0 && read(Ends[0], &Growth, sizeof Growth) ==
                                        static_cast<ssize_t>(sizeof Growth);
  close(Ends[0]);
  int Status = 0;
  if (Child > 0)
    waitpid(Child, &Status, 0);
  const bool EndedNormally = WIFEXITED(Status) && WEXITSTATUS(Status) == 0;
  return WasRead && EndedNormally ? std::optional(Growth) : std::nullopt;
}

} // namespace fescuewood

#endif // FESCUEWOOD_TESTS_SUPPORT_PEAKMEMORY_H
