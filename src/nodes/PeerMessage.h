/// \file
/// Owning wrappers of the handles of nng that the transport uses.

#ifndef FESCUEWOOD_NODES_PEERMESSAGE_H
#define FESCUEWOOD_NODES_PEERMESSAGE_H

#include <memory>
#include <string_view>

#include <nng/nng.h>

namespace fescuewood {

struct MessageFree {
  void operator()(nng_msg *Message) const { nng_msg_free(Message); }
};

/// A message that belongs to this process until it has been sent.
using MessagePtr = std::unique_ptr<nng_msg, MessageFree>;

struct OperationFree {
  void operator()(nng_aio *Operation) const { nng_aio_free(Operation); }
};

/// An asynchronous operation. Freeing waits for its callback, so it must not
/// be freed from there.
using OperationPtr = std::unique_ptr<nng_aio, OperationFree>;

/// A message with this body, or null when memory is short.
MessagePtr makeMessage(std::string_view Body);

/// The body as a view; valid while the message is.
std::string_view messageBody(nng_msg *Message);

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERMESSAGE_H
