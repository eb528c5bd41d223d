/// \file
/// Counting of events within a sliding window, for tests of rate limits.

#ifndef FESCUEWOOD_TESTS_SUPPORT_WINDOWCOUNT_H
#define FESCUEWOOD_TESTS_SUPPORT_WINDOWCOUNT_H

#include <algorithm>
#include <cstddef>

/// Largest number of times in [\p First, \p Last), which are in order, that
/// lie within any \p Window.
template <typename Iterator, typename Span>
std::size_t mostInWindow(Iterator First, Iterator Last, Span Window) {
  std::size_t Most = 0;
  for (; First != Last; ++First) {
    const auto End = std::upper_bound(First, Last, *First + Window);
    Most = std::max(Most, static_cast<std::size_t>(End - First));
  }
  return Most;
}

#endif // FESCUEWOOD_TESTS_SUPPORT_WINDOWCOUNT_H
