#include "platform/StoreCodec.h"

#include "core/Endpoint.h"
#include "platform/PlatformNames.h"

#include <cmath>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace fescuewood::platform {

namespace {

using Json = nlohmann::json;

constexpr double MsPerSecond = 1000;

/// Base64 encodes each group of three bytes as four characters.
constexpr std::size_t GroupBytes = 3;
constexpr std::size_t GroupChars = 4;

/// Longest remaining slow start accepted from an entry, in seconds.
constexpr double MaxSlowStartSeconds = 3600;

/// Decodes padded base64; returns std::nullopt for any other text.
std::optional<std::string> decodeBase64(std::string_view Text) {
  if (Text.size() % GroupChars != 0)
    return std::nullopt;
  std::string Bytes(Text.size() / GroupChars * GroupBytes, '\0');
  const int Size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Size < 0)
    return std::nullopt;
  const std::size_t Padding =
      Text.ends_with("==") ? 2 : (Text.ends_with("=") ? 1 : 0);
  Bytes.resize(static_cast<std::size_t>(Size) - Padding);
  return Bytes;
}

/// The string member \p Name, or null when there is none.
const std::string *stringMember(const Json &Object, std::string_view Name) {
  const auto It = Object.find(Name);
  if (It == Object.end() || !It->is_string())
    return nullptr;
  return It->get_ptr<const std::string *>();
}

std::optional<std::uint64_t> unsignedMember(const Json &Object,
                                            std::string_view Name) {
  const auto It = Object.find(Name);
  if (It == Object.end() || !It->is_number_unsigned())
    return std::nullopt;
  return It->get<std::uint64_t>();
}

bool boolMember(const Json &Object, std::string_view Name) {
  const auto It = Object.find(Name);
  return It != Object.end() && It->is_boolean() && It->get<bool>();
}

void setSubject(StoreChange &Change) {
  const std::string_view Key = Change.Key;
  if (Key == ConfigurationKey) {
    Change.Subject = StoreSubject::Configuration;
  } else if (Key.starts_with(DomainOutPrefix)) {
    Change.Subject = StoreSubject::DomainOut;
    Change.Name = Key.substr(DomainOutPrefix.size());
  } else if (Key.starts_with(TargetPrefix)) {
    Change.Subject = StoreSubject::Target;
    Change.Name = Key.substr(TargetPrefix.size());
  }
}

std::optional<StoreChange> decodeItem(const Json &Item) {
  if (!Item.is_object())
    return std::nullopt;
  const std::string *Key = stringMember(Item, ItemKey);
  const auto Revision = unsignedMember(Item, ItemRevision);
  if (!Key || !Revision)
    return std::nullopt;
  StoreChange Change;
  Change.Key = *Key;
  Change.Revision = *Revision;
  Change.Removed = boolMember(Item, ItemRemoved);
  setSubject(Change);
  if (Change.Removed)
    return Change;
  const std::string *Value = stringMember(Item, ItemValue);
  auto Bytes = Value ? decodeBase64(*Value) : std::nullopt;
  if (!Bytes)
    return std::nullopt;
  Change.Value = std::move(*Bytes);
  return Change;
}

template <typename T> PlatformRead<T> malformedAnswer(std::string_view Detail) {
  return {std::nullopt, ResultCode::PlatformMalformed, std::string(Detail)};
}

/// Decodes the array of items under \p Name; std::nullopt when one of them is
/// malformed.
std::optional<std::vector<StoreChange>> decodeItems(const Json &Answer,
                                                    std::string_view Name) {
  const auto List = Answer.find(Name);
  if (List == Answer.end() || !List->is_array())
    return std::nullopt;
  std::vector<StoreChange> Items;
  for (const Json &Entry : *List) {
    auto Item = decodeItem(Entry);
    if (!Item)
      return std::nullopt;
    Items.push_back(std::move(*Item));
  }
  return Items;
}

std::optional<DurationMs> durationMember(const Json &Object,
                                         std::string_view Name) {
  const auto It = Object.find(Name);
  if (It == Object.end() || !It->is_number())
    return std::nullopt;
  const double Seconds = It->get<double>();
  if (!(Seconds >= 0) || Seconds > MaxSlowStartSeconds)
    return std::nullopt;
  return DurationMs(std::llround(Seconds * MsPerSecond));
}

} // namespace

PlatformRead<StorePage> decodePage(std::string_view Text) {
  const Json Answer = Json::parse(Text, nullptr, false);
  if (!Answer.is_object())
    return malformedAnswer<StorePage>("the answer is not a JSON object");
  auto DecodedItems = decodeItems(Answer, Items);
  const auto Revision = unsignedMember(Answer, StoreRevision);
  if (!DecodedItems || !Revision)
    return malformedAnswer<StorePage>(
        "\"items\" or \"at\" is missing or malformed");
  return {StorePage{std::move(*DecodedItems), boolMember(Answer, HasMore),
                    *Revision},
          ResultCode::Ok, ""};
}

PlatformRead<StoreChanges> decodeChanges(std::string_view Text) {
  const Json Answer = Json::parse(Text, nullptr, false);
  if (!Answer.is_object())
    return malformedAnswer<StoreChanges>("the answer is not a JSON object");
  auto DecodedItems = decodeItems(Answer, Events);
  const auto Revision = unsignedMember(Answer, StoreRevision);
  if (!DecodedItems || !Revision)
    return malformedAnswer<StoreChanges>(
        "\"events\" or \"at\" is missing or malformed");
  return {StoreChanges{std::move(*DecodedItems), *Revision}, ResultCode::Ok,
          ""};
}

std::optional<ListedInstance> decodeTarget(std::string_view Id,
                                           std::string_view Text,
                                           std::uint16_t NodePort) {
  const Json Entry = Json::parse(Text, nullptr, false);
  if (!Entry.is_object())
    return std::nullopt;
  const std::string *Service = stringMember(Entry, TargetService);
  const std::string *Address = stringMember(Entry, TargetAddress);
  const std::string *Domain = stringMember(Entry, TargetDomain);
  const std::string *State = stringMember(Entry, TargetState);
  const auto Slots = unsignedMember(Entry, TargetSlots);
  const auto ColdFor = durationMember(Entry, TargetColdFor);
  const auto ParsedAddress = Address ? Endpoint::parse(*Address) : std::nullopt;
  const bool IsKnownState =
      State && (*State == StateReady || *State == StateLeaving);
  if (!Service || Service->empty() || !ParsedAddress || !Domain ||
      !IsKnownState || !Slots || *Slots == 0 || *Slots > MaxTargetSlots ||
      !ColdFor)
    return std::nullopt;
  ListedInstance Listed;
  // The store has no entries for nodes, so the IP address names the instance.
  Listed.Name = ParsedAddress->Ip;
  Listed.Domain = *Domain;
  Listed.Service = *Service;
  Listed.PeerAddress = Endpoint{ParsedAddress->Ip, NodePort}.text();
  Listed.State =
      *State == StateReady ? ListedState::Live : ListedState::Leaving;
  Listed.TargetId = std::string(Id);
  Listed.TargetAddress = *Address;
  Listed.Slots = static_cast<std::uint32_t>(*Slots);
  Listed.ColdFor = *ColdFor;
  Listed.StartedAtMs = unsignedMember(Entry, TargetStartedAt).value_or(0);
  return Listed;
}

} // namespace fescuewood::platform
