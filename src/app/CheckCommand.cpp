#include "app/Commands.h"
#include "core/Digest.h"
#include "intent/IntentReport.h"

#include <iostream>
#include <iterator>

#include <fmt/format.h>

namespace fescuewood {

ExitCode checkIntent(Arguments Left) {
  const IntentReport Report = reportIntentFolder(Left.front());
  fmt::print("{}", Report.Merged);
  fmt::print(stderr, "{}", Report.Errors);
  return Report.Accepted ? ExitCode::Success : ExitCode::Negative;
}

ExitCode printKeyDigest(Arguments) {
  // The key comes on standard input, since arguments show in process lists.
  std::string Key;
  std::getline(std::cin, Key);
  if (Key.empty()) {
    fmt::print(stderr, "key-digest: standard input holds no key\n");
    return ExitCode::Usage;
  }
  fmt::print("{}\n", Digest::of(Key).hex());
  return ExitCode::Success;
}

} // namespace fescuewood
