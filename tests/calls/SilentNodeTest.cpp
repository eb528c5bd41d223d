#include "calls/CoreFixture.h"

#include <deque>
#include <string>
#include <utility>
#include <vector>

using namespace fescuewood;

namespace {

constexpr DurationMs Remaining{1000};

} // namespace

/// An entry node and three targets: "a" answers nothing, another run takes
/// longer on "b", in another region, than on "c".
TEST_GROUP_BASE(SilentNode, CoreFixture) {
  std::vector<PeerRequest> Sent;
  std::deque<std::uint64_t> Picks; ///< Index of the target; 0 when empty.

  std::uint64_t nextPick() {
    if (Picks.empty())
      return 0;
    const std::uint64_t Pick = Picks.front();
    Picks.pop_front();
    return Pick;
  }

  void start(std::deque<std::uint64_t> PicksInOrder) {
    Picks = std::move(PicksInOrder);
    Hooks.Send = [this](PeerRequest Message, PeerReplyHook OnReply) {
      Replies.push_back({Now + Message.Timeout, std::move(OnReply)});
      Sent.push_back(std::move(Message));
    };
    Hooks.Random = [this] { return nextPick(); };
    Settings.Routing = RoutingMode::Random;
    Settings.RemoteCost = DurationMs(150);
    Self.Name = "entry/0";
    Self.Domain = "entry";
    Self.Service.clear();
    startCore(
        makeConfig(
            6, {{"entry", "near"}, {"a", "near"}, {"b", "far"}, {"c", "near"}}),
        {"a/0", "b/0", "c/0"});
    CallRequest Request = makeRequest(Remaining);
    Request.Idempotent = true;
    Core->submit(1, Request, [](const CallAnswer &) {});
  }

  /// Runs until the call ends; each message times out without a reply.
  void runWithoutReplies() {
    const TimeMs End = Now + Remaining;
    while (Now < End) {
      Now = Now + DurationMs(1);
      endDueMessages();
      Core->tick();
    }
  }

  void endDueMessages() {
    std::vector<Pending> Due;
    std::erase_if(Replies, [&](Pending &Each) {
      if (Each.At > Now)
        return false;
      Due.push_back(std::move(Each));
      return true;
    });
    for (const Pending &Each : Due)
      Each.OnReply({std::nullopt, {}, ResultCode::PeerSilent});
  }

  /// Kinds of the messages to one target, in order.
  std::vector<PeerKind> sentTo(const std::string &Address) const {
    std::vector<PeerKind> Kinds;
    for (const PeerRequest &Each : Sent)
      if (Each.Address == Address)
        Kinds.push_back(Each.Kind);
    return Kinds;
  }

  struct Pending {
    TimeMs At;
    PeerReplyHook OnReply;
  };
  std::vector<Pending> Replies;

  /// Checks that the call moved when the fetch that was cut short ended.
  void checkMovesWhenItsLastFetchEnds() {
    runWithoutReplies();
    const std::vector<PeerKind> Kinds = sentTo("a/0");
    LONGS_EQUAL(3, Kinds.size());
    CHECK(PeerKind::CallStart == Kinds[0]);
    CHECK(PeerKind::CallFetch == Kinds[1]);
    CHECK(PeerKind::CallFetch == Kinds[2]);
    CHECK(PeerKind::CallStart == Sent.at(3).Kind);
    CHECK(Sent[3].Address != "a/0");
    LONGS_EQUAL(CallSettings().FetchTimeout.Value, Sent[1].Timeout.Value);
    CHECK(Sent[2].Timeout < CallSettings().FetchTimeout);
  }
};

TEST(SilentNode, MovesWhenItsLastFetchEndsThoughTheNextTargetIsPickedAnew) {
  start({0, 0, 0, 1});
  checkMovesWhenItsLastFetchEnds();
}

TEST(SilentNode, CutsItsLastFetchShortForTheTargetThatItWasJudgedBy) {
  start({0, 1, 0, 1, 1});
  checkMovesWhenItsLastFetchEnds();
}
