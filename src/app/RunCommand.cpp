#include "app/Commands.h"
#include "app/Flags.h"
#include "app/Node.h"
#include "core/ProcessMemory.h"

#include <csignal>
#include <ctime>
#include <string>
#include <utility>

#include <fmt/format.h>

namespace fescuewood {

namespace {

/// Interval at which the settings file is checked for changes that no SIGHUP
/// announced.
constexpr time_t SettingsCheckSeconds = 1;

/// Blocks the signals that only \ref waitForShutdown receives, and returns
/// them. Must run before any thread starts, since threads inherit the mask.
sigset_t blockSignals() {
  sigset_t HandledSignals;
  sigemptyset(&HandledSignals);
  sigaddset(&HandledSignals, SIGTERM);
  sigaddset(&HandledSignals, SIGINT);
  sigaddset(&HandledSignals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &HandledSignals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return HandledSignals;
}

/// Waits for SIGTERM or SIGINT. Reloads the settings file meanwhile, after a
/// SIGHUP or when its text has changed.
void waitForShutdown(const sigset_t &HandledSignals, Node &RunningNode,
                     std::string Text) {
  while (true) {
    const timespec Interval{SettingsCheckSeconds, 0};
    const int Signal = sigtimedwait(&HandledSignals, nullptr, &Interval);
    if (Signal == SIGTERM || Signal == SIGINT)
      return;
    const auto CurrentText = readSettings(FLAGS_settings);
    // A file that is missing while it is replaced is read at the next check.
    if (!CurrentText || (Signal != SIGHUP && *CurrentText == Text))
      continue;
    Text = *CurrentText;
    RunningNode.reload(Text, FLAGS_settings);
  }
}

} // namespace

ExitCode runNode(Arguments) {
  if (FLAGS_settings.empty()) {
    fmt::print(stderr, "run: --settings FILE is required\n");
    return ExitCode::Usage;
  }
  Problems FoundProblems;
  // Read only once, so that later changes are compared with the parsed text.
  const auto Text = readSettings(FLAGS_settings);
  const auto Settings =
      Text ? parseSettings(*Text, FLAGS_settings, FoundProblems)
           : loadSettings(FLAGS_settings, FoundProblems);
  if (!Settings) {
    fmt::print(stderr, "{}", problemsText(FoundProblems));
    return ExitCode::Failure;
  }
  const sigset_t HandledSignals = blockSignals();
  returnLargeBlocks();
  Node RunningNode(*Settings, Text.value_or(""));
  if (!RunningNode.start()) {
    const ResultCode Reason = RunningNode.lastReason();
    fmt::print(stderr, "run: {} (code {})\n", resultText(Reason),
               static_cast<int>(Reason));
    return ExitCode::Failure;
  }
  waitForShutdown(HandledSignals, RunningNode, Text.value_or(""));
  return RunningNode.drain() ? ExitCode::Success : ExitCode::Failure;
}

} // namespace fescuewood
