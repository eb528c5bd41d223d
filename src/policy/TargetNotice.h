/// \file
/// What a target says about itself in its answers.

#ifndef FESCUEWOOD_POLICY_TARGETNOTICE_H
#define FESCUEWOOD_POLICY_TARGETNOTICE_H

#include <optional>

namespace fescuewood {

/// The statements of one answer, decoded from its header fields.
struct TargetNotice {
  /// Requests per second that the target takes from all nodes together; not
  /// negative. Not set if it names no limit, or none that can be read.
  std::optional<double> RequestsPerSecond = std::nullopt;
  /// The answer names a limit that is not a non-negative number.
  bool LimitUnreadable = false;
  bool Leaving = false; ///< The target takes no new work and will end.

  bool operator==(const TargetNotice &) const = default;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_TARGETNOTICE_H
