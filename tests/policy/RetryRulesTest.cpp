#include "policy/RetryRules.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(RetryRules){};

TEST(RetryRules, RefusalForLoadCostsRetryBudget) {
  for (const ResultCode Reason :
       {ResultCode::QueueFull, ResultCode::TargetRateUsed,
        ResultCode::DeadlineUnreachable, ResultCode::Displaced,
        ResultCode::TargetRefused})
    CHECK_FALSE(isFreeToRetry(Reason));
  CHECK_TRUE(isFreeToRetry(ResultCode::TargetDraining));
}

TEST(RetryRules, RefusalThatHoldsEverywhereIsFinal) {
  CHECK_TRUE(isFinal(ResultCode::KeyWithdrawn));
  CHECK_FALSE(isFinal(ResultCode::TargetDraining));
  CHECK_FALSE(isFinal(ResultCode::TargetRateUsed));
}

TEST(RetryRules, UsedRateAndUnreachableDeadlineAreNotTriedAgain) {
  CHECK_TRUE(isRepeatFutile(ResultCode::TargetRateUsed));
  CHECK_TRUE(isRepeatFutile(ResultCode::DeadlineUnreachable));
  CHECK_TRUE(isRepeatFutile(ResultCode::Displaced));
  CHECK_FALSE(isRepeatFutile(ResultCode::QueueFull));
}

TEST(RetryRules, OnlyServerErrorsOfTheTargetMayBeTransient) {
  for (const int Status : {500, 502, 503})
    CHECK_TRUE(isTransientFailure(Status));
  for (const int Status : {200, 404, 429, 501, 504})
    CHECK_FALSE(isTransientFailure(Status));
}

TEST(RetryRules, AnswerThatCannotBeForwardedIsUnusable) {
  CHECK_TRUE(isUnusableAnswer(ResultCode::TargetConnectionLost));
  CHECK_TRUE(isUnusableAnswer(ResultCode::TargetAnswerUnproven));
  CHECK_FALSE(isUnusableAnswer(ResultCode::TargetAnswerTooLarge));
  CHECK_FALSE(isUnusableAnswer(ResultCode::TargetTimeout));
}
