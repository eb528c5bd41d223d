#include "app/NodeParts.h"

#include "operators/Explanation.h"
#include "platform/PlatformScheme.h"

namespace fescuewood {

namespace {

std::string_view healthName(const MemberStatus &Row) {
  switch (Row.Health) {
  case MemberHealth::Alive:
    return Row.PlatformLeaving ? "leaving" : "alive";
  case MemberHealth::Suspect:
    return "suspected";
  case MemberHealth::Dead:
    return "dead";
  case MemberHealth::Left:
    return "left";
  }
  return "dead";
}

FleetRow fleetRow(const MemberStatus &Row) {
  return {Row.Place, std::string(healthName(Row)),
          Row.AtLeast.value_or(Version()), Row.SinceContact};
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
      {"/timeline",
       [this](const PageQuery &) {
         std::string Lines;
         for (const StampedEvent &Each : Recorder.after(0))
           Lines += toJsonLine(Each) + "\n";
         return Page{200, "application/x-ndjson", std::move(Lines)};
       }},
  };
}

Pages NodeParts::readyPages() {
  const auto Answer = [this](const PageQuery &) {
    const bool Takes = !Draining && InForce.read() != nullptr && keysProven();
    return Page{Takes ? 200 : 503, "text/plain",
                Takes ? "ready\n" : "not ready\n"};
  };
  return {{"/ready", Answer}, {platform::readyPath(), Answer}};
}

Page NodeParts::explainPage(const PageQuery &Query) const {
  const SnapshotPtr Now = InForce.read();
  if (!Now)
    return {200, "text/plain", "no configuration is in force yet\n"};
  const RequestQuestion Asked{
      parameter(Query, "method"), parameter(Query, "path"),
      parameter(Query, "organisation"), parameter(Query, "host")};
  const Route *Found = Now->findRoute(Asked.Method, Asked.Host, Asked.Path);
  std::vector<RouterCandidate> Candidates;
  if (Found)
    Candidates = Engine.explain(Found->Service).value_or(Candidates);
  return {200, "text/plain", explainText(*Now, Asked, Candidates)};
}

NodeStatus NodeParts::status() const {
  NodeStatus Status;
  Status.Name = Settings.Node.Name;
  Status.Domain = Settings.Node.Domain;
  Status.Service = Settings.Node.Service;
  Status.Slot = Settings.Node.Slot;
  Status.Incarnation = Incarnation;
  Status.Uptime = Monotonic.now() - Started;
  const SnapshotPtr Now = InForce.read();
  Status.Phase = Draining ? NodePhase::Draining
                 : Now    ? NodePhase::Serving
                          : NodePhase::Starting;
  if (Now) {
    Status.InForce = Now->Id;
    for (const auto &[Name, Of] : Now->Domains)
      Status.Domains.push_back({Name, Of.Region, Of.Status, Of.Nodes});
  }
  Status.SourceReachable = SourceReachable;
  Status.Source = Store ? Store->counts() : Reads->counts();
  for (const MemberStatus &Row : Control.status().Members)
    Status.Fleet.push_back(fleetRow(Row));
  Status.Calls = Engine.status();
  Status.Organisations = Limiter.status();
  Status.Traffic = Link.Traffic.byKind();
  Status.RefusedMessages = Link.Traffic.refusals();
  Status.PeerConnections = Link.Traffic.connections();
  for (const EventEntry &Entry : eventCatalogue()) {
    if (const std::uint64_t Count = Recorder.count(Entry.Id); Count > 0)
      Status.EventCounts.emplace_back(Entry.Id, Count);
  }
  return Status;
}

} // namespace fescuewood
