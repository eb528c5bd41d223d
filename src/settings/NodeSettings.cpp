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
auto member(Inner S::*Outer, Value Inner::*Member) {
  return nestedMember(Outer, Member);
}

std::vector<Row> joinedRows(std::initializer_list<std::vector<Row>> Parts) {
  std::vector<Row> All;
  for (const std::vector<Row> &Part : Parts)
    All.insert(All.end(), Part.begin(), Part.end());
  return All;
}

/// One row per setting: section, name, unit, default, format, member,
/// description. A setting without a default is required.
// clang-format off
const std::vector<Row> &rows() {
  constexpr auto Required = std::nullopt;
  static const std::vector<Row> RowsBeforeCalls{
      keyRow<S>("node", "name", "", Required, nameForm(), member(&S::Node, &NodeIdentity::Name), "Name of this instance, unique in the fleet."),
      keyRow<S>("node", "domain", "", Required, nameForm(), member(&S::Node, &NodeIdentity::Domain), "Failure domain of this instance."),
      keyRow<S>("node", "service", "", Required, nameForm(), member(&S::Node, &NodeIdentity::Service), "Service of the local target."),
      keyRow<S>("node", "slot", "", Required, wholeNumber<std::uint32_t>(0, 65535), member(&S::Node, &NodeIdentity::Slot), "Declared node slot of this instance in its failure domain."),
      keyRow<S>("node", "address", "", Required, ipAddressForm(), member(&S::Node, &NodeIdentity::Address), "IP address of this instance, from which it connects to other nodes."),
      keyRow<S>("node", "memory_mb", "MB", "0", wholeNumber<std::uint32_t>(0, 16777216), member(&S::Node, &NodeIdentity::MemoryMb), "Memory of the machine, from which memory limits are derived; 0 for what the system reports."),
      keyRow<S>("node", "max_descriptors", "", "0", wholeNumber<std::uint32_t>(0, 16777216), member(&S::Node, &NodeIdentity::MaxDescriptors), "Limit on open file descriptors, of which 200 are for files; 0 for the limit of the process. Callers get at most 0.6 of the rest."),
      keyRow<S>("callers", "listen", "", Required, endpointForm(), member(&S::Callers, &CallerSettings::Listen), "Listen address for callers."),
      keyRow<S>("callers", "max_header_bytes", "bytes", "16384", wholeNumber<std::size_t>(1024, 65536), member(&S::Callers, &CallerSettings::MaxHeaderBytes), "Maximum size of a request head, which may have up to 4,096 fields."),
      keyRow<S>("callers", "max_body_bytes", "bytes", "1048576", wholeNumber<std::size_t>(0, 16777216), member(&S::Callers, &CallerSettings::MaxBodyBytes), "Maximum size of a request body; a route may set a lower limit."),
      keyRow<S>("callers", "max_connections", "", "512", wholeNumber<std::uint32_t>(1, 65535), member(&S::Callers, &CallerSettings::MaxConnections), "Maximum number of concurrent caller connections."),
      keyRow<S>("callers", "memory_share", "", "0.25", decimalNumber(0.01, 0.9), member(&S::Callers, &CallerSettings::MemoryShare), "Fraction of the machine's memory that may be held for callers: connections, requests and unread responses."),
      keyRow<S>("callers", "read_timeout_ms", "ms", "10000", milliseconds(100, 600000), member(&S::Callers, &CallerSettings::ReadTimeout), "Time limit for receiving a request head, and for an idle connection; operators may declare shorter ones."),
      keyRow<S>("callers", "idle_timeout_ms", "ms", "60000", milliseconds(100, 3600000), member(&S::Callers, &CallerSettings::IdleTimeout), "Time after which an idle connection is closed; `read_timeout_ms` applies if it is shorter."),
      keyRow<S>("callers", "min_rate_bytes_per_second", "bytes/s", "256", wholeNumber<std::uint32_t>(0, 1048576), member(&S::Callers, &CallerSettings::MinRate), "Minimum average rate at which a client must send a request body and read an answer; 0 for no minimum."),
      keyRow<S>("callers", "rate_window_ms", "ms", "10000", milliseconds(1000, 600000), member(&S::Callers, &CallerSettings::RateWindow), "Time over which the minimum rate is averaged."),
      keyRow<S>("callers", "min_body_time_ms", "ms", "15000", milliseconds(1000, 3600000), member(&S::Callers, &CallerSettings::MinBodyTime), "Time limit for receiving a request body, if its length at the minimum rate does not take longer."),
      keyRow<S>("callers", "max_body_time_ms", "ms", "300000", milliseconds(1000, 3600000), member(&S::Callers, &CallerSettings::MaxBodyTime), "Time limit for receiving a request body of any length, and for one in chunks."),
      keyRow<S>("callers", "leave_notice_ms", "ms", "0", milliseconds(0, 600000), member(&S::Callers, &CallerSettings::LeaveNotice), "Time during shutdown in which new connections are still accepted while the readiness check fails; counts towards `drain_timeout_ms`."),
      keyRow<S>("callers", "drain_timeout_ms", "ms", "30000", milliseconds(0, 600000), member(&S::Callers, &CallerSettings::DrainTimeout), "Time during shutdown in which connections are served and new calls begin, if they end in it. Calls at work are completed beyond it, at most to their deadlines; see `termination_grace_s`."),
      keyRow<S>("peers", "listen", "", Required, endpointForm(), member(&S::Peers, &PeerSettings::Listen), "Listen address for other nodes."),
      keyRow<S>("peers", "advertise", "", "", optionalEndpointForm(), member(&S::Peers, &PeerSettings::Advertise), "Address that other nodes connect to, if it differs from `listen`, as behind address translation."),
      keyRow<S>("peers", "seeds", "", "", endpointListForm(MaxSeeds), member(&S::Peers, &PeerSettings::Seeds), "Nodes that are contacted first after a start."),
      keyRow<S>("peers", "secret", "", Required, textForm(MinSecretBytes, MaxSecretBytes), member(&S::Peers, &PeerSettings::Secret), "Shared secret of the fleet, which authenticates every message between nodes."),
      keyRow<S>("target", "address", "", Required, endpointForm(), member(&S::Target, &TargetSettings::Address), "Address of the local target."),
      keyRow<S>("target", "connect_timeout_ms", "ms", "1000", milliseconds(1, 60000), member(&S::Target, &TargetSettings::ConnectTimeout), "Timeout for connecting to the target."),
      keyRow<S>("target", "max_connections", "", "120", wholeNumber<std::uint32_t>(1, 65535), member(&S::Target, &TargetSettings::MaxConnections), "Maximum number of concurrent connections to the target."),
      keyRow<S>("target", "probe_path", "", "/health", textForm(1, MaxPathBytes), member(&S::Target, &TargetSettings::ProbePath), "Path of the target's health check."),
      keyRow<S>("target", "probe_period_ms", "ms", "1000", milliseconds(50, 60000), member(&S::Target, &TargetSettings::ProbePeriod), "Interval between health probes of the target."),
      keyRow<S>("target", "probe_timeout_ms", "ms", "500", milliseconds(10, 60000), member(&S::Target, &TargetSettings::ProbeTimeout), "Timeout for one health probe."),
  };
  static const std::vector<Row> RowsAfterCalls{
      keyRow<S>("platform", "source", "", Required, locationForm(), member(&S::Platform, &PlatformSettings::Source), "Source of intent and instances."),
      keyRow<S>("platform", "reads_per_second", "reads/s", "2000", wholeNumber<std::uint32_t>(1, 1000000), member(&S::Platform, &PlatformSettings::FleetReadsPerSecond), "Limit on platform reads by the whole fleet."),
      keyRow<S>("platform", "fleet_nodes", "", "1200", wholeNumber<std::uint32_t>(1, 100000), member(&S::Platform, &PlatformSettings::FleetNodes), "Maximum number of concurrent processes in the fleet."),
      keyRow<S>("platform", "watch_wait_ms", "ms", "3000", milliseconds(0, 60000), member(&S::Platform, &PlatformSettings::WatchWait), "Maximum wait of one watch request at the platform."),
      keyRow<S>("platform", "timeout_ms", "ms", "2000", milliseconds(10, 60000), member(&S::Platform, &PlatformSettings::Timeout), "Timeout for a read, in addition to its wait."),
      keyRow<S>("platform", "regions", "", "", regionsForm(), member(&S::Platform, &PlatformSettings::Regions), "Region of each failure domain, where the platform does not publish them."),
      keyRow<S>("bounds", "change_apply_s", "s", "0", decimalNumber(0, 86400), member(&S::Bounds, &BoundSettings::ChangeApply), "Time within which a change at a store must be in force. The store is watched as seldom as that allows; 0 watches it as often as it changes, at most five times a second."),
      keyRow<S>("bounds", "key_withdrawal_s", "s", "0", decimalNumber(0, 86400), member(&S::Bounds, &BoundSettings::KeyWithdrawal), "Time after which a withdrawn key must be rejected everywhere: a node without recent proof that its configuration is the newest then rejects all keys; 0 disables the bound."),
      keyRow<S>("bounds", "rate_window_s", "s", "5", decimalNumber(0.1, 3600), member(&S::Bounds, &BoundSettings::RateWindow), "Window over which an organisation's rate is enforced where no node slots are declared."),
      keyRow<S>("bounds", "rate_overage", "", "0", decimalNumber(0, 10), member(&S::Bounds, &BoundSettings::RateOverage), "Fraction above rate and burst that is admitted in that window."),
      keyRow<S>("bounds", "rate_slack", "requests", "0", decimalNumber(0, 100000), member(&S::Bounds, &BoundSettings::RateSlack), "Additional requests that are admitted in that window."),
      keyRow<S>("bounds", "termination_grace_s", "s", "0", decimalNumber(0, 86400), member(&S::Bounds, &BoundSettings::TerminationGrace), "Time from SIGTERM until the process is killed. A shutdown cuts and answers what still runs just before it; 0 if the process is not killed."),
      keyRow<S>("operators", "listen", "", Required, endpointForm(), member(&S::Operators, &OperatorSettings::Listen), "Listen address for status and metrics."),
      keyRow<S>("operators", "ready", "", "", optionalEndpointForm(), member(&S::Operators, &OperatorSettings::Ready), "Listen address for the readiness check; empty to disable it."),
      keyRow<S>("log", "level", "", "info", levelForm(), member(&S::Log, &LogSettings::Level), "Minimum level of logged events."),
      keyRow<S>("log", "file", "", "", textForm(0, MaxPathBytes), member(&S::Log, &LogSettings::File), "Log file; empty for standard output."),
  };
  static const std::vector<Row> Table = joinedRows({RowsBeforeCalls, callRows(), RowsAfterCalls});
  return Table;
}
// clang-format on

bool isKnownSection(std::string_view Section) {
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

/// Reports listeners that share an endpoint. Port 0 is exempt, since the system
/// then assigns a free port.
void checkListeners(const NodeSettings &Settings, std::string_view FileName,
                    Problems &ProblemList) {
  const std::pair<const char *, const Endpoint *> Listeners[] = {
      {"[callers] listen", &Settings.Callers.Listen},
      {"[peers] listen", &Settings.Peers.Listen},
      {"[operators] listen", &Settings.Operators.Listen}};
  std::map<Endpoint, std::string> SettingByEndpoint;
  for (const auto &[Name, ListenEndpoint] : Listeners) {
    const auto [First, Added] =
        SettingByEndpoint.try_emplace(*ListenEndpoint, Name);
    if (!Added && ListenEndpoint->Port != 0) {
      report(ProblemList, {ResultCode::SettingsConflict,
                           {std::string(FileName), 0},
                           Name,
                           fmt::format("{} is already used by {}",
                                       ListenEndpoint->text(), First->second)});
    }
  }
}

} // namespace

std::optional<NodeSettings> parseSettings(std::string_view Text,
                                          std::string_view FileName,
                                          Problems &ProblemList) {
  NodeSettings Settings;
  std::map<std::string, IniSection> SectionsByName;
  for (IniSection &Section : readIni(Text, FileName, ProblemList)) {
    if (!Section.Name.empty() || !isKnownSection(Section.Kind)) {
      report(ProblemList,
             {ResultCode::SectionUnknown,
              {std::string(FileName), Section.Line},
              Section.heading(),
              "unknown section, expected one of " + joined(sectionNames())});
    }
    SectionsByName.try_emplace(Section.Kind, std::move(Section));
  }
  for (const std::string &Name : sectionNames()) {
    const IniSection &Section = SectionsByName[Name];
    fillSection<NodeSettings>(
        rows(), Name, "[" + Name + "]", {std::string(FileName), Section.Line},
        valuesOf(Section, FileName), Settings, ProblemList);
  }
  if (ProblemList.empty())
    checkListeners(Settings, FileName, ProblemList);
  sortProblems(ProblemList);
  if (!ProblemList.empty())
    return std::nullopt;
  return Settings;
}

std::optional<std::string> readSettings(const std::string &Path) {
  return readFile(Path, MaxSettingsBytes);
}

std::optional<NodeSettings> loadSettings(const std::string &Path,
                                         Problems &ProblemList) {
  const std::optional<std::string> Text = readSettings(Path);
  if (!Text) {
    report(ProblemList,
           {ResultCode::FileUnreadable,
            {Path, 0},
            "",
            fmt::format("expected a readable file of at most {} bytes",
                        MaxSettingsBytes)});
    return std::nullopt;
  }
  return parseSettings(*Text, Path, ProblemList);
}

std::vector<KeyInfo> settingsKeys() { return keyInfos<NodeSettings>(rows()); }

} // namespace fescuewood
