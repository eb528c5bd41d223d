/// \file
/// A mutex-protected value that is read and replaced as a whole.

#ifndef FESCUEWOOD_APP_LATEST_H
#define FESCUEWOOD_APP_LATEST_H

#include <mutex>
#include <utility>

namespace fescuewood {

/// Holds the latest value of a series. Thread-safe; \ref read returns a copy.
template <typename T> class Latest {
public:
  T read() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Value;
  }

  void replace(T NewValue) {
    std::lock_guard<std::mutex> Lock(Mutex);
    std::swap(Value, NewValue);
  }

private:
  mutable std::mutex Mutex;
  T Value{};
};

} // namespace fescuewood

#endif // FESCUEWOOD_APP_LATEST_H
