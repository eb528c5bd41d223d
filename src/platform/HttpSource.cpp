#include "platform/PlatformCodec.h"
#include "platform/PlatformSource.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include <curl/curl.h>
#include <fmt/format.h>

namespace fescuewood {

namespace {

constexpr long StatusOk = 200;
constexpr long StatusNoContent = 204;

struct CurlDeleter {
  void operator()(CURL *Handle) const { curl_easy_cleanup(Handle); }
};

/// The body of one answer, bounded while it arrives.
struct Body {
  std::string Bytes;
  bool TooLarge = false;
};

std::size_t appendBody(char *Data, std::size_t Size, std::size_t Count,
                       void *Into) {
  Body &B = *static_cast<Body *>(Into);
  const std::size_t Bytes = Size * Count;
  B.TooLarge = B.Bytes.size() + Bytes > MaxAnswerBytes;
  if (B.TooLarge)
    return 0;
  B.Bytes.append(Data, Bytes);
  return Bytes;
}

/// One connection to the platform. Reads come from one thread.
class HttpClient {
public:
  HttpClient(Endpoint Server, DurationMs Timeout)
      : Server(std::move(Server)), Timeout(Timeout) {
    static std::once_flag Initialised;
    std::call_once(Initialised, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
    Handle.reset(curl_easy_init());
  }

  /// The body of a path, with Value empty when there is nothing newer.
  PlatformRead<std::string> get(const std::string &Path, DurationMs Wait) {
    if (Cancelled)
      return {std::nullopt, ResultCode::Stopped, ""};
    Body Received;
    prepare("http://" + Server.text() + Path, Wait, Received);
    const CURLcode Result = curl_easy_perform(Handle.get());
    if (Cancelled)
      return {std::nullopt, ResultCode::Stopped, ""};
    if (Received.TooLarge)
      return {std::nullopt, ResultCode::PlatformTooLarge,
              fmt::format("more than {} bytes", MaxAnswerBytes)};
    if (Result != CURLE_OK)
      return {std::nullopt, ResultCode::PlatformUnreachable,
              curl_easy_strerror(Result)};
    return byStatus(std::move(Received.Bytes));
  }

  void cancel() { Cancelled = true; }

private:
  void prepare(const std::string &Url, DurationMs Wait, Body &Into) {
    CURL *Curl = Handle.get();
    curl_easy_reset(Curl);
    curl_easy_setopt(Curl, CURLOPT_URL, Url.c_str());
    curl_easy_setopt(Curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Curl, CURLOPT_PROXY, "");
    curl_easy_setopt(Curl, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(Curl, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(Timeout.Value));
    curl_easy_setopt(Curl, CURLOPT_TIMEOUT_MS,
                     static_cast<long>((Wait + Timeout).Value));
    curl_easy_setopt(Curl, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(Curl, CURLOPT_WRITEDATA, &Into);
    // curl asks the progress hook about once a second while it waits.
    curl_easy_setopt(Curl, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(Curl, CURLOPT_XFERINFOFUNCTION, &stopIfCancelled);
    curl_easy_setopt(Curl, CURLOPT_XFERINFODATA, this);
  }

  PlatformRead<std::string> byStatus(std::string Bytes) {
    long Status = 0;
    curl_easy_getinfo(Handle.get(), CURLINFO_RESPONSE_CODE, &Status);
    if (Status == StatusNoContent)
      return {};
    if (Status != StatusOk)
      return {std::nullopt, ResultCode::PlatformRefused,
              fmt::format("status {}", Status)};
    return {std::move(Bytes), ResultCode::Ok, ""};
  }

  static int stopIfCancelled(void *Self, curl_off_t, curl_off_t, curl_off_t,
                             curl_off_t) {
    return static_cast<HttpClient *>(Self)->Cancelled ? 1 : 0;
  }

  Endpoint Server;
  DurationMs Timeout;
  std::unique_ptr<CURL, CurlDeleter> Handle;
  std::atomic<bool> Cancelled = false;
};

/// Decodes the body of a read that brought one.
template <typename T>
PlatformRead<T> decoded(PlatformRead<std::string> Read,
                        PlatformRead<T> (*Decode)(std::string_view)) {
  if (!Read.Value)
    return {std::nullopt, Read.Reason, std::move(Read.Detail)};
  return Decode(*Read.Value);
}

} // namespace

PlatformSource httpSource(const Endpoint &Server, DurationMs Timeout) {
  // Shared, since hooks are copied and all of them use the one connection.
  const auto Client = std::make_shared<HttpClient>(Server, Timeout);
  PlatformSource Source;
  Source.ReadIntent = [Client](std::uint64_t After, DurationMs Wait) {
    const std::string Path =
        fmt::format("/v1/intent?after={}&wait_ms={}", After, Wait.Value);
    return decoded(Client->get(Path, Wait), &decodeIntent);
  };
  Source.ReadInstances = [Client](std::uint64_t After) {
    const std::string Path = fmt::format("/v1/instances?after={}", After);
    return decoded(Client->get(Path, DurationMs(0)), &decodeInstances);
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
