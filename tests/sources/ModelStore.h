/// \file
/// Model of a store under virtual time, and nodes that follow it and check what
/// they report against its history.

#ifndef FESCUEWOOD_TESTS_SOURCES_MODELSTORE_H
#define FESCUEWOOD_TESTS_SOURCES_MODELSTORE_H

#include "support/Property.h"

#include "sources/StoreBundle.h"
#include "sources/StoreLoop.h"
#include "sources/StoreReplica.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fescuewood {

inline constexpr DurationMs WatchWait{1000};
inline constexpr DurationMs WatchPeriod{800};
/// Time that a call takes before and after the store evaluates it.
inline constexpr DurationMs HalfCall{5};
/// Longer than the retention of entries, a watch and the longest backoff.
inline constexpr DurationMs SettleTime{10 * 1000};

inline constexpr unsigned TargetCount = 4;
inline constexpr unsigned DomainCount = 2;

/// What happens to the store at a moment of a script.
enum class Happening : std::uint8_t {
  Nothing,
  WriteConfiguration,
  ChangeDomain,
  ChangeTarget,
  FailOneCall,
  FailManyCalls,
  LoseHistory,
  Count,
};

struct ScriptedEvent {
  Happening Kind;
  unsigned Which;
};

/// State of one key after a change.
struct KeyState {
  TimeMs At;
  std::uint64_t Revision = 0;
  std::optional<std::string> Value;
};

/// Store with revisions, pages that are no snapshot, answers of a limited
/// number of changes, and a history that can be lost. The script goes on before
/// each step, and within each call before and after its evaluation.
class ModelStore {
public:
  std::size_t PageSize = 100;
  std::size_t ChangesPerAnswer = 1000;
  std::vector<ScriptedEvent> Script;
  TimeMs Now{1000};
  std::map<std::string, std::vector<KeyState>> Keys;
  std::uint64_t Revision = 1;

  ModelStore() { write("config", "0"); }

  bool done() const { return NextEvent >= Script.size(); }

  void goOn() {
    if (done())
      return;
    const ScriptedEvent &Event = Script[NextEvent++];
    const std::string Value = std::to_string(Revision + 1);
    switch (Event.Kind) {
    case Happening::WriteConfiguration:
      return write("config", Value);
    case Happening::ChangeDomain:
      return toggle("domain-" + std::to_string(Event.Which % DomainCount),
                    Value);
    case Happening::ChangeTarget: {
      const std::string Key =
          "target-" + std::to_string(Event.Which % TargetCount);
      return Event.Which % 3 == 0 ? toggle(Key, Value) : write(Key, Value);
    }
    case Happening::FailOneCall:
    case Happening::FailManyCalls:
      FailingCalls =
          Event.Kind == Happening::FailOneCall ? 1 : 2 + Event.Which % 4;
      Failure = Event.Which % 2 == 0 ? ResultCode::PlatformRefused
                                     : ResultCode::PlatformSlow;
      return;
    case Happening::LoseHistory:
      HistoryFrom = Revision;
      return;
    case Happening::Nothing:
    case Happening::Count:
      return;
    }
  }

  StoreCalls calls() {
    StoreCalls Calls;
    Calls.Range = [this](StoreSubject Subject, std::string_view After) {
      begin();
      auto Read = range(Subject, After);
      end();
      return Read;
    };
    Calls.Watch = [this](std::uint64_t After, DurationMs Wait) {
      begin();
      auto Read = watch(After, Wait);
      end();
      return Read;
    };
    Calls.DecodeTarget = [](std::string_view Id, std::string_view Value) {
      ListedInstance Row;
      Row.Name = std::string(Id);
      Row.Service = "queue";
      Row.TargetId = std::string(Id);
      Row.TargetAddress = std::string(Id) + ":80";
      Row.Slots = static_cast<std::uint32_t>(std::stoul(std::string(Value)));
      return std::optional(Row);
    };
    return Calls;
  }

  std::optional<std::string> value(const std::string &Key) const {
    const auto Found = Keys.find(Key);
    return Found == Keys.end() ? std::nullopt : Found->second.back().Value;
  }

  /// Whether a key had a value that \p Matches at some time from \p From until
  /// now.
  bool hadSince(TimeMs From, const std::string &Key,
                const std::function<bool(const std::optional<std::string> &)>
                    &Matches) const {
    const auto Found = Keys.find(Key);
    if (Found != Keys.end()) {
      const std::vector<KeyState> &States = Found->second;
      for (auto State = States.rbegin(); State != States.rend(); ++State) {
        if (Matches(State->Value))
          return true;
        if (State->At <= From)
          return false;
      }
    }
    return Matches(std::nullopt);
  }

  std::set<std::string> keysOf(StoreSubject Subject) const {
    std::set<std::string> Names;
    for (const auto &[Key, States] : Keys)
      if (States.back().Value && subjectOf(Key) == Subject)
        Names.insert(Key);
    return Names;
  }

private:
  static StoreSubject subjectOf(const std::string &Key) {
    if (Key == "config")
      return StoreSubject::Configuration;
    return Key.starts_with("domain") ? StoreSubject::DomainOut
                                     : StoreSubject::Target;
  }

  void write(const std::string &Key, const std::optional<std::string> &Value) {
    ++Revision;
    Keys[Key].push_back({Now, Revision, Value});
    Log.push_back({subjectOf(Key), Key, Key, Value.value_or(""), Revision,
                   !Value.has_value()});
  }

  void toggle(const std::string &Key, const std::string &Value) {
    write(Key, value(Key) ? std::nullopt : std::optional(Value));
  }

  void begin() {
    Now = Now + HalfCall;
    goOn();
  }

  void end() {
    goOn();
    Now = Now + HalfCall;
  }

  bool fails() {
    if (FailingCalls == 0)
      return false;
    --FailingCalls;
    return true;
  }

  PlatformRead<StorePage> range(StoreSubject Subject, std::string_view After) {
    if (fails())
      return {std::nullopt, Failure, ""};
    StorePage Page;
    Page.Revision = Revision;
    for (const auto &[Key, States] : Keys) {
      const bool Wanted = (subjectOf(Key) == StoreSubject::Target) ==
                          (Subject == StoreSubject::Target);
      if (!Wanted || Key <= After || !States.back().Value)
        continue;
      if (Page.Items.size() == PageSize) {
        Page.HasMore = true;
        break;
      }
      Page.Items.push_back({subjectOf(Key), Key, Key, *States.back().Value,
                            States.back().Revision, false});
    }
    return {std::move(Page), ResultCode::Ok, ""};
  }

  PlatformRead<StoreChanges> watch(std::uint64_t After, DurationMs Wait) {
    if (fails())
      return {std::nullopt, Failure, ""};
    if (After < HistoryFrom)
      return {std::nullopt, ResultCode::StoreHistoryGone, ""};
    if (After >= Revision) {
      Now = Now + Wait;
      goOn();
    }
    StoreChanges Answer;
    for (const StoreChange &Change : Log)
      if (Change.Revision > After && Answer.Changes.size() < ChangesPerAnswer)
        Answer.Changes.push_back(Change);
    Answer.Revision = Answer.Changes.size() == ChangesPerAnswer
                          ? Answer.Changes.back().Revision
                          : Revision;
    return {std::move(Answer), ResultCode::Ok, ""};
  }

  std::size_t NextEvent = 0;
  unsigned FailingCalls = 0;
  ResultCode Failure = ResultCode::PlatformRefused;
  std::uint64_t HistoryFrom = 0;
  std::vector<StoreChange> Log;
};

/// A loop over a model of the store, with what it has reported.
class ModelNode {
public:
  explicit ModelNode(ModelStore &Store, RelayCalls Relays = {}) : Store(Store) {
    StoreLoopHooks Hooks;
    Hooks.OnBundle = [this](const IntentBundle &B) {
      RC_ASSERT(B.Revision >= IntentRevision);
      IntentRevision = B.Revision;
      Intent = decodeStoreBundle(B).value_or(StoreBundle());
    };
    Hooks.OnInstances = [this](InstanceList L) { onInstances(std::move(L)); };
    Hooks.OnOwnTarget = [this](std::optional<ListedInstance> L) {
      LocalTarget = std::move(L);
    };
    Hooks.OnProof = [this](TimeMs At, std::uint64_t Revision, std::uint64_t) {
      onProof(At, Revision);
    };
    Hooks.OnReplicated = [this](const ReplicaUpdate &Update) {
      Relayed.update(Update);
      if (Update.ProvenAt)
        RelayedProof = Update.ProvenAt;
    };
    Loop = std::make_unique<StoreLoop>(
        Store.calls(), OwnTarget{"target-0:80", "queue"},
        WatchTiming{WatchWait, WatchPeriod}, std::move(Hooks),
        Clock([this] { return this->Store.Now; }), 1, std::move(Relays));
  }

  /// Answers a node that reads through this one.
  PlatformRead<RelayedChanges> relay(std::uint64_t After, DurationMs Wait) {
    if (!RelayedProof)
      return {std::nullopt, ResultCode::PlatformUnreachable, ""};
    if (After >= Relayed.revision())
      Store.Now = Store.Now + Wait;
    auto Changes = Relayed.changesAfter(After);
    const bool Whole = !Changes;
    return {RelayedChanges{Whole, Whole ? Relayed.whole() : std::move(*Changes),
                           *RelayedProof},
            ResultCode::Ok, ""};
  }

  PlatformReaderCounts counts() const { return Loop->counts(); }

  void step() {
    const DurationMs Until = Loop->step();
    Store.Now = Store.Now + std::max(Until, DurationMs(1));
  }

  void requireSettled() const {
    RC_ASSERT(Intent.has_value());
    RC_ASSERT(Store.value("config") == Intent->Configuration);
    const std::set<std::string> Out = Store.keysOf(StoreSubject::DomainOut);
    RC_ASSERT(std::equal(Out.begin(), Out.end(), Intent->DomainsOut.begin(),
                         Intent->DomainsOut.end()));
    std::map<std::string, std::string> Known;
    for (const ListedInstance &Row : List.Instances) {
      RC_ASSERT(!Row.AssumedUntil);
      Known[Row.Name] = std::to_string(Row.Slots);
    }
    std::map<std::string, std::string> Stored;
    for (const std::string &Key : Store.keysOf(StoreSubject::Target))
      Stored[Key] = *Store.value(Key);
    RC_ASSERT(Known == Stored);
    RC_ASSERT(LocalTarget.has_value() == Stored.contains("target-0"));
  }

  bool ChecksProofs = true;

private:
  /// The intent that was reported must be one that was valid at \p At or later.
  void onProof(TimeMs At, std::uint64_t Revision) {
    if (!ChecksProofs)
      return;
    RC_ASSERT(Intent.has_value());
    RC_ASSERT(Revision == IntentRevision);
    RC_ASSERT(Store.hadSince(At, "config", [this](const auto &Value) {
      return Value == Intent->Configuration;
    }));
    for (unsigned I = 0; I < DomainCount; ++I) {
      const std::string Key = "domain-" + std::to_string(I);
      const bool Out = Intent->DomainsOut.contains(Key);
      RC_ASSERT(Store.hadSince(At, Key, [Out](const auto &Value) {
        return Value.has_value() == Out;
      }));
    }
  }

  /// A list of a revision knows all changes up to it.
  void onInstances(InstanceList New) {
    RC_ASSERT(New.Revision >= List.Revision);
    List = std::move(New);
    for (const auto &[Key, States] : Store.Keys) {
      const KeyState &Last = States.back();
      if (!Key.starts_with("target") || Last.Revision > List.Revision)
        continue;
      const auto Row =
          std::find_if(List.Instances.begin(), List.Instances.end(),
                       [&Key = Key](const auto &R) { return R.Name == Key; });
      const bool Observed =
          Row != List.Instances.end() && !Row->AssumedUntil.has_value();
      RC_ASSERT(Observed == Last.Value.has_value());
      if (Observed)
        RC_ASSERT(std::to_string(Row->Slots) == *Last.Value);
    }
  }

  ModelStore &Store;
  StoreReplica Relayed;
  std::optional<TimeMs> RelayedProof;
  std::optional<StoreBundle> Intent;
  std::uint64_t IntentRevision = 0;
  InstanceList List;
  std::optional<ListedInstance> LocalTarget;
  std::unique_ptr<StoreLoop> Loop;
};

} // namespace fescuewood

#endif // FESCUEWOOD_TESTS_SOURCES_MODELSTORE_H
