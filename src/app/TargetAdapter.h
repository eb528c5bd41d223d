/// \file
/// Joins the calls duty to the HTTP client of the target beside the node.

#ifndef FESCUEWOOD_APP_TARGETADAPTER_H
#define FESCUEWOOD_APP_TARGETADAPTER_H

#include "calls/TargetPort.h"
#include "settings/NodeSettings.h"
#include "targets/TargetClient.h"

#include <cstdint>
#include <map>
#include <mutex>

namespace fescuewood {

/// What the calls duty is told of a result of the client.
RunResult toRunResult(TargetResult Result);

/// Fills in a \ref TargetPort with a \ref TargetClient, and keeps which request
/// of the client belongs to which call.
class TargetAdapter {
public:
  /// The client must outlive the adapter and be stopped before it ends.
  TargetAdapter(TargetClient &Client, TargetSettings Settings,
                HeaderScheme Scheme = {});

  /// Asks for the target's health there from now on; empty as the settings say.
  void setProbePath(std::string Path);

  TargetPort port();

private:
  void run(const CallRequest &Request, DurationMs Timeout,
           const RunHook &OnResult);
  void cancel(const CallId &Id);
  void probe(const std::function<void(const ProbeResult &)> &OnResult);
  ProbeResult probeResult(const TargetResult &Result) const;
  void forget(const CallId &Id);

  TargetClient &Client;
  TargetSettings Settings;
  const HeaderScheme Scheme;
  std::mutex Mutex;
  std::string ProbePath; ///< Empty as the settings say.
  std::map<CallId, std::uint64_t> Running;
};

} // namespace fescuewood

#endif // FESCUEWOOD_APP_TARGETADAPTER_H
