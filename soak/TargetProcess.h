/// \file
/// A target as a process of its own. It appends each run to a record before it
/// answers, so that the record survives its crash, and misbehaves as the mode
/// in a file says, which it reads for each request.

#ifndef FESCUEWOOD_SOAK_TARGETPROCESS_H
#define FESCUEWOOD_SOAK_TARGETPROCESS_H

#include "soak/History.h"

#include <string>
#include <string_view>

namespace fescuewood::soak {

// Modes of a target.
inline constexpr std::string_view ModeSound = "sound";
/// Sends an answer once more, late.
inline constexpr std::string_view ModeRepeat = "repeat";
/// Answers 500.
inline constexpr std::string_view ModeFail = "fail";
/// Runs requests and answers nothing.
inline constexpr std::string_view ModeSilent = "silent";
/// Breaks off in the middle of an answer.
inline constexpr std::string_view ModeCut = "cut";
/// Sends bytes that are no answer.
inline constexpr std::string_view ModeSpoilt = "spoilt";
/// Answers that it does not run a request.
inline constexpr std::string_view ModeRefuse = "refuse";

/// Path of requests for which a target makes a call of its own.
inline constexpr std::string_view CallingPath = "/open/call/";

struct TargetProcessOptions {
  std::string Listen;      ///< IP:port.
  std::string Id;          ///< Differs for each start.
  std::size_t Node = 0;    ///< Index of the node beside it.
  std::string NodeAddress; ///< Where it sends calls of its own.
  std::string RecordFile;
  std::string ModeFile;
};

/// Serves until a signal ends the process.
void runTarget(const TargetProcessOptions &Options);

/// Adds the runs and the calls in a target's record to a history. Throws when
/// the record cannot be read; a last line that was cut off is left out.
void readRecord(const std::string &File, History &Seen);

} // namespace fescuewood::soak

#endif // FESCUEWOOD_SOAK_TARGETPROCESS_H
