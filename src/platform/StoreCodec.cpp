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

/// Bytes that a group of four base64 characters stands for.
constexpr std::size_t GroupBytes = 3;
constexpr std::size_t GroupChars = 4;

/// Longest span that is taken from an entry, in seconds.
constexpr double MaxColdSeconds = 3600;

/// Decodes base64 with padding; nothing for anything else.
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

/// The text of a member, or null.
const std::string *textOf(const Json &Object, std::string_view Name) {
  const auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_string())
    return nullptr;
  return Found->get_ptr<const std::string *>();
}

std::optional<std::uint64_t> wholeOf(const Json &Object,
                                     std::string_view Name) {
  const auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_number_unsigned())
    return std::nullopt;
  return Found->get<std::uint64_t>();
}

bool flagOf(const Json &Object, std::string_view Name) {
  const auto Found = Object.find(Name);
  return Found != Object.end() && Found->is_boolean() && Found->get<bool>();
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
  const std::string *Key = textOf(Item, ItemKey);
  const auto Revision = wholeOf(Item, ItemRevision);
  if (!Key || !Revision)
    return std::nullopt;
  StoreChange Change;
  Change.Key = *Key;
  Change.Revision = *Revision;
  Change.Removed = flagOf(Item, ItemRemoved);
  setSubject(Change);
  if (Change.Removed)
    return Change;
  const std::string *Value = textOf(Item, ItemValue);
  auto Bytes = Value ? decodeBase64(*Value) : std::nullopt;
  if (!Bytes)
    return std::nullopt;
  Change.Value = std::move(*Bytes);
  return Change;
}

template <typename T> PlatformRead<T> malformed(std::string_view What) {
  return {std::nullopt, ResultCode::PlatformMalformed, std::string(What)};
}

/// Reads the list of items under \p Name and the store's revision.
std::optional<std::vector<StoreChange>> itemsOf(const Json &Answer,
                                                std::string_view Name) {
  const auto List = Answer.find(Name);
  if (List == Answer.end() || !List->is_array())
    return std::nullopt;
  std::vector<StoreChange> Items;
  for (const Json &Each : *List) {
    auto Item = decodeItem(Each);
    if (!Item)
      return std::nullopt;
    Items.push_back(std::move(*Item));
  }
  return Items;
}

std::optional<DurationMs> spanOf(const Json &Object, std::string_view Name) {
  const auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_number())
    return std::nullopt;
  const double Seconds = Found->get<double>();
  if (!(Seconds >= 0) || Seconds > MaxColdSeconds)
    return std::nullopt;
  return DurationMs(std::llround(Seconds * MsPerSecond));
}

} // namespace

PlatformRead<StorePage> decodePage(std::string_view Text) {
  const Json Answer = Json::parse(Text, nullptr, false);
  if (!Answer.is_object())
    return malformed<StorePage>("not an object");
  auto Read = itemsOf(Answer, Items);
  const auto Revision = wholeOf(Answer, StoreRevision);
  if (!Read || !Revision)
    return malformed<StorePage>("items or revision missing or malformed");
  return {StorePage{std::move(*Read), flagOf(Answer, HasMore), *Revision},
          ResultCode::Ok, ""};
}

PlatformRead<StoreChanges> decodeChanges(std::string_view Text) {
  const Json Answer = Json::parse(Text, nullptr, false);
  if (!Answer.is_object())
    return malformed<StoreChanges>("not an object");
  auto Read = itemsOf(Answer, Events);
  const auto Revision = wholeOf(Answer, StoreRevision);
  if (!Read || !Revision)
    return malformed<StoreChanges>("changes or revision missing or malformed");
  return {StoreChanges{std::move(*Read), *Revision}, ResultCode::Ok, ""};
}

std::optional<ListedInstance> decodeTarget(std::string_view Id,
                                           std::string_view Text,
                                           std::uint16_t NodePort) {
  const Json Entry = Json::parse(Text, nullptr, false);
  if (!Entry.is_object())
    return std::nullopt;
  const std::string *Service = textOf(Entry, TargetService);
  const std::string *Address = textOf(Entry, TargetAddress);
  const std::string *Domain = textOf(Entry, TargetDomain);
  const std::string *State = textOf(Entry, TargetState);
  const auto Slots = wholeOf(Entry, TargetSlots);
  const auto ColdFor = spanOf(Entry, TargetColdFor);
  const auto Place = Address ? Endpoint::parse(*Address) : std::nullopt;
  const bool StateKnown =
      State && (*State == StateReady || *State == StateLeaving);
  if (!Service || Service->empty() || !Place || !Domain || !StateKnown ||
      !Slots || *Slots == 0 || *Slots > MaxTargetSlots || !ColdFor)
    return std::nullopt;
  ListedInstance Listed;
  // The store lists no nodes, so an instance goes by its IP number.
  Listed.Name = Place->Ip;
  Listed.Domain = *Domain;
  Listed.Service = *Service;
  Listed.PeerAddress = Endpoint{Place->Ip, NodePort}.text();
  Listed.State =
      *State == StateReady ? ListedState::Live : ListedState::Leaving;
  Listed.TargetId = std::string(Id);
  Listed.TargetAddress = *Address;
  Listed.Slots = static_cast<std::uint32_t>(*Slots);
  Listed.ColdFor = *ColdFor;
  return Listed;
}

} // namespace fescuewood::platform
