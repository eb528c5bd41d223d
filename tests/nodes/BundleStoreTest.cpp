#include "nodes/BundleStore.h"

#include "support/Property.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(BundleStore){};

TEST(BundleStore, ServesTheNewestVersionForAnyBase) {
  checkProperty("serve and open", [](const std::vector<std::uint8_t> &Edits) {
    RC_PRE(!Edits.empty());
    BundleStore Server(3);
    BundleStore Client(3);
    IntentBundle Bundle{0, {{"10-a.ini", std::string(300, 'a')}}};
    std::vector<IntentBundle> All;
    for (const std::uint8_t Edit : Edits) {
      ++Bundle.Revision;
      Bundle.Files.resize(1 + Edit % 4);
      for (std::size_t I = 1; I < Bundle.Files.size(); ++I)
        Bundle.Files[I] = {"2" + std::to_string(I), std::string(Edit, 'x')};
      Server.add(Bundle.version(), Bundle);
      All.push_back(Bundle);
    }
    const auto Held = *rc::gen::inRange<std::size_t>(0, All.size());
    const auto Asked = *rc::gen::inRange<std::size_t>(0, All.size());
    Client.add(All[Held].version(), All[Held]);

    const auto Got =
        Client.open(Server.serve({All[Asked].version(), All[Held].version()}));

    RC_ASSERT(Got && Got->version() == Bundle.version());
    Version Newer = Bundle.version();
    ++Newer.Revision;
    RC_ASSERT(!Client.open(Server.serve({Newer, std::nullopt})));
  });
}
