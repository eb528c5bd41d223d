// Tests of the store's client against answers that name their epoch.

#include "platform/StoreClient.h"

#include "sources/StoreRevision.h"
#include "standins/Http.h"

#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;
using namespace fescuewood::platform;

namespace {

constexpr DurationMs Timeout{2000};
constexpr const char *Page =
    R"({"items":[{"key":"op/config","value":"","revision":3}],)"
    R"("has_more":false,"at":9})";
constexpr const char *Changes = R"({"events":[],"at":9})";

struct CannedAnswer {
  std::string Fields; ///< Header lines, each with CRLF.
  std::string Body;
};

using CannedAnswers = std::vector<CannedAnswer>;

/// Server that gives one answer to each connection in turn.
class CannedStore {
public:
  explicit CannedStore(CannedAnswers Answers)
      : Acceptor(Context, standins::endpointOf("127.0.0.1:0")),
        Thread([this, Answers = std::move(Answers)] {
          for (const CannedAnswer &Each : Answers)
            answer(Each);
        }) {}
  ~CannedStore() { Thread.join(); }

  Endpoint endpoint() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

private:
  void answer(const CannedAnswer &Each) {
    auto Socket = Acceptor.accept();
    std::string Request;
    asio::read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n");
    asio::error_code Ignored;
    asio::write(
        Socket,
        asio::buffer(standins::responseText(200, Each.Fields, Each.Body)),
        Ignored);
  }

  asio::io_context Context;
  standins::Tcp::acceptor Acceptor;
  std::thread Thread;
};

} // namespace

TEST_GROUP(StoreClient) {
  std::vector<Event> Events;

  StoreCalls callsTo(const CannedStore &Store) {
    return storeCalls(Store.endpoint(), Timeout, 80,
                      [this](const Event &E) { Events.push_back(E); });
  }
};

TEST(StoreClient, NumbersTheRevisionsOfAnAnswerByItsEpoch) {
  const CannedStore Store(CannedAnswers{{"Store-Era: 2\r\n", Page}});

  const auto Read = callsTo(Store).Range(StoreSubject::Configuration, "");

  CHECK(storeNumber(2, 9) == Read.Value->Revision);
  CHECK(storeNumber(2, 3) == Read.Value->Items.front().Revision);
}

TEST(StoreClient, AnswersWithoutAnEpochKeepTheirRevisions) {
  const CannedStore Store(CannedAnswers{{"", Page}, {"", Changes}});
  const StoreCalls Calls = callsTo(Store);

  CHECK(9 == Calls.Range(StoreSubject::Configuration, "").Value->Revision);
  CHECK(9 == Calls.Watch(9, DurationMs(0)).Value->Revision);
  LONGS_EQUAL(0, Events.size());
}

TEST(StoreClient, BadEpochIsReportedAndCountsAsAbsent) {
  const CannedStore Store(
      CannedAnswers{{"Store-Era: 3\r\n", Page},
                    {"Store-Era: new\r\n", Page},
                    {"Store-Era: 3\r\nStore-Era: 4\r\n", Page}});
  const StoreCalls Calls = callsTo(Store);

  for (int I = 0; I < 3; ++I)
    CHECK(storeNumber(3, 9) ==
          Calls.Range(StoreSubject::Configuration, "").Value->Revision);
  LONGS_EQUAL(1, Events.size());
  CHECK(EventId::StoreEpochUnread == Events.front().Id);
}

// The store has given out the revision again.
TEST(StoreClient, WatchThatIsAnsweredFromAnotherEpochHasLostItsHistory) {
  const CannedStore Store(CannedAnswers{{"Store-Era: 2\r\n", Page},
                                        {"Store-Era: 3\r\n", Changes},
                                        {"Store-Era: 3\r\n", Changes}});
  const StoreCalls Calls = callsTo(Store);
  Calls.Range(StoreSubject::Configuration, "");

  CHECK(ResultCode::StoreHistoryGone ==
        Calls.Watch(storeNumber(2, 9), DurationMs(0)).Reason);
  CHECK(ResultCode::Ok == Calls.Watch(storeNumber(3, 9), DurationMs(0)).Reason);
}

TEST(StoreClient, PagesOfTwoEpochsAreNoReading) {
  const CannedStore Store(
      CannedAnswers{{"Store-Era: 2\r\n", Page}, {"Store-Era: 3\r\n", Page}});
  const StoreCalls Calls = callsTo(Store);
  Calls.Range(StoreSubject::Target, "");

  CHECK(ResultCode::StoreHistoryGone ==
        Calls.Range(StoreSubject::Target, "op/config").Reason);
}

TEST(StoreClient, RevisionThatCannotBeNumberedIsMalformed) {
  const CannedStore Store(CannedAnswers{
      {"Store-Era: 2\r\n", R"({"items":[],"at":9223372036854775807})"}});

  CHECK(ResultCode::PlatformMalformed ==
        callsTo(Store).Range(StoreSubject::Target, "").Reason);
}
