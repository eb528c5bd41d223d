/// \file
/// Numbered result codes, shared by logs, responses and docs/RESULT_CODES.md.
///
/// A function that can fail returns `std::optional`, and its object keeps the
/// code as the reason of the last failure. New codes are added to
/// ResultCode.def.

#ifndef FESCUEWOOD_CORE_RESULTCODE_H
#define FESCUEWOOD_CORE_RESULTCODE_H

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace fescuewood {

/// Reason for a rejection or failure. The value is the documented number.
enum class ResultCode : std::uint16_t {
#define FESCUEWOOD_RESULT(Name, Number, Text) Name = (Number),
#include "core/ResultCode.def"
#undef FESCUEWOOD_RESULT
};

/// Entry in the table of result codes.
struct ResultCodeEntry {
  ResultCode Code;
  std::string_view Name;
  std::string_view Text;
};

/// All result codes, ordered by number.
std::span<const ResultCodeEntry> resultCodes();

/// Name of a code in the source and the documentation, such as "RouteUnknown".
std::string_view resultName(ResultCode Code);

/// Human-readable description.
std::string_view resultText(ResultCode Code);

/// Code for a number received from the wire, or std::nullopt if unknown.
std::optional<ResultCode> resultFromNumber(std::uint16_t Number);

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_RESULTCODE_H
