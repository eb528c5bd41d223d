/// \file
/// Memory of this process and of its machine, and the limit on its descriptors,
/// as the kernel reports them.

#ifndef FESCUEWOOD_CORE_PROCESSMEMORY_H
#define FESCUEWOOD_CORE_PROCESSMEMORY_H

#include <cstddef>
#include <optional>
#include <string_view>

namespace fescuewood {

/// The machine's memory in bytes, from the text of `/proc/meminfo`;
/// std::nullopt if it is not stated there.
std::optional<std::size_t> parseMachineMemory(std::string_view MemInfo);

/// The resident memory in bytes, from the text of `/proc/self/statm`;
/// std::nullopt if it is malformed.
std::optional<std::size_t> parseResidentMemory(std::string_view StatM,
                                               std::size_t PageBytes);

/// The memory of the machine; std::nullopt if it cannot be read.
std::optional<std::size_t> machineMemory();

/// The resident memory of this process; std::nullopt if it cannot be read.
std::optional<std::size_t> residentMemory();

/// Maximum number of open descriptors of this process; std::nullopt if it is
/// not limited.
std::optional<std::size_t> descriptorLimit();

/// Memory that the allocator holds, in bytes.
struct HeapUse {
  std::size_t Used = 0; ///< Allocated.
  std::size_t Free = 0; ///< Freed, but not returned to the system.
};

/// The heap of this process, over all of the allocator's arenas.
HeapUse heapUse();

/// Makes the allocator return large blocks to the system when they are freed.
/// By default it keeps room for the largest ones in the heap of each thread.
/// Call before other threads start.
void returnLargeBlocks();

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_PROCESSMEMORY_H
