#include "policy/ReadPaths.h"

#include "policy/Backoff.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

/// How long a relay is avoided, from its first failure on twice the initial
/// bound. At the upper one a relay that stays lost costs its timeout rarely,
/// and one that is back is soon used again.
constexpr Backoff Avoidance{DurationMs(500), DurationMs(8000)};

/// Relays that may fail one after the other before the store is read.
constexpr unsigned MaxVainReads = 2;

} // namespace

void ReadPaths::update(bool Reader, const std::vector<std::string> &Addresses) {
  IsReader = Reader;
  std::vector<Relay> Updated;
  Updated.reserve(Addresses.size());
  for (const std::string &Address : Addresses) {
    const Relay *Known = find(Address);
    Updated.push_back(Known ? *Known : Relay{Address});
  }
  Relays = std::move(Updated);
}

std::optional<std::string> ReadPaths::next(TimeMs Now) {
  if (IsReader)
    return std::nullopt;
  if (VainReads >= MaxVainReads) {
    VainReads = MaxVainReads - 1;
    return std::nullopt;
  }
  return alternative(Now);
}

std::optional<std::string> ReadPaths::alternative(TimeMs Now) {
  for (std::size_t Tried = 0; Tried < Relays.size(); ++Tried) {
    const Relay &Candidate = Relays[NextIndex++ % Relays.size()];
    if (Candidate.AvoidUntil <= Now)
      return Candidate.Address;
  }
  return std::nullopt;
}

void ReadPaths::onAnswered(std::string_view Address) {
  VainReads = 0;
  if (Relay *Known = find(Address))
    Known->Failures = 0;
}

void ReadPaths::onFailed(std::string_view Address, TimeMs Now) {
  ++VainReads;
  Relay *Known = find(Address);
  if (!Known)
    return;
  ++Known->Failures;
  Known->AvoidUntil = Now + Avoidance.bound(Known->Failures);
}

ReadPaths::Relay *ReadPaths::find(std::string_view Address) {
  const auto Found =
      std::find_if(Relays.begin(), Relays.end(), [Address](const Relay &Each) {
        return Each.Address == Address;
      });
  return Found == Relays.end() ? nullptr : &*Found;
}

} // namespace fescuewood
