#include "app/Commands.h"
#include "core/Digest.h"
#include "intent/IntentReport.h"

#include <iostream>
#include <iterator>

#include <fmt/format.h>

namespace fescuewood {

ExitCode checkIntent(Arguments Args) {
  const IntentReport Report = reportIntentFolder(Args.front());
  fmt::print("{}", Report.Merged);
  fmt::print(stderr, "{}", Report.Errors);
  return Report.Accepted ? ExitCode::Success : ExitCode::Negative;
}

ExitCode printKeyDigest(Arguments) {
  // Read from standard input because process lists show the arguments.
  std::string Key;
  std::getline(std::cin, Key);
  if (Key.empty()) {
    fmt::print(stderr, "key-digest: no key on standard input\n");
    return ExitCode::Usage;
  }
  fmt::print("{}\n", Digest::sha256(Key).hex());
  return ExitCode::Success;
}

} // namespace fescuewood
