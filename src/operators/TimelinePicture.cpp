#include "operators/Timeline.h"

#include <algorithm>
#include <array>
#include <map>

#include <fmt/format.h>

namespace fescuewood {

namespace {

// All lengths are in SVG user units, which browsers show as pixels.
constexpr int LabelWidth = 170;
constexpr int PlotWidth = 1000;
constexpr int LaneHeight = 64;
constexpr int TopMargin = 40;
constexpr int AxisHeight = 40;
constexpr int MarkRadius = 5;
constexpr int MarkRows = 4; ///< Rows per lane, used in rotation.
constexpr int RightMargin = 30;
constexpr int AxisTicks = 5;
constexpr int LegendWidth = 90;
constexpr double LabelGap = 160; ///< Minimum distance of labels in a lane.

constexpr double MsPerSecond = 1000.0;

std::string_view colour(EventLevel Level) {
  constexpr std::array<std::string_view, 4> Colours = {"#8a8f98", "#2b6cb0",
                                                       "#d97706", "#c53030"};
  return Colours.at(static_cast<std::size_t>(Level));
}

std::string escaped(std::string_view Text) {
  std::string Result;
  for (char C : Text) {
    switch (C) {
    case '&':
      Result += "&amp;";
      break;
    case '<':
      Result += "&lt;";
      break;
    case '>':
      Result += "&gt;";
      break;
    case '"':
      Result += "&quot;";
      break;
    default:
      Result += C;
    }
  }
  return Result;
}

/// Maps times to x coordinates.
struct Scale {
  std::int64_t FirstMs;
  std::int64_t SpanMs;

  double x(std::int64_t WallMs) const {
    const double Share = static_cast<double>(WallMs - FirstMs) /
                         static_cast<double>(std::max<std::int64_t>(SpanMs, 1));
    return LabelWidth + Share * PlotWidth;
  }
};

using LaneIndex = std::map<std::string, int>;

LaneIndex assignLanes(std::span<const StampedEvent> Ordered) {
  LaneIndex Result;
  for (const StampedEvent &E : Ordered)
    Result.emplace(E.Domain, 0);
  int Index = 0;
  for (auto &[Domain, Lane] : Result)
    Lane = Index++;
  return Result;
}

std::string drawLanes(const LaneIndex &LaneByDomain) {
  std::string Svg;
  for (const auto &[Domain, Lane] : LaneByDomain) {
    const int Top = TopMargin + Lane * LaneHeight;
    Svg += fmt::format("<rect x='{}' y='{}' width='{}' height='{}' "
                       "fill='{}'/>\n",
                       LabelWidth, Top, PlotWidth, LaneHeight,
                       Lane % 2 == 0 ? "#f3f5f8" : "#ffffff");
    Svg += fmt::format("<text x='10' y='{}'>{}</text>\n", Top + LaneHeight / 2,
                       escaped(Domain));
  }
  return Svg;
}

std::string drawAxis(const Scale &Mapping, int Bottom) {
  std::string Svg;
  for (int Tick = 0; Tick <= AxisTicks; ++Tick) {
    const std::int64_t Ms = Mapping.SpanMs * Tick / AxisTicks;
    const double X = Mapping.x(Mapping.FirstMs + Ms);
    Svg += fmt::format("<line x1='{0:.1f}' y1='{1}' x2='{0:.1f}' y2='{2}' "
                       "stroke='#cbd2dc'/>\n",
                       X, TopMargin, Bottom);
    Svg += fmt::format("<text x='{:.1f}' y='{}' text-anchor='middle'>"
                       "+{:.2f} s</text>\n",
                       X, Bottom + AxisHeight / 2,
                       static_cast<double>(Ms) / MsPerSecond);
  }
  return Svg;
}

std::string drawMark(const StampedEvent &E, double X, int Y) {
  const EventEntry &Entry = eventEntry(E.Occurrence.Id);
  return fmt::format("<circle cx='{:.1f}' cy='{}' r='{}' fill='{}' "
                     "fill-opacity='0.75'><title>{}</title></circle>\n",
                     X, Y, MarkRadius, colour(Entry.Level),
                     escaped(toTextLine(E)));
}

/// Labels the marks of warnings and errors, with a minimum distance between the
/// labels of a lane.
class LabelPlacer {
public:
  /// Returns the label of an event, or an empty text if its level is below
  /// warning or the previous label is too close.
  std::string draw(const StampedEvent &E, double X, int Y) {
    const EventEntry &Entry = eventEntry(E.Occurrence.Id);
    if (Entry.Level < EventLevel::Warn)
      return "";
    const auto [Last, First] = LastX.try_emplace(E.Domain, X);
    if (!First && X - Last->second < LabelGap)
      return "";
    Last->second = X;
    return fmt::format("<text x='{:.1f}' y='{}' fill='{}'>{}</text>\n",
                       X + 2 * MarkRadius, Y + MarkRadius, colour(Entry.Level),
                       Entry.Name);
  }

private:
  std::map<std::string, double> LastX; ///< Of the last label, by domain.
};

std::string drawLegend() {
  std::string Svg;
  int X = LabelWidth;
  for (EventLevel Level : {EventLevel::Debug, EventLevel::Info,
                           EventLevel::Warn, EventLevel::Error}) {
    Svg += fmt::format("<circle cx='{}' cy='20' r='{}' fill='{}'/>"
                       "<text x='{}' y='24'>{}</text>\n",
                       X, MarkRadius, colour(Level), X + 2 * MarkRadius,
                       levelName(Level));
    X += LegendWidth;
  }
  return Svg;
}

} // namespace

std::string drawTimeline(std::span<const StampedEvent> Ordered) {
  const LaneIndex LaneByDomain = assignLanes(Ordered);
  const int Bottom =
      TopMargin + static_cast<int>(LaneByDomain.size()) * LaneHeight;
  std::string Svg = fmt::format(
      "<svg xmlns='http://www.w3.org/2000/svg' width='{}' height='{}' "
      "font-family='sans-serif' font-size='12'>\n"
      "<rect width='100%' height='100%' fill='#ffffff'/>\n",
      LabelWidth + PlotWidth + RightMargin, Bottom + AxisHeight);
  Svg += drawLanes(LaneByDomain);
  Svg += drawLegend();
  if (!Ordered.empty()) {
    const std::int64_t First = Ordered.front().Time.WallMs;
    const Scale Mapping{First, Ordered.back().Time.WallMs - First};
    Svg += drawAxis(Mapping, Bottom);
    int Row = 0;
    LabelPlacer Placer;
    for (const StampedEvent &E : Ordered) {
      Row = (Row + 1) % MarkRows;
      const int Y = TopMargin + LaneByDomain.at(E.Domain) * LaneHeight +
                    (Row + 1) * LaneHeight / (MarkRows + 1);
      const double X = Mapping.x(E.Time.WallMs);
      Svg += drawMark(E, X, Y);
      Svg += Placer.draw(E, X, Y);
    }
  }
  return Svg + "</svg>\n";
}

} // namespace fescuewood
