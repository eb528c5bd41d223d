#include "core/ProcessMemory.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(ProcessMemory){};

TEST(ProcessMemory, ReadsTheMachinesMemory) {
  const auto Bytes = parseMachineMemory("MemTotal:          90112 kB\n"
                                        "MemFree:            1024 kB\n");

  CHECK_TRUE(Bytes == std::size_t{90112} * 1024);
}

TEST(ProcessMemory, RefusesTextWithoutTheMachinesMemory) {
  CHECK_FALSE(parseMachineMemory("").has_value());
  CHECK_FALSE(parseMachineMemory("MemFree: 1024 kB\n").has_value());
  CHECK_FALSE(parseMachineMemory("MemTotal: kB\n").has_value());
  CHECK_FALSE(parseMachineMemory("MemTotal: 0 kB\n").has_value());
}

TEST(ProcessMemory, ReadsTheResidentMemory) {
  CHECK_TRUE(parseResidentMemory("5000 300 200 10 0 400 0\n", 4096) ==
             std::size_t{300} * 4096);
  CHECK_FALSE(parseResidentMemory("5000", 4096).has_value());
  CHECK_FALSE(parseResidentMemory("5000 many", 4096).has_value());
}

TEST(ProcessMemory, ProcessIsSmallerThanItsMachine) {
  const auto Machine = machineMemory();
  const auto Resident = residentMemory();

  CHECK_TRUE(Machine.has_value());
  CHECK_TRUE(Resident.has_value());
  CHECK_TRUE(*Resident > 0);
  CHECK_TRUE(*Resident < *Machine);
}
