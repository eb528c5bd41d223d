#include "operators/NodeStatus.h"

#include <algorithm>
#include <map>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescuewood {

namespace {

using Json = nlohmann::ordered_json;

std::string versionText(const Json &Id) {
  if (Id.is_null())
    return "none";
  return fmt::format("{} ({})", Id.at("revision").get<std::uint64_t>(),
                     Id.at("digest").get<std::string>());
}

/// Versions and health of the fleet's instances, as seen by one node.
struct FleetSummary {
  std::map<std::string, std::size_t> InstancesByVersion;
  std::map<std::string, std::size_t> AliveByDomain;
  std::size_t Unhealthy = 0;
};

FleetSummary summariseFleet(const Json &Page) {
  FleetSummary Result;
  for (const Json &Row : Page.at("fleet")) {
    ++Result.InstancesByVersion[versionText(Row.at("version"))];
    const bool Alive = Row.at("health") == "alive";
    const bool Up = Row.at("target") != "down";
    if (Alive)
      ++Result.AliveByDomain[Row.at("domain").get<std::string>()];
    if (!Alive || !Up)
      ++Result.Unhealthy;
  }
  return Result;
}

std::string nodeText(const Json &Page) {
  const Json &Node = Page.at("node");
  const Json &Source = Page.at("source");
  return fmt::format(
      "seen from   {} ({}), {} for {} s\n"
      "version     {}\n"
      "platform    {}, {} reads, {} failures\n",
      Node.at("name").get<std::string>(), Node.at("domain").get<std::string>(),
      Node.at("phase").get<std::string>(),
      Node.at("uptime_ms").get<std::int64_t>() / 1000,
      versionText(Page.at("version")),
      Source.at("reachable").get<bool>() ? "reachable" : "NOT REACHABLE",
      Source.at("reads").get<std::uint64_t>(),
      Source.at("failures").get<std::uint64_t>());
}

std::string versionsText(const FleetSummary &Fleet) {
  std::string Text = "\nversion in force          instances\n";
  for (const auto &[Id, Count] : Fleet.InstancesByVersion)
    Text += fmt::format("{:<25} {}\n", Id, Count);
  return Text;
}

std::string domainsText(const Json &Page, const FleetSummary &Fleet) {
  std::string Text =
      "\nfailure domain   region           status  alive  declared\n";
  for (const Json &Row : Page.at("domains")) {
    const auto Name = Row.at("name").get<std::string>();
    const auto Alive = Fleet.AliveByDomain.find(Name);
    Text += fmt::format("{:<16} {:<16} {:<7} {:>5}  {:>8}\n", Name,
                        Row.at("region").get<std::string>(),
                        Row.at("status").get<std::string>(),
                        Alive == Fleet.AliveByDomain.end() ? 0 : Alive->second,
                        Row.at("declared_nodes").get<std::uint32_t>());
  }
  return Text;
}

std::string targetText(const Json &Page) {
  const Json &Target = Page.at("target");
  return fmt::format("\ntarget here  {}, limit {} of {} slots, {} running, {} "
                     "queued, {} crashes\n",
                     Target.at("state").get<std::string>(),
                     Target.at("limit").get<std::uint32_t>(),
                     Target.at("slots").get<std::uint32_t>(),
                     Target.at("in_flight").get<std::uint32_t>(),
                     Target.at("queued").get<std::size_t>(),
                     Target.at("crashes").get<std::uint64_t>());
}

std::string instancesText(const Json &Page) {
  std::string Text = "\ninstance                 domain           target    "
                     "health     version\n";
  for (const Json &Row : Page.at("fleet")) {
    Text += fmt::format(
        "{:<24} {:<16} {:<9} {:<10} {}\n", Row.at("name").get<std::string>(),
        Row.at("domain").get<std::string>(),
        Row.at("target").get<std::string>(),
        Row.at("health").get<std::string>(), versionText(Row.at("version")));
  }
  return Text;
}

std::string organisationsText(const Json &Page) {
  std::string Text = "\norganisation             rate/s    burst   demand here "
                     " refused here\n";
  for (const Json &Row : Page.at("organisations")) {
    Text += fmt::format(
        "{:<22} {:>8.1f} {:>8.0f} {:>13.1f} {:>13}{}\n",
        Row.at("name").get<std::string>(),
        Row.at("rate_per_second").get<double>(), Row.at("burst").get<double>(),
        Row.at("demand_here").get<double>(),
        Row.at("refused").get<std::uint64_t>(),
        Row.at("near_rate").get<bool>() ? "  NEAR ITS RATE" : "");
  }
  return Text;
}

bool isHealthy(const Json &Page, const FleetSummary &Fleet) {
  const auto WithoutInstances = [&](const Json &Row) {
    return Row.at("status") == "in" &&
           !Fleet.AliveByDomain.contains(Row.at("name").get<std::string>());
  };
  const Json &Domains = Page.at("domains");
  return !Page.at("version").is_null() && Fleet.Unhealthy == 0 &&
         Fleet.InstancesByVersion.size() == 1 &&
         std::none_of(Domains.begin(), Domains.end(), WithoutInstances);
}

} // namespace

std::optional<std::string> statusTable(std::string_view Text, bool &Healthy) {
  const Json Page = Json::parse(Text, nullptr, false);
  if (!Page.is_object())
    return std::nullopt;
  try {
    const FleetSummary Fleet = summariseFleet(Page);
    Healthy = isHealthy(Page, Fleet);
    return nodeText(Page) + versionsText(Fleet) + domainsText(Page, Fleet) +
           instancesText(Page) + targetText(Page) + organisationsText(Page);
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

} // namespace fescuewood
