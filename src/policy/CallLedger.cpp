#include "policy/CallLedger.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

CallLedger::CallLedger(CallLedgerLimits Limits, TimeMs Now)
    : Limits(Limits), CompleteSince(Now) {}

CallLedger::Arrival CallLedger::begin(const CallId &Id, TimeMs Now) {
  if (Entries.contains(Id))
    return Arrival::Known;
  if (belowWatermark(Id))
    return Arrival::Stale;
  LedgerEntry Entry;
  Entry.Seen = Now;
  add(Id, std::move(Entry));
  return Arrival::New;
}

void CallLedger::finish(const CallId &Id, std::string Answer, TimeMs Now) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end() ||
      Found->second.Progress != LedgerEntry::State::Running)
    return;
  Found->second.Progress = LedgerEntry::State::Done;
  Found->second.Finished = Now;
  Found->second.Kept = true;
  KeptBytes += Answer.size();
  Found->second.Answer = std::move(Answer);
  ByAnswer.push_back(Id);
  while (KeptBytes > Limits.MaxKeptBytes && ByAnswer.size() > 1) {
    dropAnswer(Entries.at(ByAnswer.front()));
    ByAnswer.pop_front();
  }
}

void CallLedger::refuse(const CallId &Id, ResultCode Reason) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end() ||
      Found->second.Progress != LedgerEntry::State::Running)
    return;
  Found->second.Progress = LedgerEntry::State::Refused;
  Found->second.Reason = Reason;
}

bool CallLedger::fence(const CallId &Id, TimeMs Now) {
  if (const LedgerEntry *Entry = find(Id))
    return Entry->Progress == LedgerEntry::State::Refused;
  if (belowWatermark(Id))
    return false;
  LedgerEntry Entry;
  Entry.Progress = LedgerEntry::State::Refused;
  Entry.Reason = ResultCode::CallFenced;
  Entry.Seen = Now;
  add(Id, std::move(Entry));
  return true;
}

const LedgerEntry *CallLedger::find(const CallId &Id) const {
  const auto Found = Entries.find(Id);
  return Found == Entries.end() ? nullptr : &Found->second;
}

DurationMs CallLedger::remembered(TimeMs Now) const {
  // An id seen in the very millisecond of the bound may be forgotten already.
  constexpr DurationMs Resolution(1);
  return std::max(DurationMs(0), Now - CompleteSince - Resolution);
}

void CallLedger::expire(TimeMs Now) {
  while (!ByAnswer.empty()) {
    LedgerEntry &Entry = Entries.at(ByAnswer.front());
    if (Now - Entry.Finished < Limits.KeepAnswers)
      break;
    dropAnswer(Entry);
    ByAnswer.pop_front();
  }
  while (!BySeen.empty()) {
    const LedgerEntry &Oldest = Entries.at(BySeen.front());
    if (Now - Oldest.Seen < Limits.KeepIds || !forgetOldest())
      break;
  }
}

bool CallLedger::belowWatermark(const CallId &Id) const {
  const auto Found = Watermarks.find(Id.Incarnation);
  return Found != Watermarks.end() && Id.Sequence <= Found->second.Sequence;
}

void CallLedger::add(const CallId &Id, LedgerEntry Entry) {
  Entries.emplace(Id, std::move(Entry));
  BySeen.push_back(Id);
  while (Entries.size() > Limits.MaxIds && forgetOldest()) {
  }
}

void CallLedger::dropAnswer(LedgerEntry &Entry) {
  KeptBytes -= Entry.Answer.size();
  Entry.Answer = std::string();
  Entry.Kept = false;
}

bool CallLedger::forgetOldest() {
  // A running call is never forgotten; the queue and the slots bound those.
  const auto Oldest =
      std::find_if(BySeen.begin(), BySeen.end(), [this](const CallId &Id) {
        return Entries.at(Id).Progress != LedgerEntry::State::Running;
      });
  if (Oldest == BySeen.end())
    return false;
  const CallId Id = *Oldest;
  LedgerEntry &Entry = Entries.at(Id);
  CompleteSince = std::max(CompleteSince, Entry.Seen);
  if (Entry.Kept) {
    dropAnswer(Entry);
    ByAnswer.remove(Id);
  }
  raiseWatermark(Id, Entry.Seen);
  BySeen.erase(Oldest);
  Entries.erase(Id);
  return true;
}

void CallLedger::raiseWatermark(const CallId &Id, TimeMs Now) {
  Watermark &Mark = Watermarks[Id.Incarnation];
  Mark.Sequence = std::max(Mark.Sequence, Id.Sequence);
  Mark.Raised = Now;
  if (Watermarks.size() <= MaxLedgerIncarnations)
    return;
  const auto Oldest = std::min_element(
      Watermarks.begin(), Watermarks.end(), [](const auto &A, const auto &B) {
        return A.second.Raised < B.second.Raised;
      });
  Watermarks.erase(Oldest);
}

} // namespace fescuewood
