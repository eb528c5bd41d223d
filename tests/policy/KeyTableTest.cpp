#include "policy/KeyTable.h"

#include "support/Property.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

void grant(Snapshot &Target, const std::string &Organisation,
           const std::string &KeyText) {
  Target.Keys.push_back(
      {Organisation + "-key", Organisation, Digest::of(KeyText)});
}

} // namespace

TEST_GROUP(KeyTable) { Snapshot Source; };

TEST(KeyTable, TwoKeysOfOneOrganisationOverlap) {
  grant(Source, "registry", "old");
  grant(Source, "registry", "new");

  const KeyTable Table(Source);

  CHECK(Table.identify("old") == "registry");
  CHECK(Table.identify("new") == "registry");
}

TEST(KeyTable, AWithdrawnKeyIsUnknownToTheNextTable) {
  grant(Source, "registry", "old");
  const KeyTable Before(Source);
  Source.Keys.clear();

  const KeyTable After(Source);

  CHECK(Before.identify(Digest::of("old")) == "registry");
  CHECK_FALSE(After.identify(Digest::of("old")).has_value());
}

TEST(KeyTable, AKeyOfTwoOrganisationsIdentifiesNeither) {
  grant(Source, "registry", "same");
  grant(Source, "notary", "same");

  const KeyTable Table(Source);

  CHECK_FALSE(Table.identify("same").has_value());
}

TEST(KeyTable, RefusesAnEmptyAndAnOverlongKey) {
  grant(Source, "registry", "");
  grant(Source, "notary", std::string(MaxKeyBytes + 1, 'k'));

  const KeyTable Table(Source);

  CHECK_FALSE(Table.identify("").has_value());
  CHECK_FALSE(Table.identify(std::string(MaxKeyBytes + 1, 'k')).has_value());
}

TEST(KeyTable, FindsTheHolderAndNobodyElse) {
  checkProperty("identify = holder", [](const std::vector<std::string> &Held,
                                        const std::string &Shown) {
    Snapshot Random;
    for (std::size_t I = 0; I < Held.size(); ++I)
      grant(Random, "organisation-" + Held[I], Held[I]);

    const KeyTable Table(Random);

    for (const std::string &KeyText : Held)
      if (!KeyText.empty())
        RC_ASSERT(Table.identify(KeyText) == "organisation-" + KeyText);
    const bool IsHeld =
        std::find(Held.begin(), Held.end(), Shown) != Held.end();
    RC_ASSERT(Table.identify(Shown).has_value() == (IsHeld && !Shown.empty()));
  });
}
