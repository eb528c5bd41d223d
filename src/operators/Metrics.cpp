#include "calls/Call.h"
#include "operators/MetricCatalogue.h"
#include "operators/NodeStatus.h"

#include <limits>
#include <map>
#include <sstream>

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace fescuewood {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using Labels = std::vector<ClientMetric::Label>;

constexpr double MsPerSecond = 1000.0;

/// Collects samples family by family, in the catalogue's order of first use.
class Collection {
public:
  void add(MetricId Id, double Value, Labels Of = {}) {
    ClientMetric Sample;
    Sample.label = std::move(Of);
    if (metricEntry(Id).Kind == MetricKind::Counter)
      Sample.counter.value = Value;
    else
      Sample.gauge.value = Value;
    family(Id).metric.push_back(std::move(Sample));
  }

  void add(MetricId Id, const LatencyHistogram &Spans) {
    ClientMetric Sample;
    std::uint64_t Total = 0;
    for (std::size_t I = 0; I < Spans.Counts.size(); ++I) {
      Total += Spans.Counts[I];
      const bool Last = I == LatencyHistogram::BoundsMs.size();
      const double Bound =
          Last ? std::numeric_limits<double>::infinity()
               : static_cast<double>(LatencyHistogram::BoundsMs[I]) /
                     MsPerSecond;
      ClientMetric::Bucket Bucket;
      Bucket.cumulative_count = Total;
      Bucket.upper_bound = Bound;
      Sample.histogram.bucket.push_back(Bucket);
    }
    Sample.histogram.sample_count = Total;
    Sample.histogram.sample_sum =
        static_cast<double>(Spans.SumMs) / MsPerSecond;
    family(Id).metric.push_back(std::move(Sample));
  }

  std::string text() const {
    std::ostringstream Out;
    prometheus::TextSerializer().Serialize(Out, Families);
    return Out.str();
  }

private:
  MetricFamily &family(MetricId Id) {
    const MetricEntry &Entry = metricEntry(Id);
    for (MetricFamily &Known : Families) {
      if (Known.name == Entry.Name)
        return Known;
    }
    MetricFamily Fresh;
    Fresh.name = Entry.Name;
    Fresh.help = Entry.Help;
    Fresh.type =
        Entry.Kind == MetricKind::Counter ? prometheus::MetricType::Counter
        : Entry.Kind == MetricKind::Gauge ? prometheus::MetricType::Gauge
                                          : prometheus::MetricType::Histogram;
    Families.push_back(std::move(Fresh));
    return Families.back();
  }

  std::vector<MetricFamily> Families;
};

template <typename Number> double real(Number Value) {
  return static_cast<double>(Value);
}

void addNode(const NodeStatus &Status, Collection &Into) {
  Into.add(MetricId::Uptime, real(Status.Uptime.Value) / MsPerSecond);
  Into.add(MetricId::ConfigRevision,
           Status.InForce ? real(Status.InForce->Revision) : 0);
  Into.add(MetricId::SourceReachable, Status.SourceReachable ? 1 : 0);
  Into.add(MetricId::SourceReads, real(Status.Source.Reads));
  Into.add(MetricId::SourceFailures, real(Status.Source.Failures));
  std::map<std::string, double> ByHealth;
  for (const FleetRow &Row : Status.Fleet)
    ++ByHealth[Row.Health];
  for (const auto &[Health, Count] : ByHealth)
    Into.add(MetricId::Instances, Count, {{"health", Health}});
  for (const auto &[Id, Count] : Status.EventCounts)
    Into.add(MetricId::Events, real(Count),
             {{"event", std::string(eventEntry(Id).Name)}});
}

void addPeers(const NodeStatus &Status, Collection &Into) {
  for (const PeerKindTraffic &Row : Status.Traffic) {
    const std::string Kind = std::to_string(static_cast<int>(Row.Kind));
    Into.add(MetricId::PeerBytes, real(Row.BytesSent),
             {{"kind", Kind}, {"direction", "sent"}});
    Into.add(MetricId::PeerBytes, real(Row.BytesReceived),
             {{"kind", Kind}, {"direction", "received"}});
  }
  for (const PeerRefusals &Row : Status.RefusedMessages)
    Into.add(MetricId::PeerRefusedMessages, real(Row.Count),
             {{"reason", std::string(resultName(Row.Reason))}});
  Into.add(MetricId::PeerConnections, real(Status.PeerConnections));
}

void addCalls(const CallStatus &Calls, Collection &Into) {
  for (const auto &[Code, Counts] : Calls.Results) {
    const std::string Name(resultName(Code));
    const auto Add = [&](Outcome Ran, std::uint64_t Count) {
      Into.add(MetricId::Calls, real(Count),
               {{"result", Name}, {"outcome", std::string(outcomeName(Ran))}});
    };
    Add(Outcome::NotRun, Counts.NotRun);
    Add(Outcome::Ran, Counts.Ran);
    Add(Outcome::Unknown, Counts.Unknown);
  }
  Into.add(MetricId::CallsEntered, real(Calls.Entered));
  Into.add(MetricId::Retries, real(Calls.Retries));
  Into.add(MetricId::Fetches, real(Calls.Fetches));
  Into.add(MetricId::CallSeconds, Calls.EntryLatency);
  Into.add(MetricId::TargetInFlight, real(Calls.InFlight));
  Into.add(MetricId::TargetLimit, real(Calls.Limit));
  Into.add(MetricId::TargetSlots, real(Calls.Slots));
  Into.add(MetricId::TargetQueued, real(Calls.Queued));
  Into.add(MetricId::TargetQueuedBytes, real(Calls.QueuedBytes));
  Into.add(MetricId::TargetRuns, real(Calls.Runs));
  Into.add(MetricId::TargetCrashes, real(Calls.Crashes));
  Into.add(MetricId::TargetSeconds, Calls.TargetLatency);
  Into.add(MetricId::QueueSeconds, Calls.QueueWait);
}

void addOrganisations(const LimiterStatus &Status, Collection &Into) {
  for (const OrganisationStatus &Row : Status.Organisations) {
    const Labels Of = {{"organisation", Row.Name}};
    Into.add(MetricId::OrganisationAdmitted, real(Row.Admitted), Of);
    Into.add(MetricId::OrganisationRefused, real(Row.Refused), Of);
    Into.add(MetricId::OrganisationTokens, Row.TokensHeld, Of);
  }
}

} // namespace

std::string metricsText(const NodeStatus &Status) {
  Collection All;
  addNode(Status, All);
  addPeers(Status, All);
  addCalls(Status.Calls, All);
  addOrganisations(Status.Organisations, All);
  return All.text();
}

} // namespace fescuewood
