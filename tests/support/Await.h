/// \file
/// Waits in real time for what other threads or processes bring about.

#ifndef FESCUEWOOD_TESTS_SUPPORT_AWAIT_H
#define FESCUEWOOD_TESTS_SUPPORT_AWAIT_H

#include <chrono>
#include <functional>
#include <thread>

/// Whether a condition holds within \p Timeout, which is reached only when
/// something is broken; looked at after each \p PollInterval.
inline bool comesTrue(const std::function<bool()> &Condition,
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
