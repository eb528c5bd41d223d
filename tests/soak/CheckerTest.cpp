// Feeds the checker histories that break each promise, and one that breaks
// none.

#include "soak/Checker.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;
using namespace fescuewood::soak;

TEST_GROUP(SoakChecker) {
  Bounds Limits;
  History Seen;

  void setup() override {
    Limits.KeyWithdrawal = DurationMs(5000);
    Limits.Departure = DurationMs(2000);
    Limits.Contact = DurationMs(3000);
    Limits.DrainTime = DurationMs(5000);
    Limits.Recovery = DurationMs(15000);
    Limits.ServedShare = 0.9;
    Seen.NodeCount = 1;
    Seen.LastFaultEndMs = 1000;
    // Served after the recovery.
    addServed("last", 20'000);
  }

  /// A request that ran once and was answered; the last ones of the lists.
  void addServed(const std::string &Id, std::int64_t AtMs) {
    Send S;
    S.Id = Id;
    S.Path = "/book/a";
    S.Method = "POST";
    S.RequestBody = "pay";
    S.Key = "key-1";
    S.Repeatable = false;
    S.SentMs = AtMs;
    S.EndMs = AtMs + 10;
    S.Status = 200;
    S.AnsweredId = Id;
    S.Signature = "sign-" + Id;
    S.Body = "body of " + Id;
    Run R;
    R.Id = Id;
    R.Target = "i-1";
    R.Signature = S.Signature;
    R.Method = S.Method;
    R.Path = S.Path;
    R.RequestBody = S.RequestBody;
    R.Organisation = "clerks";
    R.BeganMs = AtMs + 5;
    R.Body = S.Body;
    Seen.Sends.push_back(S);
    Seen.Runs.push_back(R);
  }

  /// Fails unless exactly one promise is broken, and it is the given one.
  void checkBroken(const std::string &Promise, const std::string &Subject) {
    const auto Found = check(Seen, Limits);
    UNSIGNED_LONGS_EQUAL(1, Found.size());
    STRCMP_EQUAL(Promise.c_str(), Found.front().Promise.c_str());
    STRCMP_EQUAL(Subject.c_str(), Found.front().Subject.c_str());
  }

  void checkHeld() { UNSIGNED_LONGS_EQUAL(0, check(Seen, Limits).size()); }
};

TEST(SoakChecker, AcceptsAHistoryThatKeepsAllPromises) {
  addServed("a", 100);
  checkHeld();
}

TEST(SoakChecker, FindsAnAnswerOfAnotherRequest) {
  addServed("a", 100);
  addServed("b", 100);
  Seen.Sends.back().Signature = "sign-a";
  Seen.Sends.back().Body = "body of a";
  Seen.Sends[1].Status = 0;
  checkBroken("answer", "b");
}

TEST(SoakChecker, FindsAnAnswerThatNamesAnotherRequest) {
  addServed("a", 100);
  Seen.Sends.back().AnsweredId = "b";
  checkBroken("answer", "a");
}

TEST(SoakChecker, FindsACutAnswer) {
  addServed("a", 100);
  Seen.Sends.back().Body.pop_back();
  checkBroken("answer", "a");
}

TEST(SoakChecker, FindsASuccessThatNamesNoRun) {
  addServed("a", 100);
  Seen.Sends.back().Signature.clear();
  checkBroken("answer", "a");
}

TEST(SoakChecker, FindsASignatureOfNoRun) {
  addServed("a", 100);
  Seen.Runs.pop_back();
  checkBroken("answer", "a");
}

TEST(SoakChecker, FindsAnotherStatusThanThatOfTheRun) {
  addServed("a", 100);
  Seen.Runs.back().Status = 500;
  checkBroken("answer", "a");
}

TEST(SoakChecker, FindsAFailureForTheSuccessOfARun) {
  addServed("a", 100);
  Seen.Sends.back().Status = 500;
  checkBroken("answer", "a");
}

TEST(SoakChecker, FindsBytesThatCameWhileNoRequestWaited) {
  addServed("a", 100);
  Seen.Sends.back().Stray = "HTTP/1.1 200 OK";
  checkBroken("answer", "a");
}

TEST(SoakChecker, FindsASuccessOfARunThatBeganBeforeTheRequest) {
  addServed("a", 100);
  Seen.Runs.back().BeganMs = 99;
  checkBroken("answer", "a");
}

TEST(SoakChecker, FindsTwoAnswersOfOneRun) {
  addServed("a", 100);
  Seen.Sends.back().Repeatable = true;
  Seen.Sends.push_back(Seen.Sends.back());
  checkBroken("answer", "a");
}

TEST(SoakChecker, FindsARunThatNobodyAskedFor) {
  addServed("a", 100);
  Seen.Sends.pop_back();
  checkBroken("request", "a");
}

TEST(SoakChecker, FindsAChangedRequest) {
  addServed("a", 100);
  addServed("b", 100);
  addServed("c", 100);
  Seen.Runs[1].Method = "GET";
  Seen.Runs[2].Path = "/book/";
  Seen.Runs[3].RequestBody = "pa";
  const auto Found = check(Seen, Limits);
  UNSIGNED_LONGS_EQUAL(3, Found.size());
  for (const Violation &V : Found)
    STRCMP_EQUAL("request", V.Promise.c_str());
}

TEST(SoakChecker, FindsAKeyThatWasPassedOn) {
  addServed("a", 100);
  Seen.Runs.back().SawKey = true;
  checkBroken("request", "a");
}

TEST(SoakChecker, FindsAWrongOrganisation) {
  addServed("a", 100);
  Seen.Runs.back().Organisation.clear();
  checkBroken("request", "a");
}

TEST(SoakChecker, FindsASecondRunOfWhatMayRunOnce) {
  addServed("a", 100);
  Seen.Runs.push_back(Seen.Runs.back());
  Seen.Runs.back().Signature = "second";
  checkBroken("run-once", "a");
}

TEST(SoakChecker, AcceptsASecondRunOfWhatMayBeRepeated) {
  addServed("a", 100);
  Seen.Sends.back().Repeatable = true;
  Seen.Runs.push_back(Seen.Runs.back());
  Seen.Runs.back().Signature = "second";
  checkHeld();
}

TEST(SoakChecker, FindsEachRefusalOfWhatRan) {
  for (const int Status : {408, 421, 429, 503}) {
    Seen.Sends.resize(1);
    Seen.Runs.resize(1);
    addServed("a", 100);
    Seen.Sends.back().Status = Status;
    Seen.Sends.back().Signature.clear();
    checkBroken("refusal", "a");
  }
}

TEST(SoakChecker, FindsARefusalOfWhatRanLater) {
  addServed("a", 100);
  Seen.Sends.back().Status = 503;
  Seen.Sends.back().Signature.clear();
  Seen.Runs.back().BeganMs = 9000;
  checkBroken("refusal", "a");
}

TEST(SoakChecker, AcceptsARefusalBesideASendThatRan) {
  addServed("a", 100);
  Send Refused = Seen.Sends.back();
  Refused.Status = 503;
  Refused.Signature.clear();
  Seen.Sends.push_back(Refused);
  checkHeld();
}

TEST(SoakChecker, AcceptsAFailureThatPromisesNothing) {
  addServed("a", 100);
  Seen.Sends.back().Status = 502;
  Seen.Sends.back().Signature.clear();
  checkHeld();
}

TEST(SoakChecker, FindsARunWithAWithdrawnKey) {
  addServed("a", 6000);
  Seen.Sends.back().Key = "old";
  Seen.Withdrawals.push_back({"old", 999});
  checkBroken("withdrawn", "a");
}

TEST(SoakChecker, AcceptsAKeyWithinTheBoundOfItsWithdrawal) {
  addServed("a", 6000);
  Seen.Sends.back().Key = "old";
  Seen.Withdrawals.push_back({"old", 1000});
  checkHeld();
}

TEST(SoakChecker, FindsARunAtATargetThatLeft) {
  addServed("a", 6000);
  Seen.Departures.push_back({"i-1", 4004});
  Seen.Runs.front().Target = "i-2";
  checkBroken("departed", "a");
}

TEST(SoakChecker, AcceptsARunWithinTheBoundOfALeaving) {
  addServed("a", 6000);
  Seen.Departures.push_back({"i-1", 4005});
  Seen.Runs.front().Target = "i-2";
  checkHeld();
}

TEST(SoakChecker, ExcusesOnlyNodesThatWereDisturbedShortlyBefore) {
  addServed("a", 6000);
  Seen.Departures.push_back({"i-1", 1000});
  Seen.Runs.front().Target = "i-2";
  Seen.Disturbances = {{0, 2000, 3005}};
  checkHeld();
  Seen.Disturbances = {{std::nullopt, 2000, 3005}};
  checkHeld();
  Seen.Disturbances = {{0, 2000, 3004}};
  checkBroken("departed", "a");
  Seen.Disturbances = {{1, 2000, 7000}};
  checkBroken("departed", "a");
  Seen.Disturbances = {{0, 6006, 7000}};
  checkBroken("departed", "a");
}

TEST(SoakChecker, FindsAProcessThatEndedByItself) {
  Seen.Ends.push_back({"node 1", 100, "ended with code 134"});
  checkBroken("process", "node 1");
}

TEST(SoakChecker, AcceptsANodeThatDrained) {
  Seen.FaultTimes = {{1000, 6000}};
  Seen.Drains = {{0, 1000, 2000, DrainedCode, 0}};
  checkHeld();
}

TEST(SoakChecker, FindsABadEndAfterSigterm) {
  Seen.FaultTimes = {{1000, 6000}, {1000, 6000}};
  Seen.Drains = {{0, 1000, 6000, 134, 0}};
  checkBroken("process", "node 0");
}

TEST(SoakChecker, AcceptsADrainBesideAStoppedNode) {
  Seen.FaultTimes = {{10'000, 15'000}, {6000, 7000, true}};
  Seen.Drains = {{0, 10'000, 15'000, DrainTimedOutCode, 0}};
  checkHeld();
}

// The target has taken calls that it never answers; they are cut shortly before
// the process is killed.
TEST(SoakChecker, AcceptsADrainBesideASilentTarget) {
  Seen.FaultTimes = {{10'000, 15'000}, {6000, 10'000, false, true}};
  Seen.Drains = {{0, 10'000, 15'000, DrainTimedOutCode, 0}};
  checkHeld();
}

TEST(SoakChecker, FindsADrainThatRunsOutOfTimeAfterASilentTarget) {
  Seen.FaultTimes = {{10'000, 15'000}, {6000, 9999, false, true}};
  Seen.Drains = {{0, 10'000, 15'000, DrainTimedOutCode, 0}};
  checkBroken("process", "node 0");
}

TEST(SoakChecker, FindsADrainThatGivesUpEarly) {
  Seen.FaultTimes = {{10'000, 15'000}, {6000, 7000, true}};
  Seen.Drains = {{0, 10'000, 14'999, DrainTimedOutCode, 0}};
  checkBroken("process", "node 0");
}

TEST(SoakChecker, FindsADrainThatRunsOutOfTimeWithoutAStoppedNode) {
  Seen.FaultTimes = {{10'000, 15'000},
                     {6000, 6999, true},
                     {15'001, 16'000, true},
                     {9000, 16'000}};
  Seen.Drains = {{0, 10'000, 15'000, DrainTimedOutCode, 0}};
  checkBroken("process", "node 0");
}

TEST(SoakChecker, FindsANodeThatDoesNotServeAgain) {
  Seen.Sends.front().Status = 504;
  Seen.Sends.front().Signature.clear();
  checkBroken("recovery", "node 0");
}

TEST(SoakChecker, FindsANodeThatIsNotAskedAfterTheRecovery) {
  Seen.NodeCount = 2;
  checkBroken("recovery", "node 1");
}

TEST(SoakChecker, FindsAShareServedBelowTheBound) {
  constexpr int Others = 8;
  for (int I = 0; I < Others; ++I)
    addServed("s" + std::to_string(I), 20'000);
  Seen.Sends.front().Status = 0;
  checkBroken("recovery", "node 0");
  addServed("s8", 20'000);
  checkHeld();
}
