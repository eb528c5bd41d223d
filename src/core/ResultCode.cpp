#include "core/ResultCode.h"

#include <algorithm>
#include <array>

namespace fescuewood {

namespace {

constexpr auto Entries = std::to_array<ResultCodeEntry>({
#define FESCUEWOOD_RESULT(Name, Number, Text) {ResultCode::Name, #Name, Text},
#include "core/ResultCode.def"
#undef FESCUEWOOD_RESULT
});

const ResultCodeEntry *find(ResultCode Code) {
  const auto *It =
      std::find_if(Entries.begin(), Entries.end(),
                   [&](const ResultCodeEntry &E) { return E.Code == Code; });
  return It == Entries.end() ? nullptr : It;
}

} // namespace

std::span<const ResultCodeEntry> resultCodes() { return Entries; }

std::string_view resultName(ResultCode Code) {
  const ResultCodeEntry *Entry = find(Code);
  return Entry ? Entry->Name : "Unlisted";
}

std::string_view resultText(ResultCode Code) {
  const ResultCodeEntry *Entry = find(Code);
  return Entry ? Entry->Text : "a code that this version does not know";
}

std::optional<ResultCode> resultFromNumber(std::uint16_t Number) {
  const ResultCodeEntry *Entry = find(static_cast<ResultCode>(Number));
  if (!Entry)
    return std::nullopt;
  return Entry->Code;
}

} // namespace fescuewood
