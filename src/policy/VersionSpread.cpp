#include "policy/VersionSpread.h"

#include "core/Digest.h"

#include <algorithm>

namespace fescuewood {

namespace {

constexpr std::size_t BitsPerByte = 8;

/// Most slots that are tracked; a larger declaration is cut.
constexpr std::size_t MaxSlots = 16384;

} // namespace

void VersionSpread::setVersion(const Snapshot &InForce) {
  for (std::size_t I = 0; I < Slots.size(); ++I)
    if (isSet(I))
      Earlier[Slots[I]] = Present;
  Present = InForce.Id;
  Slots.clear();
  for (const auto &[Name, Domain] : InForce.Domains)
    for (std::uint32_t I = 0; I < Domain.Nodes && Slots.size() < MaxSlots; ++I)
      Slots.push_back({Name, I});
  Bits.assign((Slots.size() + BitsPerByte - 1) / BitsPerByte, '\0');
  std::erase_if(Earlier, [this](const auto &Item) {
    return !std::binary_search(Slots.begin(), Slots.end(), Item.first);
  });
}

void VersionSpread::mark(std::string_view Domain, std::uint32_t Slot) {
  const NodeSlot Wanted{std::string(Domain), Slot};
  const auto Found = std::lower_bound(Slots.begin(), Slots.end(), Wanted);
  if (Found != Slots.end() && *Found == Wanted)
    set(static_cast<std::size_t>(Found - Slots.begin()));
}

bool VersionSpread::merge(std::string_view Other) {
  if (Other.size() != Bits.size())
    return false;
  for (std::size_t I = 0; I < Bits.size(); ++I)
    Bits[I] = static_cast<char>(Bits[I] | Other[I]);
  return true;
}

std::uint32_t VersionSpread::digest() const {
  return static_cast<std::uint32_t>(stableHash(Bits));
}

std::optional<Version> VersionSpread::slotVersion(std::string_view Domain,
                                                  std::uint32_t Slot) const {
  const NodeSlot Wanted{std::string(Domain), Slot};
  const auto Found = std::lower_bound(Slots.begin(), Slots.end(), Wanted);
  if (Found != Slots.end() && *Found == Wanted &&
      isSet(static_cast<std::size_t>(Found - Slots.begin())))
    return Present;
  const auto Known = Earlier.find(Wanted);
  if (Known == Earlier.end())
    return std::nullopt;
  return Known->second;
}

bool VersionSpread::everySlotAt(const Version &Wanted) const {
  return !Slots.empty() &&
         std::all_of(Slots.begin(), Slots.end(), [&](const NodeSlot &S) {
           const auto Known = slotVersion(S.Domain, S.Slot);
           return Known && *Known >= Wanted;
         });
}

bool VersionSpread::isSet(std::size_t Index) const {
  return ((static_cast<unsigned char>(Bits[Index / BitsPerByte]) >>
           (Index % BitsPerByte)) &
          1U) != 0;
}

void VersionSpread::set(std::size_t Index) {
  char &Byte = Bits[Index / BitsPerByte];
  Byte = static_cast<char>(static_cast<unsigned char>(Byte) |
                           (1U << (Index % BitsPerByte)));
}

} // namespace fescuewood
