#include "nodes/PeerTransport.h"

namespace fescuewood {

bool neverSent(ResultCode Reason) {
  return Reason == ResultCode::PeerUnreachable ||
         Reason == ResultCode::PeerBusy ||
         Reason == ResultCode::PeerMessageTooLarge;
}

} // namespace fescuewood
