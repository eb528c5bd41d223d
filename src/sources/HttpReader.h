/// \file
/// HTTP client that reads the platform by GET requests, each on a new
/// connection.
///
/// Reads are made from a single thread; \ref HttpReader::cancel makes a blocked
/// read return.

#ifndef FESCUEWOOD_SOURCES_HTTPREADER_H
#define FESCUEWOOD_SOURCES_HTTPREADER_H

#include "core/Endpoint.h"
#include "sources/PlatformSource.h"

#include <memory>
#include <optional>
#include <string>

namespace fescuewood {

/// HTTP client for one server.
class HttpReader {
public:
  /// \param Timeout longest time until an answer begins, beyond its wait.
  HttpReader(Endpoint Server, DurationMs Timeout);
  ~HttpReader();
  HttpReader(const HttpReader &) = delete;
  HttpReader &operator=(const HttpReader &) = delete;

  /// Fetches a path and returns its body. Value is empty with reason Ok when
  /// the server has nothing newer (204). Without a usable answer the reason is
  /// PlatformUnreachable, PlatformRefused, PlatformSlow, PlatformTooLarge,
  /// StoreHistoryGone (410) or Stopped.
  ///
  /// \param Wait how long the server may hold the request for a change.
  /// \param Transfer longest time from the first byte of the answer to its end.
  PlatformRead<std::string> get(const std::string &Path, DurationMs Wait,
                                DurationMs Transfer);

  /// Value of a header field of the last answer; the values of a repeated field
  /// are joined by ", ". std::nullopt if the answer did not have the field.
  std::optional<std::string> field(const std::string &Name) const;

  /// Makes a blocked read and all later ones return. Callable from any thread.
  void cancel();

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_HTTPREADER_H
