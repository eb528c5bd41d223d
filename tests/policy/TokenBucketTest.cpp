#include "policy/TokenBucket.h"

#include "support/Property.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(TokenBucket){};

TEST(TokenBucket, NeverExceedsBurstPlusRateInAnyWindow) {
  checkProperty("tokens in any window <= burst + rate x window",
                [](const std::vector<std::uint8_t> &Gaps) {
                  TokenBucket Bucket(4, 6, TimeMs(0));
                  TimeMs Now(0);
                  std::vector<TimeMs> Taken;
                  for (const std::uint8_t Gap : Gaps) {
                    Now = Now + DurationMs(Gap * 4);
                    if (Bucket.take(Now))
                      Taken.push_back(Now);
                  }

                  for (std::size_t First = 0; First < Taken.size(); ++First) {
                    for (std::size_t Last = First; Last < Taken.size(); ++Last)
                      RC_ASSERT(
                          static_cast<std::int64_t>(Last - First + 1) * 1000 <=
                          6 * 1000 + 4 * (Taken[Last] - Taken[First]).Value);
                  }
                });
}

TEST(TokenBucket, RefillsAtTheNewRateAfterDrain) {
  TokenBucket Bucket(0, 2, TimeMs(0));
  Bucket.drain(TimeMs(1000));
  CHECK_FALSE(Bucket.take(TimeMs(1000)));

  Bucket.setRate(10);

  CHECK_FALSE(Bucket.take(TimeMs(1099)));
  CHECK_TRUE(Bucket.take(TimeMs(1101)));
}
