#include "platform/StoreClient.h"

#include "platform/PlatformNames.h"
#include "platform/StoreCodec.h"
#include "sources/HttpReader.h"
#include "sources/StoreRevision.h"

#include <memory>
#include <utility>
#include <vector>

#include <fmt/format.h>

namespace fescuewood::platform {

namespace {

/// Time from the first byte of an answer to its end, as a multiple of the time
/// until its first byte: a whole configuration may cross a slow link, and what
/// has arrived of it is lost when it is given up.
constexpr std::int64_t TransferFactor = 4;

std::string_view prefixOf(StoreSubject Subject) {
  switch (Subject) {
  case StoreSubject::Target:
    return TargetPrefix;
  case StoreSubject::Configuration:
  case StoreSubject::DomainOut:
    return OperatorPrefix;
  case StoreSubject::Other:
    break;
  }
  return "";
}

bool isUnreserved(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') || C == '-' || C == '.' || C == '_' ||
         C == '~' || C == '/';
}

std::string percentEncoded(std::string_view Text) {
  std::string Result;
  for (const char C : Text) {
    if (isUnreserved(C))
      Result += C;
    else
      Result += fmt::format("%{:02X}", static_cast<unsigned char>(C));
  }
  return Result;
}

template <typename T>
PlatformRead<T> decodeAnswer(PlatformRead<std::string> Answer,
                             PlatformRead<T> (*Decode)(std::string_view)) {
  if (Answer.Reason != ResultCode::Ok)
    return {std::nullopt, Answer.Reason, std::move(Answer.Detail)};
  return Decode(Answer.Value.value_or(""));
}

template <typename T> PlatformRead<T> historyGone(std::string_view Detail) {
  return {std::nullopt, ResultCode::StoreHistoryGone, std::string(Detail)};
}

/// Calls to one store, with the epoch that its answers name. Revisions are
/// numbered as in \ref storeNumber.
class StoreConnection {
public:
  StoreConnection(const Endpoint &Server, DurationMs Timeout, EventHook OnEvent)
      : Reader(Server, Timeout), Transfer(Timeout * TransferFactor),
        OnEvent(std::move(OnEvent)) {}

  PlatformRead<StorePage> range(StoreSubject Subject, std::string_view After) {
    std::string Path =
        fmt::format("{}?prefix={}", RangePath, prefixOf(Subject));
    if (!After.empty())
      Path += "&after=" + percentEncoded(After);
    auto Page = decodeAnswer(get(Path, DurationMs(0)), &decodePage);
    if (!Page.Value)
      return Page;
    if (After.empty())
      RangeEpoch = Epoch;
    if (RangeEpoch != Epoch)
      return historyGone<StorePage>("restored between two pages");
    return numbered(std::move(Page), &StorePage::Items);
  }

  PlatformRead<StoreChanges> watch(std::uint64_t After, DurationMs Wait) {
    const std::string Path =
        fmt::format("{}?prefix=&after={}&wait_ms={}", WatchPath,
                    storeRevision(After), Wait.Value);
    auto Changes = decodeAnswer(get(Path, Wait), &decodeChanges);
    if (!Changes.Value)
      return Changes;
    // The store has given out the revision again, for another change.
    if (storeEpoch(After) != Epoch)
      return historyGone<StoreChanges>("restored from an older copy");
    return numbered(std::move(Changes), &StoreChanges::Changes);
  }

  void cancel() { Reader.cancel(); }

private:
  PlatformRead<std::string> get(const std::string &Path, DurationMs Wait) {
    auto Answer = Reader.get(Path, Wait, Transfer);
    if (Answer.Reason == ResultCode::Ok)
      readEpoch();
    return Answer;
  }

  /// An answer that does not name its epoch belongs to the last one.
  void readEpoch() {
    const auto Text = Reader.field(std::string(StoreEpochField));
    const auto Read = Text ? decodeEpoch(*Text) : std::nullopt;
    Epoch = Read.value_or(Epoch);
    const bool IsBad = Text && !Read;
    if (IsBad && !std::exchange(ReportedBadEpoch, IsBad) && OnEvent)
      OnEvent({EventId::StoreEpochUnread, {{"reason", *Text}}});
    ReportedBadEpoch = IsBad;
  }

  /// Replaces the store's own revisions in an answer.
  template <typename T>
  PlatformRead<T> numbered(PlatformRead<T> Answer,
                           std::vector<StoreChange> T::*Member) const {
    if (Epoch == 0)
      return Answer;
    if (Answer.Value->Revision > MaxStoreRevision)
      return {std::nullopt, ResultCode::PlatformMalformed,
              "the revision is too large"};
    Answer.Value->Revision = storeNumber(Epoch, Answer.Value->Revision);
    for (StoreChange &Item : (*Answer.Value).*Member)
      Item.Revision = storeNumber(Epoch, Item.Revision);
    return Answer;
  }

  HttpReader Reader;
  const DurationMs Transfer; ///< Longest time of an answer once it has begun.
  const EventHook OnEvent;
  std::uint64_t Epoch = 0;      ///< Of the last answer that named one.
  std::uint64_t RangeEpoch = 0; ///< Of the first page of the last range.
  bool ReportedBadEpoch = false;
};

} // namespace

StoreCalls storeCalls(const Endpoint &Server, DurationMs Timeout,
                      std::uint16_t NodePort, EventHook OnEvent) {
  // Shared because the calls are copyable and must all use the same reader.
  const auto Store =
      std::make_shared<StoreConnection>(Server, Timeout, std::move(OnEvent));
  StoreCalls Calls;
  Calls.Range = [Store](StoreSubject Subject, std::string_view After) {
    return Store->range(Subject, After);
  };
  Calls.Watch = [Store](std::uint64_t After, DurationMs Wait) {
    return Store->watch(After, Wait);
  };
  Calls.DecodeTarget = [NodePort](std::string_view Id, std::string_view Value) {
    return decodeTarget(Id, Value, NodePort);
  };
  Calls.ConfigurationNumber = &configurationNumber;
  Calls.Cancel = [Store] { Store->cancel(); };
  return Calls;
}

} // namespace fescuewood::platform
