#include "operators/NodeStatus.h"

#include <nlohmann/json.hpp>

namespace fescuewood {

namespace {

using Json = nlohmann::ordered_json;

constexpr int IndentSpaces = 2;

Json versionJson(const Version &Id) {
  return {{"revision", Id.Revision}, {"digest", Id.Content.shortHex()}};
}

Json fleetJson(const FleetRow &Row) {
  Json Result = {
      {"name", Row.InstanceInfo.Name},
      {"domain", Row.InstanceInfo.Domain},
      {"service", Row.InstanceInfo.Service},
      {"slot", Row.InstanceInfo.Slot},
      {"peer_address", Row.InstanceInfo.PeerAddress},
      {"target", std::string(targetStateName(Row.InstanceInfo.State))},
      {"health", Row.Health},
      {"version", versionJson(Row.InForce)},
  };
  if (Row.LastHeard)
    Result["last_heard_ms"] = Row.LastHeard->Value;
  return Result;
}

Json domainJson(const DomainRow &Row) {
  return {{"name", Row.Name},
          {"region", Row.Region},
          {"status", Row.Status == DomainStatus::In ? "in" : "out"},
          {"declared_nodes", Row.DeclaredNodes}};
}

Json targetJson(const CallStatus &Calls) {
  return {{"state", std::string(targetStateName(Calls.State))},
          {"slots", Calls.Slots},
          {"limit", Calls.Limit},
          {"in_flight", Calls.InFlight},
          {"queued", Calls.Queued},
          {"runs", Calls.Runs},
          {"crashes", Calls.Crashes},
          {"quarantined", Calls.Quarantined}};
}

Json resultsJson(const CallStatus &Calls) {
  Json Rows = Json::array();
  for (const auto &[Code, Counts] : Calls.Results) {
    Rows.push_back({{"code", static_cast<int>(Code)},
                    {"name", std::string(resultName(Code))},
                    {"not_run", Counts.NotRun},
                    {"ran", Counts.Ran},
                    {"unknown", Counts.Unknown}});
  }
  return Rows;
}

Json organisationJson(const OrganisationStatus &Row) {
  return {{"name", Row.Name},
          {"rate_per_second", Row.RatePerSecond},
          {"burst", Row.Burst},
          {"demand_here", Row.Demand},
          {"tokens_here", Row.TokensHeld},
          {"admitted", Row.Admitted},
          {"refused", Row.Refused},
          {"near_rate", Row.NearRate}};
}

template <typename Rows, typename Convert>
Json arrayOf(const Rows &Items, Convert ItemToJson) {
  Json Result = Json::array();
  for (const auto &Row : Items)
    Result.push_back(ItemToJson(Row));
  return Result;
}

} // namespace

std::string_view phaseName(NodePhase Phase) {
  switch (Phase) {
  case NodePhase::Starting:
    return "starting";
  case NodePhase::Serving:
    return "serving";
  case NodePhase::Draining:
    return "draining";
  }
  return "starting";
}

std::string statusJson(const NodeStatus &Status) {
  Json Page = {
      {"node",
       {{"name", Status.Name},
        {"domain", Status.Domain},
        {"service", Status.Service},
        {"slot", Status.Slot},
        {"incarnation", Status.Incarnation},
        {"phase", std::string(phaseName(Status.Phase))},
        {"uptime_ms", Status.Uptime.Value}}},
      {"version", Status.InForce ? versionJson(*Status.InForce) : Json()},
      {"source",
       {{"reachable", Status.SourceReachable},
        {"reads", Status.Source.Reads},
        {"failures", Status.Source.Failures},
        {"stale", Status.Source.Stale}}},
      {"target", targetJson(Status.Calls)},
      {"calls",
       {{"entered", Status.Calls.Entered},
        {"retries", Status.Calls.Retries},
        {"fetches", Status.Calls.Fetches},
        {"results", resultsJson(Status.Calls)}}},
      {"domains", arrayOf(Status.Domains, domainJson)},
      {"organisations",
       arrayOf(Status.Organisations.Organisations, organisationJson)},
      {"fleet", arrayOf(Status.Fleet, fleetJson)},
  };
  return Page.dump(IndentSpaces, ' ', false, Json::error_handler_t::replace) +
         "\n";
}

} // namespace fescuewood
