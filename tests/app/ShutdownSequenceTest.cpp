// Tests of a shutdown's order of steps, in virtual time.

#include "app/ShutdownSequence.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

/// A node whose only call ends at a given time.
struct FakeShutdown {
  TimeMs Now{10'000};
  TimeMs CallEnds{0};
  TimeMs CutTime{0}; ///< 0 if nothing was cut.
  TimeMs WaitingRefusedAt{0};
  TimeMs ConnectionCloses{0}; ///< Of a caller without a request.
  TimeMs AnswerWritten{0};    ///< Of a caller that reads slowly.
  TimeMs ReplyWritten{0};     ///< To another node over a slow link.
  TimeMs RefusalsDone{0};     ///< The engine has processed the last step.
  std::vector<TimeMs> DrainEnds;
  std::vector<std::string> Steps;

  bool run(const ShutdownLimits &Limits) {
    ShutdownSequence Sequence(hooks(), Clock([this] { return Now; }));
    return Sequence.run(planShutdown(Limits, Now));
  }

  bool isIdle() const { return Now >= CallEnds && Now >= RefusalsDone; }

  std::size_t pendingRequests() const {
    const bool IsCallPending = Now < CallEnds && CutTime == TimeMs(0);
    return (IsCallPending ? 1 : 0) + (Now < AnswerWritten ? 1 : 0);
  }

  ShutdownHooks hooks() {
    ShutdownHooks Hooks;
    Hooks.SetLeaving = [this](TimeMs) { Steps.emplace_back("leaving"); };
    Hooks.SetDraining = [this](TimeMs End) { DrainEnds.push_back(End); };
    Hooks.RefuseWaiting = [this] {
      WaitingRefusedAt = Now;
      RefusalsDone = Now + DurationMs(50);
    };
    Hooks.CutEntered = [this] { CutTime = Now; };
    Hooks.LeaveMesh = [this] { Steps.emplace_back("leave"); };
    Hooks.StopAccepting = [this] { Steps.emplace_back("close listener"); };
    Hooks.IsIdle = [this] { return isIdle(); };
    Hooks.PendingRequests = [this] { return pendingRequests(); };
    Hooks.OpenConnections = [this] {
      return pendingRequests() + (Now < ConnectionCloses ? 1 : 0);
    };
    Hooks.QueuedPeerBytes = [this] {
      return std::size_t{Now < ReplyWritten ? 1U : 0U};
    };
    Hooks.Sleep = [this](DurationMs Span) { Now = Now + Span; };
    Hooks.OnExtended = [this] { Steps.emplace_back("extended"); };
    return Hooks;
  }
};

constexpr DurationMs Notice{2200};
constexpr DurationMs Drain{5200};

} // namespace

TEST_GROUP(ShutdownSequence) {
  FakeShutdown Node;
  const TimeMs Start = Node.Now;
};

TEST(ShutdownSequence, EndsAsSoonAsNothingIsLeft) {
  CHECK_TRUE(Node.run({Notice, Drain}));

  CHECK(Node.Now < Start + DurationMs(3000));
  CHECK(TimeMs(0) == Node.CutTime);
  LONGS_EQUAL(3, Node.Steps.size());
}

// Guards against a call at work that is cut at the drain timeout although its
// target answers in time.
TEST(ShutdownSequence, CompletesACallThatOutlastsTheDrainTimeout) {
  Node.CallEnds = Start + DurationMs(5600);

  CHECK_TRUE(Node.run({Notice, Drain}));

  CHECK(TimeMs(0) == Node.CutTime);
  CHECK(Node.Now >= Node.CallEnds);
  STRCMP_EQUAL("extended", Node.Steps.back().c_str());
}

TEST(ShutdownSequence, BeginsNothingAfterTheDrainTimeout) {
  Node.CallEnds = Start + DurationMs(9000);

  Node.run({Notice, Drain});

  LONGS_EQUAL(2, Node.DrainEnds.size());
  CHECK(Node.DrainEnds[0] < Start + Drain);
  CHECK(Node.DrainEnds[1] <= Node.WaitingRefusedAt);
  CHECK(Node.WaitingRefusedAt < Start + Drain + DurationMs(100));
}

TEST(ShutdownSequence, UsesTheGraceForACallAtWork) {
  Node.CallEnds = Start + DurationMs(9300);

  CHECK_TRUE(Node.run({Notice, Drain, DurationMs(10'000)}));

  CHECK(TimeMs(0) == Node.CutTime);
}

TEST(ShutdownSequence, AnswersWhatOutlastsTheGraceBeforeTheProcessIsKilled) {
  constexpr DurationMs Grace{6000};
  Node.CallEnds = Start + DurationMs(7000);

  CHECK_FALSE(Node.run({Notice, Drain, Grace}));

  CHECK(Node.CutTime > Start + Drain);
  CHECK(Node.CutTime + FinalAnswerTime <= Start + Grace);
  CHECK(Node.Now < Start + Grace);
}

// A call for another node is at work on the target when the callers of this
// node get their last answers.
TEST(ShutdownSequence, LetsARunEndWhileTheLastAnswersAreWritten) {
  Node.CallEnds = Start + DurationMs(5700);

  Node.run({Notice, Drain, DurationMs(6000)});

  CHECK(Node.CutTime > TimeMs(0));
  CHECK(Node.Now >= Node.CallEnds);
}

// Guards against an exit code that claims a lost call for a caller that only
// keeps its connection open.
TEST(ShutdownSequence, CompletesBesideAConnectionWithoutARequest) {
  Node.ConnectionCloses = Start + DurationMs(20'000);

  CHECK_TRUE(Node.run({Notice, Drain}));

  CHECK(Node.Now < Start + Drain + FinalAnswerTime + DurationMs(100));
}

// Guards against calls that count as cut because the engine is not idle while
// it refuses those that wait, at the moment of the cut.
TEST(ShutdownSequence, CutsNothingBesideAConnectionThatOutlastsTheGrace) {
  Node.ConnectionCloses = Start + DurationMs(20'000);

  CHECK_TRUE(Node.run({Notice, DurationMs(30'000), DurationMs(6000)}));

  CHECK(TimeMs(0) == Node.CutTime);
  CHECK(Node.Now <= Start + DurationMs(6000));
}

TEST(ShutdownSequence, ReportsAnAnswerThatIsNotWritten) {
  Node.AnswerWritten = Start + DurationMs(20'000);

  CHECK_FALSE(Node.run({Notice, Drain}));
}

// Guards against an answer for another node that waits behind a slow link when
// the process ends.
TEST(ShutdownSequence, WaitsUntilRepliesToOtherNodesAreWritten) {
  Node.ReplyWritten = Start + DurationMs(4000);

  CHECK_TRUE(Node.run({Notice, Drain}));

  CHECK(Node.Now >= Node.ReplyWritten);
}

TEST(ShutdownSequence, DoesNotWaitForANodeThatReadsNoReplies) {
  Node.ReplyWritten = Start + DurationMs(60'000);

  CHECK_TRUE(Node.run({Notice, Drain}));

  CHECK(Node.Now < Start + Drain + FinalAnswerTime + DurationMs(100));
}
