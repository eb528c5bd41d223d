#include "targets/TargetTransfer.h"

#include "callers/HeaderFields.h"
#include "nodes/CallMessages.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

constexpr int FirstRedirect = 300;
constexpr int MisdirectedRequest = 421;

/// Idle connections are not reused after this time, because targets close
/// them: half of 10 s, the shortest common idle timeout.
constexpr long MaxIdleSeconds = 5;

bool usuallyHasBody(std::string_view Method) {
  return Method == "POST" || Method == "PUT" || Method == "PATCH";
}

} // namespace

TargetTransfer::TargetTransfer(const std::string &BaseUrl,
                               TargetRequest Request,
                               const TargetClientOptions &Options,
                               StreamShare Share, TargetHook OnResult)
    : BaseUrl(BaseUrl), Request(std::move(Request)), Options(Options),
      OnResult(std::move(OnResult)),
      StartTime(std::chrono::steady_clock::now()), Easy(curl_easy_init()),
      Share(std::move(Share)) {
  const std::string *Id =
      findField(this->Request.Headers, Options.Scheme.RequestId);
  // Only targets that sign their answers must echo the request ID.
  if (Id && !Options.Scheme.Signature.empty())
    RequestId = *Id;
}

bool TargetTransfer::prepare() {
  const bool TargetValid = Request.Target.starts_with('/') &&
                           isFieldValue(Request.Target) &&
                           Request.Target.find(' ') == std::string::npos;
  const bool MethodValid = !Request.Method.empty() &&
                           isFieldValue(Request.Method) &&
                           Request.Method.find(' ') == std::string::npos;
  if (!TargetValid || !MethodValid || !addFields())
    return false;
  CURL *Handle = Easy.get();
  curl_easy_setopt(Handle, CURLOPT_URL, BaseUrl.c_str());
  curl_easy_setopt(Handle, CURLOPT_REQUEST_TARGET, Request.Target.c_str());
  curl_easy_setopt(Handle, CURLOPT_PROXY, "");
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  setBody();
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, Fields.get());
  setTimeouts();
  // libcurl resends a request when a reused connection closes before the first
  // byte of the answer, but never on a new connection. onConnected prevents the
  // resend, but then it is unknown whether the request ran.
  const bool NewConnection =
      !Request.Idempotent && Options.Scheme.Signature.empty();
  curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, NewConnection ? 1L : 0L);
  curl_easy_setopt(Handle, CURLOPT_MAXAGE_CONN, MaxIdleSeconds);
  curl_easy_setopt(Handle, CURLOPT_PREREQFUNCTION, &onConnected);
  curl_easy_setopt(Handle, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, &onFieldData);
  curl_easy_setopt(Handle, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, &onBodyData);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(Handle, CURLOPT_DEBUGFUNCTION, &onRawData);
  curl_easy_setopt(Handle, CURLOPT_DEBUGDATA, this);
  curl_easy_setopt(Handle, CURLOPT_XFERINFOFUNCTION, &onProgress);
  curl_easy_setopt(Handle, CURLOPT_XFERINFODATA, this);
  return true;
}

void TargetTransfer::setTimeouts() {
  const std::int64_t Timeout = std::max<std::int64_t>(1, timeLeft().Value);
  curl_easy_setopt(Easy.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(Timeout));
  curl_easy_setopt(
      Easy.get(), CURLOPT_CONNECTTIMEOUT_MS,
      static_cast<long>(std::min(Timeout, Options.ConnectTimeout.Value)));
}

/// Time since the request was started.
DurationMs TargetTransfer::elapsed() const {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const auto Elapsed = std::chrono::steady_clock::now() - StartTime;
  return DurationMs(duration_cast<milliseconds>(Elapsed).count());
}

void TargetTransfer::useNewConnection() {
  UsesNewConnection = true;
  curl_easy_setopt(Easy.get(), CURLOPT_FRESH_CONNECT, 1L);
  setTimeouts();
}

bool TargetTransfer::addField(std::string_view Name, std::string_view Value) {
  if (Name.empty() || !isFieldValue(Name) || !isFieldValue(Value))
    return false;
  // libcurl omits a field given as "Name:"; "Name;" sends it empty.
  std::string Line(Name);
  if (Value.empty())
    Line += ";";
  else
    Line.append(": ").append(Value);
  return addLine(Line);
}

/// Appends behind the last line, since libcurl walks the list from the line
/// that it is given; from the first one, long lists would take quadratic time.
bool TargetTransfer::addLine(const std::string &Line) {
  curl_slist *Appended = curl_slist_append(LastField, Line.c_str());
  if (!Appended)
    return false;
  if (!Fields)
    Fields.reset(Appended);
  LastField = LastField ? LastField->next : Appended;
  return true;
}

bool TargetTransfer::addFields() {
  removeHopByHopFields(Request.Headers);
  for (const Header &Field : Request.Headers)
    if (!addField(Field.Name, Field.Value))
      return false;
  // Suppresses fields that libcurl adds by default, unless they are given.
  for (const char *DefaultField : {"Accept", "Content-Type", "Expect"}) {
    if (findField(Request.Headers, DefaultField))
      continue;
    if (!addLine(std::string(DefaultField) + ":"))
      return false;
  }
  return true;
}

void TargetTransfer::setBody() {
  CURL *Handle = Easy.get();
  if (Request.Method == "HEAD") {
    curl_easy_setopt(Handle, CURLOPT_NOBODY, 1L);
  } else if (!Request.Body.empty() || usuallyHasBody(Request.Method)) {
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Request.Body.data());
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Request.Body.size()));
  }
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Request.Method.c_str());
}

ResultCode TargetTransfer::reasonFor(CURLcode Code) const {
  if (FramingTooLarge || (AnswerTooLarge && isMostlyFraming()))
    return ResultCode::TargetAnswerMalformed;
  if (AnswerTooLarge)
    return ResultCode::TargetAnswerTooLarge;
  if (HasForeignId)
    return ResultCode::TargetAnswerForeign;
  if (LacksId)
    return ResultCode::TargetAnswerUnproven;
  switch (Code) {
  case CURLE_OK:
    return validateAnswer();
  case CURLE_OUT_OF_MEMORY: // Also libcurl's code for a line above its limit.
    return RequestSent ? ResultCode::TargetAnswerMalformed
                       : ResultCode::TargetUnreachable;
  case CURLE_OPERATION_TIMEDOUT:
    return RequestSent ? ResultCode::TargetTimeout
                       : ResultCode::TargetUnreachable;
  case CURLE_UNSUPPORTED_PROTOCOL:
  case CURLE_WEIRD_SERVER_REPLY:
  case CURLE_BAD_CONTENT_ENCODING:
  case CURLE_WRITE_ERROR:
    return ResultCode::TargetAnswerMalformed;
  default:
    return RequestSent ? ResultCode::TargetConnectionLost
                       : ResultCode::TargetUnreachable;
  }
}

/// Whether most of a chunked body is not content. Such an answer is no larger
/// on another target.
bool TargetTransfer::isMostlyFraming() const {
  return CountsRawBody && Answer.Body.size() < AnswerBytes / 2;
}

/// Validates a complete answer.
ResultCode TargetTransfer::validateAnswer() const {
  // libcurl reports success when the connection ends within a head.
  if (!HeadComplete || Answer.Status < FirstFinalStatus)
    return ResultCode::TargetConnectionLost;
  if (!isFramed())
    return ResultCode::TargetAnswerMalformed;
  if (isMisdirectedAnswer())
    return ResultCode::TargetMistaken;
  if (isNotRunAnswer())
    return ResultCode::TargetRefused;
  return isProven() ? ResultCode::Ok : ResultCode::TargetAnswerUnproven;
}

/// Whether the answer names its request, if it must: one that does not may
/// belong to another request. One that names another is rejected on arrival.
bool TargetTransfer::namesRequest() const {
  return RequestId.empty() ||
         findField(Answer.Headers, Options.Scheme.RequestId);
}

/// Whether the request was sent on a connection that had been used before.
bool TargetTransfer::isReused() const {
  long NewConnections = 0;
  curl_easy_getinfo(Easy.get(), CURLINFO_NUM_CONNECTS, &NewConnections);
  return NewConnections == 0;
}

bool TargetTransfer::isNotRunAnswer() const {
  const std::string &NotRun = Options.Scheme.NotRun;
  return !NotRun.empty() && findField(Answer.Headers, NotRun);
}

bool TargetTransfer::isMisdirectedAnswer() const {
  return !Options.Scheme.TargetInstance.empty() &&
         Answer.Status == MisdirectedRequest;
}

/// Whether a successful answer has a signature and the ID of its request. An
/// encoded body differs from the signed one and is rejected.
bool TargetTransfer::isProven() const {
  const HeaderScheme &Scheme = Options.Scheme;
  const bool Success =
      Answer.Status >= FirstFinalStatus && Answer.Status < FirstRedirect;
  if (Scheme.Signature.empty() || RequestId.empty() || !Success)
    return true;
  return findField(Answer.Headers, Scheme.Signature) && namesRequest() &&
         !findField(Answer.Headers, "Content-Encoding");
}

Outcome TargetTransfer::outcome(ResultCode Reason) const {
  if (!RequestSent || Reason == ResultCode::TargetRefused ||
      Reason == ResultCode::TargetMistaken)
    return Outcome::NotRun;
  if (Reason == ResultCode::TargetAnswerForeign ||
      Reason == ResultCode::TargetAnswerUnproven)
    return Outcome::Unknown;
  // A final status line shows that the target started to run the request.
  if (Reason == ResultCode::Ok || Answer.Status >= FirstFinalStatus)
    return Outcome::Ran;
  return Outcome::Unknown;
}

std::optional<TargetNotice> TargetTransfer::notice(ResultCode Reason) const {
  const HeaderScheme &Scheme = Options.Scheme;
  const bool IsOwnAnswer =
      Reason == ResultCode::Ok || Reason == ResultCode::TargetRefused;
  if (Scheme.RateLimit.empty() || !IsOwnAnswer || !namesRequest())
    return std::nullopt;
  TargetNotice Notice;
  Notice.RequestsPerSecond =
      parseDecimalField(Answer.Headers, Scheme.RateLimit);
  Notice.LimitUnreadable =
      !Notice.RequestsPerSecond && findField(Answer.Headers, Scheme.RateLimit);
  Notice.Leaving =
      parseNumberField(Answer.Headers, Scheme.Leaving).value_or(0) > 0;
  return Notice;
}

bool TargetTransfer::isFramed() const {
  // If an answer is delimited only by the end of the connection, truncation
  // cannot be detected, so the answer is rejected. Targets that sign their
  // answers are exempt: they reset the connection of a truncated answer.
  if (!Options.Scheme.Signature.empty())
    return true;
  const int Status = Answer.Status;
  if (Request.Method == "HEAD" || Status == 204 || Status == 304)
    return true;
  return findField(Answer.Headers, "Content-Length") ||
         findField(Answer.Headers, "Transfer-Encoding");
}

void TargetTransfer::complete(ResultCode Reason) {
  TargetResult Result;
  Result.Reason = Reason;
  Result.RunOutcome = outcome(Reason);
  Result.Notice = notice(Reason);
  Result.Use = Use;
  Result.Duration = elapsed();
  if (Reason == ResultCode::Ok) {
    const std::string *Length = findField(Answer.Headers, "Content-Length");
    const std::string DeclaredLength = Length ? *Length : "";
    removeHopByHopFields(Answer.Headers);
    // The length cannot be derived from the body, which is absent.
    if (Request.Method == "HEAD" && !DeclaredLength.empty())
      Answer.Headers.push_back({"Content-Length", DeclaredLength});
    Answer.RequestOutcome = Outcome::Ran;
    Result.Answer = std::move(Answer);
  }
  OnResult(std::move(Result));
}

std::size_t TargetTransfer::onFieldData(char *Data, std::size_t Size,
                                        std::size_t Count, void *UserData) {
  auto *Transfer = static_cast<TargetTransfer *>(UserData);
  return Transfer->onFieldLine({Data, Size * Count}) ? Size * Count : 0;
}

std::size_t TargetTransfer::onBodyData(char *Data, std::size_t Size,
                                       std::size_t Count, void *UserData) {
  auto *Transfer = static_cast<TargetTransfer *>(UserData);
  return Transfer->appendBody({Data, Size * Count});
}

int TargetTransfer::onRawData(CURL *, curl_infotype Type, char *,
                              std::size_t Size, void *UserData) {
  auto *Transfer = static_cast<TargetTransfer *>(UserData);
  if (Type == CURLINFO_DATA_IN)
    Transfer->countBytes(Size);
  return 0;
}

int TargetTransfer::onProgress(void *UserData, curl_off_t, curl_off_t,
                               curl_off_t, curl_off_t) {
  const auto *Transfer = static_cast<const TargetTransfer *>(UserData);
  constexpr int Continue = 0;
  constexpr int Abort = 1;
  return Transfer->AnswerTooLarge ? Abort : Continue;
}

/// Whether the request may be sent on a connection. From here on it counts as
/// sent there.
bool TargetTransfer::acceptsConnection(int LocalPort) {
  std::optional<std::string_view> Id;
  if (!Options.Scheme.Signature.empty())
    Id = RequestId;
  const auto Place = OnConnection(LocalPort, Id);
  ConnectionRejected = !Place;
  if (ConnectionRejected)
    return false;
  Use = {LocalPort, *Place};
  RequestSent = true;
  if (*Place >= Options.MaxConnectionRequests)
    curl_easy_setopt(Easy.get(), CURLOPT_FORBID_REUSE, 1L);
  return true;
}

int TargetTransfer::onConnected(void *UserData, char *, char *, int,
                                int LocalPort) {
  auto *Transfer = static_cast<TargetTransfer *>(UserData);
  // A second call means that libcurl is about to resend the request.
  if (Transfer->RequestSent)
    return CURL_PREREQFUNC_ABORT;
  return Transfer->acceptsConnection(LocalPort) ? CURL_PREREQFUNC_OK
                                                : CURL_PREREQFUNC_ABORT;
}

} // namespace fescuewood
