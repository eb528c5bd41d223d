#include "nodes/BundleStore.h"

#include <numeric>
#include <utility>

namespace fescuewood {

namespace {

std::size_t bundleBytes(const IntentBundle &Bundle) {
  return std::accumulate(Bundle.Files.begin(), Bundle.Files.end(),
                         std::size_t{0},
                         [](std::size_t Sum, const IntentFile &File) {
                           return Sum + File.Name.size() + File.Text.size();
                         });
}

} // namespace

void BundleStore::add(const Version &Id, IntentBundle Bundle) {
  if (Versions.size() >= Capacity)
    Versions.pop_front();
  Versions.push_back({Id, std::move(Bundle)});
}

void BundleStore::rename(const Version &Old, const Version &Id) {
  for (StoredBundle &Stored : Versions) {
    if (Stored.Id != Old)
      continue;
    Stored.Id = Id;
    Stored.Bundle.Revision = Id.Revision;
    Stored.Bundle.Number = Id.Number;
  }
}

FetchReply BundleStore::serve(const FetchRequest &Request) const {
  FetchReply Reply;
  if (Versions.empty() || Versions.back().Id < Request.Wanted)
    return Reply;
  const StoredBundle &Newest = Versions.back();
  const StoredBundle *Base = Request.Base ? find(*Request.Base) : nullptr;
  if (Base != nullptr) {
    BundleDelta Delta = makeDelta(Base->Bundle, Newest.Bundle);
    if (Delta.payloadBytes() < bundleBytes(Newest.Bundle)) {
      Reply.Delta = std::move(Delta);
      return Reply;
    }
  }
  Reply.Whole = Newest.Bundle;
  return Reply;
}

std::optional<IntentBundle> BundleStore::open(FetchReply Reply) const {
  if (Reply.Whole)
    return std::move(Reply.Whole);
  if (!Reply.Delta)
    return std::nullopt;
  const StoredBundle *Base = find(Reply.Delta->Base);
  if (Base == nullptr)
    return std::nullopt;
  return applyDelta(Base->Bundle, *Reply.Delta);
}

const BundleStore::StoredBundle *BundleStore::find(const Version &Id) const {
  for (const StoredBundle &H : Versions)
    if (H.Id == Id)
      return &H;
  return nullptr;
}

} // namespace fescuewood
