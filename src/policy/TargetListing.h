/// \file
/// Whether a target is listed, from all that its node knows about it.
///
/// The node reads the platform's entry itself, and other nodes report what they
/// have read (MemberListing). The node's own reading may be older: the platform
/// may reject this node only, or its answer may take seconds on a slow link.
/// The observation of the greater revision counts, whoever made it.

#ifndef FESCUEWOOD_POLICY_TARGETLISTING_H
#define FESCUEWOOD_POLICY_TARGETLISTING_H

#include "core/Clock.h"
#include "core/ResultCode.h"
#include "policy/ListedInstance.h"
#include "policy/MemberRecord.h"

#include <optional>
#include <string_view>

namespace fescuewood {

/// Listing of the target beside a node. Not thread-safe.
class TargetListing {
public:
  /// Sets the entry that this node has read; std::nullopt if there is none.
  void setEntry(std::optional<ListedInstance> Read);

  /// Sets what other nodes report about this node's target.
  void setReport(const MemberListing &Newest) { Report = Newest; }

  const std::optional<ListedInstance> &entry() const { return Entry; }

  /// Why the target gets no calls: TargetUnlisted, TargetDraining or Ok.
  ResultCode refusal(TimeMs Now) const;

  /// What \ref refusal follows from, for the log: "own reading", "assumption"
  /// or "report".
  std::string_view evidence() const;

private:
  bool isReportedLeaving() const;

  std::optional<ListedInstance> Entry;
  MemberListing Report;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_TARGETLISTING_H
