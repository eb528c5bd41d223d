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
  // One half for the versions, one for the vacancies.
  const std::size_t Half = (Slots.size() + BitsPerByte - 1) / BitsPerByte;
  Bits.assign(2 * Half, '\0');
  std::erase_if(Earlier, [this](const auto &Item) {
    return !std::binary_search(Slots.begin(), Slots.end(), Item.first);
  });
}

void VersionSpread::mark(std::string_view Domain, std::uint32_t Slot) {
  if (const auto Index = indexOf(Domain, Slot))
    set(*Index);
}

void VersionSpread::markVacant(std::string_view Domain, std::uint32_t Slot) {
  if (const auto Index = indexOf(Domain, Slot))
    set(vacancyBit(*Index));
}

std::vector<std::uint32_t>
VersionSpread::undecidedSlots(std::string_view Domain) const {
  std::vector<std::uint32_t> Result;
  for (std::size_t I = 0; I < Slots.size(); ++I)
    if (Slots[I].Domain == Domain && !isSet(I) && !isSet(vacancyBit(I)))
      Result.push_back(Slots[I].Slot);
  return Result;
}

void VersionSpread::forget() {
  std::fill(Bits.begin(), Bits.end(), '\0');
  Earlier.clear();
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
  const auto Index = indexOf(Domain, Slot);
  if (Index && isSet(*Index))
    return Present;
  const auto Known = Earlier.find({std::string(Domain), Slot});
  if (Known == Earlier.end())
    return std::nullopt;
  return Known->second;
}

bool VersionSpread::hasReachedAllSlots(const Version &Wanted) const {
  for (std::size_t I = 0; I < Slots.size(); ++I) {
    const auto Known = slotVersion(Slots[I].Domain, Slots[I].Slot);
    if (!isSet(vacancyBit(I)) && (!Known || *Known < Wanted))
      return false;
  }
  return !Slots.empty();
}

std::optional<std::size_t> VersionSpread::indexOf(std::string_view Domain,
                                                  std::uint32_t Slot) const {
  const NodeSlot Wanted{std::string(Domain), Slot};
  const auto Found = std::lower_bound(Slots.begin(), Slots.end(), Wanted);
  if (Found == Slots.end() || *Found != Wanted)
    return std::nullopt;
  return static_cast<std::size_t>(Found - Slots.begin());
}

std::size_t VersionSpread::vacancyBit(std::size_t Index) const {
  return Bits.size() / 2 * BitsPerByte + Index;
}

bool VersionSpread::isSet(std::size_t Bit) const {
  return ((static_cast<unsigned char>(Bits[Bit / BitsPerByte]) >>
           (Bit % BitsPerByte)) &
          1U) != 0;
}

void VersionSpread::set(std::size_t Bit) {
  char &Byte = Bits[Bit / BitsPerByte];
  Byte = static_cast<char>(static_cast<unsigned char>(Byte) |
                           (1U << (Bit % BitsPerByte)));
}

} // namespace fescuewood
