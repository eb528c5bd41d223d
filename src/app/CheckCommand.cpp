#include "app/CheckReport.h"
#include "app/Commands.h"
#include "app/Flags.h"
#include "app/OperatorQueries.h"
#include "core/Digest.h"

#include <iostream>
#include <optional>
#include <string>
#include <utility>

#include <fmt/format.h>

namespace fescuewood {

ExitCode checkConfiguration(Arguments Args) {
  if (Args.front() == StandardInputName && FLAGS_against == StandardInputName) {
    fmt::print(stderr, "check: only one input can be the standard input\n");
    return ExitCode::Usage;
  }
  if (!FLAGS_against.empty() && !FLAGS_node.empty()) {
    fmt::print(stderr, "check: --against and --node exclude each other\n");
    return ExitCode::Usage;
  }
  CheckInput Input = readCheckInput(Args.front(), std::cin);
  std::optional<CheckInput> Against;
  if (!FLAGS_against.empty())
    Against = readCheckInput(FLAGS_against, std::cin);
  if (!FLAGS_node.empty())
    Against = readNodePage(FLAGS_node,
                           queryNode("check", FLAGS_node, "/configuration"));
  const std::string &AgainstName =
      FLAGS_node.empty() ? FLAGS_against : FLAGS_node;
  const CheckReport Report =
      makeCheckReport(std::move(Input), AgainstName, std::move(Against));
  if (FLAGS_json) {
    fmt::print("{}", checkJson(Report));
  } else {
    fmt::print("{}", checkOutput(Report));
    fmt::print(stderr, "{}", checkMessages(Report));
  }
  return checkResult(Report, FLAGS_strict);
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
