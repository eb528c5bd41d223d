#include "platform/StoreClient.h"

#include "platform/PlatformNames.h"
#include "platform/StoreCodec.h"
#include "sources/HttpReader.h"

#include <memory>
#include <utility>

#include <fmt/format.h>

namespace fescuewood::platform {

namespace {

/// Time from the first byte of an answer to its end, as a multiple of the time
/// until its first byte: a whole configuration may cross a slow link, and what
/// has arrived of it is lost when it is given up.
constexpr std::int64_t TransferFactor = 4;

std::string_view prefixOf(StoreSubject Subject) {
  switch (Subject) {
  case StoreSubject::Target:
    return TargetPrefix;
  case StoreSubject::Configuration:
  case StoreSubject::DomainOut:
    return OperatorPrefix;
  case StoreSubject::Other:
    break;
  }
  return "";
}

bool isUnreserved(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') || C == '-' || C == '.' || C == '_' ||
         C == '~' || C == '/';
}

std::string percentEncoded(std::string_view Text) {
  std::string Result;
  for (const char C : Text) {
    if (isUnreserved(C))
      Result += C;
    else
      Result += fmt::format("%{:02X}", static_cast<unsigned char>(C));
  }
  return Result;
}

template <typename T>
PlatformRead<T> decodeAnswer(PlatformRead<std::string> Answer,
                             PlatformRead<T> (*Decode)(std::string_view)) {
  if (Answer.Reason != ResultCode::Ok)
    return {std::nullopt, Answer.Reason, std::move(Answer.Detail)};
  return Decode(Answer.Value.value_or(""));
}

} // namespace

StoreCalls storeCalls(const Endpoint &Server, DurationMs Timeout,
                      std::uint16_t NodePort) {
  // Shared because the calls are copyable and must all use the same reader.
  const auto Reader = std::make_shared<HttpReader>(Server, Timeout);
  StoreCalls Calls;
  Calls.Range = [Reader, Timeout](StoreSubject Subject,
                                  std::string_view After) {
    std::string Path =
        fmt::format("{}?prefix={}", RangePath, prefixOf(Subject));
    if (!After.empty())
      Path += "&after=" + percentEncoded(After);
    return decodeAnswer(
        Reader->get(Path, DurationMs(0), Timeout * TransferFactor),
        &decodePage);
  };
  Calls.Watch = [Reader, Timeout](std::uint64_t After, DurationMs Wait) {
    const std::string Path = fmt::format("{}?prefix=&after={}&wait_ms={}",
                                         WatchPath, After, Wait.Value);
    return decodeAnswer(Reader->get(Path, Wait, Timeout * TransferFactor),
                        &decodeChanges);
  };
  Calls.DecodeTarget = [NodePort](std::string_view Id, std::string_view Value) {
    return decodeTarget(Id, Value, NodePort);
  };
  Calls.Cancel = [Reader] { Reader->cancel(); };
  return Calls;
}

} // namespace fescuewood::platform
