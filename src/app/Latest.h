/// \file
/// A value that one duty replaces whole and others read.

#ifndef FESCUEWOOD_APP_LATEST_H
#define FESCUEWOOD_APP_LATEST_H

#include <mutex>
#include <utility>

namespace fescuewood {

/// Holds the latest of a series of values. Thread-safe; readers get copies.
template <typename T> class Latest {
public:
  T read() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Value;
  }

  void replace(T Next) {
    std::lock_guard<std::mutex> Lock(Mutex);
    std::swap(Value, Next);
  }

private:
  mutable std::mutex Mutex;
  T Value{};
};

} // namespace fescuewood

#endif // FESCUEWOOD_APP_LATEST_H
