/// \file
/// Test fixture of \ref StoreLoop: an in-memory store and what the loop
/// reports.

#ifndef FESCUEWOOD_TESTS_SOURCES_STORELOOPFIXTURE_H
#define FESCUEWOOD_TESTS_SOURCES_STORELOOPFIXTURE_H

#include "sources/StoreBundle.h"
#include "sources/StoreLoop.h"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace fescuewood {

inline constexpr DurationMs WatchWait{1000};
inline constexpr DurationMs WatchPeriod{800};

inline StoreChange change(StoreSubject Subject, const std::string &Name,
                          const std::string &Value, std::uint64_t Revision,
                          bool Removed = false) {
  return {Subject, Name, Name, Value, Revision, Removed};
}

/// In-memory store whose items and watch results the test sets. A watch without
/// changes advances the clock by its wait.
struct FakeStore {
  std::vector<StoreChange> Intent;
  std::vector<StoreChange> Targets;
  std::deque<PlatformRead<StoreChanges>> Watches;
  std::uint64_t Revision = 10;
  ResultCode Failure = ResultCode::Ok;
  /// Result of a watch from a revision that is followed by changes.
  ResultCode HistoryFailure = ResultCode::Ok;
  std::size_t PageSize = 100;
  unsigned RangeCalls = 0;
  TimeMs Now{1000};
  DurationMs FailureTakes{0}; ///< Time until a call fails.

  StoreCalls calls() {
    StoreCalls Calls;
    Calls.Range = [this](StoreSubject Subject,
                         std::string_view After) -> PlatformRead<StorePage> {
      ++RangeCalls;
      if (Failure != ResultCode::Ok) {
        Now = Now + FailureTakes;
        return {std::nullopt, Failure, ""};
      }
      return {page(Subject == StoreSubject::Target ? Targets : Intent, After),
              ResultCode::Ok, ""};
    };
    Calls.Watch = [this](std::uint64_t After,
                         DurationMs Wait) -> PlatformRead<StoreChanges> {
      if (Failure != ResultCode::Ok) {
        Now = Now + FailureTakes;
        return {std::nullopt, Failure, ""};
      }
      if (HistoryFailure != ResultCode::Ok && After < Revision)
        return {std::nullopt, HistoryFailure, ""};
      if (Watches.empty()) {
        Now = Now + Wait;
        return {StoreChanges{{}, Revision}, ResultCode::Ok, ""};
      }
      auto Result = std::move(Watches.front());
      Watches.pop_front();
      return Result;
    };
    Calls.DecodeTarget =
        [](std::string_view Id,
           std::string_view Value) -> std::optional<ListedInstance> {
      if (Value.empty())
        return std::nullopt;
      ListedInstance Row;
      Row.Name = std::string(Value);
      Row.Service = "queue";
      Row.TargetId = std::string(Id);
      Row.TargetAddress = std::string(Value) + ":80";
      return Row;
    };
    // The leading digits of a configuration are its number.
    Calls.ConfigurationNumber = [](std::string_view Value) -> std::uint64_t {
      return std::strtoull(std::string(Value).c_str(), nullptr, 10);
    };
    return Calls;
  }

private:
  StorePage page(const std::vector<StoreChange> &Items,
                 std::string_view After) const {
    StorePage Page{{}, false, Revision};
    for (const StoreChange &Item : Items) {
      if (Item.Key <= After)
        continue;
      Page.HasMore = Page.Items.size() == PageSize;
      if (Page.HasMore)
        break;
      Page.Items.push_back(Item);
    }
    return Page;
  }
};

/// A loop on that store, and its reports.
struct StoreLoopFixture : public Utest {
  FakeStore Store;
  std::vector<IntentBundle> Bundles;
  std::vector<InstanceList> Lists;
  std::optional<ListedInstance> LocalTarget;
  TimeMs LocalTargetAt; ///< Time at which it was last reported.
  std::vector<std::pair<TimeMs, std::uint64_t>> Proofs;
  std::vector<bool> States;
  std::vector<Event> Events;
  std::unique_ptr<StoreLoop> Loop;

  void setup() override {
    Store.Intent = {change(StoreSubject::Configuration, "config", "first", 4)};
    Store.Targets = {change(StoreSubject::Target, "i-1", "10.0.0.1", 5)};
    StoreLoopHooks Hooks;
    Hooks.OnBundle = [this](const IntentBundle &B) { Bundles.push_back(B); };
    Hooks.OnInstances = [this](const InstanceList &L) { Lists.push_back(L); };
    Hooks.OnOwnTarget = [this](const std::optional<ListedInstance> &L) {
      LocalTarget = L;
      LocalTargetAt = Store.Now;
    };
    Hooks.OnProof = [this](TimeMs At, std::uint64_t Revision, std::uint64_t) {
      Proofs.emplace_back(At, Revision);
    };
    Hooks.OnSourceState = [this](bool Reachable) {
      States.push_back(Reachable);
    };
    Hooks.OnEvent = [this](const Event &Occurred) {
      Events.push_back(Occurred);
    };
    Loop = std::make_unique<StoreLoop>(
        Store.calls(), OwnTarget{"10.0.0.1:80", "queue"},
        WatchTiming{WatchWait, WatchPeriod}, std::move(Hooks),
        Clock([this] { return Store.Now; }), 1);
  }

  void step(int Count = 1) {
    for (int I = 0; I < Count; ++I)
      Store.Now = Store.Now + Loop->step();
  }

  void queueChange(StoreChange Change) {
    Store.Revision = Change.Revision;
    const std::uint64_t At = Change.Revision;
    Store.Watches.push_back(
        {StoreChanges{{std::move(Change)}, At}, ResultCode::Ok, ""});
  }

  /// Lets the store fail until it counts as unreachable and for \p AtLeast,
  /// then answer again.
  void loseStore(DurationMs AtLeast = MinLapseTime) {
    const TimeMs LostAt = Store.Now;
    Store.Failure = ResultCode::PlatformRefused;
    while (States.empty() || States.back() || Store.Now - LostAt < AtLeast)
      step();
    Store.Failure = ResultCode::Ok;
  }

  std::string configuration() const {
    return decodeStoreBundle(Bundles.back())->Configuration;
  }
};

} // namespace fescuewood

#endif // FESCUEWOOD_TESTS_SOURCES_STORELOOPFIXTURE_H
