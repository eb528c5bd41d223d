/// \file
/// A libcurl transfer for one request to a target.
///
/// \ref TargetClient prepares a transfer, drives its handle and completes it
/// exactly once. Internal to the package.

#ifndef FESCUEWOOD_TARGETS_TARGETTRANSFER_H
#define FESCUEWOOD_TARGETS_TARGETTRANSFER_H

#include "policy/StreamBudget.h"
#include "targets/TargetClient.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include <curl/curl.h>

namespace fescuewood {

/// Lower status codes denote interim answers.
inline constexpr int FirstFinalStatus = 200;

/// Returns the place of a request on a connection, or std::nullopt to reject
/// the connection; see TargetConnections::onRequest.
using ConnectionHook = std::function<std::optional<std::uint32_t>(
    int LocalPort, std::optional<std::string_view> Id)>;

/// A request with its partial answer and transmission state.
class TargetTransfer {
public:
  /// \param BaseUrl URL of the target; must outlive the transfer.
  /// \param Options must outlive the transfer.
  /// \param Share memory for the answer, if it is large.
  TargetTransfer(const std::string &BaseUrl, TargetRequest Request,
                 const TargetClientOptions &Options, StreamShare Share,
                 TargetHook OnResult);

  /// Sets the hook that is called when a paused transfer may be resumed. It may
  /// be called within the callbacks of other transfers.
  void setMemoryHook(std::function<void()> Hook) { OnMemory = std::move(Hook); }

  /// Sets the hook that is called before the request is sent.
  void setConnectionHook(ConnectionHook Hook) {
    OnConnection = std::move(Hook);
  }

  /// Continues to receive the answer. Not to be called within a callback of
  /// libcurl. Returns what ended the transfer, or CURLE_OK.
  CURLcode resume();

  /// Configures the libcurl handle. Returns false when the request cannot be
  /// expressed in HTTP, for example because a field contains a line break.
  bool prepare();

  /// Whether the transfer ended before its request was sent, because its
  /// connection must not carry it.
  bool needsNewConnection() const {
    return ConnectionRejected && !UsesNewConnection;
  }

  /// Whether the request has not been sent.
  bool waitsForConnection() const { return !RequestSent; }

  /// Time until the request's timeout; negative after it.
  DurationMs timeLeft() const { return Request.Timeout - elapsed(); }

  /// Prepares such a transfer for another start, on a new connection.
  void useNewConnection();

  CURL *handle() const { return Easy.get(); }

  /// Bytes of the answer that have been received.
  std::size_t receivedBytes() const { return AnswerBytes; }

  /// Local port of the transfer's connection; 0 until it is connected.
  int localPort() const { return Use.LocalPort; }

  /// Maps the libcurl code of a finished transfer to a result code; Ok for a
  /// complete and valid answer.
  ResultCode reasonFor(CURLcode Code) const;

  /// Calls the hook, passing the answer if \p Reason is Ok.
  void complete(ResultCode Reason);

private:
  struct EasyDeleter {
    void operator()(CURL *Handle) const { curl_easy_cleanup(Handle); }
  };
  struct ListDeleter {
    void operator()(curl_slist *List) const { curl_slist_free_all(List); }
  };

  void setTimeouts();
  DurationMs elapsed() const;
  bool addField(std::string_view Name, std::string_view Value);
  bool addLine(const std::string &Line);
  bool addFields();
  void setBody();
  Outcome outcome(ResultCode Reason) const;
  std::optional<TargetNotice> notice(ResultCode Reason) const;
  bool isFramed() const;
  bool isMostlyFraming() const;
  ResultCode validateAnswer() const;
  bool namesRequest() const;
  bool isReused() const;
  bool isNotRunAnswer() const;
  bool isMisdirectedAnswer() const;
  bool isProven() const;

  bool acceptsConnection(int LocalPort);
  bool onFieldLine(std::string_view Line);
  bool acceptsHead();
  bool onStatusLine(std::string_view Line);
  bool addAnswerField(std::string_view Line);
  bool hasUnambiguousFraming(const Header &Field) const;
  void reserveBody();
  bool countBytes(std::size_t Bytes);
  void countChunkedBody();
  std::size_t appendBody(std::string_view Bytes);
  bool hasMemoryFor(std::size_t Bytes);
  bool exceedsLimit() const;
  static std::size_t onFieldData(char *Data, std::size_t Size,
                                 std::size_t Count, void *UserData);
  static std::size_t onBodyData(char *Data, std::size_t Size, std::size_t Count,
                                void *UserData);
  static int onRawData(CURL *, curl_infotype Type, char *, std::size_t Size,
                       void *UserData);
  static int onProgress(void *UserData, curl_off_t, curl_off_t, curl_off_t,
                        curl_off_t);
  static int onConnected(void *UserData, char *, char *, int, int LocalPort);

  const std::string &BaseUrl;
  TargetRequest Request;
  const TargetClientOptions &Options;
  TargetHook OnResult;
  const std::chrono::steady_clock::time_point StartTime;
  std::unique_ptr<CURL, EasyDeleter> Easy;
  std::unique_ptr<curl_slist, ListDeleter> Fields;
  curl_slist *LastField = nullptr; ///< Of \ref Fields.
  StreamShare Share;
  std::function<void()> OnMemory;
  ConnectionHook OnConnection;
  CallAnswer Answer;
  std::size_t AnswerBytes = 0;
  ConnectionUse Use;
  std::size_t Lines = 0;      ///< Of all heads and the trailer.
  std::size_t LineBytes = 0;  ///< Of all heads and the trailer.
  bool HeadComplete = false;  ///< Further field lines are trailer fields.
  bool CountsRawBody = false; ///< The body counts as it was sent, in chunks.
  bool ConnectionRejected = false; ///< By the hook, for this request.
  bool UsesNewConnection = false;  ///< See \ref useNewConnection.
  bool RequestSent = false;        ///< Part of the request may have been sent.
  bool AnswerTooLarge = false;     ///< The answer exceeds a limit.
  bool FramingTooLarge = false;    ///< Heads and trailer exceed a limit.
  bool HasForeignId = false;       ///< The answer has another request's ID.
  bool LacksId = false;  ///< It must have its request's ID, but has none.
  std::string RequestId; ///< ID that the answer must echo; empty: any.
};

} // namespace fescuewood

#endif // FESCUEWOOD_TARGETS_TARGETTRANSFER_H
