#include "policy/Instance.h"

namespace fescuewood {

std::string_view targetStateName(TargetState State) {
  switch (State) {
  case TargetState::Cold:
    return "cold";
  case TargetState::Ready:
    return "ready";
  case TargetState::Draining:
    return "draining";
  case TargetState::Down:
    return "down";
  }
  return "down";
}

} // namespace fescuewood
