/// \file
/// The operators' intent from a key-value store, as the files of one version.

#ifndef FESCUEWOOD_SOURCES_STOREBUNDLE_H
#define FESCUEWOOD_SOURCES_STOREBUNDLE_H

#include "intent/Snapshot.h"

#include <optional>
#include <set>
#include <string>

namespace fescuewood {

/// The operators' intent in a store.
struct StoreBundle {
  std::string Configuration;                     ///< Text as stored.
  std::set<std::string, std::less<>> DomainsOut; ///< Domains without work.
};

/// Encodes the intent as the files of a version.
/// \param Number that of the configuration, as in \ref Version.
IntentBundle encodeStoreBundle(const StoreBundle &Parts, std::uint64_t Revision,
                               std::uint64_t Number = 0);

/// Decodes a bundle that \ref encodeStoreBundle made; std::nullopt for a bundle
/// of another source.
std::optional<StoreBundle> decodeStoreBundle(const IntentBundle &Bundle);

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_STOREBUNDLE_H
