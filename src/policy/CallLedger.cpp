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
  Entry.FirstSeen = Now;
  add(Id, std::move(Entry));
  return Arrival::New;
}

std::size_t CallLedger::finish(const CallId &Id, std::string Answer,
                               TimeMs KeepUntil, TimeMs Now) {
  const auto Found = Entries.find(Id);
  if (Found == Entries.end() ||
      Found->second.Progress != LedgerEntry::State::Running)
    return 0;
  LedgerEntry &Entry = Found->second;
  Entry.Progress = LedgerEntry::State::Done;
  Entry.KeepUntil = std::min(KeepUntil, Now + Limits.KeepAnswers);
  Entry.HasAnswer = true;
  KeptBytes += Answer.size();
  Entry.Answer = std::move(Answer);
  Answers.emplace(Entry.KeepUntil, Id);
  return makeRoom(Id);
}

void CallLedger::release(const CallId &Id) {
  const auto Found = Entries.find(Id);
  if (Found != Entries.end() && Found->second.HasAnswer)
    dropAnswer(Id, Found->second);
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
  Entry.FirstSeen = Now;
  add(Id, std::move(Entry));
  return true;
}

const LedgerEntry *CallLedger::find(const CallId &Id) const {
  const auto Found = Entries.find(Id);
  return Found == Entries.end() ? nullptr : &Found->second;
}

DurationMs CallLedger::remembered(TimeMs Now) const {
  // An id first seen in the same millisecond may have been evicted.
  constexpr DurationMs Resolution(1);
  return std::max(DurationMs(0), Now - CompleteSince - Resolution);
}

void CallLedger::expire(TimeMs Now) {
  while (!Answers.empty() && Answers.begin()->first <= Now) {
    const CallId Id = Answers.begin()->second;
    dropAnswer(Id, Entries.at(Id));
  }
  while (!IdsByFirstSeen.empty()) {
    const LedgerEntry &Oldest = Entries.at(IdsByFirstSeen.front());
    if (Now - Oldest.FirstSeen < Limits.KeepIds || !evictOldest())
      break;
  }
}

bool CallLedger::belowWatermark(const CallId &Id) const {
  const auto Found = Watermarks.find(Id.Process);
  return Found != Watermarks.end() && Id.Sequence <= Found->second.Sequence;
}

void CallLedger::add(const CallId &Id, LedgerEntry Entry) {
  Entries.emplace(Id, std::move(Entry));
  IdsByFirstSeen.push_back(Id);
  while (Entries.size() > Limits.MaxIds && evictOldest()) {
  }
}

void CallLedger::dropAnswer(const CallId &Id, LedgerEntry &Entry) {
  Answers.erase({Entry.KeepUntil, Id});
  // Assigning an empty string would keep the buffer.
  KeptBytes -= std::exchange(Entry.Answer, {}).size();
  Entry.HasAnswer = false;
}

/// Drops the answers that expire first until the rest fit, but not the newest.
std::size_t CallLedger::makeRoom(const CallId &Newest) {
  std::size_t Dropped = 0;
  auto Next = Answers.begin();
  while (KeptBytes > Limits.MaxKeptBytes && Next != Answers.end()) {
    const CallId Id = Next->second;
    ++Next;
    if (Id == Newest)
      continue;
    dropAnswer(Id, Entries.at(Id));
    ++Dropped;
  }
  return Dropped;
}

bool CallLedger::evictOldest() {
  // Running calls are never evicted; the queue and the slots bound their
  // number.
  const auto Oldest = std::find_if(
      IdsByFirstSeen.begin(), IdsByFirstSeen.end(), [this](const CallId &Id) {
        return Entries.at(Id).Progress != LedgerEntry::State::Running;
      });
  if (Oldest == IdsByFirstSeen.end())
    return false;
  const CallId Id = *Oldest;
  LedgerEntry &Entry = Entries.at(Id);
  CompleteSince = std::max(CompleteSince, Entry.FirstSeen);
  if (Entry.HasAnswer)
    dropAnswer(Id, Entry);
  raiseWatermark(Id, Entry.FirstSeen);
  IdsByFirstSeen.erase(Oldest);
  Entries.erase(Id);
  return true;
}

void CallLedger::raiseWatermark(const CallId &Id, TimeMs Now) {
  Watermark &Mark = Watermarks[Id.Process];
  Mark.Sequence = std::max(Mark.Sequence, Id.Sequence);
  Mark.RaisedAt = Now;
  if (Watermarks.size() <= MaxLedgerIncarnations)
    return;
  const auto Oldest = std::min_element(
      Watermarks.begin(), Watermarks.end(), [](const auto &A, const auto &B) {
        return A.second.RaisedAt < B.second.RaisedAt;
      });
  Watermarks.erase(Oldest);
}

} // namespace fescuewood
