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

/// Groups samples by metric family, in order of first use, and serializes them.
class MetricCollector {
public:
  void add(MetricId Id, double Value, Labels SampleLabels = {}) {
    ClientMetric Sample;
    Sample.label = std::move(SampleLabels);
    if (metricEntry(Id).Kind == MetricKind::Counter)
      Sample.counter.value = Value;
    else
      Sample.gauge.value = Value;
    family(Id).metric.push_back(std::move(Sample));
  }

  void add(MetricId Id, const LatencyHistogram &Latencies) {
    ClientMetric Sample;
    std::uint64_t Total = 0;
    for (std::size_t I = 0; I < Latencies.Counts.size(); ++I) {
      Total += Latencies.Counts[I];
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
        static_cast<double>(Latencies.SumMs) / MsPerSecond;
    family(Id).metric.push_back(std::move(Sample));
  }

  std::string text() const {
    std::ostringstream Stream;
    prometheus::TextSerializer().Serialize(Stream, Families);
    return Stream.str();
  }

private:
  MetricFamily &family(MetricId Id) {
    const MetricEntry &Entry = metricEntry(Id);
    for (MetricFamily &Existing : Families) {
      if (Existing.name == Entry.Name)
        return Existing;
    }
    MetricFamily Added;
    Added.name = Entry.Name;
    Added.help = Entry.Help;
    Added.type =
        Entry.Kind == MetricKind::Counter ? prometheus::MetricType::Counter
        : Entry.Kind == MetricKind::Gauge ? prometheus::MetricType::Gauge
                                          : prometheus::MetricType::Histogram;
    Families.push_back(std::move(Added));
    return Families.back();
  }

  std::vector<MetricFamily> Families;
};

template <typename Number> double toDouble(Number Value) {
  return static_cast<double>(Value);
}

void addNode(const NodeStatus &Status, MetricCollector &Collector) {
  Collector.add(MetricId::Uptime, toDouble(Status.Uptime.Value) / MsPerSecond);
  Collector.add(MetricId::ConfigRevision,
                Status.InForce ? toDouble(Status.InForce->Revision) : 0);
  Collector.add(MetricId::SourceReachable, Status.SourceReachable ? 1 : 0);
  Collector.add(MetricId::SourceReads, toDouble(Status.Source.Reads));
  Collector.add(MetricId::SourceFailures, toDouble(Status.Source.Failures));
  Collector.add(MetricId::RelayedReads, toDouble(Status.Source.Relayed));
  Collector.add(MetricId::RelayFailures, toDouble(Status.Source.RelayFailures));
  Collector.add(MetricId::ResidentMemory, toDouble(Status.ResidentBytes));
  Collector.add(MetricId::MachineMemory, toDouble(Status.MachineBytes));
  std::map<std::string, double> ByHealth;
  for (const FleetRow &Row : Status.Fleet)
    ++ByHealth[Row.Health];
  for (const auto &[Health, Count] : ByHealth)
    Collector.add(MetricId::Instances, Count, {{"health", Health}});
  for (const auto &[Id, Count] : Status.EventCounts)
    Collector.add(MetricId::Events, toDouble(Count),
                  {{"event", std::string(eventEntry(Id).Name)}});
}

void addPeers(const NodeStatus &Status, MetricCollector &Collector) {
  for (const PeerKindTraffic &Row : Status.Traffic) {
    const std::string Kind = std::to_string(static_cast<int>(Row.Kind));
    Collector.add(MetricId::PeerBytes, toDouble(Row.BytesSent),
                  {{"kind", Kind}, {"direction", "sent"}});
    Collector.add(MetricId::PeerBytes, toDouble(Row.BytesReceived),
                  {{"kind", Kind}, {"direction", "received"}});
  }
  for (const PeerRefusals &Row : Status.RefusedMessages)
    Collector.add(MetricId::PeerRefusedMessages, toDouble(Row.Count),
                  {{"reason", std::string(resultName(Row.Reason))}});
  Collector.add(MetricId::PeerConnections, toDouble(Status.PeerConnections));
  Collector.add(MetricId::PeerQueuedBytes, toDouble(Status.PeerQueuedBytes));
  Collector.add(MetricId::PeerQueuedFrames, toDouble(Status.PeerQueuedFrames));
}

void addCallers(const CallerServerStatus &Callers, MetricCollector &Collector) {
  Collector.add(MetricId::ClientConnections, toDouble(Callers.Connections));
  Collector.add(MetricId::ClientBytes, toDouble(Callers.HeldBytes));
  Collector.add(MetricId::ClientBytesLimit, toDouble(Callers.LimitBytes));
  Collector.add(MetricId::ClientsClosed, toDouble(Callers.ClosedConnections));
  Collector.add(MetricId::ClientsTooSlow, toDouble(Callers.SlowClients));
}

void addCalls(const CallStatus &Calls, MetricCollector &Collector) {
  for (const auto &[Code, Counts] : Calls.Results) {
    const std::string Name(resultName(Code));
    const auto Add = [&](Outcome Ran, std::uint64_t Count) {
      Collector.add(
          MetricId::Calls, toDouble(Count),
          {{"result", Name}, {"outcome", std::string(outcomeName(Ran))}});
    };
    Add(Outcome::NotRun, Counts.NotRun);
    Add(Outcome::Ran, Counts.Ran);
    Add(Outcome::Unknown, Counts.Unknown);
  }
  Collector.add(MetricId::CallsEntered, toDouble(Calls.Entered));
  Collector.add(MetricId::Retries, toDouble(Calls.Retries));
  Collector.add(MetricId::Fetches, toDouble(Calls.Fetches));
  Collector.add(MetricId::CallSeconds, Calls.EntryLatency);
  Collector.add(MetricId::TargetInFlight, toDouble(Calls.InFlight));
  Collector.add(MetricId::TargetLimit, toDouble(Calls.Limit));
  Collector.add(MetricId::TargetSlots, toDouble(Calls.Slots));
  Collector.add(MetricId::TargetQueued, toDouble(Calls.Queued));
  Collector.add(MetricId::TargetQueuedBytes, toDouble(Calls.QueuedBytes));
  Collector.add(MetricId::TargetRuns, toDouble(Calls.Runs));
  Collector.add(MetricId::TargetCrashes, toDouble(Calls.Crashes));
  Collector.add(MetricId::QueueDisplaced, toDouble(Calls.Displaced));
  Collector.add(MetricId::QueueStartedLate, toDouble(Calls.StartedLate));
  Collector.add(MetricId::QueueShed, toDouble(Calls.Shed));
  Collector.add(MetricId::TargetSeconds, Calls.TargetLatency);
  Collector.add(MetricId::QueueSeconds, Calls.QueueWait);
  Collector.add(MetricId::AnswerBytesKept, toDouble(Calls.KeptBytes));
  Collector.add(MetricId::AnswerBytesLimit, toDouble(Calls.AnswerLimit));
  Collector.add(MetricId::AnswerBytesJoining, toDouble(Calls.JoiningBytes));
  Collector.add(MetricId::LinkBacklogBytes, toDouble(Calls.LinkBacklogBytes));
  Collector.add(MetricId::LinkRefusals, toDouble(Calls.LinkRefusals));
  Collector.add(MetricId::DependentRefusals, toDouble(Calls.DependentRefusals));
  Collector.add(MetricId::DependentRoutesLimited,
                toDouble(Calls.DependentRoutesLimited));
  Collector.add(MetricId::StagedBodies, toDouble(Calls.StagedBodies));
  Collector.add(MetricId::BodyBytes, toDouble(Calls.BodyBytes));
  Collector.add(MetricId::BodyBytesLimit, toDouble(Calls.BodyLimit));
}

void addOrganisations(const LimiterStatus &Status, MetricCollector &Collector) {
  for (const OrganisationStatus &Row : Status.Organisations) {
    const Labels SampleLabels = {{"organisation", Row.Name}};
    Collector.add(MetricId::OrganisationAdmitted, toDouble(Row.Admitted),
                  SampleLabels);
    Collector.add(MetricId::OrganisationRefused, toDouble(Row.Refused),
                  SampleLabels);
    Collector.add(MetricId::OrganisationTokens, Row.TokensHeld, SampleLabels);
  }
}

} // namespace

std::string metricsText(const NodeStatus &Status) {
  MetricCollector Collector;
  addNode(Status, Collector);
  addPeers(Status, Collector);
  Collector.add(MetricId::AnswerBytesReceiving,
                toDouble(Status.ReceivingBytes));
  addCallers(Status.Callers, Collector);
  addCalls(Status.Calls, Collector);
  addOrganisations(Status.Organisations, Collector);
  return Collector.text();
}

} // namespace fescuewood
