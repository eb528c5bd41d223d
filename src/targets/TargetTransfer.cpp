#include "targets/TargetTransfer.h"

#include "callers/HeaderFields.h"
#include "nodes/CallMessages.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

constexpr std::string_view VersionPrefix = "HTTP/";
constexpr std::string_view LineEnd = "\r\n";

/// Lower ones are interim answers.
constexpr int FirstFinalStatus = 200;
constexpr int FirstRedirect = 300;
constexpr int MisdirectedRequest = 421;

/// An idle connection is not used again after so long, since targets close
/// theirs: half of the shortest idle time that is usual, 10 s.
constexpr long MaxIdleSeconds = 5;

/// True for text that can stand in a request line or a field line.
bool printable(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), isFieldValueByte);
}

bool isFieldName(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenByte);
}

bool carriesBody(std::string_view Method) {
  return Method == "POST" || Method == "PUT" || Method == "PATCH";
}

} // namespace

TargetTransfer::TargetTransfer(const std::string &Base, TargetRequest Request,
                               const TargetClientOptions &Options,
                               TargetHook OnResult)
    : Base(Base), Request(std::move(Request)), Options(Options),
      OnResult(std::move(OnResult)), Begun(std::chrono::steady_clock::now()),
      Easy(curl_easy_init()) {
  const std::string *Id =
      findField(this->Request.Headers, Options.Scheme.RequestId);
  // Only targets that sign their answers are held to name the request.
  if (Id && !Options.Scheme.Signature.empty())
    RequestId = *Id;
}

bool TargetTransfer::prepare() {
  const bool TargetValid = Request.Target.starts_with('/') &&
                           printable(Request.Target) &&
                           Request.Target.find(' ') == std::string::npos;
  const bool MethodValid = !Request.Method.empty() &&
                           printable(Request.Method) &&
                           Request.Method.find(' ') == std::string::npos;
  if (!TargetValid || !MethodValid || !addFields())
    return false;
  CURL *Handle = Easy.get();
  curl_easy_setopt(Handle, CURLOPT_URL, Base.c_str());
  curl_easy_setopt(Handle, CURLOPT_REQUEST_TARGET, Request.Target.c_str());
  curl_easy_setopt(Handle, CURLOPT_PROXY, "");
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  setBody();
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, Fields.get());
  const std::int64_t Timeout = std::max<std::int64_t>(1, Request.Timeout.Value);
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS, static_cast<long>(Timeout));
  curl_easy_setopt(
      Handle, CURLOPT_CONNECTTIMEOUT_MS,
      static_cast<long>(std::min(Timeout, Options.ConnectTimeout.Value)));
  // libcurl sends a request again when a reused connection closes before the
  // first byte of the answer; on a fresh connection it cannot. onConnected
  // forbids that, but what became of the request is unknown then.
  const bool Fresh = !Request.Idempotent && Options.Scheme.Signature.empty();
  curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, Fresh ? 1L : 0L);
  curl_easy_setopt(Handle, CURLOPT_MAXAGE_CONN, MaxIdleSeconds);
  curl_easy_setopt(Handle, CURLOPT_PREREQFUNCTION, &onConnected);
  curl_easy_setopt(Handle, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, &onField);
  curl_easy_setopt(Handle, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, &onBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, this);
  return true;
}

bool TargetTransfer::addField(std::string_view Name, std::string_view Value) {
  if (Name.empty() || !printable(Name) || !printable(Value))
    return false;
  // libcurl takes "Name:" as an order to leave the field out.
  std::string Line(Name);
  if (Value.empty())
    Line += ";";
  else
    Line.append(": ").append(Value);
  curl_slist *Longer = curl_slist_append(Fields.get(), Line.c_str());
  if (!Longer)
    return false;
  static_cast<void>(Fields.release());
  Fields.reset(Longer);
  return true;
}

bool TargetTransfer::addFields() {
  removeHopByHopFields(Request.Headers);
  for (const Header &Field : Request.Headers)
    if (!addField(Field.Name, Field.Value))
      return false;
  // Fields that libcurl would add by itself are left out unless given.
  for (const char *Own : {"Accept", "Content-Type", "Expect"}) {
    if (findField(Request.Headers, Own))
      continue;
    const std::string Line = std::string(Own) + ":";
    curl_slist *Longer = curl_slist_append(Fields.get(), Line.c_str());
    static_cast<void>(Fields.release());
    Fields.reset(Longer);
  }
  return true;
}

void TargetTransfer::setBody() {
  CURL *Handle = Easy.get();
  if (Request.Method == "HEAD") {
    curl_easy_setopt(Handle, CURLOPT_NOBODY, 1L);
  } else if (!Request.Body.empty() || carriesBody(Request.Method)) {
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Request.Body.data());
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Request.Body.size()));
  }
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Request.Method.c_str());
}

ResultCode TargetTransfer::reasonFor(CURLcode Code) const {
  if (TooLarge)
    return ResultCode::TargetAnswerTooLarge;
  if (Foreign)
    return ResultCode::TargetAnswerForeign;
  switch (Code) {
  case CURLE_OK:
    return judge();
  case CURLE_OPERATION_TIMEDOUT:
    return Sent ? ResultCode::TargetTimeout : ResultCode::TargetUnreachable;
  case CURLE_UNSUPPORTED_PROTOCOL:
  case CURLE_WEIRD_SERVER_REPLY:
  case CURLE_BAD_CONTENT_ENCODING:
  case CURLE_WRITE_ERROR:
    return ResultCode::TargetAnswerMalformed;
  default:
    return Sent ? ResultCode::TargetConnectionLost
                : ResultCode::TargetUnreachable;
  }
}

/// What a whole answer is worth.
ResultCode TargetTransfer::judge() const {
  if (!framed())
    return ResultCode::TargetAnswerMalformed;
  if (saysMistaken())
    return ResultCode::TargetMistaken;
  if (saysNotRun())
    return ResultCode::TargetRefused;
  return proven() ? ResultCode::Ok : ResultCode::TargetAnswerUnproven;
}

bool TargetTransfer::saysNotRun() const {
  const std::string &NotRun = Options.Scheme.NotRun;
  return !NotRun.empty() && findField(Answer.Headers, NotRun);
}

bool TargetTransfer::saysMistaken() const {
  return !Options.Scheme.TargetInstance.empty() &&
         Answer.Status == MisdirectedRequest;
}

/// Whether a success bears the target's signature and the id of its request. A
/// coded body is not the one that was signed.
bool TargetTransfer::proven() const {
  const HeaderScheme &Scheme = Options.Scheme;
  const bool Success =
      Answer.Status >= FirstFinalStatus && Answer.Status < FirstRedirect;
  if (Scheme.Signature.empty() || RequestId.empty() || !Success)
    return true;
  return findField(Answer.Headers, Scheme.Signature) &&
         findField(Answer.Headers, Scheme.RequestId) &&
         !findField(Answer.Headers, "Content-Encoding");
}

Outcome TargetTransfer::outcome(ResultCode Reason) const {
  if (!Sent || Reason == ResultCode::TargetRefused ||
      Reason == ResultCode::TargetMistaken)
    return Outcome::NotRun;
  if (Reason == ResultCode::TargetAnswerForeign ||
      Reason == ResultCode::TargetAnswerUnproven)
    return Outcome::Unknown;
  // A final status line shows that the target took the request up.
  if (Reason == ResultCode::Ok || Answer.Status >= FirstFinalStatus)
    return Outcome::Ran;
  return Outcome::Unknown;
}

bool TargetTransfer::framed() const {
  // The end of an answer that only the end of its connection marks cannot be
  // told from a cut, so such an answer is not passed on as whole, unless the
  // target signs: then it resets the connection of an answer that is cut.
  if (!Options.Scheme.Signature.empty())
    return true;
  const int Status = Answer.Status;
  if (Request.Method == "HEAD" || Status == 204 || Status == 304)
    return true;
  return findField(Answer.Headers, "Content-Length") ||
         findField(Answer.Headers, "Transfer-Encoding");
}

void TargetTransfer::complete(ResultCode Reason) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  TargetResult Result;
  Result.Reason = Reason;
  Result.Ran = outcome(Reason);
  const auto Took = std::chrono::steady_clock::now() - Begun;
  Result.Took = DurationMs(duration_cast<milliseconds>(Took).count());
  if (Reason == ResultCode::Ok) {
    const std::string *Length = findField(Answer.Headers, "Content-Length");
    const std::string Named = Length ? *Length : "";
    removeHopByHopFields(Answer.Headers);
    // There is no body from which the length could be told later.
    if (Request.Method == "HEAD" && !Named.empty())
      Answer.Headers.push_back({"Content-Length", Named});
    Answer.Ran = Outcome::Ran;
    Result.Answer = std::move(Answer);
  }
  OnResult(std::move(Result));
}

bool TargetTransfer::takeFieldLine(std::string_view Line) {
  AnswerBytes += Line.size();
  TooLarge = AnswerBytes > Options.MaxAnswerBytes ||
             Answer.Headers.size() >= MaxHeaderFields ||
             Line.size() > MaxFieldBytes;
  if (TooLarge)
    return false;
  if (!Line.ends_with(LineEnd))
    return false;
  Line.remove_suffix(LineEnd.size());
  if (Line.empty()) {
    HeadEnded = true;
    return true;
  }
  if (Line.starts_with(VersionPrefix) && (HeadEnded || Answer.Status == 0)) {
    takeStatusLine();
    return true;
  }
  // Trailer fields come after the body; none of them is passed on.
  return HeadEnded || takeField(Line);
}

void TargetTransfer::takeStatusLine() {
  // An interim answer (1xx) may come before; only the last one counts.
  long Status = 0;
  curl_easy_getinfo(Easy.get(), CURLINFO_RESPONSE_CODE, &Status);
  Answer.Status = static_cast<int>(Status);
  Answer.Headers.clear();
  HeadEnded = false;
}

/// Refusing a field ends the transfer and its connection, on which more bytes
/// may come that would meet a later request.
bool TargetTransfer::takeField(std::string_view Line) {
  const std::size_t Colon = Line.find(':');
  const std::string_view Name = Line.substr(0, Colon);
  if (Colon == std::string_view::npos || !isFieldName(Name))
    return false;
  const std::string_view Value = trimmedFieldValue(Line.substr(Colon + 1));
  Answer.Headers.push_back({std::string(Name), std::string(Value)});
  const Header &Field = Answer.Headers.back();
  Foreign = !RequestId.empty() && Field.Value != RequestId &&
            sameFieldName(Field.Name, Options.Scheme.RequestId);
  return !Foreign && framingClear(Field);
}

/// Whether the newest field leaves one way only to tell the answer's end.
bool TargetTransfer::framingClear(const Header &Field) const {
  const bool Coding = sameFieldName(Field.Name, "Transfer-Encoding");
  if (!Coding && !sameFieldName(Field.Name, "Content-Length"))
    return true;
  if (Coding ? !sameFieldName(Field.Value, "chunked")
             : !numberField(Answer.Headers, Field.Name))
    return false;
  const auto Framing = [](const Header &Each) {
    return sameFieldName(Each.Name, "Content-Length") ||
           sameFieldName(Each.Name, "Transfer-Encoding");
  };
  return std::count_if(Answer.Headers.begin(), Answer.Headers.end(), Framing) ==
         1;
}

bool TargetTransfer::takeBody(std::string_view Bytes) {
  AnswerBytes += Bytes.size();
  TooLarge = AnswerBytes > Options.MaxAnswerBytes;
  if (TooLarge)
    return false;
  Answer.Body.append(Bytes);
  return true;
}

std::size_t TargetTransfer::onField(char *Data, std::size_t Size,
                                    std::size_t Count, void *User) {
  auto *Self = static_cast<TargetTransfer *>(User);
  return Self->takeFieldLine({Data, Size * Count}) ? Size * Count : 0;
}

std::size_t TargetTransfer::onBody(char *Data, std::size_t Size,
                                   std::size_t Count, void *User) {
  auto *Self = static_cast<TargetTransfer *>(User);
  return Self->takeBody({Data, Size * Count}) ? Size * Count : 0;
}

int TargetTransfer::onConnected(void *User, char *, char *, int, int) {
  auto *Self = static_cast<TargetTransfer *>(User);
  // A second call means that libcurl is about to send the request again.
  if (Self->Sent)
    return CURL_PREREQFUNC_ABORT;
  Self->Sent = true;
  return CURL_PREREQFUNC_OK;
}

} // namespace fescuewood
