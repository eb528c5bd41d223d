#include "operators/MetricCatalogue.h"

#include <array>

namespace fescuewood {

namespace {

constexpr auto Entries = std::to_array<MetricEntry>({
#define FESCUEWOOD_METRIC(Id, Name, Kind, Labels, Help)                        \
  {Name, MetricKind::Kind, Labels, Help},
#include "operators/Metric.def"
#undef FESCUEWOOD_METRIC
});

} // namespace

std::span<const MetricEntry> metricCatalogue() { return Entries; }

const MetricEntry &metricEntry(MetricId Id) {
  return Entries.at(static_cast<std::size_t>(Id));
}

std::string_view metricKindName(MetricKind Kind) {
  switch (Kind) {
  case MetricKind::Counter:
    return "counter";
  case MetricKind::Gauge:
    return "gauge";
  case MetricKind::Histogram:
    return "histogram";
  }
  return "gauge";
}

} // namespace fescuewood
