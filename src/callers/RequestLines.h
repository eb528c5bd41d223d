/// \file
/// A strict byte-level parser for request lines, field lines and chunk framing
/// that accepts only what RFC 9112 allows a sender to generate.
///
/// http_parser, which RESTinio and \ref RequestGuard use, tolerates bare line
/// feeds, folded lines, whitespace in field names and malformed chunk endings.
/// Parsers with different tolerances disagree about where a request ends, so
/// the grammar is enforced first.

#ifndef FESCUEWOOD_CALLERS_REQUESTLINES_H
#define FESCUEWOOD_CALLERS_REQUESTLINES_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace fescuewood {

/// Parses the requests of one connection. The caller interprets the fields and
/// specifies the body framing after each head.
class RequestLines {
public:
  /// Consumes bytes of one part of the request: a head, a body, or a line of a
  /// chunked body. Returns the consumed prefix of \p Bytes, which is shorter
  /// than \p Bytes when the part ends or the next byte is invalid.
  std::string_view consumePart(std::string_view Bytes);

  /// False after an invalid byte.
  bool valid() const { return CurrentState != State::Invalid; }

  /// True from the end of a head until the body framing is specified.
  bool isHeadComplete() const { return CurrentState == State::HeadComplete; }

  /// Specifies that a body of \p Length bytes follows the head.
  void expectBody(std::uint64_t Length);

  /// Specifies that a chunked body follows the head.
  void expectChunks();

private:
  enum class State {
    LineStart, ///< Start of a request, field or trailer line.
    RequestLine,
    FieldName,
    FieldValue,
    LineFeed,      ///< After the carriage return of a line.
    EmptyLineFeed, ///< After the carriage return of an empty line.
    HeadComplete,
    Body,
    ChunkSize,
    ChunkBlank, ///< Between a chunk's size and its extension.
    ChunkExtension,
    ChunkLineFeed,
    ChunkData,
    ChunkDataReturn,
    ChunkDataFeed,
    Invalid
  };

  /// Consumes a byte of a line; returns whether it ends the current part.
  bool consume(unsigned char Byte);
  void consumeLineStart(unsigned char Byte);
  void consumeRequestLine(unsigned char Byte);
  void consumeFieldName(unsigned char Byte);
  void consumeText(unsigned char Byte, State AfterReturn);
  bool consumeEmptyLineFeed(unsigned char Byte);
  void consumeChunkSize(unsigned char Byte);
  void consumeChunkBlank(unsigned char Byte);
  bool consumeChunkLineFeed(unsigned char Byte);
  void expectByte(unsigned char Byte, unsigned char Expected, State Next);
  void startRequest();

  State CurrentState = State::LineStart;
  bool FirstLine = true;          ///< The next line is a request line.
  bool InTrailer = false;         ///< The last chunk has been read.
  unsigned SpaceCount = 0;        ///< Number of spaces in the request line.
  unsigned char PreviousByte = 0; ///< Previous byte of the request line.
  std::optional<std::uint64_t> ParsedChunkSize; ///< Chunk size parsed so far.
  std::uint64_t RemainingBytes = 0; ///< Remaining bytes of the body or chunk.
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLERS_REQUESTLINES_H
