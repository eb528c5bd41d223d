#include "core/Utf8.h"

#include <cstddef>
#include <cstdint>

namespace fescuewood {

namespace {

/// Encoding of UTF-8 characters of one length.
struct Utf8Encoding {
  unsigned char LeadMask;
  unsigned char Lead;
  std::size_t ContinuationBytes;
  std::uint32_t FirstCodePoint; ///< Lower ones have a shorter encoding.
};

constexpr Utf8Encoding Utf8Encodings[] = {{0x80, 0x00, 0, 0},
                                          {0xe0, 0xc0, 1, 0x80},
                                          {0xf0, 0xe0, 2, 0x800},
                                          {0xf8, 0xf0, 3, 0x10000}};

bool isCodePoint(std::uint32_t Value) {
  const bool Surrogate = Value >= 0xd800 && Value < 0xe000;
  return !Surrogate && Value < 0x110000;
}

/// Length in bytes of the first character, or 0 when it is malformed.
std::size_t utf8Length(std::string_view Text) {
  const auto Lead = static_cast<unsigned char>(Text.front());
  for (const Utf8Encoding &Encoding : Utf8Encodings) {
    if ((Lead & Encoding.LeadMask) != Encoding.Lead)
      continue;
    if (Text.size() <= Encoding.ContinuationBytes)
      return 0;
    std::uint32_t Value = Lead & static_cast<unsigned char>(~Encoding.LeadMask);
    for (std::size_t I = 1; I <= Encoding.ContinuationBytes; ++I) {
      const auto Next = static_cast<unsigned char>(Text[I]);
      if ((Next & 0xc0) != 0x80)
        return 0;
      Value = (Value << 6) | (Next & 0x3f);
    }
    const bool Valid = Value >= Encoding.FirstCodePoint && isCodePoint(Value);
    return Valid ? Encoding.ContinuationBytes + 1 : 0;
  }
  return 0;
}

} // namespace

bool isUtf8(std::string_view Text) {
  while (!Text.empty()) {
    const std::size_t Length = utf8Length(Text);
    if (Length == 0)
      return false;
    Text.remove_prefix(Length);
  }
  return true;
}

} // namespace fescuewood
