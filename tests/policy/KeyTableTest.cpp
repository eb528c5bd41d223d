#include "policy/KeyTable.h"

#include "support/Property.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

void addKey(Snapshot &Config, const std::string &Organisation,
            const std::string &KeyText) {
  Config.Keys.push_back(
      {Organisation + "-key", Organisation, Digest::sha256(KeyText)});
}

} // namespace

TEST_GROUP(KeyTable) { Snapshot Source; };

TEST(KeyTable, OrganisationMayHoldTwoKeys) {
  addKey(Source, "registry", "old");
  addKey(Source, "registry", "new");

  const KeyTable Table(Source);

  CHECK(Table.identify("old") == "registry");
  CHECK(Table.identify("new") == "registry");
}

TEST(KeyTable, WithdrawnKeyIsUnknownToTheNextTable) {
  addKey(Source, "registry", "old");
  const KeyTable Before(Source);
  Source.Keys.clear();

  const KeyTable After(Source);

  CHECK(Before.identify(Digest::sha256("old")) == "registry");
  CHECK_FALSE(After.identify(Digest::sha256("old")).has_value());
}

TEST(KeyTable, KeyOfTwoOrganisationsIdentifiesNeither) {
  addKey(Source, "registry", "same");
  addKey(Source, "notary", "same");

  const KeyTable Table(Source);

  CHECK_FALSE(Table.identify("same").has_value());
}

TEST(KeyTable, RejectsEmptyAndOverlongKeys) {
  addKey(Source, "registry", "");
  addKey(Source, "notary", std::string(MaxKeyBytes + 1, 'k'));

  const KeyTable Table(Source);

  CHECK_FALSE(Table.identify("").has_value());
  CHECK_FALSE(Table.identify(std::string(MaxKeyBytes + 1, 'k')).has_value());
}

TEST(KeyTable, IdentifiesExactlyTheHolder) {
  checkProperty("identify = holder", [](const std::vector<std::string> &Keys,
                                        const std::string &Presented) {
    Snapshot Config;
    for (std::size_t I = 0; I < Keys.size(); ++I)
      addKey(Config, "organisation-" + Keys[I], Keys[I]);

    const KeyTable Table(Config);

    for (const std::string &KeyText : Keys)
      if (!KeyText.empty())
        RC_ASSERT(Table.identify(KeyText) == "organisation-" + KeyText);
    const bool IsHeld =
        std::find(Keys.begin(), Keys.end(), Presented) != Keys.end();
    RC_ASSERT(Table.identify(Presented).has_value() ==
              (IsHeld && !Presented.empty()));
  });
}
