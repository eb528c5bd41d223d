/// \file
/// Bounds retries to a share of recent successes.
///
/// Each success earns a fraction of a retry and each retry spends one, so that
/// a service that fails everywhere is not also loaded with retries. The scheme
/// is the usual retry budget of RPC systems.

#ifndef FESCUEWOOD_POLICY_RETRYBUDGET_H
#define FESCUEWOOD_POLICY_RETRYBUDGET_H

#include <algorithm>

namespace fescuewood {

/// Counts what may be spent on retries. Not thread-safe.
class RetryBudget {
public:
  /// \param Share retries earned by one success, between 0 and 1.
  /// \param Reserve most retries saved up; also what there is at the start.
  RetryBudget(double Share, double Reserve)
      : Share(Share), Reserve(Reserve), Saved(Reserve) {}

  void onSuccess() { Saved = std::min(Reserve, Saved + Share); }

  /// Spends one retry, or returns false when none is left.
  bool spend() {
    if (Saved < 1)
      return false;
    Saved -= 1;
    return true;
  }

  double saved() const { return Saved; }

private:
  double Share;
  double Reserve;
  double Saved;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_RETRYBUDGET_H
