#include "policy/MemberRecord.h"

#include "core/Digest.h"

#include <fmt/format.h>

namespace fescuewood {

std::string_view memberHealthName(MemberHealth Health) {
  switch (Health) {
  case MemberHealth::Alive:
    return "alive";
  case MemberHealth::Suspect:
    return "suspect";
  case MemberHealth::Dead:
    return "dead";
  case MemberHealth::Left:
    return "left";
  }
  return "unknown";
}

std::uint64_t MemberRecord::hash() const {
  return stableHash(
      fmt::format("{} {} {} {} {} {} {}", Place.Name, Order.Incarnation,
                  Order.Sequence, static_cast<int>(Order.Health),
                  Listing.ListRevision, Listing.Leaving, Listing.Incarnation));
}

bool mergeRecord(MemberRecord &Known, const MemberRecord &Other) {
  bool Changed = false;
  if (Other.Order > Known.Order) {
    Known.Place = Other.Place;
    Known.Order = Other.Order;
    Changed = true;
  }
  if (Other.Listing > Known.Listing) {
    Known.Listing = Other.Listing;
    Changed = true;
  }
  return Changed;
}

} // namespace fescuewood
