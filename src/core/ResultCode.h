/// \file
/// Numbered result codes, the same in logs, answers and docs/RESULT_CODES.md.
///
/// A function that can fail returns `std::optional` and keeps the code as its
/// last reason. New codes go into ResultCode.def.

#ifndef FESCUEWOOD_CORE_RESULTCODE_H
#define FESCUEWOOD_CORE_RESULTCODE_H

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace fescuewood {

/// Why something was refused or failed. The value is the documented number.
enum class ResultCode : std::uint16_t {
#define FESCUEWOOD_RESULT(Name, Number, Text) Name = (Number),
#include "core/ResultCode.def"
#undef FESCUEWOOD_RESULT
};

/// One row of the table of result codes.
struct ResultCodeEntry {
  ResultCode Code;
  std::string_view Name;
  std::string_view Text;
};

/// Every code in the order of its number.
std::span<const ResultCodeEntry> resultCodes();

/// The code's name in the source and the docs, such as "RouteUnknown".
std::string_view resultName(ResultCode Code);

/// One sentence for people.
std::string_view resultText(ResultCode Code);

/// The code of a number that came over the wire, or nothing if unknown here.
std::optional<ResultCode> resultFromNumber(std::uint16_t Number);

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_RESULTCODE_H
