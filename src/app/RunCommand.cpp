#include "app/Commands.h"
#include "app/Flags.h"
#include "app/Node.h"

#include <csignal>
#include <ctime>
#include <string>
#include <utility>

#include <fmt/format.h>

namespace fescuewood {

namespace {

/// How often the settings file is looked at: it may change without any signal.
constexpr time_t LookPeriodSeconds = 1;

/// Signals that are taken by \ref waitForEnd alone. Blocked before any thread
/// starts, since threads inherit the mask.
sigset_t blockSignals() {
  sigset_t Taken;
  sigemptyset(&Taken);
  sigaddset(&Taken, SIGTERM);
  sigaddset(&Taken, SIGINT);
  sigaddset(&Taken, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &Taken, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Taken;
}

/// Waits for a signal to end; meanwhile takes what the settings file says after
/// a SIGHUP, or once it has changed.
void waitForEnd(const sigset_t &Taken, Node &Present, std::string Text) {
  while (true) {
    const timespec Period{LookPeriodSeconds, 0};
    const int Signal = sigtimedwait(&Taken, nullptr, &Period);
    if (Signal == SIGTERM || Signal == SIGINT)
      return;
    const auto Now = readSettings(FLAGS_settings);
    // A file that is being replaced is read the next time.
    if (!Now || (Signal != SIGHUP && *Now == Text))
      continue;
    Text = *Now;
    Present.reload(Text, FLAGS_settings);
  }
}

} // namespace

ExitCode runNode(Arguments) {
  if (FLAGS_settings.empty()) {
    fmt::print(stderr, "run: name the settings with --settings FILE\n");
    return ExitCode::Usage;
  }
  Problems Found;
  // Read once: later changes are compared with the very text that was parsed.
  const auto Text = readSettings(FLAGS_settings);
  const auto Settings = Text ? parseSettings(*Text, FLAGS_settings, Found)
                             : loadSettings(FLAGS_settings, Found);
  if (!Settings) {
    fmt::print(stderr, "{}", problemsText(Found));
    return ExitCode::Failure;
  }
  const sigset_t Taken = blockSignals();
  Node Present(*Settings, Text.value_or(""));
  if (!Present.start()) {
    const ResultCode Reason = Present.lastReason();
    fmt::print(stderr, "run: {} (code {})\n", resultText(Reason),
               static_cast<int>(Reason));
    return ExitCode::Failure;
  }
  waitForEnd(Taken, Present, Text.value_or(""));
  return Present.drain() ? ExitCode::Success : ExitCode::Failure;
}

} // namespace fescuewood
