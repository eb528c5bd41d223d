/// \file
/// Load balancer that selects the target of a call among the instances of its
/// service.
///
/// The entry node reports its observations with \ref Router::onLoad and the
/// other `on` functions, and selects with \ref Router::pick. A few candidates
/// are drawn at random, with greater weight for nearer ones, and the one with
/// the shortest expected wait is selected: the power of two choices
/// (Mitzenmacher, 2001). This tolerates stale load reports and does not direct
/// all entry nodes to the same idle target.
///
/// RouterSettings::ByFinish answers the load of targets that differ in speed:
/// with free slots everywhere, a slow target starts a run as early as a fast
/// one and ends it much later. The expected run time then counts as well, so
/// that slow targets are left to the load that the fast ones cannot take.
///
/// TargetLoad::LinkDelay answers the load of targets with free slots behind
/// saturated links: the wait for the link then counts beside the wait for a
/// slot.
///
/// Instances in a failure domain that is out get no calls; those in one that
/// has returned get a growing share. Where the view of the router is out of
/// date, the target's node rejects what the target cannot accept.

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

/// Configuration of a \ref Router.
struct RouterSettings {
  bool PickAtRandom = false; ///< Ignore load; for comparison.
  bool NearFirst = false;    ///< Leave the own domain only for a gain.
  /// Rank candidates by the expected end of the run, not by its start.
  bool ByFinish = false;
  std::uint32_t Choices = 2;        ///< Candidates drawn per call.
  DurationMs RegionCost{2};         ///< Wait added for another domain.
  DurationMs RemoteCost{40};        ///< Wait added for another region.
  DurationMs LoadMaxAge{2000};      ///< Older load reports are stale.
  DurationMs DomainRampTime{20000}; ///< From return to full load.
  /// How long a silent node is avoided at first; doubles while it is silent, up
  /// to a limit.
  DurationMs SuspectTime{3000};
};

/// Load report from the target's node.
struct TargetLoad {
  std::uint32_t InFlight = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Limit = 1;
  DurationMs Latency{0};
  TargetState State = TargetState::Cold;
  /// Queueing delay of the target's link, if the report has one.
  std::optional<DurationMs> LinkDelay = std::nullopt;
};

/// Size of what crosses the network for a call: its body or expected answer.
enum class PayloadSize : std::uint8_t { Usual, Large };

/// Draws one uniform 64-bit number.
using RandomHook = std::function<std::uint64_t()>;

/// Routing state of one instance, for diagnostics.
struct RouterCandidate {
  std::string Name;
  std::string Domain;
  TargetState State = TargetState::Cold;
  double Weight = 0; ///< Relative probability of being drawn; 0 if excluded.
  double ExpectedWaitMs = 0;
};

/// The targets as seen by one entry node. Not thread-safe.
class Router {
public:
  Router(RouterSettings Settings, std::string OwnDomain);

  /// Applies the failure domains of a configuration; returns those that
  /// changed.
  std::vector<DomainChange> setSnapshot(const Snapshot &Config, TimeMs Now);

  /// Replaces the instances; keeps the state of those that remain.
  void setInstances(std::span<const Instance> Instances);

  /// Records a load report that was received with a reply.
  void onLoad(std::string_view Name, const TargetLoad &Load, TimeMs Now);

  /// Counts a call that was sent to an instance, or one that ended.
  void onSent(std::string_view Name);
  void onEnded(std::string_view Name);

  /// Avoids an instance temporarily because its node did not answer.
  void onSilent(std::string_view Name, TimeMs Now);

  /// Whether an instance has been silent and has sent no load report since.
  bool isSuspected(std::string_view Name) const;

  /// Expected time from sending a call to an instance until its answer, from
  /// the last load report; uses a default latency before the first report.
  DurationMs typicalAnswerTime(std::string_view Name, TimeMs Now) const;

  /// Selects the instance for a call, or null if none is eligible.
  /// The result is valid until the next \ref setInstances.
  /// \param Excluded names of instances to exclude, which were tried before.
  /// \param Size a large payload raises the cost of other domains if
  /// RouterSettings::NearFirst is set, and waits for the target's link.
  const Instance *pick(std::string_view Service,
                       std::span<const std::string> Excluded, TimeMs Now,
                       const RandomHook &Random,
                       PayloadSize Size = PayloadSize::Usual) const;

  /// Whether \ref pick would find an instance.
  bool hasTarget(std::string_view Service,
                 std::span<const std::string> Excluded, TimeMs Now) const;

  /// The state of all instances of a service, as used by \ref pick.
  std::vector<RouterCandidate> explain(std::string_view Service,
                                       TimeMs Now) const;

private:
  struct Entry {
    Instance Description;
    std::optional<TargetLoad> Load;
    TimeMs LoadAt{0};
    TimeMs LinkFreeAt{0}; ///< According to the last reported delay.
    std::uint32_t SentSinceLoad = 0;
    std::uint32_t Outstanding = 0;
    TimeMs SuspectUntil{0};
    DurationMs SuspectDuration{0}; ///< Doubles while the node is silent.
  };

  /// An eligible entry and its relative probability.
  struct Choice {
    const Entry *Candidate = nullptr;
    double Weight = 0;
  };

  enum class Nearness : std::uint8_t { OwnDomain, OwnRegion, Remote };

  TargetState stateOf(const Entry &Candidate, TimeMs Now) const;
  Nearness nearnessOf(const Entry &Candidate) const;
  double weightOf(const Entry &Candidate, TimeMs Now) const;
  double expectedWait(const Entry &Candidate, TimeMs Now,
                      PayloadSize Size = PayloadSize::Usual) const;
  static double linkWait(const Entry &Candidate, TimeMs Now, PayloadSize Size);
  double runTime(const Entry &Candidate) const;
  double distanceCost(const Entry &Candidate) const;
  const Entry *bestOfSample(std::vector<Choice> Eligible, TimeMs Now,
                            const RandomHook &Random, PayloadSize Size) const;
  const Entry *nearFirst(const std::vector<Choice> &Eligible, TimeMs Now,
                         const RandomHook &Random, PayloadSize Size) const;
  std::vector<Choice> choices(std::string_view Service,
                              std::span<const std::string> Excluded,
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
