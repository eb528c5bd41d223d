#include "nodes/RelayClient.h"

#include "nodes/RelayMessages.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

namespace fescuewood {

namespace {

PlatformRead<RelayedChanges> failure(ResultCode Reason,
                                     std::string Detail = {}) {
  return {std::nullopt, Reason, std::move(Detail)};
}

PlatformRead<RelayedChanges> decode(const PeerReply &Reply, TimeMs SentAt,
                                    TimeMs Now) {
  if (!Reply.Body)
    return failure(Reply.Reason);
  auto Message = unpackRelayReply(*Reply.Body);
  if (!Message)
    return failure(ResultCode::PeerMessageMalformed);
  if (!Message->ProofAge)
    return failure(ResultCode::PlatformUnreachable, "from the relay too");
  auto Items = unpackItems(Message->Items);
  if (!Items)
    return failure(ResultCode::PeerMessageMalformed);
  RelayedChanges Result;
  Result.Whole = Message->Whole;
  Result.Read.Changes = std::move(*Items);
  Result.Read.Revision = Message->Revision;
  // The reply was made no earlier than this; how long it was on its way is not
  // known.
  const DurationMs Held = std::min(Message->Held, Now - SentAt);
  Result.ProvenAt = SentAt + Held - *Message->ProofAge;
  return {std::move(Result), ResultCode::Ok, ""};
}

} // namespace

struct RelayClient::State {
  std::mutex Mutex;
  std::condition_variable Changed;
  std::uint64_t Number = 0; ///< Of the current read.
  std::optional<PeerReply> Reply;
  bool Cancelled = false;
};

RelayClient::RelayClient(PeerSend Send, Clock Time)
    : Send(std::move(Send)), Time(std::move(Time)),
      Shared(std::make_shared<State>()) {}

PlatformRead<RelayedChanges> RelayClient::read(const std::string &Address,
                                               std::uint64_t AfterRevision,
                                               DurationMs Wait) {
  PeerRequest Request;
  Request.Address = Address;
  Request.Kind = PeerKind::StoreWatch;
  Request.Body = packRelayRequest({AfterRevision, Wait});
  Request.Timeout = Wait + RelayTimeout;
  std::uint64_t Number = 0;
  {
    const std::lock_guard<std::mutex> Lock(Shared->Mutex);
    Number = ++Shared->Number;
    Shared->Reply.reset();
  }
  const TimeMs SentAt = Time.now();
  Send(std::move(Request), [Held = Shared, Number](PeerReply Reply) {
    const std::lock_guard<std::mutex> Lock(Held->Mutex);
    // The reply to a cancelled read.
    if (Held->Number != Number)
      return;
    Held->Reply = std::move(Reply);
    Held->Changed.notify_all();
  });
  std::unique_lock<std::mutex> Lock(Shared->Mutex);
  Shared->Changed.wait(Lock,
                       [this] { return Shared->Reply || Shared->Cancelled; });
  if (!Shared->Reply || Shared->Cancelled)
    return failure(ResultCode::Stopped);
  const PeerReply Reply = std::move(*std::exchange(Shared->Reply, {}));
  Lock.unlock();
  return decode(Reply, SentAt, Time.now());
}

void RelayClient::cancel() {
  const std::lock_guard<std::mutex> Lock(Shared->Mutex);
  Shared->Cancelled = true;
  Shared->Changed.notify_all();
}

} // namespace fescuewood
