#include "intent/BundleDelta.h"

#include "support/Property.h"

#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

using Texts = std::map<std::string, std::string>;

IntentBundle bundleOf(std::uint64_t Revision, const Texts &Files) {
  IntentBundle Bundle{Revision, {}};
  for (const auto &[Name, Text] : Files)
    Bundle.Files.push_back({Name, Text});
  return Bundle;
}

Texts arbitraryTexts() {
  Texts Files;
  for (const char *Name : {"a.ini", "b.ini", "c.ini", "d.ini"})
    if (*rc::gen::arbitrary<bool>())
      Files[Name] = *rc::gen::element<std::string>("", "1", "2");
  return Files;
}

} // namespace

TEST_GROUP(BundleDelta){};

TEST(BundleDelta, RebuildsTheTargetFromChangedFilesOnly) {
  checkProperty("apply(base, make(base, target)) = target", [] {
    const Texts Old = arbitraryTexts();
    const Texts New = arbitraryTexts();
    const IntentBundle Base = bundleOf(1, Old);
    const IntentBundle Target = bundleOf(2, New);

    const BundleDelta Delta = makeDelta(Base, Target);
    const auto Rebuilt = applyDelta(Base, Delta);

    RC_ASSERT(Rebuilt.has_value());
    RC_ASSERT(Rebuilt->Files == Target.Files);
    RC_ASSERT(Rebuilt->version() == Target.version());
    for (const IntentFile &F : Delta.Changed)
      RC_ASSERT((!Old.contains(F.Name) || Old.at(F.Name) != F.Text));
    for (const std::string &Name : Delta.Removed)
      RC_ASSERT((Old.contains(Name) && !New.contains(Name)));
  });
}

TEST(BundleDelta, RejectsADifferentBase) {
  checkProperty("another base gives nothing", [] {
    const IntentBundle Base = bundleOf(1, arbitraryTexts());
    const IntentBundle Target = bundleOf(2, arbitraryTexts());
    const IntentBundle Other = bundleOf(1, arbitraryTexts());
    RC_PRE(Other.version() != Base.version());

    RC_ASSERT(!applyDelta(Other, makeDelta(Base, Target)).has_value());
  });
}

TEST(BundleDelta, RejectsAModifiedDelta) {
  checkProperty("a changed delta gives nothing", [] {
    const IntentBundle Base = bundleOf(1, {{"a.ini", "1"}, {"b.ini", "1"}});
    const IntentBundle Target = bundleOf(2, {{"a.ini", "2"}, {"c.ini", "1"}});
    BundleDelta Delta = makeDelta(Base, Target);
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
      Delta.Changed.pop_back();
      break;
    case 1:
      Delta.Changed[0].Text += "x";
      break;
    case 2:
      Delta.Removed.clear();
      break;
    default:
      Delta.Target.Content.Bytes[0] ^= 1;
      break;
    }

    RC_ASSERT(!applyDelta(Base, Delta).has_value());
  });
}
