#include "nodes/StoreRelay.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

void StoreRelay::update(const ReplicaUpdate &Update) {
  Replica.update(Update);
  Encoded.reset();
  if (Update.ProvenAt)
    ProvenAt = std::max(ProvenAt.value_or(TimeMs(0)), *Update.ProvenAt);
  answerAll();
}

void StoreRelay::onSourceLost() {
  ProvenAt.reset();
  answerAll();
}

void StoreRelay::serve(std::string_view Body, ReplyHook Reply) {
  const auto Request = unpackRelayRequest(Body);
  if (!Request) {
    Reply("");
    return;
  }
  WaitingRead Read{*Request, Time.now(), std::move(Reply)};
  if (hasNews(*Request) || Request->Wait == DurationMs(0) ||
      Waiting.size() >= MaxWaitingReads)
    answer(Read);
  else
    Waiting.push_back(std::move(Read));
}

void StoreRelay::tick() {
  const TimeMs Now = Time.now();
  const auto Due = std::partition(
      Waiting.begin(), Waiting.end(), [Now](const WaitingRead &Read) {
        return Now - Read.ArrivedAt < Read.Request.Wait;
      });
  std::vector<WaitingRead> Ended(std::make_move_iterator(Due),
                                 std::make_move_iterator(Waiting.end()));
  Waiting.erase(Due, Waiting.end());
  for (const WaitingRead &Read : Ended)
    answer(Read);
}

/// Whether a request needs no wait: there are changes, or no proof to wait for.
bool StoreRelay::hasNews(const RelayRequest &Request) const {
  return !ProvenAt || Replica.empty() ||
         Request.AfterRevision < Replica.revision();
}

void StoreRelay::answerAll() {
  for (const WaitingRead &Read : std::exchange(Waiting, {}))
    answer(Read);
}

void StoreRelay::answer(const WaitingRead &Read) {
  RelayReply Message;
  const TimeMs Now = Time.now();
  Message.Held = Now - Read.ArrivedAt;
  if (ProvenAt && !Replica.empty()) {
    Message.ProofAge = Now - *ProvenAt;
    Message.Revision = Replica.revision();
    fill(Message, Read.Request.AfterRevision);
  }
  Read.Reply(packRelayReply(Message));
}

/// Sets the items that changed after a revision, or all of them.
void StoreRelay::fill(RelayReply &Message, std::uint64_t After) {
  if (!Encoded || Encoded->After != After) {
    auto Changes = Replica.changesAfter(After);
    const bool Whole = !Changes;
    if (Whole)
      Changes = Replica.whole();
    Encoded = EncodedItems{After, Whole, packItems(Changes->Changes)};
  }
  Message.Whole = Encoded->Whole;
  Message.Items = Encoded->Bytes;
}

} // namespace fescuewood
