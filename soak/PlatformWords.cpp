#include "soak/PlatformWords.h"

#include "standins/SettingsTemplate.h"

#include <stdexcept>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescuewood::soak::platform {

namespace {

using Json = nlohmann::json;

Json routeJson(const std::string &Name, const std::string &Service,
               bool Repeatable, bool Open) {
  return {{"name", Name},
          {"host", "shop.example"},
          {"prefix", "/" + Name + "/"},
          {"kind", Repeatable ? "idempotent" : "non_idempotent"},
          {"service", Service},
          {"timeout_s", 5},
          {"target_latency_s", 1},
          {"priority", 1},
          {"max_attempts", 2},
          {"public", Open}};
}

Json serviceJson(const std::string &Name) {
  return {{"name", Name},
          {"health_path", HealthPath},
          {"max_connections", 100},
          {"slow_start_s", 0},
          {"warmup_per_s", 100},
          {"protocol", "h1"},
          {"tls", false}};
}

std::string secondsText(DurationMs Duration) {
  constexpr double MsPerSecond = 1000;
  return fmt::format("{}", static_cast<double>(Duration.Value) / MsPerSecond);
}

} // namespace

std::string targetKey(const std::string &TargetId) {
  return "servers/" + TargetId;
}

std::string entryText(const TargetEntry &Entry) {
  return Json{{"service", Entry.Service},
              {"address", Entry.Address},
              {"zone", Entry.Domain},
              {"version", "1"},
              {"slots", 6},
              {"state", Entry.Leaving ? "draining" : "ready"},
              {"warmup_left_s", 0},
              {"sequence", Entry.Sequence},
              {"born", Entry.StartedAtMs}}
      .dump();
}

std::string configurationText(std::uint64_t Version,
                              const std::string &OpenService,
                              const std::vector<std::string> &Keys) {
  return Json{{"version", Version},
              {"routes",
               {routeJson("open", OpenService, true, true),
                routeJson("read", "queue", true, false),
                routeJson("book", "ledger", false, false),
                routeJson("inner", "ledger", true, true)}},
              {"services", {serviceJson("queue"), serviceJson("ledger")}},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 100000},
                {"header_timeout_s", 3},
                {"idle_timeout_s", 15}}},
              {"tenants", Json::array({{{"name", "clerks"},
                                        {"api_keys", Keys},
                                        {"priority", 1},
                                        {"rate_per_s", 0},
                                        {"burst", 0}}})}}
      .dump();
}

std::string settingsText(std::string Template, const NodePlace &Place,
                         const NodeBounds &Bounds) {
  std::string Regions;
  for (const std::string &Domain : Place.Domains)
    Regions += (Regions.empty() ? "" : ",") + Domain + ":coast";
  const standins::TemplateValues Values = {
      {"ip", Place.Ip},
      {"zone", Place.Domain},
      {"service", Place.Service},
      {"listen_addresses.outbound", Place.CallersAddress},
      {"listen_addresses.inbound", Place.PeersAddress},
      {"listen_addresses.ready", Place.ReadyAddress},
      {"app_address", Place.TargetAddress},
      {"provider.address", Place.StoreAddress},
      {"zones", Regions},
      {"bounds.config_apply_s", "2"},
      {"bounds.grace_s", secondsText(Bounds.Grace)},
      {"bounds.revoke_s", secondsText(Bounds.KeyWithdrawal)},
      {"bounds.quota_window_s", "5"},
      {"bounds.quota_overage", "0.25"},
      {"bounds.quota_slack", "20"},
  };
  return standins::renderTemplate(std::move(Template), Values);
}

} // namespace fescuewood::soak::platform
