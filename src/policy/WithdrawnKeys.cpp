#include "policy/WithdrawnKeys.h"

#include "calls/Call.h"

#include <utility>

namespace fescuewood {

bool WithdrawnKeys::update(const Snapshot &Config) {
  std::set<std::uint64_t> Next;
  for (const Key &Declared : Config.Keys)
    Next.insert(keyDigestPrefix(Declared.Sha256));
  bool Changed = false;
  for (const std::uint64_t Mark : Present) {
    if (Next.contains(Mark) || !Withdrawn.insert(Mark).second)
      continue;
    Order.push_back(Mark);
    Changed = true;
  }
  std::erase_if(Order, [this, &Next](std::uint64_t Mark) {
    return Next.contains(Mark) && Withdrawn.erase(Mark) > 0;
  });
  while (Order.size() > MaxWithdrawnKeys) {
    Withdrawn.erase(Order.front());
    Order.pop_front();
  }
  Present = std::move(Next);
  return Changed;
}

} // namespace fescuewood
