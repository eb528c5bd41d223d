/// \file
/// Picks the target of a call among the instances of its service.
///
/// The entry node tells the router what it learns (\ref Router::onLoad and the
/// functions beside it) and asks \ref Router::pick. A few candidates are drawn
/// at random, nearer ones more often, and the one with the shortest expected
/// wait is taken: the power of two choices (Mitzenmacher, 2001), which needs no
/// fresh view and does not send every entry node to the same idle target.
///
/// Instances in a failure domain that is out get nothing; those in one that has
/// returned get a growing share. What the router does not know of is corrected
/// by the node beside the target, which refuses what it cannot take.

#ifndef FESCUEWOOD_POLICY_ROUTER_H
#define FESCUEWOOD_POLICY_ROUTER_H

#include "core/Clock.h"
#include "intent/Snapshot.h"
#include "policy/DomainRamp.h"
#include "policy/Instance.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Behaviour of a \ref Router.
struct RouterSettings {
  bool PickAtRandom = false;   ///< Compare nothing; for measurements.
  bool NearFirst = false;      ///< Leave the own domain for a gain only.
  std::uint32_t Choices = 2;   ///< Candidates compared.
  DurationMs RegionCost{2};    ///< Added wait of another domain.
  DurationMs RemoteCost{40};   ///< Added wait of another region.
  DurationMs LoadMaxAge{2000}; ///< A load report older is not believed.
  DurationMs DomainRampTime{20000};
  /// A silent node is avoided this long at first, and longer each time.
  DurationMs SuspectTime{3000};
};

/// What the node beside a target reports of it.
struct TargetLoad {
  std::uint32_t InFlight = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Limit = 1;
  DurationMs Latency{0};
  TargetState State = TargetState::Cold;
};

/// What a call's answer is expected to be.
enum class AnswerSize : std::uint8_t { Usual, Large };

/// Draws one uniform 64-bit number.
using RandomHook = std::function<std::uint64_t()>;

/// A candidate and why it is chosen or not; for operators.
struct RouterCandidate {
  std::string Name;
  std::string Domain;
  TargetState State = TargetState::Cold;
  double Weight = 0; ///< Relative chance to be drawn; 0 when excluded.
  double ExpectedWaitMs = 0;
};

/// An entry node's view of the targets. Not thread-safe.
class Router {
public:
  Router(RouterSettings Settings, std::string OwnDomain);

  /// Takes the failure domains of a configuration; returns those that changed.
  std::vector<DomainChange> setSnapshot(const Snapshot &Config, TimeMs Now);

  /// Replaces the instances; what is known of those that stay is kept.
  void setInstances(std::span<const Instance> Instances);

  /// Takes the load that came back with a reply.
  void onLoad(std::string_view Name, const TargetLoad &Load, TimeMs Now);

  /// Counts a call that was sent to an instance, and one that ended.
  void onSent(std::string_view Name);
  void onEnded(std::string_view Name);

  /// Avoids an instance for a while because its node did not answer.
  void onSilent(std::string_view Name, TimeMs Now);

  /// Whether an instance has been silent and not been heard of since.
  bool isSuspected(std::string_view Name) const;

  /// Typical time from sending a call to an instance to its answer, by the
  /// last report; an assumed one before the first.
  DurationMs typicalAnswerTime(std::string_view Name, TimeMs Now) const;

  /// The instance to send a call to, or null when none may be sent to.
  /// Valid until the next \ref setInstances.
  /// \param Tried names of instances that are not to be tried again.
  /// \param Size whether a long answer has to travel, which makes another
  /// domain dearer where the own one goes first.
  const Instance *pick(std::string_view Service,
                       std::span<const std::string> Tried, TimeMs Now,
                       const RandomHook &Random,
                       AnswerSize Size = AnswerSize::Usual) const;

  /// Every instance of a service as \ref pick sees it.
  std::vector<RouterCandidate> explain(std::string_view Service,
                                       TimeMs Now) const;

private:
  struct Entry {
    Instance Place;
    std::optional<TargetLoad> Load;
    TimeMs LoadAt{0};
    std::uint32_t SentSinceLoad = 0;
    std::uint32_t Outstanding = 0;
    TimeMs SuspectUntil{0};
    DurationMs SuspectSpan{0}; ///< Grows while the node stays silent.
  };

  /// An entry that may be picked, with its chance.
  struct Choice {
    const Entry *Candidate = nullptr;
    double Weight = 0;
  };

  enum class Nearness : std::uint8_t { OwnDomain, OwnRegion, Remote };

  TargetState stateOf(const Entry &Candidate, TimeMs Now) const;
  Nearness nearnessOf(const Entry &Candidate) const;
  double weightOf(const Entry &Candidate, TimeMs Now) const;
  double expectedWait(const Entry &Candidate, TimeMs Now) const;
  double distanceCost(const Entry &Candidate) const;
  const Entry *best(std::vector<Choice> Open, TimeMs Now,
                    const RandomHook &Random) const;
  const Entry *nearFirst(const std::vector<Choice> &Open, TimeMs Now,
                         const RandomHook &Random, AnswerSize Size) const;
  std::vector<Choice> choices(std::string_view Service,
                              std::span<const std::string> Tried,
                              TimeMs Now) const;
  Entry *find(std::string_view Name);

  RouterSettings Settings;
  std::string OwnDomain;
  std::string OwnRegion;
  std::map<std::string, std::string, std::less<>> Regions; ///< By domain.
  DomainRamp Ramp;
  std::map<std::string, Entry, std::less<>> Entries; ///< By instance name.
  std::map<std::string, std::vector<const Entry *>, std::less<>> Services;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_ROUTER_H
