/// \file
/// Header scheme of targets that sign their answers, for tests.

#ifndef FESCUEWOOD_TESTS_TARGETS_SIGNINGSCHEME_H
#define FESCUEWOOD_TESTS_TARGETS_SIGNINGSCHEME_H

#include "callers/HeaderScheme.h"

inline fescuewood::HeaderScheme signingScheme() {
  fescuewood::HeaderScheme Scheme;
  Scheme.RequestId = "Id";
  Scheme.Signature = "Signed";
  Scheme.NotRun = "Unrun";
  Scheme.TargetInstance = "Meant";
  Scheme.RateLimit = "Limit";
  Scheme.Leaving = "Leaves";
  return Scheme;
}

#endif // FESCUEWOOD_TESTS_TARGETS_SIGNINGSCHEME_H
