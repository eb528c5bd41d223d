#include "nodes/VersionSync.h"

#include "nodes/ControlMessages.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

constexpr std::size_t MaxHolders = 8;
constexpr std::string_view SourceName = "source";

} // namespace

std::string versionText(const Version &Id) {
  return fmt::format("{}-{}", Id.Revision, Id.Content.shortHex());
}

VersionSync::VersionSync(const ControlSettings &Settings,
                         const ControlHooks &Hooks, Clock Time,
                         ControlCounts &Counts, AppliedHook OnApplied)
    : Settings(Settings), Hooks(Hooks), Time(std::move(Time)), Counts(Counts),
      OnApplied(std::move(OnApplied)),
      Keeper(Settings.Versions, this->Time.now()),
      Bundles(Settings.HeldBundles) {}

bool VersionSync::tick() {
  const TimeMs Now = Time.now();
  const bool Paused = Keeper.tick(Now);
  if (Fetch && Now > Fetch->Deadline)
    onFetchFailure(ResultCode::PeerTimeout);
  evaluateOffer();
  if (!Holders.empty())
    fetchNext();
  return Paused;
}

ControlPhase VersionSync::phase() const {
  const TimeMs Now = Time.now();
  if (Keeper.isCatchingUp(Now))
    return ControlPhase::CatchingUp;
  return Keeper.isStarting(Now) ? ControlPhase::Starting
                                : ControlPhase::Current;
}

void VersionSync::onPeerAnswer(std::string_view Peer,
                               const std::string &Address,
                               const std::optional<Version> &InForce,
                               bool Starting) {
  const TimeMs Now = Time.now();
  Keeper.onPeerAnswer(Peer, InForce, Starting, Now);
  if (!InForce)
    return;
  reportConflict(*InForce);
  if (adoptRevision(*InForce))
    return;
  if (Address.empty() || Keeper.evaluate(*InForce, VersionOrigin::Peer, Now) !=
                             VersionVerdict::Accept)
    return;
  std::erase_if(Holders, [&](const Holder &H) { return H.Peer == Peer; });
  if (Holders.size() >= MaxHolders)
    Holders.pop_front();
  if (Holders.empty())
    BehindSince = Now;
  Holders.push_back({std::string(Peer), Address, *InForce});
  fetchNext();
}

/// Adopts a later revision with the same content as the version in force, which
/// needs neither files nor a new snapshot. Returns whether it did.
bool VersionSync::adoptRevision(const Version &Seen) {
  const auto &InForce = Keeper.inForce();
  // Without EachNodeMayRead the division of rates is derived from each version,
  // so every version is compiled.
  if (!Settings.EachNodeMayRead || !InForce ||
      Seen.Content != InForce->Content || Seen <= *InForce)
    return false;
  Bundles.rename(*InForce, Seen);
  Keeper.onApplied(Seen);
  return true;
}

/// Fetches from the holder of the largest version unless a fetch is pending.
void VersionSync::fetchNext() {
  std::erase_if(Holders, [this](const Holder &H) {
    return Keeper.evaluate(H.Id, VersionOrigin::Peer, Time.now()) !=
           VersionVerdict::Accept;
  });
  if (Fetch || Holders.empty())
    return;
  // A node that the source does not answer depends on its peers.
  const TimeMs Now = Time.now();
  const bool ReadsItself =
      Settings.EachNodeMayRead &&
      Now - LastSourceAnswerAt < Settings.SourceSilenceLimit;
  if (ReadsItself && Now - BehindSince < Settings.OwnReadGrace)
    return;
  const auto Newest = std::max_element(
      Holders.begin(), Holders.end(),
      [](const Holder &L, const Holder &R) { return L.Id < R.Id; });
  Fetch =
      PendingFetch{*Newest, ++FetchNumber, Time.now() + Settings.FetchTimeout};
  Holders.erase(Newest);
  ++Counts.Fetches;
  PeerRequest Request;
  Request.Address = Fetch->From.Address;
  Request.Kind = PeerKind::Fetch;
  Request.Body = packFetch({Fetch->From.Id, Keeper.inForce()});
  Request.Timeout = Settings.FetchTimeout;
  Hooks.Send(std::move(Request),
             [this, Number = FetchNumber](const PeerReply &Reply) {
               onFetched(Number, Reply);
             });
}

void VersionSync::onFetched(std::uint64_t Number, const PeerReply &Reply) {
  // A reply after the deadline belongs to an abandoned fetch.
  if (!Fetch || Fetch->Number != Number)
    return;
  auto Bundle = openReply(Reply);
  if (!Bundle) {
    onFetchFailure(Reply.Body ? ResultCode::PeerMessageMalformed
                              : Reply.Reason);
    return;
  }
  const Holder From = Fetch->From;
  Fetch.reset();
  const Version Id = Bundle->version();
  if (Keeper.evaluate(Id, VersionOrigin::Peer, Time.now()) ==
      VersionVerdict::Accept)
    apply(Id, std::move(*Bundle), From.Peer);
  fetchNext();
}

std::optional<IntentBundle> VersionSync::openReply(const PeerReply &Reply) {
  if (!Reply.Body)
    return std::nullopt;
  auto Message = unpackFetchReply(*Reply.Body);
  if (!Message)
    return std::nullopt;
  return Bundles.open(std::move(*Message));
}

void VersionSync::onFetchFailure(ResultCode Reason) {
  ++Counts.FetchFailures;
  report({EventId::VersionFetchFailed,
          {{"version", versionText(Fetch->From.Id)},
           {"node", Fetch->From.Peer},
           {"reason", std::string(resultName(Reason))}}});
  Fetch.reset();
  fetchNext();
}

void VersionSync::offer(IntentBundle Bundle) {
  OfferedId = Bundle.version();
  Offered = std::move(Bundle);
  evaluateOffer();
}

void VersionSync::evaluateOffer() {
  if (!Offered)
    return;
  reportConflict(OfferedId);
  if (adoptRevision(OfferedId)) {
    Offered.reset();
    return;
  }
  const VersionVerdict Verdict =
      Keeper.evaluate(OfferedId, VersionOrigin::Source, Time.now());
  if (Verdict == VersionVerdict::Wait)
    return;
  IntentBundle Bundle = std::move(*Offered);
  Offered.reset();
  if (Verdict == VersionVerdict::Accept)
    apply(OfferedId, std::move(Bundle), SourceName);
}

void VersionSync::apply(const Version &Id, IntentBundle Bundle,
                        std::string_view From) {
  std::string Why;
  const SnapshotPtr Compiled = Hooks.Compile(Bundle, Why);
  if (!Compiled) {
    refuse(Id, Why, From);
    return;
  }
  Keeper.onApplied(Id);
  Bundles.add(Id, std::move(Bundle));
  ++Counts.VersionsApplied;
  report({EventId::VersionInForce,
          {{"version", versionText(Id)}, {"node", std::string(From)}}});
  if (Hooks.OnSnapshot)
    Hooks.OnSnapshot(Compiled);
  OnApplied(Compiled);
}

void VersionSync::refuse(const Version &Id, const std::string &Why,
                         std::string_view From) {
  Keeper.onRefused(Id);
  ++Counts.VersionsRefused;
  LastRefused = RefusedVersion{Id, Why};
  report({EventId::VersionRefused,
          {{"version", versionText(Id)},
           {"node", std::string(From)},
           {"reason", Why}}});
}

void VersionSync::reportConflict(const Version &Seen) {
  if (!Keeper.hasConflict(Seen) || ReportedConflict == Seen)
    return;
  ReportedConflict = Seen;
  report({EventId::VersionConflict, {{"version", versionText(Seen)}}});
}

void VersionSync::report(const Event &Occurred) const {
  if (Hooks.OnEvent)
    Hooks.OnEvent(Occurred);
}

std::string VersionSync::serve(std::string_view Body) {
  const auto Request = unpackFetch(Body);
  if (!Request)
    return {};
  const FetchReply Reply = Bundles.serve(*Request);
  if (Reply.Delta)
    ++Counts.DeltasServed;
  if (Reply.Whole)
    ++Counts.WholesServed;
  return packFetchReply(Reply);
}

} // namespace fescuewood
