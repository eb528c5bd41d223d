/// \file
/// Retry budget, which limits retries to a share of recent successes.
///
/// Each success earns a fraction of a retry and each retry spends one, as is
/// usual in RPC systems. A service that fails on all targets is thereby not
/// loaded with retries as well.

#ifndef FESCUEWOOD_POLICY_RETRYBUDGET_H
#define FESCUEWOOD_POLICY_RETRYBUDGET_H

#include <algorithm>

namespace fescuewood {

/// Budget of retries. Not thread-safe.
class RetryBudget {
public:
  /// \param Share retries earned by one success, between 0 and 1.
  /// \param Reserve largest number of retries in the budget, and the initial
  /// one.
  RetryBudget(double Share, double Reserve)
      : Share(Share), Reserve(Reserve), Saved(Reserve) {}

  void onSuccess() { Saved = std::min(Reserve, Saved + Share); }

  /// Spends one retry. Returns false when less than one is left.
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
