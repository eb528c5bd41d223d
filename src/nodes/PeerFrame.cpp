#include "nodes/PeerFrame.h"

namespace fescuewood {

namespace {

constexpr std::size_t NumberBytes = 4;
constexpr unsigned BitsPerByte = 8;
constexpr std::uint32_t ByteMask = 0xff;

void appendNumber(std::string &Bytes, std::uint32_t Number) {
  for (std::size_t I = NumberBytes; I-- > 0;)
    Bytes.push_back(static_cast<char>(Number >> I * BitsPerByte & ByteMask));
}

std::uint32_t readNumber(std::string_view Bytes) {
  std::uint32_t Number = 0;
  for (const char Byte : Bytes.substr(0, NumberBytes))
    Number = Number << BitsPerByte | static_cast<unsigned char>(Byte);
  return Number;
}

} // namespace

std::string packFrameHeader(const PeerFrameHeader &Header) {
  std::string Bytes;
  appendNumber(Bytes, static_cast<std::uint32_t>(Header.Size));
  appendNumber(Bytes, Header.Number);
  return Bytes;
}

PeerFrameHeader readFrameHeader(std::string_view Bytes) {
  return {readNumber(Bytes), readNumber(Bytes.substr(NumberBytes))};
}

} // namespace fescuewood
