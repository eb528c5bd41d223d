#include "callers/RequestLines.h"

#include "callers/HeaderFields.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

constexpr unsigned char Return = '\r';
constexpr unsigned char Feed = '\n';

/// Number of spaces in a request line: before and after the target.
constexpr unsigned RequestLineBlanks = 2;

/// Chunk sizes from this value on cannot take another hexadecimal digit
/// without overflow.
constexpr std::uint64_t LargestChunk = std::uint64_t(1) << 56;

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

std::string_view RequestLines::takePart(std::string_view Bytes) {
  if (At == State::Body || At == State::ChunkData) {
    const std::string_view Part =
        Bytes.substr(0, std::min<std::uint64_t>(Left, Bytes.size()));
    Left -= Part.size();
    if (Left == 0 && At == State::Body)
      startRequest();
    else if (Left == 0)
      At = State::ChunkDataReturn;
    return Part;
  }
  std::size_t Taken = 0;
  while (Taken < Bytes.size()) {
    const bool PartEnds = take(static_cast<unsigned char>(Bytes[Taken]));
    if (!valid())
      break;
    ++Taken;
    if (PartEnds)
      break;
  }
  return Bytes.substr(0, Taken);
}

void RequestLines::expectBody(std::uint64_t Length) {
  if (Length == 0)
    return startRequest();
  Left = Length;
  At = State::Body;
}

void RequestLines::expectChunks() {
  Size.reset();
  At = State::ChunkSize;
}

void RequestLines::startRequest() {
  At = State::LineStart;
  FirstLine = true;
  InTrailer = false;
}

bool RequestLines::take(unsigned char Byte) {
  switch (At) {
  case State::LineStart:
    takeLineStart(Byte);
    return false;
  case State::RequestLine:
    takeRequestLine(Byte);
    return false;
  case State::FieldName:
    takeFieldName(Byte);
    return false;
  case State::FieldValue:
    takeText(Byte, State::LineFeed);
    return false;
  case State::LineFeed:
    step(Byte, Feed, State::LineStart);
    return false;
  case State::EmptyLineFeed:
    return takeEmptyLineFeed(Byte);
  case State::ChunkSize:
    takeChunkSize(Byte);
    return false;
  case State::ChunkBlank:
    takeChunkBlank(Byte);
    return false;
  case State::ChunkExtension:
    takeText(Byte, State::ChunkLineFeed);
    return false;
  case State::ChunkLineFeed:
    return takeChunkLineFeed(Byte);
  case State::ChunkDataReturn:
    step(Byte, Return, State::ChunkDataFeed);
    return false;
  case State::ChunkDataFeed:
    step(Byte, Feed, State::ChunkSize);
    return false;
  // The remaining states do not consume single bytes.
  case State::HeadEnded:
  case State::Body:
  case State::ChunkData:
  case State::Wrong:
    break;
  }
  At = State::Wrong;
  return false;
}

void RequestLines::step(unsigned char Byte, unsigned char Wanted, State Next) {
  At = Byte == Wanted ? Next : State::Wrong;
}

void RequestLines::takeLineStart(unsigned char Byte) {
  if (Byte == Return) {
    At = State::EmptyLineFeed;
    return;
  }
  if (std::exchange(FirstLine, false)) {
    Blanks = 0;
    Last = ' ';
    At = State::RequestLine;
    takeRequestLine(Byte);
    return;
  }
  // Rejects obsolete line folding (a leading space) and empty field names (a
  // leading colon).
  At = isTokenByte(Byte) ? State::FieldName : State::Wrong;
}

/// Parts of a request line are separated by exactly one space.
void RequestLines::takeRequestLine(unsigned char Byte) {
  const unsigned char Before = std::exchange(Last, Byte);
  if (Byte == Return) {
    const bool Whole = Blanks == RequestLineBlanks && Before != ' ';
    At = Whole ? State::LineFeed : State::Wrong;
    return;
  }
  const bool Parts =
      Byte == ' ' && Before != ' ' && ++Blanks <= RequestLineBlanks;
  const bool InWord = Byte > ' ' && Byte != 0x7f;
  if (!Parts && !InWord)
    At = State::Wrong;
}

void RequestLines::takeFieldName(unsigned char Byte) {
  if (Byte == ':')
    At = State::FieldValue;
  else if (!isTokenByte(Byte))
    At = State::Wrong;
}

void RequestLines::takeText(unsigned char Byte, State AfterReturn) {
  if (Byte == Return)
    At = AfterReturn;
  else if (!isTextByte(Byte))
    At = State::Wrong;
}

bool RequestLines::takeEmptyLineFeed(unsigned char Byte) {
  // Empty lines before a request line are ignored (RFC 9112, section 2.2).
  step(Byte, Feed, FirstLine ? State::LineStart : State::HeadEnded);
  if (At != State::HeadEnded)
    return false;
  if (InTrailer)
    startRequest();
  return true;
}

void RequestLines::takeChunkSize(unsigned char Byte) {
  if (const auto Digit = hexDigit(Byte)) {
    if (Size.value_or(0) >= LargestChunk)
      At = State::Wrong;
    Size = Size.value_or(0) * 16 + *Digit;
  } else if (!Size) {
    At = State::Wrong;
  } else {
    takeChunkBlank(Byte);
  }
}

void RequestLines::takeChunkBlank(unsigned char Byte) {
  if (Byte == ';')
    At = State::ChunkExtension;
  else if (isBlank(Byte))
    At = State::ChunkBlank;
  else if (Byte == Return && At == State::ChunkSize)
    At = State::ChunkLineFeed;
  else
    At = State::Wrong;
}

bool RequestLines::takeChunkLineFeed(unsigned char Byte) {
  step(Byte, Feed, State::ChunkData);
  if (!valid())
    return false;
  Left = Size.value_or(0);
  Size.reset();
  if (Left == 0) {
    InTrailer = true;
    At = State::LineStart;
  }
  return true;
}

} // namespace fescuewood
