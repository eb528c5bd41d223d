/// \file
/// What a store holds of the operators' intent, as the files of one version.

#ifndef FESCUEWOOD_SOURCES_STOREBUNDLE_H
#define FESCUEWOOD_SOURCES_STOREBUNDLE_H

#include "intent/Snapshot.h"

#include <optional>
#include <set>
#include <string>

namespace fescuewood {

/// The operators' items in a store.
struct StoreBundle {
  std::string Configuration; ///< As the store holds it.
  std::set<std::string, std::less<>> DomainsOut;
};

/// The files of a version.
IntentBundle encodeStoreBundle(const StoreBundle &Parts,
                               std::uint64_t Revision);

/// The items again; nothing for a bundle of another source.
std::optional<StoreBundle> decodeStoreBundle(const IntentBundle &Bundle);

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_STOREBUNDLE_H
