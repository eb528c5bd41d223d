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
constexpr int MarkRows = 4; ///< Marks of one lane are spread over these rows.
constexpr int RightMargin = 30;
constexpr int AxisTicks = 5;
constexpr int LegendWidth = 90;
constexpr double LabelGap = 160; ///< Least distance of two labels of a lane.

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

/// Places points of the time line on the picture.
struct Scale {
  std::int64_t FirstMs;
  std::int64_t SpanMs;

  double x(std::int64_t WallMs) const {
    const double Share = static_cast<double>(WallMs - FirstMs) /
                         static_cast<double>(std::max<std::int64_t>(SpanMs, 1));
    return LabelWidth + Share * PlotWidth;
  }
};

using Lanes = std::map<std::string, int>;

Lanes lanesOf(std::span<const StampedEvent> Ordered) {
  Lanes Result;
  for (const StampedEvent &Each : Ordered)
    Result.emplace(Each.Domain, 0);
  int Index = 0;
  for (auto &[Domain, Lane] : Result)
    Lane = Index++;
  return Result;
}

std::string drawLanes(const Lanes &All) {
  std::string Svg;
  for (const auto &[Domain, Lane] : All) {
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

std::string drawAxis(const Scale &Place, int Bottom) {
  std::string Svg;
  for (int Tick = 0; Tick <= AxisTicks; ++Tick) {
    const std::int64_t Ms = Place.SpanMs * Tick / AxisTicks;
    const double X = Place.x(Place.FirstMs + Ms);
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

std::string drawMark(const StampedEvent &Each, double X, int Y) {
  const EventEntry &Entry = eventEntry(Each.What.Id);
  return fmt::format("<circle cx='{:.1f}' cy='{}' r='{}' fill='{}' "
                     "fill-opacity='0.75'><title>{}</title></circle>\n",
                     X, Y, MarkRadius, colour(Entry.Level),
                     escaped(toTextLine(Each)));
}

/// Names the marks that an operator looks for first, sparsely enough to read.
class Labels {
public:
  /// The label of an event, or nothing when it needs none or has no room.
  std::string draw(const StampedEvent &Each, double X, int Y) {
    const EventEntry &Entry = eventEntry(Each.What.Id);
    if (Entry.Level < EventLevel::Warn)
      return "";
    const auto [Last, Fresh] = LastX.try_emplace(Each.Domain, X);
    if (!Fresh && X - Last->second < LabelGap)
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
  const Lanes All = lanesOf(Ordered);
  const int Bottom = TopMargin + static_cast<int>(All.size()) * LaneHeight;
  std::string Svg = fmt::format(
      "<svg xmlns='http://www.w3.org/2000/svg' width='{}' height='{}' "
      "font-family='sans-serif' font-size='12'>\n"
      "<rect width='100%' height='100%' fill='#ffffff'/>\n",
      LabelWidth + PlotWidth + RightMargin, Bottom + AxisHeight);
  Svg += drawLanes(All);
  Svg += drawLegend();
  if (!Ordered.empty()) {
    const std::int64_t First = Ordered.front().Time.WallMs;
    const Scale Place{First, Ordered.back().Time.WallMs - First};
    Svg += drawAxis(Place, Bottom);
    int Row = 0;
    Labels Names;
    for (const StampedEvent &Each : Ordered) {
      Row = (Row + 1) % MarkRows;
      const int Y = TopMargin + All.at(Each.Domain) * LaneHeight +
                    (Row + 1) * LaneHeight / (MarkRows + 1);
      const double X = Place.x(Each.Time.WallMs);
      Svg += drawMark(Each, X, Y);
      Svg += Names.draw(Each, X, Y);
    }
  }
  return Svg + "</svg>\n";
}

} // namespace fescuewood
