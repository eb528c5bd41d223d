#include "core/Clock.h"

#include <ctime>

namespace fescuewood {

namespace {

constexpr std::int64_t MsPerSecond = 1000;
constexpr std::int64_t NsPerMs = 1000 * 1000;

TimeMs readClock(clockid_t Id) {
  timespec Now{};
  clock_gettime(Id, &Now);
  return TimeMs(Now.tv_sec * MsPerSecond + Now.tv_nsec / NsPerMs);
}

} // namespace

Clock Clock::monotonic() {
  return Clock([] { return readClock(CLOCK_BOOTTIME); });
}

Clock Clock::wall() {
  return Clock([] { return readClock(CLOCK_REALTIME); });
}

} // namespace fescuewood
