#include "app/CheckInput.h"
#include "app/Commands.h"
#include "app/Flags.h"
#include "check/LimitConflicts.h"
#include "check/UnmatchedEntries.h"
#include "core/Digest.h"

#include <algorithm>
#include <iostream>
#include <iterator>
#include <utility>

#include <fmt/format.h>

namespace fescuewood {

namespace {

/// Findings about a configuration that a node would accept.
Findings findingsOf(const Snapshot &Config) {
  Findings Found = findUnmatchedEntries(Config);
  Findings Conflicts = findLimitConflicts(Config);
  std::move(Conflicts.begin(), Conflicts.end(), std::back_inserter(Found));
  return Found;
}

ExitCode resultOf(const CheckInput &Input, const Findings &Warnings) {
  if (!Input.Readable)
    return ExitCode::Failure;
  if (!Input.Config)
    return ExitCode::Usage;
  return FLAGS_strict && !Warnings.empty() ? ExitCode::Negative
                                           : ExitCode::Success;
}

} // namespace

ExitCode checkConfiguration(Arguments Args) {
  const CheckInput Input = readCheckInput(Args.front(), std::cin);
  fmt::print("{}", Input.Merged);
  fmt::print(stderr, "{}", problemsText(Input.Found));
  const Findings Warnings =
      Input.Config ? findingsOf(*Input.Config) : Findings();
  for (const Finding &Warning : Warnings)
    fmt::print(stderr, "warning: {}\n", Warning.text());
  return resultOf(Input, Warnings);
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
