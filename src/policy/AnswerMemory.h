/// \file
/// Memory for the answers of one node, and the expected size of an answer.
///
/// An answer is held while it is received from the target, while it is kept
/// for its entry node and, on that node, while its pieces are joined. All
/// answers of a node share one limit, which follows from the machine's memory.
/// A run whose answer is expected to be large does not start unless its answer
/// fits, so that no finished work is thrown away for lack of memory.

#ifndef FESCUEWOOD_POLICY_ANSWERMEMORY_H
#define FESCUEWOOD_POLICY_ANSWERMEMORY_H

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace fescuewood {

/// An answer of fewer bytes is small: the slots of the target bound the memory
/// of small answers, so their runs always start.
inline constexpr std::size_t LargeAnswerBytes = 64 * 1024;

/// Maximum number of routes whose answer size is known; beyond it the route
/// with the smallest answers is forgotten.
inline constexpr std::size_t MaxSizedRoutes = 256;

/// The limit for all answers of a node: \p Share of the machine's memory, and
/// at most \p MaxBytes. \p MachineBytes is 0 if unknown.
std::size_t answerMemoryLimit(std::size_t MaxBytes, double Share,
                              std::size_t MachineBytes);

/// Reserves memory for the answers of runs. Not thread-safe.
class AnswerMemory {
public:
  explicit AnswerMemory(std::size_t LimitBytes) : Limit(LimitBytes) {}

  /// Whether a large answer is expected on \p Route.
  bool expectsLarge(std::string_view Route) const {
    return expectedBytes(Route) >= LargeAnswerBytes;
  }

  /// Whether the answer of a run on \p Route may be received now, beside the
  /// reserved bytes and the \p HeldBytes of other answers. A large answer is
  /// also allowed if there is no other.
  bool fits(std::string_view Route, std::size_t HeldBytes) const;

  /// Reserves memory for the answer of a run that starts. Returns the bytes for
  /// \ref release.
  std::size_t reserve(std::string_view Route);

  void release(std::size_t Bytes) { Reserved -= Bytes; }

  /// Takes the size of an answer into account, unless it is a failure.
  void onAnswer(std::string_view Route, int Status, std::size_t Bytes);

  /// Smoothed size of the answers on a route; 0 before the first one.
  std::size_t expectedBytes(std::string_view Route) const;

  std::size_t reservedBytes() const { return Reserved; }
  std::size_t limit() const { return Limit; }

private:
  void forgetSmallest();

  std::size_t Limit;
  std::size_t Reserved = 0;
  std::map<std::string, double, std::less<>> MeanBytes; ///< By route.
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_ANSWERMEMORY_H
