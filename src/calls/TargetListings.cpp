// The target's listing and its state, as the node refuses calls by them and
// publishes them. TargetSide.cpp has the rest of the class.

#include "calls/TargetSide.h"

#include <string>

namespace fescuewood {

void TargetSide::onListed(const std::optional<ListedInstance> &Entry) {
  const bool Renamed = Entry && Entry->TargetId != NamedTarget;
  const bool Replaced = Renamed && !NamedTarget.empty();
  Listing.setEntry(Entry);
  if (Renamed) {
    NamedTarget = Entry->TargetId;
    MistakenUntil = Context.now();
  }
  const bool IsWritten = Entry && !Entry->AssumedUntil;
  if (IsWritten) {
    Announced.setTarget(Entry->TargetId, Entry->StartedAtMs, Context.now());
    Limit.setSlots(Entry->Slots);
    if (Entry->ColdFor > DurationMs(0))
      setColdFor(Entry->ColdFor);
  }
  reportListing();
  // The limit and state of a down or replaced target no longer apply.
  if (Replaced || (IsWritten && Down)) {
    Down = false;
    Limit.reset(Context.now());
  }
  askForNotice();
  applyListing();
}

void TargetSide::onReport(const MemberListing &Report) {
  const ResultCode Before = Listing.refusal(Context.now());
  Listing.setReport(Report);
  if (Listing.refusal(Context.now()) == Before)
    return;
  reportListing();
  applyListing();
}

void TargetSide::reportListing() const {
  const auto &Entry = Listing.entry();
  const ResultCode Refusal = Listing.refusal(Context.now());
  const std::string Left =
      Entry && Entry->AssumedUntil && *Entry->AssumedUntil != Never
          ? std::to_string((*Entry->AssumedUntil - Context.now()).Value)
          : "";
  Context.report(
      EventId::OwnTargetListed,
      {{"target", Entry ? Entry->TargetId : ""},
       {"state", Refusal == ResultCode::Ok               ? "live"
                 : Refusal == ResultCode::TargetDraining ? "leaving"
                                                         : "unlisted"},
       {"cold_ms", std::to_string(Entry ? Entry->ColdFor.Value : 0)},
       {"version", std::to_string(Entry ? Entry->Revision : 0)},
       {"evidence", std::string(Listing.evidence())},
       {"assumed_ms", Left}});
}

/// Refuses queued calls that the target may not get any more, and starts those
/// that it may get now.
void TargetSide::applyListing() {
  const ResultCode Refusal = refusalByListing();
  if (Refusal != ResultCode::Ok)
    refuseQueued(Refusal);
  updateState();
  startQueued();
}

ResultCode TargetSide::refusalByListing() const {
  if (Announced.leaving())
    return ResultCode::TargetDraining;
  if (!Context.Identity.TargetListed)
    return ResultCode::Ok;
  if (Context.now() < MistakenUntil)
    return ResultCode::TargetUnlisted;
  return Listing.refusal(Context.now());
}

void TargetSide::updateState() {
  const TargetState Own = ownState();
  if (PublishedState != Own) {
    PublishedState = Own;
    if (Context.Hooks.OnTargetState)
      Context.Hooks.OnTargetState(Own);
  }
  TargetState Next = Own;
  if (Own < TargetState::Draining) {
    const ResultCode Refusal = refusalByListing();
    if (Refusal == ResultCode::TargetDraining)
      Next = TargetState::Draining;
    else if (Refusal != ResultCode::Ok)
      Next = TargetState::Down;
  }
  if (ReportedState == Next)
    return;
  ReportedState = Next;
  Context.report(EventId::TargetStateChanged,
                 {{"target", Context.Identity.Name},
                  {"state", std::string(targetStateName(Next))}});
}

/// The state of the target apart from its listing, which other nodes know from
/// the platform and from gossip. If this node published it as its target's own
/// state, it would hold until the next state has reached everyone.
TargetState TargetSide::ownState() {
  if (Context.DrainEnd || Announced.leaving())
    return TargetState::Draining;
  const bool NeverListed = Context.Identity.TargetListed && NamedTarget.empty();
  if (Down || NeverListed || Context.now() < MistakenUntil)
    return TargetState::Down;
  return Limit.cold() || Warmup.cold(Context.now()) ? TargetState::Cold
                                                    : TargetState::Ready;
}

} // namespace fescuewood
