#include "sources/StoreBundle.h"

#include <sstream>

namespace fescuewood {

namespace {

constexpr std::string_view ConfigurationFile = "store-configuration";
constexpr std::string_view DomainsOutFile = "store-domains-out";

} // namespace

IntentBundle encodeStoreBundle(const StoreBundle &Parts, std::uint64_t Revision,
                               std::uint64_t Number) {
  std::string Names;
  for (const std::string &Name : Parts.DomainsOut)
    Names += Name + "\n";
  IntentBundle Bundle;
  Bundle.Revision = Revision;
  Bundle.Number = Number;
  Bundle.Files = {{std::string(ConfigurationFile), Parts.Configuration},
                  {std::string(DomainsOutFile), std::move(Names)}};
  return Bundle;
}

std::optional<StoreBundle> decodeStoreBundle(const IntentBundle &Bundle) {
  if (Bundle.Files.size() != 2 || Bundle.Files[0].Name != ConfigurationFile ||
      Bundle.Files[1].Name != DomainsOutFile)
    return std::nullopt;
  StoreBundle Parts;
  Parts.Configuration = Bundle.Files[0].Text;
  std::istringstream Names(Bundle.Files[1].Text);
  for (std::string Name; std::getline(Names, Name);)
    Parts.DomainsOut.insert(Name);
  return Parts;
}

} // namespace fescuewood
