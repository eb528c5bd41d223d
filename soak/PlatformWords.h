/// \file
/// Words and documents of the users' platform that the soak's callers, targets
/// and operator speak. No other file of the soak contains them.

#ifndef FESCUEWOOD_SOAK_PLATFORMWORDS_H
#define FESCUEWOOD_SOAK_PLATFORMWORDS_H

#include "core/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuewood::soak::platform {

// Header fields.
inline constexpr const char *RequestId = "Request-Id";
inline constexpr const char *Signature = "Response-Signature";
inline constexpr const char *TimeLeft = "Deadline-Ms";
inline constexpr const char *MeantTarget = "Target-Instance";
inline constexpr const char *OwnTarget = "Instance-Id";
inline constexpr const char *NotRun = "Not-Executed";
inline constexpr const char *Organisation = "Tenant-Id";

inline constexpr const char *HealthPath = "/health";
inline constexpr const char *ConfigurationKey = "op/config";
inline constexpr const char *KeyScheme = "Token ";

/// Key of a target's entry in the store.
std::string targetKey(const std::string &TargetId);

/// What a target says of itself.
struct TargetEntry {
  std::string Service;
  std::string Address;
  std::string Domain;
  bool Leaving = false;
  std::uint64_t Sequence = 1;
  std::int64_t StartedAtMs = 0; ///< Unix time.
};
std::string entryText(const TargetEntry &Entry);

/// A configuration with the routes `/open/`, `/read/`, `/book/` and `/inner/`.
std::string configurationText(std::uint64_t Version,
                              const std::string &OpenService,
                              const std::vector<std::string> &Keys);

/// What the settings template of the deployment needs.
struct NodePlace {
  std::string Ip;
  std::string Domain;
  std::string Service;
  std::string CallersAddress;
  std::string PeersAddress;
  std::string ReadyAddress;
  std::string TargetAddress;
  std::string StoreAddress;
  std::vector<std::string> Domains; ///< All of them.
};

/// Bounds of the deployment that the template names.
struct NodeBounds {
  DurationMs KeyWithdrawal;
  DurationMs Grace; ///< From SIGTERM until the process is killed.
};

/// Fills in the template; throws if a placeholder remains.
std::string settingsText(std::string Template, const NodePlace &Place,
                         const NodeBounds &Bounds);

} // namespace fescuewood::soak::platform

#endif // FESCUEWOOD_SOAK_PLATFORMWORDS_H
