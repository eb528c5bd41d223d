#include "settings/NodeSettings.h"

#include "core/ReadFile.h"
#include "ini/Forms.h"
#include "ini/IniReader.h"
#include "settings/CallRows.h"

#include <algorithm>
#include <initializer_list>
#include <map>
#include <utility>

#include <fmt/format.h>

namespace fescuewood {

namespace {

using Row = KeyRow<NodeSettings>;
using S = NodeSettings;

constexpr std::size_t MaxSettingsBytes = 64 * 1024;
constexpr std::size_t MaxSeeds = 64;
constexpr std::size_t MinSecretBytes = 16;
constexpr std::size_t MaxSecretBytes = 256;
constexpr std::size_t MaxPathBytes = 1024;
constexpr std::string_view HttpPrefix = "http://";
constexpr std::string_view StorePrefix = "store://";
constexpr std::string_view FolderPrefix = "folder:";

std::optional<PlatformLocation> parseLocation(std::string_view Text) {
  PlatformLocation Location;
  if (Text.starts_with(FolderPrefix) && Text.size() > FolderPrefix.size()) {
    Location.Form = PlatformLocation::Kind::Folder;
    Location.Folder = std::string(Text.substr(FolderPrefix.size()));
    return Location;
  }
  const bool IsStore = Text.starts_with(StorePrefix);
  if (!IsStore && !Text.starts_with(HttpPrefix))
    return std::nullopt;
  const std::string_view Prefix = IsStore ? StorePrefix : HttpPrefix;
  const auto Server = Endpoint::parse(Text.substr(Prefix.size()));
  if (!Server)
    return std::nullopt;
  Location.Form =
      IsStore ? PlatformLocation::Kind::Store : PlatformLocation::Kind::Http;
  Location.Server = *Server;
  return Location;
}

ValueForm<PlatformLocation> locationForm() {
  return {"http://IP:port, store://IP:port or folder:PATH", &parseLocation};
}

using RegionMap = std::map<std::string, std::string, std::less<>>;

std::optional<RegionMap> parseRegions(std::string_view Text) {
  RegionMap Regions;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find(','), Text.size());
    std::string_view Pair = Text.substr(0, End);
    Text.remove_prefix(std::min(End + 1, Text.size()));
    Pair.remove_prefix(std::min(Pair.find_first_not_of(' '), Pair.size()));
    const std::size_t Colon = Pair.find(':');
    if (Colon == std::string_view::npos)
      return std::nullopt;
    const auto Domain = nameForm().Parse(Pair.substr(0, Colon));
    const auto Region = nameForm().Parse(Pair.substr(Colon + 1));
    if (!Domain || !Region || !Regions.emplace(*Domain, *Region).second)
      return std::nullopt;
  }
  return Regions;
}

ValueForm<RegionMap> regionsForm() {
  return {"DOMAIN:REGION, DOMAIN:REGION, ... or empty", &parseRegions};
}

ValueForm<EventLevel> levelForm() {
  return oneOf<EventLevel>({{"debug", EventLevel::Debug},
                            {"info", EventLevel::Info},
                            {"warn", EventLevel::Warn},
                            {"error", EventLevel::Error}});
}

std::optional<std::optional<Endpoint>>
parseOptionalEndpoint(std::string_view Text) {
  if (Text.empty())
    return std::optional<Endpoint>();
  const auto Parsed = Endpoint::parse(Text);
  return Parsed ? std::optional(Parsed) : std::nullopt;
}

ValueForm<std::optional<Endpoint>> optionalEndpointForm() {
  return {"IP:port or empty", &parseOptionalEndpoint};
}

template <typename Inner, typename Value>
auto in(Inner S::*Outer, Value Inner::*Member) {
  return within(Outer, Member);
}

std::vector<Row> joinedRows(std::initializer_list<std::vector<Row>> Parts) {
  std::vector<Row> All;
  for (const std::vector<Row> &Part : Parts)
    All.insert(All.end(), Part.begin(), Part.end());
  return All;
}

/// One line per setting: section, name, unit, default, form, member, meaning.
/// A setting without a default must be given.
// clang-format off
const std::vector<Row> &rows() {
  constexpr auto Required = std::nullopt;
  static const std::vector<Row> Before{
      keyRow<S>("node", "name", "", Required, nameForm(), in(&S::Node, &NodeIdentity::Name), "Name of this instance, unique in the fleet."),
      keyRow<S>("node", "domain", "", Required, nameForm(), in(&S::Node, &NodeIdentity::Domain), "Failure domain of this instance."),
      keyRow<S>("node", "service", "", Required, nameForm(), in(&S::Node, &NodeIdentity::Service), "Service that the target beside this process belongs to."),
      keyRow<S>("node", "slot", "", Required, wholeNumber<std::uint32_t>(0, 65535), in(&S::Node, &NodeIdentity::Slot), "Declared node slot of this instance in its failure domain."),
      keyRow<S>("node", "address", "", Required, ipAddressForm(), in(&S::Node, &NodeIdentity::Address), "IP number of this instance, from which it connects to other nodes."),
      keyRow<S>("callers", "listen", "", Required, endpointForm(), in(&S::Callers, &CallerSettings::Listen), "Where callers connect."),
      keyRow<S>("callers", "max_header_bytes", "bytes", "16384", wholeNumber<std::size_t>(1024, 65536), in(&S::Callers, &CallerSettings::MaxHeaderBytes), "Largest request head that is accepted."),
      keyRow<S>("callers", "max_body_bytes", "bytes", "1048576", wholeNumber<std::size_t>(0, 16777216), in(&S::Callers, &CallerSettings::MaxBodyBytes), "Largest request body that is accepted; a route may allow less."),
      keyRow<S>("callers", "max_connections", "", "512", wholeNumber<std::uint32_t>(1, 65535), in(&S::Callers, &CallerSettings::MaxConnections), "Most connections from callers at once."),
      keyRow<S>("callers", "read_timeout_ms", "ms", "10000", milliseconds(100, 600000), in(&S::Callers, &CallerSettings::ReadTimeout), "Longest time to receive one request."),
      keyRow<S>("callers", "idle_timeout_ms", "ms", "60000", milliseconds(100, 3600000), in(&S::Callers, &CallerSettings::IdleTimeout), "Time after which an unused connection is closed; `read_timeout_ms` if that is shorter."),
      keyRow<S>("callers", "leave_notice_ms", "ms", "0", milliseconds(0, 600000), in(&S::Callers, &CallerSettings::LeaveNotice), "Time for which a process that ends still takes connections while it says that it is not ready; counts towards `drain_timeout_ms`."),
      keyRow<S>("callers", "drain_timeout_ms", "ms", "30000", milliseconds(0, 600000), in(&S::Callers, &CallerSettings::DrainTimeout), "Longest wait for running requests when the process ends."),
      keyRow<S>("peers", "listen", "", Required, endpointForm(), in(&S::Peers, &PeerSettings::Listen), "Where this node hears the other nodes."),
      keyRow<S>("peers", "advertise", "", "", optionalEndpointForm(), in(&S::Peers, &PeerSettings::Advertise), "Where the other nodes connect, if that is not the same, as behind address translation."),
      keyRow<S>("peers", "seeds", "", "", endpointListForm(MaxSeeds), in(&S::Peers, &PeerSettings::Seeds), "Nodes that are asked first after a start."),
      keyRow<S>("peers", "secret", "", Required, textForm(MinSecretBytes, MaxSecretBytes), in(&S::Peers, &PeerSettings::Secret), "Secret of the fleet, which seals every message between nodes."),
      keyRow<S>("target", "address", "", Required, endpointForm(), in(&S::Target, &TargetSettings::Address), "Where the target beside this process listens."),
      keyRow<S>("target", "connect_timeout_ms", "ms", "1000", milliseconds(1, 60000), in(&S::Target, &TargetSettings::ConnectTimeout), "Longest time to connect to the target."),
      keyRow<S>("target", "max_connections", "", "120", wholeNumber<std::uint32_t>(1, 65535), in(&S::Target, &TargetSettings::MaxConnections), "Most connections to the target at once."),
      keyRow<S>("target", "probe_path", "", "/health", textForm(1, MaxPathBytes), in(&S::Target, &TargetSettings::ProbePath), "Path that is asked for the target's health."),
      keyRow<S>("target", "probe_period_ms", "ms", "1000", milliseconds(50, 60000), in(&S::Target, &TargetSettings::ProbePeriod), "Time between two probes of the target."),
      keyRow<S>("target", "probe_timeout_ms", "ms", "500", milliseconds(10, 60000), in(&S::Target, &TargetSettings::ProbeTimeout), "Longest time that a probe may take."),
  };
  static const std::vector<Row> After{
      keyRow<S>("platform", "source", "", Required, locationForm(), in(&S::Platform, &PlatformSettings::Source), "Where intent and instances are read from."),
      keyRow<S>("platform", "reads_per_second", "reads/s", "2000", wholeNumber<std::uint32_t>(1, 1000000), in(&S::Platform, &PlatformSettings::FleetReadsPerSecond), "Reads that the platform bears from the whole fleet."),
      keyRow<S>("platform", "fleet_nodes", "", "1200", wholeNumber<std::uint32_t>(1, 100000), in(&S::Platform, &PlatformSettings::FleetNodes), "Most processes that run at once in the whole fleet."),
      keyRow<S>("platform", "watch_wait_ms", "ms", "3000", milliseconds(0, 60000), in(&S::Platform, &PlatformSettings::WatchWait), "Longest time that one watch waits at the platform."),
      keyRow<S>("platform", "timeout_ms", "ms", "2000", milliseconds(10, 60000), in(&S::Platform, &PlatformSettings::Timeout), "Time that a read may take beyond its wait."),
      keyRow<S>("platform", "regions", "", "", regionsForm(), in(&S::Platform, &PlatformSettings::Regions), "Region of each failure domain, where the platform does not publish them."),
      keyRow<S>("bounds", "key_withdrawal_s", "s", "0", decimalNumber(0, 86400), in(&S::Bounds, &BoundSettings::KeyWithdrawal), "Time after which a withdrawn key must not be used anywhere: without proof that it knows the newest configuration a node then refuses keys; 0 where that is not asked."),
      keyRow<S>("bounds", "rate_window_s", "s", "5", decimalNumber(0.1, 3600), in(&S::Bounds, &BoundSettings::RateWindow), "Span over which an organisation's rate is held, where no node slots are declared."),
      keyRow<S>("bounds", "rate_overage", "", "0", decimalNumber(0, 10), in(&S::Bounds, &BoundSettings::RateOverage), "Share above rate and burst that may pass in that span."),
      keyRow<S>("bounds", "rate_slack", "requests", "0", decimalNumber(0, 100000), in(&S::Bounds, &BoundSettings::RateSlack), "Requests above that which may pass in that span."),
      keyRow<S>("operators", "listen", "", Required, endpointForm(), in(&S::Operators, &OperatorSettings::Listen), "Where status and metrics are served."),
      keyRow<S>("operators", "ready", "", "", optionalEndpointForm(), in(&S::Operators, &OperatorSettings::Ready), "Where the node says whether it takes callers; empty for nowhere."),
      keyRow<S>("log", "level", "", "info", levelForm(), in(&S::Log, &LogSettings::Level), "Least level of the events that are logged."),
      keyRow<S>("log", "file", "", "", textForm(0, MaxPathBytes), in(&S::Log, &LogSettings::File), "File to log to; empty for the standard output."),
  };
  static const std::vector<Row> Table = joinedRows({Before, callRows(), After});
  return Table;
}
// clang-format on

bool knowsSection(std::string_view Section) {
  const std::vector<Row> &Table = rows();
  return std::any_of(Table.begin(), Table.end(),
                     [&](const Row &R) { return R.Info.Section == Section; });
}

std::vector<std::string> sectionNames() {
  std::vector<std::string> Names;
  for (const Row &R : rows())
    if (Names.empty() || Names.back() != R.Info.Section)
      Names.push_back(R.Info.Section);
  return Names;
}

std::string joined(const std::vector<std::string> &Names) {
  return fmt::format("{}", fmt::join(Names, ", "));
}

SectionValues valuesOf(const IniSection &Section, std::string_view FileName) {
  SectionValues Values;
  for (const IniEntry &E : Section.Entries)
    Values[E.Name] = {E.Value, {std::string(FileName), E.Line}};
  return Values;
}

/// Two duties cannot listen at the same place; port 0 is chosen by the system.
void checkListeners(const NodeSettings &Settings, std::string_view FileName,
                    Problems &Found) {
  const std::pair<const char *, const Endpoint *> Listeners[] = {
      {"[callers] listen", &Settings.Callers.Listen},
      {"[peers] listen", &Settings.Peers.Listen},
      {"[operators] listen", &Settings.Operators.Listen}};
  std::map<Endpoint, std::string> Seen;
  for (const auto &[Name, Where] : Listeners) {
    const auto [First, Added] = Seen.try_emplace(*Where, Name);
    if (!Added && Where->Port != 0) {
      report(Found, {ResultCode::SettingsConflict,
                     {std::string(FileName), 0},
                     Name,
                     fmt::format("{} is also the value of {}", Where->text(),
                                 First->second)});
    }
  }
}

} // namespace

std::optional<NodeSettings> parseSettings(std::string_view Text,
                                          std::string_view FileName,
                                          Problems &Found) {
  NodeSettings Settings;
  std::map<std::string, IniSection> Given;
  for (IniSection &Section : readIni(Text, FileName, Found)) {
    if (!Section.Name.empty() || !knowsSection(Section.Kind)) {
      report(Found,
             {ResultCode::SectionUnknown,
              {std::string(FileName), Section.Line},
              Section.heading(),
              "no such section, expected one of " + joined(sectionNames())});
    }
    Given.try_emplace(Section.Kind, std::move(Section));
  }
  for (const std::string &Name : sectionNames()) {
    const IniSection &Section = Given[Name];
    fillSection<NodeSettings>(rows(), Name, "[" + Name + "]",
                              {std::string(FileName), Section.Line},
                              valuesOf(Section, FileName), Settings, Found);
  }
  if (Found.empty())
    checkListeners(Settings, FileName, Found);
  sortProblems(Found);
  if (!Found.empty())
    return std::nullopt;
  return Settings;
}

std::optional<std::string> readSettings(const std::string &Path) {
  return readFile(Path, MaxSettingsBytes);
}

std::optional<NodeSettings> loadSettings(const std::string &Path,
                                         Problems &Found) {
  const std::optional<std::string> Text = readSettings(Path);
  if (!Text) {
    report(Found, {ResultCode::FileUnreadable,
                   {Path, 0},
                   "",
                   fmt::format("expected a readable file of at most {} bytes",
                               MaxSettingsBytes)});
    return std::nullopt;
  }
  return parseSettings(*Text, Path, Found);
}

std::vector<KeyInfo> settingsKeys() { return keyInfos<NodeSettings>(rows()); }

} // namespace fescuewood
