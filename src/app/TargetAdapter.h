/// \file
/// Adapter from the call engine's target port to the target's HTTP client.

#ifndef FESCUEWOOD_APP_TARGETADAPTER_H
#define FESCUEWOOD_APP_TARGETADAPTER_H

#include "calls/TargetPort.h"
#include "settings/NodeSettings.h"
#include "targets/TargetClient.h"

#include <cstdint>
#include <map>
#include <mutex>

namespace fescuewood {

/// Converts a result of the client to a result for the call engine.
RunResult toRunResult(TargetResult Result);

/// Implements \ref TargetPort with a \ref TargetClient and maps calls to the
/// client's request numbers.
class TargetAdapter {
public:
  /// The client must outlive the adapter and be stopped before the adapter is
  /// destroyed.
  TargetAdapter(TargetClient &Client, TargetSettings Settings,
                HeaderScheme Scheme = {});

  /// Sets the path of later health probes; an empty path selects the one of the
  /// settings.
  void setProbePath(std::string Path);

  /// Returns a port whose functions call this adapter.
  TargetPort port();

private:
  void run(const CallRequest &Request, DurationMs Timeout,
           const RunHook &OnResult);
  void cancel(const CallId &Id);
  void probe(const std::function<void(const ProbeResult &)> &OnResult);
  ProbeResult probeResult(const TargetResult &Result) const;
  void removeRun(const CallId &Id);

  TargetClient &Client;
  TargetSettings Settings;
  const HeaderScheme Scheme;
  std::mutex Mutex;
  std::string ProbePath; ///< Empty: use the one of Settings.
  std::map<CallId, std::uint64_t> ActiveRuns;
};

} // namespace fescuewood

#endif // FESCUEWOOD_APP_TARGETADAPTER_H
