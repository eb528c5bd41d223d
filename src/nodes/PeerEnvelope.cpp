#include "nodes/PeerEnvelope.h"

#include "core/Digest.h"
#include "nodes/StringOutput.h"

#include <msgpack.hpp>

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

constexpr std::size_t VersionBytes = 1;
constexpr std::size_t FieldCount = 6;
constexpr std::size_t MaxDepth = 1;

Digest truncatedSeal(std::string_view Sealed, std::string_view Secret) {
  Digest Full = Digest::hmacSha256(Secret, Sealed);
  std::fill(Full.Bytes.begin() + PeerSealBytes, Full.Bytes.end(), 0);
  return Full;
}

bool sealMatches(std::string_view Sealed, std::string_view Seal,
                 std::string_view Secret) {
  Digest Received;
  std::copy(Seal.begin(), Seal.end(), Received.Bytes.begin());
  return equalInConstantTime(Received, truncatedSeal(Sealed, Secret));
}

std::nullopt_t refuse(ResultCode Code, ResultCode &Reason) {
  Reason = Code;
  return std::nullopt;
}

/// Reads fields in order; throws msgpack's exceptions on malformed input.
class EnvelopeReader {
public:
  explicit EnvelopeReader(std::string_view Data) : Data(Data) {}

  template <typename T> T next() { return object().as<T>(); }

  /// Reads a byte string as a view into the data.
  std::string_view nextBytes() {
    const msgpack::object Object = object();
    if (Object.type != msgpack::type::BIN)
      throw msgpack::type_error();
    return {Object.via.bin.ptr, Object.via.bin.size};
  }

  bool atEnd() const { return Offset == Data.size(); }

private:
  msgpack::object object() {
    // Makes msgpack refer to the data instead of copying the body.
    const auto ReferToInput = [](msgpack::type::object_type, std::size_t,
                                 void *) { return true; };
    // Without limits msgpack would reserve memory for a long array that a few
    // bytes claim to contain.
    const msgpack::unpack_limit Limits(0, 0, MaxPeerNameBytes, MaxPeerBodyBytes,
                                       0, MaxDepth);
    bool Referenced = false;
    Zone.clear();
    return msgpack::unpack(Zone, Data.data(), Data.size(), Offset, Referenced,
                           ReferToInput, nullptr, Limits);
  }

  std::string_view Data;
  std::size_t Offset = 0;
  msgpack::zone Zone;
};

std::optional<PeerEnvelope> readFields(std::string_view Data) {
  EnvelopeReader Reader(Data);
  PeerEnvelope Message;
  Message.Kind = static_cast<PeerKind>(Reader.next<std::uint8_t>());
  const auto Phase = Reader.next<std::uint8_t>();
  if (Phase > static_cast<std::uint8_t>(PeerPhase::Refusal))
    return std::nullopt;
  Message.Phase = static_cast<PeerPhase>(Phase);
  Message.Sender.Name = Reader.next<std::string>();
  Message.Sender.Incarnation = Reader.next<std::uint64_t>();
  Message.Stamp = HybridTime::unpack(Reader.next<std::uint64_t>());
  Message.Body = Reader.nextBytes();
  if (!Reader.atEnd() || Message.Sender.Name.size() > MaxPeerNameBytes)
    return std::nullopt;
  return Message;
}

} // namespace

std::string sealEnvelope(const PeerEnvelope &Message, std::string_view Secret) {
  StringOutput Output;
  std::string &Bytes = Output.Bytes;
  Bytes.reserve(Message.Body.size() + MaxPeerMessageBytes - MaxPeerBodyBytes);
  Bytes.push_back(static_cast<char>(PeerWireVersion));
  msgpack::packer<StringOutput> Packer(Output);
  Packer.pack(static_cast<std::uint8_t>(Message.Kind));
  Packer.pack(static_cast<std::uint8_t>(Message.Phase));
  Packer.pack(Message.Sender.Name);
  Packer.pack(Message.Sender.Incarnation);
  Packer.pack(Message.Stamp.packed());
  Packer.pack_bin(static_cast<std::uint32_t>(Message.Body.size()));
  Packer.pack_bin_body(Message.Body.data(),
                       static_cast<std::uint32_t>(Message.Body.size()));
  const Digest Seal = truncatedSeal(Bytes, Secret);
  Bytes.append(reinterpret_cast<const char *>(Seal.Bytes.data()),
               PeerSealBytes);
  return std::move(Bytes);
}

std::optional<PeerEnvelope> openEnvelope(std::string_view Bytes,
                                         std::string_view Secret,
                                         ResultCode &Reason) {
  if (Bytes.size() > MaxPeerMessageBytes)
    return refuse(ResultCode::PeerMessageTooLarge, Reason);
  if (Bytes.size() < VersionBytes + FieldCount + PeerSealBytes)
    return refuse(ResultCode::PeerMessageMalformed, Reason);
  if (static_cast<std::uint8_t>(Bytes.front()) != PeerWireVersion)
    return refuse(ResultCode::PeerVersionUnknown, Reason);
  const std::string_view Sealed = Bytes.substr(0, Bytes.size() - PeerSealBytes);
  if (!sealMatches(Sealed, Bytes.substr(Sealed.size()), Secret))
    return refuse(ResultCode::PeerSealInvalid, Reason);
  try {
    auto Message = readFields(Sealed.substr(VersionBytes));
    if (Message)
      return Message;
  } catch (const msgpack::unpack_error &) {
    // Reported as PeerMessageMalformed below.
  } catch (const msgpack::type_error &) {
    // Reported as PeerMessageMalformed below.
  }
  return refuse(ResultCode::PeerMessageMalformed, Reason);
}

} // namespace fescuewood
