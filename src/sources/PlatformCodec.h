/// \file
/// Decoders for the platform's JSON answers.
///
/// An answer of the intent is accepted as a whole or refused: sizes are
/// bounded, and the digests in an answer must match its files, so that a torn
/// read is never used.

#ifndef FESCUEWOOD_SOURCES_PLATFORMCODEC_H
#define FESCUEWOOD_SOURCES_PLATFORMCODEC_H

#include "sources/PlatformSource.h"

#include <cstddef>
#include <string_view>

namespace fescuewood {

/// Largest answer that is read, in bytes. JSON escapes can make it larger than
/// the text of the version.
inline constexpr std::size_t MaxAnswerBytes = 4 * 1024 * 1024;

/// Decodes {"revision": N, "digest": HEX, "files": [{"name": S, "sha256": HEX,
/// "text": S}, ...]}. The digest is that of \ref IntentBundle::version.
PlatformRead<IntentBundle> decodeIntent(std::string_view Json);

/// Decodes {"revision": N, "instances": [{"name": S, "domain": S, "service":
/// S, "slot": N, "peer_address": "IP:port", "state": "live"|"leaving"}, ...]}.
/// Rows that are malformed or repeat an instance name are skipped and counted.
PlatformRead<InstanceList> decodeInstances(std::string_view Json);

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_PLATFORMCODEC_H
