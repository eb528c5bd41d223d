#include "policy/DependentAdmission.h"

#include <cstdint>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr DurationMs Allowed{500};
constexpr InnerCall Fast{InnerCallEnd::Answered, DurationMs(40), Allowed};
constexpr InnerCall Slow{InnerCallEnd::Answered, DurationMs(450), Allowed};
constexpr InnerCall Lost{InnerCallEnd::Lost, DurationMs(5), Allowed};

} // namespace

TEST_GROUP(DependentAdmission) {
  DependentAdmission Admission;
  TimeMs Now{10'000};

  /// A call every 50 ms; every \p Nth is \p Other, the rest are fast.
  void makeCalls(int Count, int Nth, const InnerCall &Other) {
    for (int I = 1; I <= Count; ++I) {
      Now = Now + DurationMs(50);
      Admission.onInnerCall("read", I % Nth == 0 ? Other : Fast, Now);
    }
  }

  int admittedOf(int Requests) {
    int Admitted = 0;
    for (int I = 0; I < Requests; ++I)
      Admitted += Admission.admit("read", Now) ? 1 : 0;
    return Admitted;
  }
};

// Guards against a route that nothing probes, and against one without inner
// calls that pays for it.
TEST(DependentAdmission, AdmitsTheLeastShareWhileAllCallsAreLost) {
  makeCalls(40, 1, Lost);

  LONGS_EQUAL(10, admittedOf(100));
  CHECK_TRUE(Admission.admit("page", Now));
}

// Guards against a shortage that is seen only once calls are lost.
TEST(DependentAdmission, AdmitsLessTheLongerCallsTake) {
  makeCalls(20, 1000, Fast);
  double Before = 1;
  for (const int DurationOfCalls : {150, 175, 200}) {
    makeCalls(40, 1,
              {InnerCallEnd::Answered, DurationMs(DurationOfCalls), Allowed});
    CHECK_COMPARE(Admission.share("read", Now), <, Before - 0.15);
    Before = Admission.share("read", Now);
  }
}

// Guards against refusals without evidence, as for a service that is gone.
TEST(DependentAdmission, EvidenceExpires) {
  makeCalls(40, 1, Lost);

  Now = Now + DependentEvidenceTime + DurationMs(1);
  DOUBLES_EQUAL(1, Admission.share("read", Now), 0);

  Admission.onInnerCall("read", Slow, Now);
  DOUBLES_EQUAL(1, Admission.share("read", Now), 0);
}

// Guards against refusals for single slow calls, or for one silent node of
// many.
TEST(DependentAdmission, AdmitsAllWhileOneCallInTwentyIsLost) {
  for (const InnerCall &Other : {Slow, Lost}) {
    for (int I = 0; I < 40; ++I) {
      makeCalls(20, 20, Other);
      DOUBLES_EQUAL(1, Admission.share("read", Now), 0);
    }
  }
}

// Guards against a log line for each refusal.
TEST(DependentAdmission, ReportsAShortageOnceAtItsBeginningAndItsEnd) {
  makeCalls(40, 1, Lost);
  CHECK_TRUE(Admission.takeChanges(Now).empty());
  const int Refused = 100 - admittedOf(100);

  const auto Begin = Admission.takeChanges(Now);
  LONGS_EQUAL(1, Begin.size());
  CHECK_TRUE(Begin[0].Limited && Begin[0].Route == "read");
  admittedOf(1);
  CHECK_TRUE(Admission.takeChanges(Now).empty());
  LONGS_EQUAL(1, Admission.limitedRoutes());

  CHECK(Now + DependentCalmTime == Admission.nextChange());
  const auto End = Admission.takeChanges(Now + DependentCalmTime);
  CHECK_FALSE(End.at(0).Limited);
  CHECK_COMPARE(End.front().Refused, >=, static_cast<std::uint64_t>(Refused));
  CHECK(Never == Admission.nextChange());
}

// Guards against refusals for what says nothing about room.
TEST(DependentAdmission, OnlyLackOfRoomOrTimeIsALoss) {
  for (const ResultCode Reason : {ResultCode::QueueFull, ResultCode::LinkBusy})
    CHECK(InnerCallEnd::Lost == innerCallEnd(Reason, 503));
  for (const ResultCode Reason :
       {ResultCode::TargetDown, ResultCode::CallerGone})
    CHECK(std::nullopt == innerCallEnd(Reason, 503));
  CHECK(InnerCallEnd::Answered == innerCallEnd(ResultCode::Ok, 500));
  CHECK(InnerCallEnd::Lost == innerCallEnd(ResultCode::Ok, 503));
}
