/// \file
/// Text of a configuration for one line of a terminal.

#ifndef FESCUEWOOD_CHECK_PRINTABLETEXT_H
#define FESCUEWOOD_CHECK_PRINTABLETEXT_H

#include <algorithm>
#include <string>

namespace fescuewood {

/// Replaces control characters by '?'. The platform's form permits them in
/// names, where they would break lines or control the terminal.
inline std::string printableText(std::string Text) {
  std::replace_if(
      Text.begin(), Text.end(),
      [](unsigned char C) { return C < 0x20 || C == 0x7f; }, '?');
  return Text;
}

} // namespace fescuewood

#endif // FESCUEWOOD_CHECK_PRINTABLETEXT_H
