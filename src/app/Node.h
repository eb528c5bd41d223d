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
#include <string>
#include <string_view>

namespace fescuewood {

class NodeParts;

class Node {
public:
  /// \param Text that the settings were parsed from, for later comparison.
  explicit Node(NodeSettings Settings, std::string Text = {});
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Listens on every address and starts every duty. Returns false with
  /// \ref lastReason when an address cannot be listened on.
  bool start();

  /// Takes no new work, waits for what is held, at most for the drain timeout
  /// of the settings, and stops every duty. Returns whether nothing was cut.
  bool drain();

  /// Takes a changed text of the settings file: whole, or not at all when it is
  /// bad. What cannot change without a restart stays as it was; events say so.
  /// \param FileName for problems.
  void reload(std::string_view Text, std::string_view FileName);

  /// Everything the operator port shows.
  NodeStatus status() const;

  /// Why the last \ref start returned false.
  ResultCode lastReason() const;

private:
  std::unique_ptr<NodeParts> State;
};

} // namespace fescuewood

#endif // FESCUEWOOD_APP_NODE_H
