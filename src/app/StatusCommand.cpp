#include "app/Commands.h"
#include "app/Flags.h"
#include "app/OperatorQueries.h"
#include "operators/HttpGet.h"
#include "operators/NodeStatus.h"

#include <fmt/format.h>

namespace fescuewood {

namespace {

/// Prints a node's status page as JSON or as a table.
ExitCode printStatus(const std::string &Page) {
  bool IsHealthy = false;
  const auto Table = statusTable(Page, IsHealthy);
  if (!Table) {
    fmt::print(stderr, "status: the answer is not a status page\n");
    return ExitCode::Failure;
  }
  fmt::print("{}", FLAGS_json ? Page : *Table);
  return IsHealthy ? ExitCode::Success : ExitCode::Negative;
}

bool isNodeFlagMissing(std::string_view Command) {
  if (!FLAGS_node.empty())
    return false;
  fmt::print(stderr, "{}: --node is required: the operator address of a node\n",
             Command);
  return true;
}

} // namespace

ExitCode showStatus(Arguments) {
  if (isNodeFlagMissing("status"))
    return ExitCode::Usage;
  ExitCode Result = ExitCode::Success;
  for (const std::string &Address : splitList(FLAGS_node)) {
    const auto Page = queryNode("status", Address, "/status");
    Result = std::max(Result, Page ? printStatus(*Page) : ExitCode::Failure);
  }
  return Result;
}

ExitCode explainRequest(Arguments) {
  if (isNodeFlagMissing("explain"))
    return ExitCode::Usage;
  if (FLAGS_path.empty()) {
    fmt::print(stderr,
               "explain: --path is required: the path of the request\n");
    return ExitCode::Usage;
  }
  const std::string Query = fmt::format(
      "/explain?method={}&path={}&organisation={}", urlEncoded(FLAGS_method),
      urlEncoded(FLAGS_path), urlEncoded(FLAGS_organisation));
  ExitCode Result = ExitCode::Success;
  for (const std::string &Address : splitList(FLAGS_node)) {
    const auto Page = queryNode("explain", Address, Query);
    if (Page)
      fmt::print("{}", *Page);
    else
      Result = ExitCode::Failure;
  }
  return Result;
}

} // namespace fescuewood
