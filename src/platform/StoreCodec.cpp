#include "platform/StoreCodec.h"

#include "core/Endpoint.h"
#include "core/JsonText.h"
#include "nodes/PeerEnvelope.h"
#include "platform/PlatformNames.h"
#include "sources/StoreRevision.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace fescuewood::platform {

namespace {

using Json = nlohmann::json;

/// Base64 encodes each group of three bytes as four characters.
constexpr std::size_t GroupBytes = 3;
constexpr std::size_t GroupChars = 4;

/// Whether each byte is a digit of base64; a configuration has several 100,000.
constexpr std::array<bool, 256> IsBase64Digit = [] {
  std::array<bool, 256> Result{};
  for (const unsigned char Digit : std::string_view(
           "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"))
    Result[Digit] = true;
  return Result;
}();

/// Longest key of an item, in bytes.
constexpr std::size_t MaxKeyBytes = 200;

/// Largest entry of a target that is read, in bytes; targets write a few
/// hundred.
constexpr std::size_t MaxEntryBytes = 64 * 1024;

/// Deepest nesting of a target's entry. Its known members are not nested.
constexpr std::size_t MaxEntryNesting = 8;

/// Longest remaining slow start accepted from an entry, in seconds.
constexpr double MaxSlowStartSeconds = 3600;

/// Decodes padded base64; returns std::nullopt for any other text.
std::optional<std::string> decodeBase64(std::string_view Text) {
  const std::size_t Padding =
      Text.ends_with("==") ? 2 : (Text.ends_with("=") ? 1 : 0);
  const std::string_view Digits = Text.substr(0, Text.size() - Padding);
  const bool OnlyDigits =
      std::all_of(Digits.begin(), Digits.end(),
                  [](unsigned char C) { return IsBase64Digit[C]; });
  if (Text.size() % GroupChars != 0 || !OnlyDigits)
    return std::nullopt;
  std::string Bytes(Text.size() / GroupChars * GroupBytes, '\0');
  const int Size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Size < 0)
    return std::nullopt;
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

std::optional<std::string> stringValue(std::string_view Text) {
  const Json Value = parseJson(Text, 0);
  return Value.is_string() ? std::optional(Value.get<std::string>())
                           : std::nullopt;
}

/// Decodes a JSON string of base64. One without escapes is not parsed first,
/// since it may be a whole configuration.
std::optional<std::string> decodeBase64String(std::string_view Text) {
  const bool IsPlain = Text.size() >= 2 && Text.front() == '"' &&
                       Text.find('\\') == std::string_view::npos;
  if (IsPlain)
    return decodeBase64(Text.substr(1, Text.size() - 2));
  const auto Value = stringValue(Text);
  return Value ? decodeBase64(*Value) : std::nullopt;
}

std::optional<std::uint64_t> unsignedValue(std::string_view Text) {
  const Json Value = parseJson(Text, 0);
  return Value.is_number_unsigned() ? std::optional(Value.get<std::uint64_t>())
                                    : std::nullopt;
}

bool isTrue(std::string_view Text) { return Text == "true"; }

/// Whether \p Text can name a target, a service or a domain in messages between
/// nodes, in header fields and in lines.
bool isName(std::string_view Text) {
  constexpr unsigned char Delete = 0x7f;
  const auto IsControl = [](unsigned char C) { return C < ' ' || C == Delete; };
  return !Text.empty() && Text.size() <= MaxPeerNameBytes &&
         std::none_of(Text.begin(), Text.end(), IsControl);
}

/// Whether a member is absent or was found readable.
bool isAbsentOr(const Json &Object, std::string_view Name, bool Readable) {
  return Readable || !Object.contains(Name);
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

/// Sets the members of an item other than its key; false when one of them is
/// missing or malformed.
bool setContent(const JsonMembers &Item, StoreChange &Change) {
  const auto Revision = unsignedValue(memberText(Item, ItemRevision));
  if (!Revision)
    return false;
  Change.Revision = *Revision;
  const std::string_view Removed = memberText(Item, ItemRemoved);
  Change.Removed = isTrue(Removed);
  if (Change.Removed)
    return true;
  auto Bytes = decodeBase64String(memberText(Item, ItemValue));
  if (!Bytes)
    return false;
  Change.Value = std::move(*Bytes);
  return true;
}

/// Decodes an item of an answer at revision \p At. An item of which only the
/// key can be read becomes an unreadable one, written not after the answer;
/// std::nullopt when not even the key can be read.
std::optional<StoreChange> decodeItem(std::string_view Text, std::uint64_t At) {
  const auto Item =
      jsonMembers(Text, {ItemKey, ItemValue, ItemRevision, ItemRemoved});
  auto Key = Item ? stringValue(memberText(*Item, ItemKey)) : std::nullopt;
  if (!Key)
    return std::nullopt;
  StoreChange Change;
  Change.Key = std::move(*Key);
  setSubject(Change);
  const bool HasName = Change.Subject == StoreSubject::Target ||
                       Change.Subject == StoreSubject::DomainOut;
  const bool IsUsableKey =
      Change.Key.size() <= MaxKeyBytes && (!HasName || isName(Change.Name));
  if (!IsUsableKey)
    Change.Subject = StoreSubject::Other;
  if (!IsUsableKey || !setContent(*Item, Change)) {
    Change.Unreadable = true;
    Change.Removed = false;
    Change.Value.clear();
    Change.Revision = At;
  }
  // No item is newer than the answer that holds it.
  Change.Revision = std::min(Change.Revision, At);
  return Change;
}

template <typename T> PlatformRead<T> malformedAnswer(std::string_view Detail) {
  return {std::nullopt, ResultCode::PlatformMalformed, std::string(Detail)};
}

/// The parts that every answer with items has.
struct ItemAnswer {
  std::vector<StoreChange> Items;
  std::size_t Unreadable = 0; ///< Items of which something was left out.
  std::uint64_t Revision = 0;
  bool HasMore = false;
};

/// Decodes an answer with an array of items under \p Name. Items that cannot
/// be read do not harm the others.
std::optional<ItemAnswer> decodeAnswer(std::string_view Text,
                                       std::string_view Name) {
  const auto Answer = jsonMembers(Text, {Name, StoreRevision, HasMore});
  if (!Answer)
    return std::nullopt;
  const auto Revision = unsignedValue(memberText(*Answer, StoreRevision));
  if (!Revision)
    return std::nullopt;
  ItemAnswer Result;
  Result.Revision = *Revision;
  Result.HasMore = isTrue(memberText(*Answer, HasMore));
  const bool IsArray = forEachJsonElement(
      memberText(*Answer, Name), [&Result](std::string_view Element) {
        auto Item = decodeItem(Element, Result.Revision);
        Result.Unreadable += !Item || Item->Unreadable ? 1 : 0;
        if (Item)
          Result.Items.push_back(std::move(*Item));
      });
  return IsArray ? std::optional(std::move(Result)) : std::nullopt;
}

std::optional<DurationMs> durationMember(const Json &Object,
                                         std::string_view Name) {
  const auto It = Object.find(Name);
  if (It == Object.end() || !It->is_number())
    return std::nullopt;
  const double Seconds = It->get<double>();
  if (!(Seconds >= 0) || Seconds > MaxSlowStartSeconds)
    return std::nullopt;
  return fromSeconds(Seconds);
}

} // namespace

PlatformRead<StorePage> decodePage(std::string_view Text) {
  auto Answer = decodeAnswer(Text, Items);
  if (!Answer)
    return malformedAnswer<StorePage>(
        "\"items\" or \"at\" is missing or malformed");
  return {StorePage{std::move(Answer->Items), Answer->HasMore, Answer->Revision,
                    Answer->Unreadable},
          ResultCode::Ok, ""};
}

PlatformRead<StoreChanges> decodeChanges(std::string_view Text) {
  auto Answer = decodeAnswer(Text, Events);
  if (!Answer)
    return malformedAnswer<StoreChanges>(
        "\"events\" or \"at\" is missing or malformed");
  return {StoreChanges{std::move(Answer->Items), Answer->Revision,
                       Answer->Unreadable},
          ResultCode::Ok, ""};
}

std::optional<std::uint64_t> decodeEpoch(std::string_view Text) {
  std::uint64_t Epoch = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Epoch);
  const bool IsNumber =
      Error == std::errc() && End == Text.data() + Text.size();
  return IsNumber && Epoch > 0 && Epoch <= MaxStoreEpoch ? std::optional(Epoch)
                                                         : std::nullopt;
}

std::uint64_t configurationNumber(std::string_view Text) {
  const auto Document = jsonMembers(Text, {ConfigurationNumber});
  if (!Document)
    return 0;
  return unsignedValue(memberText(*Document, ConfigurationNumber)).value_or(0);
}

std::optional<ListedInstance> decodeTarget(std::string_view Id,
                                           std::string_view Text,
                                           std::uint16_t NodePort) {
  const Json Entry =
      Text.size() > MaxEntryBytes ? Json() : parseJson(Text, MaxEntryNesting);
  if (!Entry.is_object())
    return std::nullopt;
  const std::string *Service = stringMember(Entry, TargetService);
  const std::string *Address = stringMember(Entry, TargetAddress);
  const std::string *Domain = stringMember(Entry, TargetDomain);
  const std::string *State = stringMember(Entry, TargetState);
  const auto Slots = unsignedMember(Entry, TargetSlots);
  const auto ColdFor = durationMember(Entry, TargetColdFor);
  const auto StartedAt = unsignedMember(Entry, TargetStartedAt);
  const auto Sequence = unsignedMember(Entry, TargetSequence);
  const auto ParsedAddress = Address ? Endpoint::parse(*Address) : std::nullopt;
  const bool IsKnownState =
      State && (*State == StateReady || *State == StateLeaving);
  if (!Service || !isName(*Service) || !ParsedAddress ||
      ParsedAddress->Port == 0 || !Domain || !isName(*Domain) || !isName(Id) ||
      !isAbsentOr(Entry, TargetStartedAt, StartedAt.has_value()) ||
      !isAbsentOr(Entry, TargetSequence, Sequence.has_value()) ||
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
  Listed.TargetAddress = ParsedAddress->text();
  Listed.Slots = static_cast<std::uint32_t>(*Slots);
  Listed.ColdFor = *ColdFor;
  Listed.StartedAtMs = StartedAt.value_or(0);
  return Listed;
}

} // namespace fescuewood::platform
