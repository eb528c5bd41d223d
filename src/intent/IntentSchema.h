/// \file
/// The kinds of section that the intent knows, and their keys.
///
/// To add a key, add a member to the struct in Snapshot.h and a row to the
/// table in IntentSchema.cpp and docs/INTENT.md.

#ifndef FESCUEWOOD_INTENT_INTENTSCHEMA_H
#define FESCUEWOOD_INTENT_INTENTSCHEMA_H

#include "ini/Schema.h"
#include "intent/Snapshot.h"

#include <span>

namespace fescuewood {

/// A key as it is written; a withdrawn one is left out of the snapshot.
struct WrittenKey {
  fescuewood::Key Key;
  bool Withdrawn = false;
};

/// The rows of the sections that describe a \p Kind.
template <typename Kind> std::span<const KeyRow<Kind>> intentRows();

template <> std::span<const KeyRow<Service>> intentRows();
template <> std::span<const KeyRow<Domain>> intentRows();
template <> std::span<const KeyRow<Rate>> intentRows();
template <> std::span<const KeyRow<Organisation>> intentRows();
template <> std::span<const KeyRow<WrittenKey>> intentRows();
template <> std::span<const KeyRow<Route>> intentRows();
template <> std::span<const KeyRow<CallerLimits>> intentRows();

} // namespace fescuewood

#endif // FESCUEWOOD_INTENT_INTENTSCHEMA_H
