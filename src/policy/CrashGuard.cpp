#include "policy/CrashGuard.h"

#include "core/Digest.h"

#include <algorithm>
#include <exception>
#include <msgpack.hpp>
#include <tuple>
#include <utility>
#include <vector>

namespace fescuewood {

namespace {

/// Encoded crash: request, crash id, age in milliseconds, cleared.
using WireCrash = std::tuple<std::uint64_t, std::uint64_t, std::int64_t, bool>;

void appendWithLength(std::string &Text, std::string_view Part) {
  // The length prefix makes the concatenation unambiguous.
  Text += std::to_string(Part.size());
  Text += ':';
  Text += Part;
}

} // namespace

RequestFingerprint fingerprintOf(const CallRequest &Request) {
  std::string Text;
  appendWithLength(Text, Request.Organisation);
  appendWithLength(Text, Request.Route);
  appendWithLength(Text, Request.Method);
  appendWithLength(Text, Request.Target);
  appendWithLength(Text, Request.Body);
  return keyDigestPrefix(Digest::sha256(Text));
}

bool CrashGuard::onCrash(RequestFingerprint Request, CrashId Id, TimeMs Now) {
  const auto Known = Marks.find(Request);
  const std::size_t Before =
      Known == Marks.end() ? 0 : activeCrashes(Known->second);
  add(Request, Id, {Now, false});
  const auto Marked = Marks.find(Request);
  const std::size_t After =
      Marked == Marks.end() ? 0 : activeCrashes(Marked->second);
  return Before < Settings.CrashLimit && After >= Settings.CrashLimit;
}

void CrashGuard::onSuccess(RequestFingerprint Request) {
  const auto Found = Marks.find(Request);
  if (Found == Marks.end())
    return;
  for (auto &[Id, Entry] : Found->second.Crashes)
    Entry.Cleared = true;
}

bool CrashGuard::shouldRefuse(RequestFingerprint Request, TimeMs Now) {
  const auto Found = Marks.find(Request);
  if (Found == Marks.end())
    return false;
  Mark &Entry = Found->second;
  const std::size_t Count = activeCrashes(Entry);
  if (Count < Settings.CrashLimit)
    return false;
  DurationMs Wait = Settings.FirstTrial;
  for (std::size_t I = Settings.CrashLimit; I < Count; ++I)
    Wait = Wait * TrialBackoff;
  const TimeMs Since =
      Entry.Trial ? std::max(*Entry.Trial, Entry.Newest) : Entry.Newest;
  if (Now - Since < Wait)
    return true;
  Entry.Trial = Now;
  return false;
}

void CrashGuard::expire(TimeMs Now) {
  for (auto &[Request, Entry] : Marks)
    std::erase_if(Entry.Crashes, [this, Now](const auto &Item) {
      return Now - Item.second.At >= Settings.Memory;
    });
  std::erase_if(Marks,
                [](const auto &Item) { return Item.second.Crashes.empty(); });
}

std::size_t CrashGuard::quarantined() const {
  return static_cast<std::size_t>(
      std::count_if(Marks.begin(), Marks.end(), [this](const auto &Item) {
        return activeCrashes(Item.second) >= Settings.CrashLimit;
      }));
}

std::string CrashGuard::encode(TimeMs Now) const {
  if (Marks.empty())
    return {};
  std::vector<std::pair<TimeMs, RequestFingerprint>> Newest;
  Newest.reserve(Marks.size());
  for (const auto &[Request, Entry] : Marks)
    Newest.emplace_back(Entry.Newest, Request);
  std::sort(Newest.rbegin(), Newest.rend());
  if (Newest.size() > MaxCrashMarksSent)
    Newest.resize(MaxCrashMarksSent);
  std::vector<WireCrash> Wire;
  for (const auto &[At, Request] : Newest)
    for (const auto &[Id, Entry] : Marks.at(Request).Crashes)
      Wire.emplace_back(Request, Id, (Now - Entry.At).Value, Entry.Cleared);
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Wire);
  return {Buffer.data(), Buffer.size()};
}

void CrashGuard::merge(std::string_view Bytes, TimeMs Now) {
  constexpr std::size_t MaxItems = MaxCrashMarksSent * MaxCrashesPerMark;
  if (Bytes.empty())
    return;
  std::vector<WireCrash> Wire;
  try {
    const msgpack::unpack_limit Limit(MaxItems, 0, 0, 0, 0, 4);
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size(), nullptr, nullptr, Limit);
    Handle.get().convert(Wire);
  } catch (const std::exception &) {
    return;
  }
  for (const auto &[Request, Id, Age, Cleared] : Wire) {
    if (Age < 0 || Age >= Settings.Memory.Value)
      continue;
    add(Request, Id, {Now - DurationMs(Age), Cleared});
  }
}

std::size_t CrashGuard::activeCrashes(const Mark &Entry) {
  return static_cast<std::size_t>(
      std::count_if(Entry.Crashes.begin(), Entry.Crashes.end(),
                    [](const auto &Item) { return !Item.second.Cleared; }));
}

void CrashGuard::add(RequestFingerprint Request, CrashId Id, Crash New) {
  Mark &Entry = Marks[Request];
  const auto [Position, Added] = Entry.Crashes.emplace(Id, New);
  // A mark's encoded age excludes its transit time, so the earliest time is the
  // most accurate. Keeping it also stops nodes from renewing a mark by passing
  // it back and forth.
  Position->second.At = std::min(Position->second.At, New.At);
  Position->second.Cleared = Position->second.Cleared || New.Cleared;
  if (Added)
    Entry.Newest =
        Entry.Crashes.size() == 1 ? New.At : std::max(Entry.Newest, New.At);
  if (Entry.Crashes.size() > MaxCrashesPerMark) {
    Entry.Crashes.erase(std::min_element(Entry.Crashes.begin(),
                                         Entry.Crashes.end(),
                                         [](const auto &A, const auto &B) {
                                           return A.second.At < B.second.At;
                                         }));
  }
  if (Marks.size() <= MaxCrashMarks)
    return;
  Marks.erase(std::min_element(Marks.begin(), Marks.end(),
                               [](const auto &A, const auto &B) {
                                 return A.second.Newest < B.second.Newest;
                               }));
}

} // namespace fescuewood
