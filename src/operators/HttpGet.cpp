#include "operators/HttpGet.h"

#include <memory>

#include <curl/curl.h>
#include <fmt/format.h>

namespace fescuewood {

namespace {

constexpr long HttpOk = 200;

struct CurlCloser {
  void operator()(CURL *Handle) const { curl_easy_cleanup(Handle); }
};

using CurlHandle = std::unique_ptr<CURL, CurlCloser>;

std::size_t appendBody(char *Data, std::size_t Size, std::size_t Count,
                       void *Body) {
  static_cast<std::string *>(Body)->append(Data, Size * Count);
  return Size * Count;
}

} // namespace

std::optional<std::string> httpGet(const std::string &Address,
                                   const std::string &Path, DurationMs Timeout,
                                   std::string &Error) {
  const CurlHandle Handle(curl_easy_init());
  const std::string Url = fmt::format("http://{}{}", Address, Path);
  std::string Body;
  curl_easy_setopt(Handle.get(), CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Handle.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(Handle.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle.get(), CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Timeout.Value));
  curl_easy_setopt(Handle.get(), CURLOPT_WRITEFUNCTION, appendBody);
  curl_easy_setopt(Handle.get(), CURLOPT_WRITEDATA, &Body);
  const CURLcode Result = curl_easy_perform(Handle.get());
  if (Result != CURLE_OK) {
    Error = fmt::format("{}: {}", Url, curl_easy_strerror(Result));
    return std::nullopt;
  }
  long Status = 0;
  curl_easy_getinfo(Handle.get(), CURLINFO_RESPONSE_CODE, &Status);
  if (Status != HttpOk) {
    Error = fmt::format("{}: HTTP {}: {}", Url, Status, Body);
    return std::nullopt;
  }
  return Body;
}

std::string urlEncoded(const std::string &Text) {
  const CurlHandle Handle(curl_easy_init());
  char *Encoded = curl_easy_escape(Handle.get(), Text.data(),
                                   static_cast<int>(Text.size()));
  std::string Result(Encoded);
  curl_free(Encoded);
  return Result;
}

} // namespace fescuewood
