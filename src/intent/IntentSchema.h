/// \file
/// The schema of the intent: its section kinds and their keys.
///
/// To add a key, add a member to the struct in Snapshot.h and a row to the
/// table in IntentSchema.cpp and docs/INTENT.md.

#ifndef FESCUEWOOD_INTENT_INTENTSCHEMA_H
#define FESCUEWOOD_INTENT_INTENTSCHEMA_H

#include "ini/Schema.h"
#include "intent/Snapshot.h"

#include <span>

namespace fescuewood {

/// A key section of the intent. Withdrawn keys are omitted from the snapshot.
struct KeySection {
  fescuewood::Key Key;
  bool Withdrawn = false;
};

/// Returns the schema rows of the sections that declare a \p Kind.
template <typename Kind> std::span<const KeyRow<Kind>> intentRows();

template <> std::span<const KeyRow<Service>> intentRows();
template <> std::span<const KeyRow<Domain>> intentRows();
template <> std::span<const KeyRow<Rate>> intentRows();
template <> std::span<const KeyRow<Organisation>> intentRows();
template <> std::span<const KeyRow<KeySection>> intentRows();
template <> std::span<const KeyRow<Route>> intentRows();
template <> std::span<const KeyRow<CallerLimits>> intentRows();

} // namespace fescuewood

#endif // FESCUEWOOD_INTENT_INTENTSCHEMA_H
