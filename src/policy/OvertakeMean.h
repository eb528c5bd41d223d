/// \file
/// How often the requests of a group are overtaken before they are served.

#ifndef FESCUEWOOD_POLICY_OVERTAKEMEAN_H
#define FESCUEWOOD_POLICY_OVERTAKEMEAN_H

#include "core/Clock.h"

#include <cstddef>

namespace fescuewood {

/// Decaying mean of the overtakes per request of one group, counted in requests
/// or in work. Not thread-safe.
class OvertakeMean {
public:
  /// A request outside the group was served while the group had a request.
  void onOvertaken(double Amount = 1) { HeadOvertakes += Amount; }

  /// A request of the group was served.
  void onServed(TimeMs Now);

  /// A request of the group was removed without being served, which leaves
  /// \p Size requests.
  void onUnserved(std::size_t Size, TimeMs Now);

  void reset();

  /// Expected overtakes of the next request of the group.
  double expected(TimeMs Now) const;

private:
  double mean(TimeMs Now) const;

  /// Since the group was last served, or became non-empty.
  double HeadOvertakes = 0;
  double Mean = 0;
  TimeMs UpdatedAt;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_OVERTAKEMEAN_H
