#include "callers/HeaderScheme.h"

#include <algorithm>

#include <fmt/format.h>

namespace fescuewood {

std::string retryAfterText(const HeaderScheme &Scheme, DurationMs Wait) {
  constexpr std::int64_t MsPerSecond = 1000;
  if (Scheme.FractionalRetryAfter)
    return fmt::format("{}.{:03}", Wait.Value / MsPerSecond,
                       Wait.Value % MsPerSecond);
  const std::int64_t Seconds = (Wait.Value + MsPerSecond - 1) / MsPerSecond;
  return std::to_string(std::max<std::int64_t>(1, Seconds));
}

} // namespace fescuewood
