#include "sources/HttpReader.h"
#include "sources/PlatformCodec.h"
#include "sources/PlatformSource.h"

#include <memory>
#include <string>
#include <utility>

#include <fmt/format.h>

namespace fescuewood {

namespace {

/// Decodes the body of a read, or passes on why there is none.
template <typename T>
PlatformRead<T> decodeBody(PlatformRead<std::string> Read,
                           PlatformRead<T> (*Decode)(std::string_view)) {
  if (!Read.Value)
    return {std::nullopt, Read.Reason, std::move(Read.Detail)};
  return Decode(*Read.Value);
}

} // namespace

PlatformSource httpSource(const Endpoint &Server, DurationMs Timeout) {
  // Hooks are copyable, so all copies share one client.
  const auto Client = std::make_shared<HttpReader>(Server, Timeout);
  PlatformSource Source;
  Source.ReadIntent = [Client, Timeout](const Version &KnownVersion,
                                        DurationMs Wait) {
    const std::string Path = fmt::format(
        "/v1/intent?after={}&digest={}&wait_ms={}", KnownVersion.Revision,
        KnownVersion.Content.hex(), Wait.Value);
    return decodeBody(Client->get(Path, Wait, Timeout), &decodeIntent);
  };
  Source.ReadInstances = [Client, Timeout](std::uint64_t AfterRevision) {
    const std::string Path =
        fmt::format("/v1/instances?after={}", AfterRevision);
    return decodeBody(Client->get(Path, DurationMs(0), Timeout),
                      &decodeInstances);
  };
  Source.Cancel = [Client] { Client->cancel(); };
  return Source;
}

PlatformSource makeSource(const PlatformSettings &Settings) {
  if (Settings.Source.Form == PlatformLocation::Kind::Http)
    return httpSource(Settings.Source.Server, Settings.Timeout);
  return folderSource(Settings.Source.Folder);
}

} // namespace fescuewood
