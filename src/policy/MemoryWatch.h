/// \file
/// Notices when a process has used most of its machine's memory.

#ifndef FESCUEWOOD_POLICY_MEMORYWATCH_H
#define FESCUEWOOD_POLICY_MEMORYWATCH_H

#include <cstddef>

namespace fescuewood {

/// Share of the machine's memory above which the use is high.
inline constexpr double HighMemoryShare = 0.8;

/// Share below which a further rise is noticed again.
inline constexpr double NormalMemoryShare = 0.7;

/// Compares the resident memory with the memory of the machine.
class MemoryWatch {
public:
  /// Takes a measurement. Returns true when the use has become high.
  bool update(std::size_t ResidentBytes, std::size_t MachineBytes) {
    const auto Machine = static_cast<double>(MachineBytes);
    const auto Resident = static_cast<double>(ResidentBytes);
    if (Resident < Machine * NormalMemoryShare)
      High = false;
    const bool Rose = !High && Resident > Machine * HighMemoryShare;
    High = High || Rose;
    return Rose;
  }

private:
  bool High = false;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_MEMORYWATCH_H
