#include "app/Commands.h"
#include "app/Flags.h"
#include "app/Node.h"

#include <csignal>

#include <fmt/format.h>

namespace fescuewood {

namespace {

/// Signals that end the process are taken by \ref waitForEnd alone. Blocked
/// before any thread starts, since threads inherit the mask.
sigset_t blockEndSignals() {
  sigset_t Ends;
  sigemptyset(&Ends);
  sigaddset(&Ends, SIGTERM);
  sigaddset(&Ends, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Ends, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Ends;
}

void waitForEnd(const sigset_t &Ends) {
  int Signal = 0;
  sigwait(&Ends, &Signal);
}

} // namespace

ExitCode runNode(Arguments) {
  if (FLAGS_settings.empty()) {
    fmt::print(stderr, "run: name the settings with --settings FILE\n");
    return ExitCode::Usage;
  }
  Problems Found;
  const auto Settings = loadSettings(FLAGS_settings, Found);
  if (!Settings) {
    fmt::print(stderr, "{}", problemsText(Found));
    return ExitCode::Failure;
  }
  const sigset_t Ends = blockEndSignals();
  Node Present(*Settings);
  if (!Present.start()) {
    const ResultCode Reason = Present.lastReason();
    fmt::print(stderr, "run: {} (code {})\n", resultText(Reason),
               static_cast<int>(Reason));
    return ExitCode::Failure;
  }
  waitForEnd(Ends);
  return Present.drain() ? ExitCode::Success : ExitCode::Failure;
}

} // namespace fescuewood
