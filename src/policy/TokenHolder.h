/// \file
/// The leases that one node holds for one organisation.
///
/// Tokens are taken from the leases in force. \ref TokenHolder::nextAsk says
/// which meter to ask next: ahead of the end of a lease, and when tokens run
/// short. A lease is never returned; it ends by this node's clock, counted
/// from before the meter granted it.

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

/// An ask with its addressee.
struct AddressedAsk {
  SlotId Meter;
  TokenRequest Ask;
};

/// What a node lacks when it looks for a meter to ask.
struct TokenDemand {
  double PerSecond = 0;      ///< Estimate of arrivals here.
  double OwnRate = 0;        ///< Of this node's own meter.
  double OwnLevel = 0;       ///< Of this node's own meter.
  std::uint32_t Waiting = 0; ///< Requests that wait for a token.
  bool MayAskForNeed = true; ///< False to save bytes for leases of rates.
};

/// Leases from all meters of an organisation.
class TokenHolder {
public:
  explicit TokenHolder(const TokenSettings &Settings) : Settings(Settings) {}

  /// Replaces the meters, the preferred first; those of \p OwnDomain are near.
  /// Leases of meters that remain are kept; others are dropped.
  void setMeters(const std::vector<SlotId> &Order, std::string_view OwnDomain);

  /// Takes up to \p Most tokens, from the lease that ends first.
  double takeUpTo(double Most, TimeMs Now);

  /// Tokens in leases in force.
  double level(TimeMs Now);

  /// Tokens a second that accrue to leases in force.
  double rate(TimeMs Now) const;

  /// Most tokens that leases in force may hold.
  double cap(TimeMs Now) const;

  /// The next ask worth sending, or nothing; marks it as pending.
  std::optional<AddressedAsk> nextAsk(std::string_view Organisation,
                                      const TokenDemand &Demand, TimeMs Now);

  /// The renewal of a lease of \p Meter that may go along with a message that
  /// is sent there anyway, or nothing; marks it as pending.
  std::optional<TokenRequest> companionAsk(const SlotId &Meter,
                                           std::string_view Organisation,
                                           const TokenDemand &Demand,
                                           TimeMs Now);

  /// Takes up a grant. One that was not asked for, or is late, is ignored.
  void accept(const SlotId &Meter, const TokenGrant &Given, TimeMs Now);

  /// The meter cannot be reached; it is passed over for a while.
  void lose(const SlotId &Meter, std::uint64_t Sequence, TimeMs Now);

  /// When a token can be had if nobody else spends, after those that wait have
  /// theirs: from the leases in force and this node's meter, or from another
  /// meter by its own word. Never when nothing is known.
  TimeMs nextToken(const TokenDemand &Demand, TimeMs Now);

  /// Whether an ask for tokens is on its way.
  bool asking() const { return PendingTokens > 0; }

  /// Drops every lease and pending ask, after a pause.
  void discard();

private:
  /// Shortest time between vain asks for a rate to other failure domains.
  static constexpr DurationMs FarPause{800};

  /// Spaces asks out while they bring nothing.
  struct Backoff {
    Backoff() : Backoff(DurationMs(100)) {}
    explicit Backoff(DurationMs Shortest)
        : Shortest(Shortest), Pause(Shortest) {}

    DurationMs Shortest;
    DurationMs Pause;
    TimeMs Until;

    void note(bool Useful, TimeMs Now);
  };

  struct Contact {
    SlotId Meter;
    bool Near = false; ///< Of the own failure domain.
    std::uint64_t LastSequence = 0;
    bool Pending = false;
    std::uint32_t PendingNeed = 0; ///< Tokens asked for at once.
    TimeMs SentAt;
    TimeMs QuietUntil; ///< Asking earlier for tokens is of no use.
    TimeMs ReadyAt;    ///< The meter said that it has a token then.
    bool Silent = false;
    Backoff AvoidTokens; ///< After asks that brought no tokens.
    Backoff AvoidRate;   ///< After asks that brought no rate.
    // The lease in use, if Adopted is not 0 and End has not come.
    std::uint64_t Adopted = 0;
    std::uint64_t Renewed = 0; ///< The lease for which terms were asked last.
    double Rate = 0;
    double Cap = 0;
    double Level = 0;
    TimeMs AccruedTo;
    TimeMs End;
  };

  bool inForce(const Contact &C, TimeMs Now) const;
  void advance(TimeMs Now);
  void expireAsks(TimeMs Now);
  void settle(Contact &C);
  void noteNeed(Contact &C, bool Useful, TimeMs Now);
  void passOver(Contact &C, TimeMs Now);
  Contact *find(const SlotId &Meter);
  Backoff &ratesOf(const Contact &C);
  bool renewable(const Contact &C, double Part, TimeMs Now) const;
  bool wantsRate(const TokenDemand &Demand) const;
  bool suppliedFor(double Part, const TokenDemand &Demand, TimeMs Now) const;
  Contact *dueForRenewal(TimeMs Now);
  Contact *bestForRate(bool Near, TimeMs Now);
  Contact *nextForRate(const TokenDemand &Demand, TimeMs Now);
  Contact *nextForNeed(TimeMs Now);
  TimeMs ownToken(const TokenDemand &Demand, TimeMs Now);
  AddressedAsk ask(Contact &C, std::string_view Organisation,
                   const TokenDemand &Demand, std::uint32_t Need, TimeMs Now);

  TokenSettings Settings;
  std::vector<Contact> Contacts;
  std::vector<std::size_t> Active; ///< Contacts with a lease or a pending ask.
  std::uint64_t PendingTokens = 0; ///< Asked for and not answered yet.
  bool PendingRate = false; ///< A meter without a lease was asked for a rate.
  // Asks for a rate are spaced out on their own in the own failure domain and
  // beyond it: when one domain is dry, others may have plenty.
  Backoff NearRates;
  Backoff FarRates{FarPause};
  Backoff Needs;
  std::uint32_t Misses = 0;       ///< Meters in a row that had no token.
  std::uint64_t LastSequence = 0; ///< Over all meters.
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_TOKENHOLDER_H
