/// \file
/// The processes of a soak: the store, targets and nodes. Each node has a
/// loopback address of its own, and a target beside it.

#ifndef FESCUEWOOD_SOAK_MESH_H
#define FESCUEWOOD_SOAK_MESH_H

#include "soak/History.h"
#include "soak/Scenario.h"
#include "standins/Process.h"

#include <string>
#include <string_view>
#include <vector>

namespace fescuewood::soak {

/// Where a soak finds its programs and writes its files.
struct SoakPaths {
  std::string NodeProgram;
  std::string StoreProgram;
  std::string OwnProgram; ///< Runs the targets too.
  std::string SettingsTemplate;
  std::string Folder; ///< Exists; receives logs, records and the report.
};

/// A node and the target beside it.
struct MeshNode {
  std::string Ip;
  std::string Domain;
  std::string Service;
  standins::Process Node;
  bool StoppedByDriver = false; ///< Its end is expected.
  standins::Process Target;
  std::string TargetId;     ///< Of the present start; empty if it is down.
  bool IsAnnounced = false; ///< Has an entry in the store that it renews.
  bool IsLeaving = false;
  std::uint64_t Sequence = 0;
  std::int64_t StartedAtMs = 0; ///< Unix time.
};

class Mesh {
public:
  Mesh(const Scenario &Plan, SoakPaths Paths);

  void startStore();
  /// Whether the store answers.
  bool isStoreUp() const;
  void startNode(std::size_t Index);
  /// Starts a target under a new ID and announces it.
  void startTarget(std::size_t Index);
  void crashTarget(std::size_t Index);
  void setMode(std::size_t Index, std::string_view Mode) const;

  /// Writes a target's entry with its next sequence number.
  void announce(std::size_t Index);
  void removeEntry(const std::string &TargetId) const;

  /// Writes the next configuration: adds a key, withdraws the oldest and sends
  /// open requests to the other service. Returns the key withdrawn; empty for
  /// the first configuration.
  std::string configure();
  /// The newest key.
  std::string key() const;
  /// A key of any age, withdrawn or not.
  std::string oldKey(std::uint64_t Random) const;

  /// Makes the store treat the calls of one node as \p Fault says, such as
  /// "silent=1".
  void disturbStore(std::size_t Index, const std::string &Fault) const;
  void calmStore() const;

  std::string callersAddress(std::size_t Index) const;
  /// Files in which targets recorded their runs.
  const std::vector<std::string> &records() const { return RecordFiles; }
  std::string nodeLog(std::size_t Index) const;

  std::vector<MeshNode> Nodes;

private:
  void commandStore(const std::string &Command,
                    const std::string &Body = "") const;
  std::string storeAddress(std::size_t Index) const;
  std::string modeFile(std::size_t Index) const;

  Scenario Plan;
  SoakPaths Paths;
  standins::Process Store;
  std::vector<std::string> Domains;
  std::vector<std::string> RecordFiles;
  std::uint64_t TargetStarts = 0;
  std::uint64_t Version = 0;
};

} // namespace fescuewood::soak

#endif // FESCUEWOOD_SOAK_MESH_H
