#include "app/NodeParts.h"

#include "check/ConfigEntries.h"
#include "core/ProcessMemory.h"
#include "operators/Explanation.h"
#include "platform/PlatformScheme.h"

namespace fescuewood {

namespace {

std::string_view healthName(const MemberStatus &Member) {
  switch (Member.Health) {
  case MemberHealth::Alive:
    return Member.PlatformLeaving ? "leaving" : "alive";
  case MemberHealth::Suspect:
    return "suspected";
  case MemberHealth::Dead:
    return "dead";
  case MemberHealth::Left:
    return "left";
  }
  return "dead";
}

FleetRow fleetRow(const MemberStatus &Member) {
  return {Member.Place, std::string(healthName(Member)),
          Member.AtLeast.value_or(Version()), Member.SinceContact};
}

std::string parameter(const PageQuery &Query, std::string_view Name) {
  const auto It = Query.find(Name);
  return It == Query.end() ? "" : It->second;
}

} // namespace

Pages NodeParts::pages() {
  return {
      {"/status",
       [this](const PageQuery &) {
         return Page{200, "application/json", statusJson(status())};
       }},
      {"/metrics",
       [this](const PageQuery &) {
         return Page{200, "text/plain; version=0.0.4", metricsText(status())};
       }},
      {"/explain",
       [this](const PageQuery &Query) { return explainPage(Query); }},
      {"/configuration",
       [this](const PageQuery &) {
         const SnapshotPtr Current = InForce.read();
         return Current ? Page{200, "application/json",
                               configEntriesJson(configEntries(*Current))}
                        : Page{503, "text/plain",
                               "no configuration is in force yet\n"};
       }},
      {"/timeline",
       [this](const PageQuery &) {
         std::string Lines;
         for (const StampedEvent &Event : Recorder.eventsAfter(0))
           Lines += toJsonLine(Event) + "\n";
         return Page{200, "application/x-ndjson", std::move(Lines)};
       }},
  };
}

Pages NodeParts::readyPages() {
  const auto ReadyPage = [this](const PageQuery &) {
    const bool IsReady = !Draining && InForce.read() != nullptr && keysProven();
    return Page{IsReady ? 200 : 503, "text/plain",
                IsReady ? "ready\n" : "not ready\n"};
  };
  return {{"/ready", ReadyPage}, {platform::readyPath(), ReadyPage}};
}

Page NodeParts::explainPage(const PageQuery &Query) const {
  const SnapshotPtr Current = InForce.read();
  if (!Current)
    return {200, "text/plain", "no configuration is in force yet\n"};
  const ExplainRequest Question{
      parameter(Query, "method"), parameter(Query, "path"),
      parameter(Query, "organisation"), parameter(Query, "host")};
  const Route *MatchedRoute =
      Current->findRoute(Question.Method, Question.Host, Question.Path);
  std::vector<RouterCandidate> Candidates;
  if (MatchedRoute)
    Candidates = Engine.explain(MatchedRoute->Service).value_or(Candidates);
  return {200, "text/plain", explainText(*Current, Question, Candidates)};
}

NodeStatus NodeParts::status() const {
  NodeStatus Status;
  Status.Name = Settings.Node.Name;
  Status.Domain = Settings.Node.Domain;
  Status.Service = Settings.Node.Service;
  Status.Slot = Settings.Node.Slot;
  Status.Incarnation = Incarnation;
  Status.Uptime = Monotonic.now() - Started;
  Status.ResidentBytes = residentMemory().value_or(0);
  Status.MachineBytes = MachineBytes;
  Status.ReceivingBytes = Target.receivingBytes();
  const SnapshotPtr Current = InForce.read();
  Status.Phase = Draining  ? NodePhase::Draining
                 : Current ? NodePhase::Serving
                           : NodePhase::Starting;
  if (Current) {
    Status.InForce = Current->Id;
    for (const auto &[Name, DomainEntry] : Current->Domains)
      Status.Domains.push_back(
          {Name, DomainEntry.Region, DomainEntry.Status, DomainEntry.Nodes});
  }
  Status.SourceReachable = SourceReachable;
  Status.Source = Store ? Store->counts() : SourceReads->counts();
  for (const MemberStatus &Member : Control.status().Members)
    Status.Fleet.push_back(fleetRow(Member));
  Status.Callers = Callers.status();
  Status.Calls = Engine.status();
  Status.Organisations = Limiter.status();
  Status.Traffic = Link.Traffic.byKind();
  Status.RefusedMessages = Link.Traffic.refusals();
  Status.PeerConnections = Link.Traffic.connections();
  Status.PeerQueuedBytes = Link.Traffic.queuedBytes();
  Status.PeerQueuedFrames = Link.Traffic.queuedFrames();
  for (const EventEntry &Entry : eventCatalogue()) {
    if (const std::uint64_t Count = Recorder.count(Entry.Id); Count > 0)
      Status.EventCounts.emplace_back(Entry.Id, Count);
  }
  return Status;
}

} // namespace fescuewood
