/// \file
/// One node: every duty of the process, put together.
///
/// `run` makes a \ref Node from settings, starts it, waits for a signal, drains
/// and ends it. This is the only place that knows all packages.

#ifndef FESCUEWOOD_APP_NODE_H
#define FESCUEWOOD_APP_NODE_H

#include "core/ResultCode.h"
#include "operators/NodeStatus.h"
#include "settings/NodeSettings.h"

#include <memory>
#include <optional>

namespace fescuewood {

class NodeParts;

class Node {
public:
  explicit Node(NodeSettings Settings);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Listens on every address and starts every duty. Returns false with
  /// \ref lastReason when an address cannot be listened on.
  bool start();

  /// Takes no new work, waits for what is held, at most for the drain timeout
  /// of the settings, and stops every duty. Returns whether nothing was cut.
  bool drain();

  /// Everything the operator port shows.
  NodeStatus status() const;

  /// Why the last \ref start returned false.
  ResultCode lastReason() const;

private:
  std::unique_ptr<NodeParts> State;
};

} // namespace fescuewood

#endif // FESCUEWOOD_APP_NODE_H
