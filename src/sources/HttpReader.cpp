#include "sources/HttpReader.h"

#include "sources/PlatformCodec.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <utility>

#include <curl/curl.h>
#include <fmt/format.h>

namespace fescuewood {

namespace {

constexpr long StatusOk = 200;
constexpr long StatusNoContent = 204;
constexpr long StatusGone = 410;

/// Longest wait for activity on a transfer; curl returns earlier when there is
/// any.
constexpr int MaxPollMs = 1000;

struct CurlDeleter {
  void operator()(CURL *Handle) const { curl_easy_cleanup(Handle); }
};

struct CurlMultiDeleter {
  void operator()(CURLM *Transfers) const { curl_multi_cleanup(Transfers); }
};

/// Limit on one answer as it is sent, with its head and chunk framing.
constexpr std::size_t MaxReceivedBytes = 2 * MaxAnswerBytes;

/// The body of one answer. Its size is checked as data arrives.
struct Body {
  std::string Bytes;
  std::size_t ReceivedBytes = 0; ///< Of the whole answer, as it was sent.
  bool TooLarge = false;
};

std::size_t appendBody(char *Data, std::size_t Size, std::size_t Count,
                       void *Destination) {
  Body &Received = *static_cast<Body *>(Destination);
  const std::size_t Bytes = Size * Count;
  Received.TooLarge =
      Received.TooLarge || Received.Bytes.size() + Bytes > MaxAnswerBytes;
  if (Received.TooLarge)
    return 0;
  Received.Bytes.append(Data, Bytes);
  return Bytes;
}

/// Counts all bytes, since libcurl discards chunk extensions. Cannot abort the
/// transfer; \ref checkProgress can.
int countReceived(CURL *, curl_infotype Type, char *, std::size_t Size,
                  void *Destination) {
  if (Type != CURLINFO_HEADER_IN && Type != CURLINFO_DATA_IN)
    return 0;
  Body &Received = *static_cast<Body *>(Destination);
  Received.ReceivedBytes += Size;
  Received.TooLarge =
      Received.TooLarge || Received.ReceivedBytes > MaxReceivedBytes;
  return 0;
}

int checkProgress(void *Destination, curl_off_t, curl_off_t, curl_off_t,
                  curl_off_t) {
  constexpr int Continue = 0;
  constexpr int Abort = 1;
  return static_cast<const Body *>(Destination)->TooLarge ? Abort : Continue;
}

/// Why a transfer that failed with \p Code brought no answer.
ResultCode failureReason(CURLcode Code, const Body &Received) {
  const bool Begun = Received.ReceivedBytes > 0;
  return Code == CURLE_OPERATION_TIMEDOUT && Begun
             ? ResultCode::PlatformSlow
             : ResultCode::PlatformUnreachable;
}

} // namespace

class HttpReader::Impl {
public:
  Impl(Endpoint Server, DurationMs Timeout)
      : Server(std::move(Server)), Timeout(Timeout) {
    static std::once_flag Initialised;
    std::call_once(Initialised, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
    Handle.reset(curl_easy_init());
    Transfers.reset(curl_multi_init());
  }

  PlatformRead<std::string> get(const std::string &Path, DurationMs Wait,
                                DurationMs Transfer) {
    if (Cancelled)
      return {std::nullopt, ResultCode::Stopped, ""};
    Body Received;
    prepare("http://" + Server.text() + Path, Received);
    const TimeMs SentAt = Time.now();
    const CURLcode Result =
        perform(Received, SentAt + Wait + Timeout, Transfer);
    if (Cancelled)
      return {std::nullopt, ResultCode::Stopped, ""};
    if (Received.TooLarge)
      return {std::nullopt, ResultCode::PlatformTooLarge,
              fmt::format("more than {} bytes", MaxAnswerBytes)};
    if (Result != CURLE_OK) {
      return {std::nullopt, failureReason(Result, Received),
              fmt::format("{}; {} bytes in {} ms", curl_easy_strerror(Result),
                          Received.ReceivedBytes, (Time.now() - SentAt).Value)};
    }
    return resultForStatus(std::move(Received.Bytes));
  }

  std::optional<std::string> field(const std::string &Name) const {
    constexpr int LastRequest = -1;
    std::optional<std::string> Values;
    curl_header *Header = nullptr;
    std::size_t Count = 1;
    for (std::size_t I = 0; I < Count; ++I) {
      if (curl_easy_header(Handle.get(), Name.c_str(), I, CURLH_HEADER,
                           LastRequest, &Header) != CURLHE_OK)
        break;
      Count = Header->amount;
      Values = (Values ? *Values + ", " : "") + Header->value;
    }
    return Values;
  }

  void cancel() {
    Cancelled = true;
    curl_multi_wakeup(Transfers.get());
  }

private:
  void prepare(const std::string &Url, Body &Destination) {
    CURL *Curl = Handle.get();
    curl_easy_reset(Curl);
    curl_easy_setopt(Curl, CURLOPT_URL, Url.c_str());
    curl_easy_setopt(Curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Curl, CURLOPT_PROXY, "");
    curl_easy_setopt(Curl, CURLOPT_PROTOCOLS_STR, "http");
    // On a reused connection curl retries a request by itself when the server
    // closes without answering, and that read would not be counted. A new
    // connection also cannot be half-open.
    curl_easy_setopt(Curl, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(Curl, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(Curl, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(Timeout.Value));
    curl_easy_setopt(Curl, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(Curl, CURLOPT_WRITEDATA, &Destination);
    curl_easy_setopt(Curl, CURLOPT_DEBUGFUNCTION, &countReceived);
    curl_easy_setopt(Curl, CURLOPT_DEBUGDATA, &Destination);
    curl_easy_setopt(Curl, CURLOPT_VERBOSE, 1L);
    curl_easy_setopt(Curl, CURLOPT_XFERINFOFUNCTION, &checkProgress);
    curl_easy_setopt(Curl, CURLOPT_XFERINFODATA, &Destination);
    curl_easy_setopt(Curl, CURLOPT_NOPROGRESS, 0L);
  }

  PlatformRead<std::string> resultForStatus(std::string Bytes) {
    long Status = 0;
    curl_easy_getinfo(Handle.get(), CURLINFO_RESPONSE_CODE, &Status);
    if (Status == StatusNoContent)
      return {};
    if (Status == StatusGone)
      return {std::nullopt, ResultCode::StoreHistoryGone, ""};
    if (Status != StatusOk)
      return {std::nullopt, ResultCode::PlatformRefused,
              fmt::format("status {}", Status)};
    return {std::move(Bytes), ResultCode::Ok, ""};
  }

  /// Runs the transfer until it completes, is cancelled or is late: the answer
  /// must begin by \p Deadline and end \p Transfer after it began.
  CURLcode perform(const Body &Received, TimeMs Deadline, DurationMs Transfer) {
    CURLM *Multi = Transfers.get();
    curl_multi_add_handle(Multi, Handle.get());
    bool Begun = false;
    int Running = 1;
    CURLcode Result = CURLE_ABORTED_BY_CALLBACK;
    while (!Cancelled) {
      curl_multi_perform(Multi, &Running);
      if (Running == 0)
        break;
      const TimeMs Now = Time.now();
      if (!Begun && Received.ReceivedBytes > 0) {
        Begun = true;
        Deadline = Now + Transfer;
      }
      if (Now >= Deadline) {
        Result = CURLE_OPERATION_TIMEDOUT;
        break;
      }
      const auto Left = static_cast<int>((Deadline - Now).Value);
      curl_multi_poll(Multi, nullptr, 0, std::min(Left, MaxPollMs), nullptr);
    }
    int QueuedMessages = 0;
    while (const CURLMsg *Message =
               curl_multi_info_read(Multi, &QueuedMessages))
      if (Message->msg == CURLMSG_DONE)
        Result = Message->data.result;
    curl_multi_remove_handle(Multi, Handle.get());
    return Result;
  }

  Endpoint Server;
  DurationMs Timeout;
  const Clock Time = Clock::monotonic();
  std::unique_ptr<CURLM, CurlMultiDeleter> Transfers;
  std::unique_ptr<CURL, CurlDeleter> Handle; ///< Destroyed before Transfers.
  std::atomic<bool> Cancelled = false;
};

HttpReader::HttpReader(Endpoint Server, DurationMs Timeout)
    : State(std::make_unique<Impl>(std::move(Server), Timeout)) {}

HttpReader::~HttpReader() = default;

PlatformRead<std::string>
HttpReader::get(const std::string &Path, DurationMs Wait, DurationMs Transfer) {
  return State->get(Path, Wait, Transfer);
}

std::optional<std::string> HttpReader::field(const std::string &Name) const {
  return State->field(Name);
}

void HttpReader::cancel() { State->cancel(); }

} // namespace fescuewood
