#include "app/Commands.h"
#include "app/Flags.h"
#include "app/OperatorQueries.h"
#include "operators/Timeline.h"

#include <fstream>
#include <sstream>

#include <fmt/format.h>

namespace fescuewood {

namespace {

std::optional<TimelineFilter> filterFromFlags() {
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
    fmt::print(stderr, "timeline: unknown event number {}\n", FLAGS_event);
    return std::nullopt;
  }
  return Filter;
}

std::optional<StampedEvent> parseLine(const std::string &Line) {
  if (Line.starts_with('{'))
    return fromJsonLine(Line);
  return fromTextLine(Line);
}

/// Appends the events of JSON or log lines; counts all other lines in
/// \p SkippedLines.
void appendLines(std::istream &Input, std::vector<StampedEvent> &Events,
                 std::size_t &SkippedLines) {
  std::string Line;
  while (std::getline(Input, Line)) {
    if (auto Value = parseLine(Line))
      Events.push_back(std::move(*Value));
    else
      ++SkippedLines;
  }
}

/// Reads the events of all files and nodes. Returns false when one of them
/// cannot be read.
bool readEvents(std::vector<StampedEvent> &Events) {
  bool Complete = true;
  std::size_t SkippedLines = 0;
  for (const std::string &Path : splitList(FLAGS_log)) {
    std::ifstream File(Path);
    if (!File) {
      fmt::print(stderr, "timeline: cannot read {}\n", Path);
      Complete = false;
      continue;
    }
    appendLines(File, Events, SkippedLines);
  }
  for (const std::string &Address : splitList(FLAGS_node)) {
    const auto Body = queryNode("timeline", Address, "/timeline");
    Complete = Complete && Body.has_value();
    std::istringstream Lines(Body.value_or(""));
    appendLines(Lines, Events, SkippedLines);
  }
  if (SkippedLines > 0)
    fmt::print(stderr, "timeline: skipped {} lines that are not events\n",
               SkippedLines);
  return Complete;
}

bool writeImage(const std::vector<StampedEvent> &Ordered) {
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
    fmt::print(stderr, "timeline: --node or --log is required\n");
    return ExitCode::Usage;
  }
  const auto Filter = filterFromFlags();
  if (!Filter)
    return ExitCode::Usage;
  std::vector<StampedEvent> Events;
  const bool Complete = readEvents(Events);
  Events = mergeTimeline(std::move(Events), *Filter);
  if (!FLAGS_svg.empty())
    return writeImage(Events) && Complete ? ExitCode::Success
                                          : ExitCode::Failure;
  for (const StampedEvent &Event : Events)
    fmt::print("{}\n", FLAGS_json ? toJsonLine(Event) : toTextLine(Event));
  return Complete ? ExitCode::Success : ExitCode::Failure;
}

} // namespace fescuewood
