/// \file
/// A node: all components of the process, connected and started together.
///
/// The `run` subcommand creates a \ref Node from settings, starts it, waits for
/// a signal and drains it. Only this package depends on all the others.

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

/// A node of the mesh. Destroying it stops all of its components.
class Node {
public:
  /// \param Text the text from which the settings were parsed; \ref reload
  /// compares new text with it.
  explicit Node(NodeSettings Settings, std::string Text = {});
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Listens on all addresses and starts all components. Returns false and sets
  /// \ref lastReason when it cannot listen on an address.
  bool start();

  /// Accepts no new work, completes the calls in progress and stops all
  /// components, see \ref ShutdownSequence. Returns whether every call was
  /// completed.
  bool drain();

  /// Applies a changed text of the settings file, or none of it when it is
  /// invalid. Settings that need a restart keep their values; an event lists
  /// them.
  /// \param FileName name of the file in problem messages.
  void reload(std::string_view Text, std::string_view FileName);

  /// State of the node as the operator port reports it.
  NodeStatus status() const;

  /// Reason for which the last \ref start returned false.
  ResultCode lastReason() const;

private:
  std::unique_ptr<NodeParts> Parts;
};

} // namespace fescuewood

#endif // FESCUEWOOD_APP_NODE_H
