/// \file
/// All decisions of one node about organisations' rates, without I/O.
///
/// A user charges requests, hands in asks and grants as they arrive, ticks, and
/// after each call takes what is to be sent and which waiting requests are
/// decided. The same code runs in the limiter's duty and in the model that
/// measures it. Not thread-safe.

#ifndef FESCUEWOOD_POLICY_TOKENNODE_H
#define FESCUEWOOD_POLICY_TOKENNODE_H

#include "core/Clock.h"
#include "intent/Snapshot.h"
#include "policy/DemandEstimate.h"
#include "policy/RateDecision.h"
#include "policy/ShareHistory.h"
#include "policy/ShareTable.h"
#include "policy/TokenHolder.h"
#include "policy/TokenMessages.h"
#include "policy/TokenMeter.h"
#include "policy/TokenSettings.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// A token bucket of bytes.
class ByteAllowance {
public:
  ByteAllowance(double PerSecond, double Burst, TimeMs Now)
      : PerSecond(PerSecond), Burst(Burst), Level(Burst), At(Now) {}

  /// Whether \ref take would succeed.
  bool has(double Bytes, TimeMs Now);

  /// Changes the rate from now on.
  void setRate(double NewPerSecond) { PerSecond = NewPerSecond; }

  /// Takes \p Bytes if there are as many.
  bool take(double Bytes, TimeMs Now);

private:
  double PerSecond;
  double Burst;
  double Level;
  TimeMs At;
};

/// What a snapshot says of rates.
struct TokenPlan {
  Version Id;
  ShareTable Table;
  std::uint32_t DeclaredSlots = 0;                ///< Of all domains.
  std::map<std::string, Rate, std::less<>> Rates; ///< By organisation.

  TokenPlan() = default;
  TokenPlan(const Snapshot &Source, const TokenSettings &Settings);
};

/// What is to be sent to one meter.
struct TokenRequestMessage {
  SlotId Meter;
  std::vector<TokenRequest> TokenRequests;
};

/// A waiting request has been decided.
struct ChargeDecision {
  std::uint64_t Ticket = 0;
  RateDecision Decision;
};

/// One organisation's figures at this node.
struct TokenStatistics {
  Rate Whole;
  double Demand = 0;
  double Level = 0;
  double RateHeld = 0; ///< Tokens a second that accrue here.
  double CapHeld = 0;  ///< Most tokens that may be held here.
  std::uint64_t Admitted = 0;
  std::uint64_t Refused = 0;
  std::optional<TimeMs> LastRefused;
};

/// The rates of every organisation at one node.
class TokenNode {
public:
  TokenNode(SlotId Self, const TokenSettings &Settings, TimeMs Now);

  /// Puts the shares of a version in force, subject to \ref ShareHistory.
  void apply(const TokenPlan &Plan, TimeMs Now);

  /// What this node says of its division; nothing before \ref apply.
  std::optional<DivisionRun> mark() const { return History.mark(); }

  /// The versions that may still count here.
  const ShareHistory &history() const { return History; }

  /// Tells that all declared slots agree with \ref mark.
  void onAgreement(TimeMs Now);

  /// Starts or stops the use of own shares, as in a conflict over the slot.
  /// Starting again begins with the fence.
  void setMetering(bool On, TimeMs Now);

  bool metering() const { return Metering && History.agreed(); }

  /// Charges one request. Returns nothing when the request waits under
  /// \p Ticket; without a ticket the decision is always immediate.
  std::optional<RateDecision> charge(std::string_view Organisation, TimeMs Now,
                                     std::optional<std::uint64_t> Ticket);

  /// Answers the asks of one message; returns nothing when this node may not
  /// send more.
  std::vector<TokenGrant> answer(const HolderId &From,
                                 std::span<const TokenRequest> TokenRequests,
                                 TimeMs Now);

  /// Takes up the reply of a meter.
  void onGrant(const SlotId &Meter, const TokenGrant &Given, TimeMs Now);

  /// No reply came.
  void lose(const SlotId &Meter, const TokenRequest &Ask, TimeMs Now);

  /// Renews leases and ends waits; due every \ref TickPeriod.
  void tick(TimeMs Now);

  static constexpr DurationMs TickPeriod{50};

  /// The messages to send, each at most once.
  std::vector<TokenRequestMessage> takeRequests();

  /// The waiting requests decided since the last call.
  std::vector<ChargeDecision> takeDecided();

  /// Whether tokens were discarded after a pause since the last call.
  bool takePauseNoticed();

  /// Figures by organisation.
  std::map<std::string, TokenStatistics, std::less<>> statistics(TimeMs Now);

  /// Bytes that a message counts as, with what the transport adds, and bytes
  /// of each ask or grant in it.
  static constexpr double MessageBytes = 150;
  static constexpr double ItemBytes = 40;

private:
  struct Waiter {
    std::uint64_t Ticket = 0;
    TimeMs Deadline;
  };
  struct Account {
    Account(const TokenSettings &Settings, TimeMs MeterStart);

    Rate Whole;
    DemandEstimate Demand;
    TokenMeter Meter;
    TokenHolder Holder;
    std::deque<Waiter> Waiters;
    std::uint64_t Admitted = 0;
    std::uint64_t Refused = 0;
    std::optional<TimeMs> LastRefused;
  };

  std::vector<SlotId> metersToAsk(const ShareTable &Table,
                                  std::string_view Name) const;
  void notice(TimeMs Now);
  void startWhenDue(TimeMs Now);
  void refreshShares(TimeMs Now);
  bool takeOne(Account &A, TimeMs Now);
  double supply(const Account &A, TimeMs Now) const;
  bool worthWaiting(Account &A, TimeMs Now);
  RateDecision refuse(Account &A, TimeMs Now);
  DurationMs retryAfter(Account &A, TimeMs Now);
  static TokenDemand demandOf(Account &A, TimeMs Now);
  void poll(std::string_view Name, Account &A, TimeMs Now);
  void queueAsk(AddressedAsk Next, TimeMs Now);
  void settleWaiters(Account &A, TimeMs Now);

  SlotId Self;
  TokenSettings Settings;
  ShareHistory History;
  bool Metering = true;
  bool Started = false; ///< The fence after a start is over.
  TimeMs MeterStart;
  TimeMs LastSeen;
  bool PauseNoticed = false;
  ByteAllowance AskBytes;
  ByteAllowance GrantBytes;
  std::map<std::string, Account, std::less<>> Accounts;
  std::vector<TokenRequestMessage> TokenRequests;
  std::vector<ChargeDecision> Decided;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_TOKENNODE_H
