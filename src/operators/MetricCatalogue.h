/// \file
/// Names, kinds and labels of the metrics; docs/METRICS.md is held against it.
///
/// Internal to the operators package, but for the test of the catalogue.

#ifndef FESCUEWOOD_OPERATORS_METRICCATALOGUE_H
#define FESCUEWOOD_OPERATORS_METRICCATALOGUE_H

#include <cstdint>
#include <span>
#include <string_view>

namespace fescuewood {

enum class MetricId : std::uint8_t {
#define FESCUEWOOD_METRIC(Id, Name, Kind, Labels, Help) Id,
#include "operators/Metric.def"
#undef FESCUEWOOD_METRIC
};

enum class MetricKind : std::uint8_t { Counter, Gauge, Histogram };

/// "counter", "gauge" or "histogram".
std::string_view metricKindName(MetricKind Kind);

/// One row of the catalogue.
struct MetricEntry {
  std::string_view Name;
  MetricKind Kind;
  std::string_view Labels; ///< Separated by ", ".
  std::string_view Help;
};

/// Every metric, in the order of \ref MetricId.
std::span<const MetricEntry> metricCatalogue();

const MetricEntry &metricEntry(MetricId Id);

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_METRICCATALOGUE_H
