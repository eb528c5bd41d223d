#include "app/Commands.h"
#include "app/Flags.h"
#include "app/OperatorQueries.h"
#include "operators/Timeline.h"

#include <fstream>
#include <sstream>

#include <fmt/format.h>

namespace fescuewood {

namespace {

std::optional<TimelineFilter> filterOfFlags() {
  TimelineFilter Filter;
  Filter.Call = FLAGS_call;
  Filter.Request = FLAGS_request;
  Filter.Organisation = FLAGS_organisation;
  Filter.Target = FLAGS_target;
  Filter.Domain = FLAGS_domain;
  Filter.Node = FLAGS_instance;
  if (FLAGS_from_ms != 0)
    Filter.FromWallMs = FLAGS_from_ms;
  if (FLAGS_to_ms != 0)
    Filter.ToWallMs = FLAGS_to_ms;
  if (FLAGS_event == 0)
    return Filter;
  Filter.Id = eventFromNumber(static_cast<std::uint16_t>(FLAGS_event));
  if (!Filter.Id) {
    fmt::print(stderr, "timeline: no event has the number {}\n", FLAGS_event);
    return std::nullopt;
  }
  return Filter;
}

std::optional<StampedEvent> fromAnyLine(const std::string &Line) {
  if (Line.starts_with('{'))
    return fromJsonLine(Line);
  return fromTextLine(Line);
}

/// Reads lines of JSON or of logs; others are counted in \p Skipped.
void appendLines(std::istream &From, std::vector<StampedEvent> &Into,
                 std::size_t &Skipped) {
  std::string Line;
  while (std::getline(From, Line)) {
    if (auto Value = fromAnyLine(Line))
      Into.push_back(std::move(*Value));
    else
      ++Skipped;
  }
}

/// Gathers the events of all files and nodes; false when one can't be read.
bool gather(std::vector<StampedEvent> &Into) {
  bool Complete = true;
  std::size_t Skipped = 0;
  for (const std::string &Path : splitList(FLAGS_log)) {
    std::ifstream File(Path);
    if (!File) {
      fmt::print(stderr, "timeline: cannot read {}\n", Path);
      Complete = false;
      continue;
    }
    appendLines(File, Into, Skipped);
  }
  for (const std::string &Address : splitList(FLAGS_node)) {
    const auto Body = askNode("timeline", Address, "/timeline");
    Complete = Complete && Body.has_value();
    std::istringstream Lines(Body.value_or(""));
    appendLines(Lines, Into, Skipped);
  }
  if (Skipped > 0)
    fmt::print(stderr, "timeline: {} lines are no events\n", Skipped);
  return Complete;
}

bool writePicture(const std::vector<StampedEvent> &Ordered) {
  std::ofstream File(FLAGS_svg);
  File << drawTimeline(Ordered);
  File.flush();
  if (!File)
    fmt::print(stderr, "timeline: cannot write {}\n", FLAGS_svg);
  return static_cast<bool>(File);
}

} // namespace

ExitCode showTimeline(Arguments) {
  if (FLAGS_node.empty() && FLAGS_log.empty()) {
    fmt::print(stderr, "timeline: name nodes with --node or files with "
                       "--log\n");
    return ExitCode::Usage;
  }
  const auto Filter = filterOfFlags();
  if (!Filter)
    return ExitCode::Usage;
  std::vector<StampedEvent> Events;
  const bool Complete = gather(Events);
  Events = mergeTimeline(std::move(Events), *Filter);
  if (!FLAGS_svg.empty())
    return writePicture(Events) && Complete ? ExitCode::Success
                                            : ExitCode::Failure;
  for (const StampedEvent &Each : Events)
    fmt::print("{}\n", FLAGS_json ? toJsonLine(Each) : toTextLine(Each));
  return Complete ? ExitCode::Success : ExitCode::Failure;
}

} // namespace fescuewood
