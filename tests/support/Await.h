/// \file
/// Polling wait, in real time, for the effects of other threads or processes.

#ifndef FESCUEWOOD_TESTS_SUPPORT_AWAIT_H
#define FESCUEWOOD_TESTS_SUPPORT_AWAIT_H

#include <chrono>
#include <functional>
#include <thread>

/// Polls \p Condition every \p PollInterval until it holds, and returns false
/// when it does not within \p Timeout. A test that passes never reaches the
/// timeout, so it can be generous.
inline bool waitUntil(const std::function<bool()> &Condition,
                      std::chrono::seconds Timeout,
                      std::chrono::milliseconds PollInterval) {
  const auto End = std::chrono::steady_clock::now() + Timeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

#endif // FESCUEWOOD_TESTS_SUPPORT_AWAIT_H
