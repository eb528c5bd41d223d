#include "sources/PlatformCodec.h"

#include "core/Endpoint.h"
#include "core/JsonText.h"
#include "ini/IniReader.h"
#include "intent/CompileIntent.h"

#include <set>
#include <utility>

#include <nlohmann/json.hpp>

namespace fescuewood {

namespace {

using Json = nlohmann::json;

/// Deepest nesting of an answer of the intent, or of a row.
constexpr std::size_t MaxNesting = 4;
constexpr std::uint32_t MaxSlot = 65535;

// Members of a list of instances.
constexpr std::string_view RevisionName = "revision";
constexpr std::string_view RowsName = "instances";

template <typename T>
PlatformRead<T> failure(ResultCode Code, std::string Detail) {
  return {std::nullopt, Code, std::move(Detail)};
}

template <typename T> PlatformRead<T> malformedFailure(std::string Detail) {
  return failure<T>(ResultCode::PlatformMalformed, std::move(Detail));
}

/// Returns a member of an object, or null when it is absent.
const Json *member(const Json &Object, const char *Name) {
  if (!Object.is_object())
    return nullptr;
  const auto It = Object.find(Name);
  return It == Object.end() ? nullptr : &*It;
}

std::optional<std::string> textMember(const Json &Object, const char *Name) {
  const Json *Value = member(Object, Name);
  if (!Value || !Value->is_string())
    return std::nullopt;
  return Value->get<std::string>();
}

std::optional<std::uint64_t> numberMember(const Json &Object,
                                          const char *Name) {
  const Json *Value = member(Object, Name);
  if (!Value || !Value->is_number_unsigned())
    return std::nullopt;
  return Value->get<std::uint64_t>();
}

std::optional<Digest> digestMember(const Json &Object, const char *Name) {
  const std::optional<std::string> Text = textMember(Object, Name);
  return Text ? Digest::fromHex(*Text) : std::nullopt;
}

std::optional<ListedState> parseState(std::string_view Text) {
  if (Text == "live")
    return ListedState::Live;
  if (Text == "leaving")
    return ListedState::Leaving;
  return std::nullopt;
}

std::optional<ListedInstance> decodeInstance(const Json &Row) {
  const auto Name = textMember(Row, "name");
  const auto Domain = textMember(Row, "domain");
  const auto Service = textMember(Row, "service");
  const auto Slot = numberMember(Row, "slot");
  const auto Address = textMember(Row, "peer_address");
  const auto State = parseState(textMember(Row, "state").value_or(""));
  if (!Name || !Domain || !Service || !Slot || !Address || !State)
    return std::nullopt;
  const bool Valid = isIniName(*Name) && isIniName(*Domain) &&
                     isIniName(*Service) && *Slot <= MaxSlot &&
                     Endpoint::parse(*Address);
  if (!Valid)
    return std::nullopt;
  return ListedInstance{*Name,    *Domain,
                        *Service, static_cast<std::uint32_t>(*Slot),
                        *Address, *State};
}

} // namespace

PlatformRead<IntentBundle> decodeIntent(std::string_view Text) {
  const Json Answer = parseJson(Text, MaxNesting);
  const auto Revision = numberMember(Answer, "revision");
  const auto Content = digestMember(Answer, "digest");
  const Json *Files = member(Answer, "files");
  if (!Revision || !Content || !Files || !Files->is_array())
    return malformedFailure<IntentBundle>(
        "revision, digest or files is missing or has the wrong type");
  if (Files->size() > MaxBundleFiles)
    return failure<IntentBundle>(ResultCode::PlatformTooLarge,
                                 "too many files");
  IntentBundle Bundle{*Revision, {}};
  for (const Json &Row : *Files) {
    const auto Name = textMember(Row, "name");
    const auto FileText = textMember(Row, "text");
    const auto FileDigest = digestMember(Row, "sha256");
    if (!Name || !FileText || !FileDigest)
      return malformedFailure<IntentBundle>(
          "a file has no valid name, sha256 or text");
    if (Digest::sha256(*FileText) != *FileDigest)
      return failure<IntentBundle>(ResultCode::PlatformTorn,
                                   "digest does not match the text of file " +
                                       quotedText(*Name));
    Bundle.Files.push_back({*Name, *FileText});
  }
  if (Bundle.version().Content != *Content)
    return failure<IntentBundle>(ResultCode::PlatformTorn,
                                 "digest does not match the files");
  return {std::move(Bundle), ResultCode::Ok, ""};
}

PlatformRead<InstanceList> decodeInstances(std::string_view Text) {
  const auto Answer = jsonMembers(Text, {RevisionName, RowsName});
  const Json Revision =
      parseJson(Answer ? memberText(*Answer, RevisionName) : "", 0);
  InstanceList List;
  std::set<std::string> InstanceNames;
  std::size_t RowCount = 0;
  const auto AddRow = [&](std::string_view Row) {
    if (++RowCount > MaxListedInstances)
      return;
    auto Instance = decodeInstance(parseJson(Row, MaxNesting));
    if (Instance && InstanceNames.insert(Instance->Name).second)
      List.Instances.push_back(std::move(*Instance));
    else
      ++List.SkippedRows;
  };
  if (!Revision.is_number_unsigned() ||
      !forEachJsonElement(memberText(*Answer, RowsName), AddRow))
    return malformedFailure<InstanceList>(
        "revision or instances is missing or has the wrong type");
  if (RowCount > MaxListedInstances)
    return failure<InstanceList>(ResultCode::PlatformTooLarge,
                                 "too many instances");
  List.Revision = Revision.get<std::uint64_t>();
  return {std::move(List), ResultCode::Ok, ""};
}

} // namespace fescuewood
