#include "policy/AnswerMemory.h"

#include <algorithm>

namespace fescuewood {

namespace {

/// Weight of a new answer in the mean of its route.
constexpr double NewestWeight = 0.125;

constexpr int FirstFailureStatus = 400;

} // namespace

std::size_t answerMemoryLimit(std::size_t MaxBytes, double Share,
                              std::size_t MachineBytes) {
  if (MachineBytes == 0)
    return MaxBytes;
  const double Bytes = Share * static_cast<double>(MachineBytes);
  return std::min(MaxBytes, static_cast<std::size_t>(Bytes));
}

bool AnswerMemory::fits(std::string_view Route, std::size_t HeldBytes) const {
  const std::size_t Others = HeldBytes + Reserved;
  return !expectsLarge(Route) || Others == 0 ||
         Others + expectedBytes(Route) <= Limit;
}

std::size_t AnswerMemory::reserve(std::string_view Route) {
  const std::size_t Expected = expectedBytes(Route);
  Reserved += Expected;
  return Expected;
}

void AnswerMemory::onAnswer(std::string_view Route, int Status,
                            std::size_t Bytes) {
  if (Status >= FirstFailureStatus)
    return;
  const auto Size = static_cast<double>(Bytes);
  const auto Found = MeanBytes.find(Route);
  if (Found != MeanBytes.end()) {
    Found->second += NewestWeight * (Size - Found->second);
    return;
  }
  if (MeanBytes.size() >= MaxSizedRoutes)
    forgetSmallest();
  MeanBytes.emplace(Route, Size);
}

void AnswerMemory::forgetSmallest() {
  MeanBytes.erase(std::min_element(MeanBytes.begin(), MeanBytes.end(),
                                   [](const auto &Left, const auto &Right) {
                                     return Left.second < Right.second;
                                   }));
}

std::size_t AnswerMemory::expectedBytes(std::string_view Route) const {
  const auto Found = MeanBytes.find(Route);
  return Found == MeanBytes.end() ? 0 : static_cast<std::size_t>(Found->second);
}

} // namespace fescuewood
