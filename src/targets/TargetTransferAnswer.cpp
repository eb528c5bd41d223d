// Receiving of the answer in TargetTransfer: its lines, its body and their
// limits. TargetTransfer.cpp has the rest of the class.

#include "targets/TargetTransfer.h"

#include "callers/HeaderFields.h"
#include "nodes/CallMessages.h"
#include "policy/AnswerMemory.h"
#include "targets/StatusLine.h"

#include <algorithm>

namespace fescuewood {

namespace {

constexpr std::string_view LineEnd = "\r\n";

/// Limits on all lines of an answer's heads and trailer, which libcurl stores
/// until the answer ends. Above 300 kB it ends a transfer without saying why.
constexpr std::size_t MaxLines = 4 * MaxAnswerFields;
constexpr std::size_t MaxLineBytes = 256 * 1024;

/// Bytes of a large answer that memory is reserved for at a time.
constexpr std::size_t ReservationBytes = 256 * 1024;

bool isFieldName(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenByte);
}

} // namespace

bool TargetTransfer::onFieldLine(std::string_view Line) {
  if (!CountsRawBody && !countBytes(Line.size()))
    return false;
  ++Lines;
  LineBytes += Line.size();
  FramingTooLarge = Lines > MaxLines || LineBytes > MaxLineBytes;
  AnswerTooLarge = AnswerTooLarge || Answer.Headers.size() >= MaxAnswerFields ||
                   Line.size() > MaxFieldBytes;
  if (FramingTooLarge || AnswerTooLarge)
    return false;
  if (!Line.ends_with(LineEnd))
    return false;
  Line.remove_suffix(LineEnd.size());
  if (Line.empty()) {
    HeadComplete = true;
    return acceptsHead();
  }
  const bool HeadExpected =
      Answer.Status == 0 || (HeadComplete && Answer.Status < FirstFinalStatus);
  if (HeadExpected)
    return onStatusLine(Line);
  // Trailer fields, which follow the body, are dropped.
  return HeadComplete || addAnswerField(Line);
}

/// Whether the head that has ended may begin the answer. On a connection that
/// was used before, a final answer that names no request may be a late copy of
/// an earlier one, such as that to a probe. Rejecting it closes the connection,
/// so that the answer behind it is not read as that to a later request.
bool TargetTransfer::acceptsHead() {
  if (Answer.Status < FirstFinalStatus)
    return true;
  LacksId = isReused() && !namesRequest();
  AnswerTooLarge = exceedsLimit();
  countChunkedBody();
  return !LacksId && !AnswerTooLarge;
}

/// Begins a head; that of a preceding interim answer (1xx) is discarded.
bool TargetTransfer::onStatusLine(std::string_view Line) {
  const std::optional<int> Status = parseStatusLine(Line);
  if (!Status)
    return false;
  Answer.Status = *Status;
  Answer.Headers.clear();
  HeadComplete = false;
  return true;
}

/// Adds a field to the answer. Rejecting a field aborts the transfer and closes
/// its connection, so that remaining bytes cannot be read as the answer to a
/// later request.
bool TargetTransfer::addAnswerField(std::string_view Line) {
  const std::size_t Colon = Line.find(':');
  const std::string_view Name = Line.substr(0, Colon);
  if (Colon == std::string_view::npos || !isFieldName(Name))
    return false;
  const std::string_view Value = trimmedFieldValue(Line.substr(Colon + 1));
  if (!isFieldValue(Value) || containsStatusLine(Value))
    return false;
  Answer.Headers.push_back({std::string(Name), std::string(Value)});
  const Header &Field = Answer.Headers.back();
  // The answer to a probe has no ID: one that has is foreign to it.
  HasForeignId = !Options.Scheme.Signature.empty() &&
                 Field.Value != RequestId &&
                 isSameFieldName(Field.Name, Options.Scheme.RequestId);
  return !HasForeignId && hasUnambiguousFraming(Field);
}

/// Whether the length of the answer is unambiguous after adding \p Field.
bool TargetTransfer::hasUnambiguousFraming(const Header &Field) const {
  const bool IsTransferCoding =
      isSameFieldName(Field.Name, "Transfer-Encoding");
  if (!IsTransferCoding && !isSameFieldName(Field.Name, "Content-Length"))
    return true;
  if (IsTransferCoding ? !isSameFieldName(Field.Value, "chunked")
                       : !parseNumberField(Answer.Headers, Field.Name))
    return false;
  const auto IsFramingField = [](const Header &Other) {
    return isSameFieldName(Other.Name, "Content-Length") ||
           isSameFieldName(Other.Name, "Transfer-Encoding");
  };
  return std::count_if(Answer.Headers.begin(), Answer.Headers.end(),
                       IsFramingField) == 1;
}

/// Whether the declared length of the body exceeds the limit.
bool TargetTransfer::exceedsLimit() const {
  const auto Length = parseNumberField(Answer.Headers, "Content-Length");
  return Request.Method != "HEAD" && Length && *Length > Options.MaxAnswerBytes;
}

/// Reserves the declared length, since growth in steps would copy a large body
/// several times.
void TargetTransfer::reserveBody() {
  const auto Length = parseNumberField(Answer.Headers, "Content-Length");
  if (Length && *Length <= Options.MaxAnswerBytes)
    Answer.Body.reserve(*Length);
}

bool TargetTransfer::countBytes(std::size_t Bytes) {
  AnswerBytes += Bytes;
  AnswerTooLarge = AnswerTooLarge || AnswerBytes > Options.MaxAnswerBytes;
  return !AnswerTooLarge;
}

/// Counts a chunked body as it was sent: libcurl discards chunk extensions,
/// which a target may send without end. Its debug function receives all bytes,
/// but cannot abort the transfer; the progress function can.
void TargetTransfer::countChunkedBody() {
  if (CountsRawBody || !findField(Answer.Headers, "Transfer-Encoding"))
    return;
  CountsRawBody = true;
  curl_easy_setopt(Easy.get(), CURLOPT_VERBOSE, 1L);
  curl_easy_setopt(Easy.get(), CURLOPT_NOPROGRESS, 0L);
}

/// Returns the number of bytes taken, as libcurl expects it: all, none to end
/// the transfer, or CURL_WRITEFUNC_PAUSE to get the same bytes later.
std::size_t TargetTransfer::appendBody(std::string_view Bytes) {
  constexpr std::size_t End = 0;
  if (AnswerTooLarge)
    return End;
  if (!hasMemoryFor(Bytes.size()))
    return CURL_WRITEFUNC_PAUSE;
  if (!CountsRawBody && !countBytes(Bytes.size()))
    return End;
  if (Answer.Body.empty())
    reserveBody();
  Answer.Body.append(Bytes);
  return Bytes.size();
}

/// Reserves memory for a large answer in steps. Returns false if the transfer
/// has to wait for it.
bool TargetTransfer::hasMemoryFor(std::size_t Bytes) {
  const std::size_t Needed = Answer.Body.size() + Bytes;
  if (Needed <= LargeAnswerBytes || Needed <= Share.bytes())
    return true;
  const std::size_t Step = std::max(Needed - Share.bytes(), ReservationBytes);
  return Share.reserve(Step, [this] { OnMemory(); });
}

CURLcode TargetTransfer::resume() {
  return curl_easy_pause(Easy.get(), CURLPAUSE_CONT);
}

} // namespace fescuewood
