#include "nodes/PeerLink.h"

namespace fescuewood {

namespace {

constexpr DurationMs RefusalReportPeriod{1000};

} // namespace

std::string PeerLink::seal(PeerKind Kind, PeerPhase Phase,
                           std::string_view Body) {
  std::string Bytes =
      sealEnvelope({Kind, Phase, Self, StampClock.stamp(), Body}, Secret);
  Traffic.countSent(Kind, Bytes.size());
  return Bytes;
}

std::optional<PeerEnvelope> PeerLink::open(std::string_view Bytes,
                                           std::string_view Sender,
                                           ResultCode &Reason) {
  auto Message = openEnvelope(Bytes, Secret, Reason);
  if (!Message) {
    refuse(Reason, Sender);
    return std::nullopt;
  }
  Traffic.countReceived(Message->Kind, Bytes.size());
  if (!StampClock.merge(Message->Stamp) && OnEvent)
    OnEvent({EventId::PeerClockLead, {{"node", Message->Sender.Name}}});
  return Message;
}

void PeerLink::refuse(ResultCode Reason, std::string_view Sender) {
  Traffic.countRefused(Reason);
  const TimeMs Now = Clock::monotonic().now();
  std::int64_t EarliestReport = NextRefusalReport;
  if (Now.Value < EarliestReport || !OnEvent)
    return;
  const std::int64_t Next = (Now + RefusalReportPeriod).Value;
  if (!NextRefusalReport.compare_exchange_strong(EarliestReport, Next))
    return;
  OnEvent({EventId::PeerMessageRefused,
           {{"reason", std::string(resultName(Reason))},
            {"peer", std::string(Sender)}}});
}

} // namespace fescuewood
