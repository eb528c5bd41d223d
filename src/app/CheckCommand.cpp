#include "app/CheckInput.h"
#include "app/Commands.h"
#include "app/Flags.h"
#include "check/ConfigDifference.h"
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

/// Result of the check for one input, before warnings are considered.
ExitCode inputResult(const CheckInput &Input) {
  if (!Input.Readable)
    return ExitCode::Failure;
  return Input.Config ? ExitCode::Success : ExitCode::Usage;
}

void printDifferences(const Differences &Changes) {
  for (const Difference &Change : Changes)
    fmt::print("{}\n", Change.text());
  const auto Immediate =
      std::count_if(Changes.begin(), Changes.end(),
                    [](const Difference &Change) { return Change.Immediate; });
  fmt::print("# {} differences, {} immediate\n", Changes.size(), Immediate);
}

} // namespace

ExitCode checkConfiguration(Arguments Args) {
  if (Args.front() == StandardInputName && FLAGS_against == StandardInputName) {
    fmt::print(stderr, "check: only one input can be the standard input\n");
    return ExitCode::Usage;
  }
  const CheckInput Input = readCheckInput(Args.front(), std::cin);
  fmt::print(stderr, "{}", problemsText(Input.Found));
  ExitCode Result = inputResult(Input);
  if (FLAGS_against.empty()) {
    fmt::print("{}", Input.Merged);
  } else {
    const CheckInput Old = readCheckInput(FLAGS_against, std::cin);
    if (!Old.Config)
      fmt::print(stderr, "check: --against {} cannot be used:\n{}",
                 FLAGS_against, problemsText(Old.Found));
    Result = std::max(Result, inputResult(Old));
    if (Input.Config && Old.Config)
      printDifferences(compareConfigurations(*Old.Config, *Input.Config));
  }
  const Findings Warnings =
      Input.Config ? findingsOf(*Input.Config) : Findings();
  for (const Finding &Warning : Warnings)
    fmt::print(stderr, "warning: {}\n", Warning.text());
  const bool Strict = FLAGS_strict && !Warnings.empty();
  return std::max(Result, Strict ? ExitCode::Negative : ExitCode::Success);
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
