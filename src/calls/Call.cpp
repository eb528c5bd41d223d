#include "calls/Call.h"

#include "callers/HeaderFields.h"

#include <algorithm>
#include <limits>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescuewood {

std::string CallId::text() const {
  return fmt::format("{:x}-{:x}", Process, Sequence);
}

std::uint64_t processId(std::string_view NodeName, std::uint64_t Incarnation) {
  return stableHash(fmt::format("{}/{:x}", NodeName, Incarnation));
}

std::size_t fieldBytes(const std::vector<Header> &Fields) {
  std::size_t Bytes = 0;
  for (const Header &Field : Fields)
    Bytes += Field.Name.size() + Field.Value.size() + FieldOverheadBytes;
  return Bytes;
}

std::string_view outcomeName(Outcome Value) {
  switch (Value) {
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Ran:
    return "ran";
  case Outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

std::uint64_t keyDigestPrefix(const Digest &Sha256) {
  std::uint64_t Prefix = 0;
  for (std::size_t I = 0; I < sizeof(Prefix); ++I)
    Prefix = (Prefix << 8U) | Sha256.Bytes[I];
  return Prefix;
}

CallRequest copyWithoutBody(CallRequest &Request) {
  std::string Body;
  Body.swap(Request.Body);
  CallRequest Copy = Request;
  Body.swap(Request.Body);
  return Copy;
}

std::string requestId(const CallRequest &Request, const HeaderScheme &Scheme) {
  const std::string *Id = findField(Request.Headers, Scheme.RequestId);
  return Id ? *Id : std::string();
}

std::uint16_t callPriority(std::uint32_t Organisation, std::uint32_t Route) {
  constexpr std::uint32_t Max = 255;
  constexpr unsigned RouteBits = 8;
  const std::uint32_t Priority =
      (std::min(Organisation, Max) << RouteBits) | std::min(Route, Max);
  return static_cast<std::uint16_t>(std::min(
      Priority + 1, std::uint32_t{std::numeric_limits<std::uint16_t>::max()}));
}

CallAnswer refusal(int Status, ResultCode Reason, Outcome RunOutcome) {
  const nlohmann::json Body = {
      {"code", static_cast<int>(Reason)},
      {"reason", std::string(resultText(Reason))},
      {"outcome", std::string(outcomeName(RunOutcome))},
  };
  CallAnswer Answer;
  Answer.Status = Status;
  Answer.Headers = {{"Content-Type", "application/json"}};
  Answer.Body = Body.dump() + "\n";
  Answer.RequestOutcome = RunOutcome;
  Answer.Reason = Reason;
  return Answer;
}

} // namespace fescuewood
