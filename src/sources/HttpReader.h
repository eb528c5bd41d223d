/// \file
/// GET requests to the platform, each on a new connection.
///
/// One thread reads; \ref HttpReader::cancel makes a blocked read return.

#ifndef FESCUEWOOD_SOURCES_HTTPREADER_H
#define FESCUEWOOD_SOURCES_HTTPREADER_H

#include "core/Endpoint.h"
#include "sources/PlatformSource.h"

#include <memory>
#include <string>

namespace fescuewood {

/// Reads paths of one server.
class HttpReader {
public:
  /// \param Timeout that a read may take beyond its wait.
  HttpReader(Endpoint Server, DurationMs Timeout);
  ~HttpReader();
  HttpReader(const HttpReader &) = delete;
  HttpReader &operator=(const HttpReader &) = delete;

  /// The body of a path, with Value empty when there is nothing newer. The
  /// reason is PlatformUnreachable, PlatformRefused, PlatformTooLarge,
  /// StoreHistoryGone (410) or Stopped when there is no usable answer.
  PlatformRead<std::string> get(const std::string &Path, DurationMs Wait);

  /// Makes a blocked read and all later ones return; from any thread.
  void cancel();

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_HTTPREADER_H
