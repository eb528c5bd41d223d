#include "nodes/PeerMessage.h"

namespace fescuewood {

MessagePtr makeMessage(std::string_view Body) {
  nng_msg *Raw = nullptr;
  if (nng_msg_alloc(&Raw, 0) != 0)
    return nullptr;
  MessagePtr Message(Raw);
  if (nng_msg_append(Raw, Body.data(), Body.size()) != 0)
    return nullptr;
  return Message;
}

std::string_view messageBody(nng_msg *Message) {
  return {static_cast<const char *>(nng_msg_body(Message)),
          nng_msg_len(Message)};
}

} // namespace fescuewood
