/// \file
/// Output of the msgpack packer that is a string from the start, so that a
/// large message is not copied into one.

#ifndef FESCUEWOOD_NODES_STRINGOUTPUT_H
#define FESCUEWOOD_NODES_STRINGOUTPUT_H

#include <cstddef>
#include <string>

namespace fescuewood {

struct StringOutput {
  std::string Bytes;

  void write(const char *Data, std::size_t Size) { Bytes.append(Data, Size); }
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_STRINGOUTPUT_H
