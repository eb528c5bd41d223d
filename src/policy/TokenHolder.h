/// \file
/// Leases that one node holds for one organisation.
///
/// Requests are admitted with tokens from active leases. The meter for the next
/// lease request is selected by \ref TokenHolder::nextRequest: before a lease
/// expires, and when tokens run short. A lease is never returned. Its term
/// starts when the request is sent, so it expires here before it does at the
/// meter.

#ifndef FESCUEWOOD_POLICY_TOKENHOLDER_H
#define FESCUEWOOD_POLICY_TOKENHOLDER_H

#include "core/Clock.h"
#include "policy/ShareTable.h"
#include "policy/TokenMessages.h"
#include "policy/TokenSettings.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace fescuewood {

/// A lease request and the meter to send it to.
struct AddressedRequest {
  SlotId Meter;
  TokenRequest Request;
};

/// Demand and own supply of a node, from which lease requests are derived.
struct TokenDemand {
  double PerSecond = 0;      ///< Estimated arrivals per second.
  double OwnRate = 0;        ///< Tokens per second of the node's own share.
  double OwnLevel = 0;       ///< Tokens in the node's own bucket.
  std::uint32_t Waiting = 0; ///< Queued requests.
  /// False to reserve bytes for leases with a rate.
  bool MayRequestTokens = true;
};

/// Leases from all meters of one organisation. Not thread-safe.
class TokenHolder {
public:
  explicit TokenHolder(const TokenSettings &Settings) : Settings(Settings) {}

  /// Replaces the meters, in order of preference; those of \p OwnDomain are
  /// near. Leases of removed meters are dropped.
  void setMeters(const std::vector<SlotId> &Order, std::string_view OwnDomain);

  /// Removes up to \p Most tokens, from the lease that expires first, and
  /// returns how many.
  double takeUpTo(double Most, TimeMs Now);

  /// Tokens in active leases.
  double level(TimeMs Now);

  /// Tokens per second that accrue to active leases.
  double rate(TimeMs Now) const;

  /// Total capacity of active leases, in tokens.
  double cap(TimeMs Now) const;

  /// Returns the next lease request to send and marks it as pending, or
  /// std::nullopt if none is useful now.
  std::optional<AddressedRequest> nextRequest(std::string_view Organisation,
                                              const TokenDemand &Demand,
                                              TimeMs Now);

  /// Returns a lease request to add to a message that is sent to \p Meter
  /// anyway, and marks it as pending: an early renewal, or a request for a rate
  /// when little demand is covered.
  std::optional<TokenRequest> piggybackRequest(const SlotId &Meter,
                                               std::string_view Organisation,
                                               const TokenDemand &Demand,
                                               TimeMs Now);

  /// Processes a grant. One without a pending request is ignored.
  void onGrant(const SlotId &Meter, const TokenGrant &Grant, TimeMs Now);

  /// Processes a failed request: the meter gets no requests for
  /// TokenSettings::SilentMeterPause.
  void onRequestFailed(const SlotId &Meter, std::uint64_t Sequence, TimeMs Now);

  /// Forecast of the next available token once all queued requests are served:
  /// from active leases and the node's own share, or from another meter
  /// according to its last grant. Assumes that no other request takes it; Never
  /// if unknown.
  TimeMs nextToken(const TokenDemand &Demand, TimeMs Now);

  /// Whether a request for tokens is pending.
  bool hasPendingTokens() const { return PendingTokens > 0; }

  /// Drops all leases and pending requests, after a process pause.
  void discard();

private:
  /// Minimum delay after a refused rate request to another failure domain.
  static constexpr DurationMs FarMinBackoff{800};

  /// Exponential backoff after refused requests.
  struct Backoff {
    Backoff() : Backoff(DurationMs(100)) {}
    explicit Backoff(DurationMs Shortest)
        : Shortest(Shortest), Pause(Shortest) {}

    DurationMs Shortest;
    DurationMs Pause;
    TimeMs Until;

    void record(bool Successful, TimeMs Now);
  };

  /// A meter with its pending request and its lease.
  struct MeterState {
    SlotId Meter;
    bool Near = false; ///< In the node's own failure domain.
    std::uint64_t LastSequence = 0;
    bool Pending = false;
    std::uint32_t PendingNeed = 0; ///< Tokens wanted by the pending request.
    TimeMs SentAt;
    TimeMs NoTokenRequestsBefore; ///< No requests for tokens before this time.
    TimeMs NextTokenAt;           ///< The meter's forecast of its next token.
    bool Silent = false;
    Backoff TokenBackoff; ///< After requests that got no tokens.
    Backoff RateBackoff;  ///< After requests that got no rate.
    // The lease; active if `ActiveSequence` is not 0 and `End` has not passed.
    std::uint64_t ActiveSequence = 0;
    /// Grant whose renewal was requested last.
    std::uint64_t RenewedSequence = 0;
    double Rate = 0;
    double Cap = 0;
    double Level = 0;
    TimeMs AccruedTo;
    TimeMs End;
  };

  bool isActive(const MeterState &C, TimeMs Now) const;
  double sumOfActive(double MeterState::*Amount, TimeMs Now) const;
  void advance(TimeMs Now);
  void expireRequests(TimeMs Now);
  void clearPending(MeterState &C);
  void recordTokenResult(MeterState &C, bool Successful, TimeMs Now);
  void suspend(MeterState &C, TimeMs Now);
  MeterState *find(const SlotId &Meter);
  Backoff &rateBackoff(const MeterState &C);
  bool isRenewable(const MeterState &C, double Part, TimeMs Now) const;
  bool wantsRate(const TokenDemand &Demand) const;
  bool coversDemand(double Part, const TokenDemand &Demand, TimeMs Now) const;
  MeterState *dueForRenewal(TimeMs Now);
  MeterState *bestRateMeter(bool Near, TimeMs Now);
  MeterState *nextRateMeter(const TokenDemand &Demand, TimeMs Now);
  MeterState *nextTokenMeter(TimeMs Now);
  TimeMs nextLocalToken(const TokenDemand &Demand, TimeMs Now);
  AddressedRequest makeRequest(MeterState &C, std::string_view Organisation,
                               const TokenDemand &Demand, std::uint32_t Need,
                               TimeMs Now);

  TokenSettings Settings;
  std::vector<MeterState> Meters;
  std::vector<std::size_t>
      Active; ///< Contacts with a lease or a pending request.
  std::uint64_t PendingTokens = 0; ///< Wanted by all pending requests.
  bool PendingRate = false; ///< A request for a new rate lease is pending.
  // Backoff of rate requests, separate for the node's own failure domain and
  // all others: when one has no tokens left, another may have plenty.
  Backoff NearRateBackoff;
  Backoff FarRateBackoff{FarMinBackoff};
  Backoff OverallTokenBackoff;
  /// Consecutive requests that got no tokens.
  std::uint32_t ConsecutiveMisses = 0;
  std::uint64_t LastSequence = 0; ///< Common to all meters.
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_TOKENHOLDER_H
