/// \file
/// Waits in real time for what other threads or processes bring about.

#ifndef FESCUEWOOD_TESTS_SUPPORT_AWAIT_H
#define FESCUEWOOD_TESTS_SUPPORT_AWAIT_H

#include <chrono>
#include <functional>
#include <thread>

/// Whether a condition holds within \p Patience, which is reached only when
/// something is broken; looked at after each \p Pause.
inline bool comesTrue(const std::function<bool()> &Condition,
                      std::chrono::seconds Patience,
                      std::chrono::milliseconds Pause) {
  const auto End = std::chrono::steady_clock::now() + Patience;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(Pause);
  }
  return true;
}

#endif // FESCUEWOOD_TESTS_SUPPORT_AWAIT_H
