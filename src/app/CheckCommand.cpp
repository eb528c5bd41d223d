#include "app/CheckInput.h"
#include "app/Commands.h"
#include "core/Digest.h"

#include <iostream>
#include <iterator>

#include <fmt/format.h>

namespace fescuewood {

ExitCode checkConfiguration(Arguments Args) {
  const CheckInput Input = readCheckInput(Args.front(), std::cin);
  fmt::print("{}", Input.Merged);
  fmt::print(stderr, "{}", problemsText(Input.Found));
  if (!Input.Readable)
    return ExitCode::Failure;
  return Input.Config ? ExitCode::Success : ExitCode::Usage;
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
