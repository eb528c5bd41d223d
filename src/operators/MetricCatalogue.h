/// \file
/// The catalogue of metrics: names, kinds, labels and help texts.
///
/// A test compares docs/METRICS.md with the catalogue. Internal to the
/// operators package.

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

/// Returns "counter", "gauge" or "histogram".
std::string_view metricKindName(MetricKind Kind);

/// A metric in the catalogue.
struct MetricEntry {
  std::string_view Name;
  MetricKind Kind;
  std::string_view Labels; ///< Separated by ", ".
  std::string_view Help;
};

/// Returns all metrics, in the order of \ref MetricId.
std::span<const MetricEntry> metricCatalogue();

const MetricEntry &metricEntry(MetricId Id);

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_METRICCATALOGUE_H
