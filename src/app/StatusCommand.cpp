#include "app/Commands.h"
#include "app/Flags.h"
#include "app/OperatorQueries.h"
#include "operators/HttpGet.h"
#include "operators/NodeStatus.h"

#include <fmt/format.h>

namespace fescuewood {

namespace {

/// Prints one node's page as the flags ask.
ExitCode showOne(const std::string &Page) {
  bool Well = false;
  const auto Table = statusTable(Page, Well);
  if (!Table) {
    fmt::print(stderr, "status: the answer is no status page\n");
    return ExitCode::Failure;
  }
  fmt::print("{}", FLAGS_json ? Page : *Table);
  return Well ? ExitCode::Success : ExitCode::Negative;
}

bool needsNode(std::string_view Command) {
  if (!FLAGS_node.empty())
    return false;
  fmt::print(stderr, "{}: name a node's operator address with --node\n",
             Command);
  return true;
}

} // namespace

ExitCode showStatus(Arguments) {
  if (needsNode("status"))
    return ExitCode::Usage;
  ExitCode Worst = ExitCode::Success;
  for (const std::string &Address : splitList(FLAGS_node)) {
    const auto Page = askNode("status", Address, "/status");
    Worst = std::max(Worst, Page ? showOne(*Page) : ExitCode::Failure);
  }
  return Worst;
}

ExitCode explainRequest(Arguments) {
  if (needsNode("explain"))
    return ExitCode::Usage;
  if (FLAGS_path.empty()) {
    fmt::print(stderr, "explain: give the request's path with --path\n");
    return ExitCode::Usage;
  }
  const std::string Query = fmt::format(
      "/explain?method={}&path={}&organisation={}", urlEncoded(FLAGS_method),
      urlEncoded(FLAGS_path), urlEncoded(FLAGS_organisation));
  ExitCode Worst = ExitCode::Success;
  for (const std::string &Address : splitList(FLAGS_node)) {
    const auto Page = askNode("explain", Address, Query);
    if (Page)
      fmt::print("{}", *Page);
    else
      Worst = ExitCode::Failure;
  }
  return Worst;
}

} // namespace fescuewood
