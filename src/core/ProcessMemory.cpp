#include "core/ProcessMemory.h"

#include "core/ReadFile.h"
#include "core/Trim.h"

#include <charconv>
#include <malloc.h>
#include <sys/resource.h>
#include <system_error>
#include <unistd.h>

namespace fescuewood {

namespace {

constexpr std::string_view MachineMemoryField = "MemTotal:";
constexpr std::string_view Blanks = " \t";
constexpr std::size_t BytesPerKilobyte = 1024;
constexpr std::size_t MaxProcFileBytes = 64 * 1024;

/// Blocks from this size on are mapped one by one; below it, mapping costs more
/// time than it saves memory.
constexpr int MappedBlockBytes = 1024 * 1024;

/// Free bytes at the end of a heap that are kept, as the allocator relates them
/// to the size of mapped blocks.
constexpr int KeptFreeBytes = 2 * MappedBlockBytes;

/// The number at the start of \p Text, after blanks.
std::optional<std::size_t> leadingNumber(std::string_view Text) {
  const std::string_view Digits = trimmed(Text, Blanks);
  std::size_t Value = 0;
  const auto Result =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Value);
  if (Result.ec != std::errc())
    return std::nullopt;
  return Value;
}

} // namespace

std::optional<std::size_t> parseMachineMemory(std::string_view MemInfo) {
  const std::size_t Start = MemInfo.find(MachineMemoryField);
  if (Start == std::string_view::npos)
    return std::nullopt;
  const auto Kilobytes =
      leadingNumber(MemInfo.substr(Start + MachineMemoryField.size()));
  if (!Kilobytes || *Kilobytes == 0)
    return std::nullopt;
  return *Kilobytes * BytesPerKilobyte;
}

std::optional<std::size_t> parseResidentMemory(std::string_view StatM,
                                               std::size_t PageBytes) {
  // The first number is the size of the address space.
  const std::size_t Gap = StatM.find(' ');
  if (Gap == std::string_view::npos)
    return std::nullopt;
  const auto Pages = leadingNumber(StatM.substr(Gap));
  if (!Pages)
    return std::nullopt;
  return *Pages * PageBytes;
}

std::optional<std::size_t> machineMemory() {
  return parseMachineMemory(
      readFile("/proc/meminfo", MaxProcFileBytes).value_or(""));
}

std::optional<std::size_t> residentMemory() {
  const long PageBytes = sysconf(_SC_PAGESIZE);
  if (PageBytes <= 0)
    return std::nullopt;
  return parseResidentMemory(
      readFile("/proc/self/statm", MaxProcFileBytes).value_or(""),
      static_cast<std::size_t>(PageBytes));
}

std::optional<std::size_t> descriptorLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0 || Limit.rlim_cur == RLIM_INFINITY)
    return std::nullopt;
  return static_cast<std::size_t>(Limit.rlim_cur);
}

HeapUse heapUse() {
  const struct mallinfo2 Info = mallinfo2();
  return {Info.uordblks + Info.hblkhd, Info.fordblks};
}

void returnLargeBlocks() {
  mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
  mallopt(M_TRIM_THRESHOLD, KeptFreeBytes);
}

} // namespace fescuewood
