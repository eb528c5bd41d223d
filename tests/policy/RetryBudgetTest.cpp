#include "support/Property.h"

#include "policy/RetryBudget.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, RetriesStayWithinReserveAndShareOfSuccesses) {
  checkProperty("retries <= reserve + share * successes", [] {
    RetryBudget Budget(0.1, 5);
    int Successes = 0;
    int Retries = 0;
    for (const bool Success : *rc::gen::arbitrary<std::vector<bool>>()) {
      if (Success) {
        Budget.onSuccess();
        ++Successes;
      } else if (Budget.spend()) {
        ++Retries;
      }
      RC_ASSERT(Retries <= 5 + 0.1 * Successes + 1e-9);
    }
  });
}
