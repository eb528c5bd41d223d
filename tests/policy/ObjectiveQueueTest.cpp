#include "support/Property.h"

#include "policy/ObjectiveQueue.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr ServiceRate Rate{1, DurationMs(10)};

/// A request of 10 ms with an objective and a deadline.
QueuedCall call(std::uint64_t Sequence, std::int64_t ObjectiveMs,
                std::int64_t DeadlineMs = 100'000) {
  QueuedCall Call;
  Call.Id = {1, Sequence};
  Call.Priority = 1;
  Call.SoftDeadline = TimeMs(ObjectiveMs);
  Call.Deadline = TimeMs(DeadlineMs);
  Call.Bytes = 10;
  Call.Cost = DurationMs(10);
  return Call;
}

QueuedCall ofPriority(QueuedCall Call, std::uint16_t Priority) {
  Call.Priority = Priority;
  return Call;
}

QueuedCall ofCost(QueuedCall Call, std::int64_t Ms) {
  Call.Cost = DurationMs(Ms);
  return Call;
}

} // namespace

TEST_GROUP(ObjectiveQueue) {
  std::vector<QueueRefusal> Refused;
  ObjectiveQueue Queue{
      {}, [this](const QueueRefusal &Each) { Refused.push_back(Each); }};

  bool push(const QueuedCall &Call) {
    return Queue.push(Call, Rate, TimeMs(0));
  }

  std::string popAll(TimeMs Now = TimeMs(0)) {
    std::string Order;
    while (const auto Id = Queue.pop(Rate, Now))
      Order += std::to_string(Id->Sequence) + " ";
    return Order;
  }
};

TEST(ObjectiveQueue, StartsTheRequestWithLeastSlackFirst) {
  push(call(1, 900));
  push(call(2, 300));
  push(call(3, 600));

  STRCMP_EQUAL("2 3 1 ", popAll().c_str());
}

// Guards against slots that are spent on requests past their objectives while
// others become late (A trouble-1: 6,792 of 27,574 reads late).
TEST(ObjectiveQueue, StartsLateRequestsAfterAllOthersInOrderOfArrival) {
  push(call(1, 5));
  push(call(2, 4));
  push(call(3, 500));

  STRCMP_EQUAL("3 1 2 ", popAll().c_str());
}

TEST(ObjectiveQueue, DefersRequestsWhoseObjectivesPassWhileTheyWait) {
  push(call(1, 60));
  push(call(2, 500));

  STRCMP_EQUAL("2 1 ", popAll(TimeMs(100)).c_str());
}

// Guards against the collapse of plain earliest-deadline-first: the longest
// request gives way, not all that follow it.
TEST(ObjectiveQueue, DefersTheRequestWithMostWorkIfNotAllCanBeInTime) {
  push(ofCost(call(1, 70), 40));
  push(call(2, 60));
  push(call(3, 90));

  STRCMP_EQUAL("2 3 1 ", popAll().c_str());
}

TEST(ObjectiveQueue, RefusesOnArrivalWhatCannotMeetItsDeadline) {
  push(call(1, 1000));
  push(call(2, 1000));

  CHECK_FALSE(push(call(3, 5, 30)));

  CHECK(ResultCode::DeadlineUnreachable == Queue.lastReason());
  LONGS_EQUAL(2, Queue.size());
  CHECK_TRUE(Refused.empty());
}

// Guards against a long late request that costs several others their answers.
TEST(ObjectiveQueue, DisplacesALateRequestWithMoreWorkForOneThatNeedsItsTime) {
  push(ofCost(call(1, 5), 500));

  CHECK_TRUE(push(call(2, 5, 100)));

  LONGS_EQUAL(1, Refused.size());
  CHECK(CallId({1, 1}) == Refused.front().Id);
  CHECK(ResultCode::Displaced == Refused.front().Reason);
  CHECK(CallId({1, 2}) == Refused.front().DisplacedBy);
}

TEST(ObjectiveQueue, DropsQueuedRequestOnceTheRemainingTimeIsTooShort) {
  push(call(1, 50, 100));

  Queue.expire(Rate, TimeMs(84));
  LONGS_EQUAL(0, Refused.size());
  Queue.expire(Rate, TimeMs(85));

  LONGS_EQUAL(1, Refused.size());
  CHECK(ResultCode::DeadlineUnreachable == Refused.front().Reason);
}

TEST_GROUP(ObjectiveQueueRoom) {
  std::vector<std::uint64_t> Displaced;
  ObjectiveQueue Queue{settings(), [this](const QueueRefusal &Each) {
                         Displaced.push_back(Each.Id.Sequence);
                       }};

  static CallQueueSettings settings() {
    CallQueueSettings Settings;
    Settings.MaxRequests = 3;
    return Settings;
  }

  bool push(const QueuedCall &Call) {
    return Queue.push(Call, Rate, TimeMs(0));
  }
};

TEST(ObjectiveQueueRoom, DisplacesLowestPriorityThenLateThenMostWork) {
  push(ofPriority(call(1, 5000), 2));
  push(call(2, 5));
  push(ofCost(call(3, 5000), 30));

  CHECK_TRUE(push(call(4, 5000)));
  CHECK_TRUE(push(call(5, 5000)));
  CHECK_TRUE(push(call(6, 5000)));
  CHECK_FALSE(push(call(7, 5000)));

  CHECK(ResultCode::QueueFull == Queue.lastReason());
  CHECK(Displaced == std::vector<std::uint64_t>({1, 2, 3}));
}

TEST(ObjectiveQueueRoom, DisplacesNothingForARequestThatCostsLess) {
  for (std::uint64_t I = 1; I <= 3; ++I)
    push(call(I, 5000));

  CHECK_FALSE(push(ofPriority(call(4, 5000), 2)));
  CHECK_FALSE(push(ofCost(call(5, 5000), 20)));
  CHECK_FALSE(push(call(6, 5)));

  CHECK_TRUE(Displaced.empty());
}

// Guards against an organisation that pushes out the requests of another.
TEST(ObjectiveQueueRoom, DisplacesNoRequestOfAnotherOrganisation) {
  for (std::uint64_t I = 1; I <= 3; ++I)
    push(ofPriority(call(I, 5), 2));
  QueuedCall Other = call(4, 5000);
  Other.Organisation = "other";

  CHECK_FALSE(push(Other));

  CHECK_TRUE(Displaced.empty());
}

TEST(ObjectiveQueueRoom, DisplacesCallersOfAnyOrganisationForAnInnerCall) {
  for (std::uint64_t I = 1; I <= 3; ++I) {
    QueuedCall Caller = call(I, 5000);
    Caller.Organisation = "other";
    push(Caller);
  }

  CHECK_TRUE(push(ofPriority(call(4, 5000), InnerCallPriority)));

  LONGS_EQUAL(1, Displaced.size());
}

namespace {

/// Any request of one of three priorities and two organisations, the first
/// priority that of inner calls.
QueuedCall anyCall(std::uint64_t Sequence, TimeMs Now) {
  QueuedCall Call = call(Sequence, 0);
  Call.Priority = *rc::gen::inRange<std::uint16_t>(0, 3);
  Call.Organisation = *rc::gen::element<std::string>("", "a");
  Call.CanWait = *rc::gen::inRange(0, 6) == 0;
  Call.Cost = DurationMs(*rc::gen::inRange(1, 40));
  Call.SoftDeadline = Now + DurationMs(*rc::gen::inRange(0, 200));
  Call.Deadline = Now + DurationMs(*rc::gen::inRange(0, 600));
  Call.Bytes = *rc::gen::inRange<std::size_t>(1, 40);
  return Call;
}

} // namespace

// Every accepted request leaves exactly once, by pop, remove or refusal; no
// caller's request displaces an inner call; memory stays within its bound.
TEST(ObjectiveQueue, NoRequestIsLostOrDuplicated) {
  checkProperty("accepted = popped + removed + refused + held", [] {
    std::map<CallId, QueuedCall> Held;
    QueuedCall Arriving;
    CallQueueSettings Settings;
    Settings.MaxBytes = 400;
    Settings.MaxRequests = 12;
    ObjectiveQueue Queue(Settings, [&](const QueueRefusal &Each) {
      const auto Found = Held.find(Each.Id);
      RC_ASSERT(Found != Held.end());
      if (Each.Reason == ResultCode::Displaced) {
        RC_ASSERT(Each.DisplacedBy == Arriving.Id);
        RC_ASSERT(Found->second.Priority != InnerCallPriority ||
                  Arriving.Priority == InnerCallPriority);
      }
      Held.erase(Found);
    });
    TimeMs Now(0);
    const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(0, 20)));
    std::uint64_t Next = 0;
    for (const auto &[What, Value] : Steps) {
      Now = Now + DurationMs(Value);
      const ServiceRate Current{1, DurationMs(Value)};
      if (What <= 3) {
        Arriving = anyCall(++Next, Now);
        if (Queue.push(Arriving, Current, Now))
          Held.emplace(Arriving.Id, Arriving);
      } else if (What == 4) {
        if (const auto Id = Queue.pop(Current, Now))
          RC_ASSERT(Held.erase(*Id) == 1U);
      } else if (What == 5 && !Held.empty()) {
        const CallId Id = Held.begin()->first;
        RC_ASSERT(Queue.remove(Id, Now));
        Held.erase(Id);
      } else {
        Queue.expire(Current, Now);
      }
      RC_ASSERT(Queue.size() == Held.size());
      RC_ASSERT(Queue.size() <= Settings.MaxRequests);
      RC_ASSERT(Queue.bytes() <= Settings.MaxBytes);
    }
  });
}

// Guards against a priority that is never served while others saturate the
// target.
TEST(ObjectiveQueue, PassesOverNoPriorityBeyondTheBound) {
  checkProperty("pops without a priority <= MaxOvertakes + priorities", [] {
    ObjectiveQueue Queue({}, [](const QueueRefusal &) {});
    const auto Priorities = *rc::gen::inRange<std::uint16_t>(2, 6);
    std::map<std::uint64_t, std::uint16_t> PriorityOf;
    std::vector<int> Waiting(Priorities, 0);
    std::vector<std::uint32_t> PassedOver(Priorities, 0);
    std::uint64_t Next = 0;
    for (int Step = 0; Step < 300; ++Step) {
      const auto Priority = *rc::gen::inRange<std::uint16_t>(0, Priorities);
      for (const std::uint16_t Each : {std::uint16_t(0), Priority}) {
        PriorityOf[++Next] = Each;
        Waiting[Each] += Queue.push(ofPriority(call(Next, 100'000), Each),
                                    {1, DurationMs(0)}, TimeMs(0))
                             ? 1
                             : 0;
      }
      const std::uint16_t Popped =
          PriorityOf.at(Queue.pop(Rate, TimeMs(0))->Sequence);
      --Waiting[Popped];
      for (std::uint16_t I = 0; I < Priorities; ++I)
        PassedOver[I] = I == Popped || Waiting[I] == 0 ? 0 : PassedOver[I] + 1;
      RC_ASSERT(*std::max_element(PassedOver.begin(), PassedOver.end()) <=
                MaxOvertakes + Priorities);
    }
  });
}

// Sharing between organisations is that of FairQueue: normalised by weight, it
// differs by at most one request of each.
TEST(ObjectiveQueue, SharesServiceByWeight) {
  checkProperty("normalised service differs by at most one request each", [] {
    const auto WeightA = *rc::gen::inRange<std::uint32_t>(1, 8);
    const auto WeightB = *rc::gen::inRange<std::uint32_t>(1, 8);
    ObjectiveQueue Queue({}, [](const QueueRefusal &) {});
    for (std::uint64_t I = 0; I < 200; ++I) {
      QueuedCall Call =
          call(I, *rc::gen::inRange<std::int64_t>(0, 90'000), 1'000'000);
      Call.Organisation = I % 2 == 0 ? "a" : "b";
      Call.Weight = I % 2 == 0 ? WeightA : WeightB;
      Queue.push(Call, {1, DurationMs(0)}, TimeMs(0));
    }
    double ServedA = 0;
    double ServedB = 0;
    while (ServedA < 100 && ServedB < 100) {
      const auto Id = Queue.pop(Rate, TimeMs(0));
      (Id->Sequence % 2 == 0 ? ServedA : ServedB) += 1;
      RC_ASSERT(std::abs(ServedA / WeightA - ServedB / WeightB) <=
                1.0 / WeightA + 1.0 / WeightB + 1e-9);
    }
  });
}
