#include "callers/RequestLines.h"

#include "callers/HeaderFields.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

constexpr unsigned char CarriageReturn = '\r';
constexpr unsigned char LineFeedByte = '\n';

/// Number of spaces in a request line: before and after the target.
constexpr unsigned RequestLineSpaces = 2;

/// Chunk sizes from this value on cannot take another hexadecimal digit
/// without overflow.
constexpr std::uint64_t ChunkSizeLimit = std::uint64_t(1) << 56;

bool isBlank(unsigned char Byte) { return Byte == ' ' || Byte == '\t'; }

std::optional<unsigned> hexDigit(unsigned char Byte) {
  if (Byte >= '0' && Byte <= '9')
    return Byte - '0';
  if (Byte >= 'a' && Byte <= 'f')
    return Byte - 'a' + 10U;
  if (Byte >= 'A' && Byte <= 'F')
    return Byte - 'A' + 10U;
  return std::nullopt;
}

} // namespace

std::string_view RequestLines::consumePart(std::string_view Bytes) {
  if (CurrentState == State::Body || CurrentState == State::ChunkData) {
    const std::string_view Part =
        Bytes.substr(0, std::min<std::uint64_t>(RemainingBytes, Bytes.size()));
    RemainingBytes -= Part.size();
    if (RemainingBytes == 0 && CurrentState == State::Body)
      startRequest();
    else if (RemainingBytes == 0)
      CurrentState = State::ChunkDataReturn;
    return Part;
  }
  std::size_t Consumed = 0;
  while (Consumed < Bytes.size()) {
    const bool PartEnds = consume(static_cast<unsigned char>(Bytes[Consumed]));
    if (!valid())
      break;
    ++Consumed;
    if (PartEnds)
      break;
  }
  return Bytes.substr(0, Consumed);
}

void RequestLines::expectBody(std::uint64_t Length) {
  if (Length == 0)
    return startRequest();
  RemainingBytes = Length;
  CurrentState = State::Body;
}

void RequestLines::expectChunks() {
  ParsedChunkSize.reset();
  CurrentState = State::ChunkSize;
}

void RequestLines::startRequest() {
  CurrentState = State::LineStart;
  FirstLine = true;
  InTrailer = false;
}

bool RequestLines::consume(unsigned char Byte) {
  switch (CurrentState) {
  case State::LineStart:
    consumeLineStart(Byte);
    return false;
  case State::RequestLine:
    consumeRequestLine(Byte);
    return false;
  case State::FieldName:
    consumeFieldName(Byte);
    return false;
  case State::FieldValue:
    consumeText(Byte, State::LineFeed);
    return false;
  case State::LineFeed:
    expectByte(Byte, LineFeedByte, State::LineStart);
    return false;
  case State::EmptyLineFeed:
    return consumeEmptyLineFeed(Byte);
  case State::ChunkSize:
    consumeChunkSize(Byte);
    return false;
  case State::ChunkBlank:
    consumeChunkBlank(Byte);
    return false;
  case State::ChunkExtension:
    consumeText(Byte, State::ChunkLineFeed);
    return false;
  case State::ChunkLineFeed:
    return consumeChunkLineFeed(Byte);
  case State::ChunkDataReturn:
    expectByte(Byte, CarriageReturn, State::ChunkDataFeed);
    return false;
  case State::ChunkDataFeed:
    expectByte(Byte, LineFeedByte, State::ChunkSize);
    return false;
  // The remaining states do not consume single bytes.
  case State::HeadComplete:
  case State::Body:
  case State::ChunkData:
  case State::Invalid:
    break;
  }
  CurrentState = State::Invalid;
  return false;
}

void RequestLines::expectByte(unsigned char Byte, unsigned char Expected,
                              State Next) {
  CurrentState = Byte == Expected ? Next : State::Invalid;
}

void RequestLines::consumeLineStart(unsigned char Byte) {
  if (Byte == CarriageReturn) {
    CurrentState = State::EmptyLineFeed;
    return;
  }
  if (std::exchange(FirstLine, false)) {
    SpaceCount = 0;
    PreviousByte = ' ';
    CurrentState = State::RequestLine;
    consumeRequestLine(Byte);
    return;
  }
  // Rejects obsolete line folding (a leading space) and empty field names (a
  // leading colon).
  CurrentState = isTokenByte(Byte) ? State::FieldName : State::Invalid;
}

/// Parts of a request line are separated by exactly one space.
void RequestLines::consumeRequestLine(unsigned char Byte) {
  const unsigned char Previous = std::exchange(PreviousByte, Byte);
  if (Byte == CarriageReturn) {
    const bool IsComplete = SpaceCount == RequestLineSpaces && Previous != ' ';
    CurrentState = IsComplete ? State::LineFeed : State::Invalid;
    return;
  }
  const bool IsSeparator =
      Byte == ' ' && Previous != ' ' && ++SpaceCount <= RequestLineSpaces;
  const bool IsWordByte = Byte > ' ' && Byte != 0x7f;
  if (!IsSeparator && !IsWordByte)
    CurrentState = State::Invalid;
}

void RequestLines::consumeFieldName(unsigned char Byte) {
  if (Byte == ':')
    CurrentState = State::FieldValue;
  else if (!isTokenByte(Byte))
    CurrentState = State::Invalid;
}

void RequestLines::consumeText(unsigned char Byte, State AfterReturn) {
  if (Byte == CarriageReturn)
    CurrentState = AfterReturn;
  else if (!isFieldValueByte(Byte))
    CurrentState = State::Invalid;
}

bool RequestLines::consumeEmptyLineFeed(unsigned char Byte) {
  // Empty lines before a request line are ignored (RFC 9112, section 2.2).
  expectByte(Byte, LineFeedByte,
             FirstLine ? State::LineStart : State::HeadComplete);
  if (CurrentState != State::HeadComplete)
    return false;
  if (InTrailer)
    startRequest();
  return true;
}

void RequestLines::consumeChunkSize(unsigned char Byte) {
  if (const auto Digit = hexDigit(Byte)) {
    if (ParsedChunkSize.value_or(0) >= ChunkSizeLimit)
      CurrentState = State::Invalid;
    ParsedChunkSize = ParsedChunkSize.value_or(0) * 16 + *Digit;
  } else if (!ParsedChunkSize) {
    CurrentState = State::Invalid;
  } else {
    consumeChunkBlank(Byte);
  }
}

void RequestLines::consumeChunkBlank(unsigned char Byte) {
  if (Byte == ';')
    CurrentState = State::ChunkExtension;
  else if (isBlank(Byte))
    CurrentState = State::ChunkBlank;
  else if (Byte == CarriageReturn && CurrentState == State::ChunkSize)
    CurrentState = State::ChunkLineFeed;
  else
    CurrentState = State::Invalid;
}

bool RequestLines::consumeChunkLineFeed(unsigned char Byte) {
  expectByte(Byte, LineFeedByte, State::ChunkData);
  if (!valid())
    return false;
  RemainingBytes = ParsedChunkSize.value_or(0);
  ParsedChunkSize.reset();
  if (RemainingBytes == 0) {
    InTrailer = true;
    CurrentState = State::LineStart;
  }
  return true;
}

} // namespace fescuewood
