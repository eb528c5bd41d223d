#include "policy/WithdrawnKeys.h"

#include "calls/Call.h"

#include <utility>

namespace fescuewood {

bool WithdrawnKeys::update(const Snapshot &Config) {
  std::set<std::uint64_t> Next;
  for (const Key &Declared : Config.Keys)
    Next.insert(keyDigestPrefix(Declared.Sha256));
  bool Changed = false;
  for (const std::uint64_t Mark : Current) {
    if (Next.contains(Mark) || !Withdrawn.insert(Mark).second)
      continue;
    WithdrawalOrder.push_back(Mark);
    Changed = true;
  }
  std::erase_if(WithdrawalOrder, [this, &Next](std::uint64_t Mark) {
    return Next.contains(Mark) && Withdrawn.erase(Mark) > 0;
  });
  while (WithdrawalOrder.size() > MaxWithdrawnKeys) {
    Withdrawn.erase(WithdrawalOrder.front());
    WithdrawalOrder.pop_front();
  }
  Current = std::move(Next);
  return Changed;
}

} // namespace fescuewood
