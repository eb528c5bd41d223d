#include "policy/ShareHistory.h"

#include <utility>

namespace fescuewood {

void ShareHistory::add(const Version &Id, std::uint64_t Division,
                       SlotShares Shares) {
  if (!Entries.empty()) {
    Entry &Last = Entries.back();
    if (Id <= Last.Run.Current)
      return;
    if (Last.Run.Division == Division) {
      Last.Run.Current = Id;
      return;
    }
  }
  Entries.push_back({{Division, Id, Id}, std::move(Shares), std::nullopt});
  if (Entries.size() > MaxDivisions)
    mergeOldest();
}

void ShareHistory::mergeOldest() {
  const Entry Oldest = std::move(Entries.front());
  Entries.pop_front();
  Entry &Next = Entries.front();
  SlotShares Merged;
  for (const auto &[Name, Share] : Next.Shares) {
    const auto It = Oldest.Shares.find(Name);
    if (It != Oldest.Shares.end())
      Merged[Name] = memberwiseMin(Share, It->second);
  }
  Next.Shares = std::move(Merged);
}

void ShareHistory::onAgreement(TimeMs Now) {
  if (!Entries.empty() && !Entries.back().AgreedAt)
    Entries.back().AgreedAt = Now;
}

void ShareHistory::dropPendingAgreements() {
  for (Entry &E : Entries)
    E.AgreedAt.reset();
}

void ShareHistory::dropAgreements() {
  dropPendingAgreements();
  HasAgreedVersion = false;
}

bool ShareHistory::update(TimeMs Now) {
  for (std::size_t I = Entries.size(); I-- > 0;) {
    const auto &AgreedAt = Entries[I].AgreedAt;
    if (!AgreedAt || Now - *AgreedAt < Fence)
      continue;
    const bool Changed = I > 0 || !HasAgreedVersion;
    Entries.erase(Entries.begin(),
                  Entries.begin() + static_cast<std::ptrdiff_t>(I));
    HasAgreedVersion = true;
    return Changed;
  }
  return false;
}

TokenShare ShareHistory::share(std::string_view Organisation) const {
  if (!HasAgreedVersion)
    return {};
  std::optional<TokenShare> Least;
  for (const Entry &E : Entries) {
    const auto It = E.Shares.find(Organisation);
    if (It == E.Shares.end())
      return {};
    Least = Least ? memberwiseMin(*Least, It->second) : It->second;
  }
  return Least.value_or(TokenShare());
}

SlotShares ShareHistory::shares() const {
  SlotShares Result;
  if (Entries.empty())
    return Result;
  for (const auto &[Name, Ignored] : Entries.back().Shares)
    Result[Name] = share(Name);
  return Result;
}

std::optional<DivisionRun> ShareHistory::currentRun() const {
  if (Entries.empty())
    return std::nullopt;
  return Entries.back().Run;
}

std::optional<DivisionRun> ShareHistory::agreedRun() const {
  if (!HasAgreedVersion)
    return std::nullopt;
  return Entries.front().Run;
}

} // namespace fescuewood
