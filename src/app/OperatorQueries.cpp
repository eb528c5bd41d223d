#include "app/OperatorQueries.h"

#include "app/Flags.h"
#include "operators/HttpGet.h"

#include <fmt/format.h>

namespace fescuewood {

std::vector<std::string> splitList(std::string_view Text) {
  std::vector<std::string> Parts;
  while (!Text.empty()) {
    const std::size_t Comma = Text.find(',');
    const std::string_view Part = Text.substr(0, Comma);
    if (!Part.empty())
      Parts.emplace_back(Part);
    if (Comma == std::string_view::npos)
      break;
    Text.remove_prefix(Comma + 1);
  }
  return Parts;
}

std::optional<std::string> queryNode(std::string_view Command,
                                     const std::string &Address,
                                     const std::string &Path) {
  std::string Error;
  auto Body = httpGet(Address, Path, DurationMs(FLAGS_timeout_ms), Error);
  if (!Body)
    fmt::print(stderr, "{}: {}\n", Command, Error);
  return Body;
}

} // namespace fescuewood
