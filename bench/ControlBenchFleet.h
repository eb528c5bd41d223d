/// \file
/// Child processes of ControlBench: the nodes and the platform stand-in that
/// they read.

#ifndef FESCUEWOOD_BENCH_CONTROLBENCHFLEET_H
#define FESCUEWOOD_BENCH_CONTROLBENCHFLEET_H

#include "core/Clock.h"
#include "intent/IntentFolder.h"

#include "standins/Http.h"
#include "support/TemporaryFolder.h"

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescuewood::bench {

/// A child process with pipes for standard input and output. Killed on
/// destruction.
class Child {
public:
  explicit Child(const std::vector<std::string> &Command) {
    int In[2];
    int Out[2];
    if (pipe2(In, O_CLOEXEC) != 0 || pipe2(Out, O_CLOEXEC) != 0)
      throw std::runtime_error("cannot create a pipe to a child process");
    Id = fork();
    if (Id == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(In[0], STDIN_FILENO);
      dup2(Out[1], STDOUT_FILENO);
      std::vector<char *> Arguments;
      Arguments.reserve(Command.size() + 1);
      for (const std::string &Word : Command)
        Arguments.push_back(const_cast<char *>(Word.c_str()));
      Arguments.push_back(nullptr);
      execv(Arguments.front(), Arguments.data());
      _exit(127);
    }
    close(In[0]);
    close(Out[1]);
    Input = In[1];
    Output = Out[0];
  }
  ~Child() {
    if (Id > 0) {
      kill(Id, SIGKILL);
      waitpid(Id, nullptr, 0);
    }
    close(Input);
    close(Output);
  }
  Child(const Child &) = delete;
  Child &operator=(const Child &) = delete;

  void sendLine(const std::string &Line) const {
    const std::string Bytes = Line + "\n";
    if (write(Input, Bytes.data(), Bytes.size()) < 0)
      std::fprintf(stderr, "cannot write to a child process\n");
  }

  /// Reads available output and returns the complete lines.
  std::vector<std::string> readLines() {
    char Buffer[4096];
    const ssize_t Size = read(Output, Buffer, sizeof(Buffer));
    if (Size > 0)
      Pending.append(Buffer, static_cast<std::size_t>(Size));
    std::vector<std::string> Result;
    std::size_t End = 0;
    while ((End = Pending.find('\n')) != std::string::npos) {
      Result.push_back(Pending.substr(0, End));
      Pending.erase(0, End + 1);
    }
    return Result;
  }

  int output() const { return Output; }
  pid_t id() const { return Id; }

private:
  pid_t Id = -1;
  int Input = -1;
  int Output = -1;
  std::string Pending;
};

/// A node process and its latest reported figures.
struct NodeReport {
  std::unique_ptr<Child> Process;
  std::map<std::uint64_t, std::int64_t> InForceAt; ///< In ms, by revision.
  std::uint64_t Bytes = 0;                         ///< Sent and received.
  std::uint64_t Connections = 0;
};

/// Processor time and memory use of a process.
struct Usage {
  double CpuSeconds = 0;
  double ResidentMb = 0;
  double PrivateMb = 0;
};

inline Usage usageOf(pid_t Id) {
  Usage Result;
  std::ifstream Stat(fmt::format("/proc/{}/stat", Id));
  std::string Text;
  std::getline(Stat, Text);
  std::istringstream Fields(Text.substr(Text.rfind(')') + 2));
  std::string Ignored;
  for (int I = 0; I < 11; ++I)
    Fields >> Ignored;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  Result.CpuSeconds =
      (User + System) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream Status(fmt::format("/proc/{}/status", Id));
  while (std::getline(Status, Text)) {
    if (Text.starts_with("VmRSS:"))
      Result.ResidentMb = std::atof(Text.c_str() + 6) / 1024;
    if (Text.starts_with("RssAnon:"))
      Result.PrivateMb = std::atof(Text.c_str() + 8) / 1024;
  }
  return Result;
}

/// The platform stand-in as a child process, with its own intent folder.
class PlatformStandIn {
public:
  PlatformStandIn(const std::string &Program, std::size_t Domains,
                  std::size_t Nodes) {
    writeIntent(Domains, Nodes);
    Process = std::make_unique<Child>(std::vector<std::string>{
        Program, "--listen=127.20.0.250:0", "--folder=" + Folder.path()});
    std::vector<std::string> Lines;
    while (Lines.empty())
      Lines = Process->readLines();
    Address = Lines.front().substr(Lines.front().find(' ') + 1);
  }

  const std::string &address() const { return Address; }

  /// Changes one small file and returns the new revision.
  std::uint64_t publish() {
    Folder.write("90-change.ini", fmt::format("[rate small]\nper_second = {}\n",
                                              100 + ++Changes));
    return intentFolderRevision(Folder.path());
  }

  std::uint64_t revision() const { return intentFolderRevision(Folder.path()); }

  void control(const std::string &Query) { get("/control?" + Query); }

  /// Returns the number of reads since the last call and the maximum in one
  /// second.
  std::pair<std::uint64_t, std::uint64_t> takeReadCounts() {
    const auto Stats = nlohmann::json::parse(get("/stats?reset=1"));
    return {Stats.at("total"), Stats.at("peak_per_second")};
  }

private:
  void writeIntent(std::size_t Domains, std::size_t Nodes) const {
    std::string Text;
    for (std::size_t D = 0; D < Domains; ++D) {
      Text += fmt::format("[domain d{}]\nregion = {}\nnodes = {}\n", D,
                          D < 3 ? "north" : "south",
                          (Nodes + Domains - 1 - D) / Domains);
    }
    Folder.write("10-domains.ini", Text);
    Text.clear();
    for (int S = 0; S < 88; ++S) {
      Text += fmt::format("[service service-{}]\nslots = 9\n"
                          "[route read-{}]\nmethod = GET\npath = /s{}/*\n"
                          "service = service-{}\nidempotent = yes\n",
                          S, S, S, S);
    }
    Folder.write("20-services.ini", Text);
    Folder.write("40-rates.ini",
                 "[rate small]\nper_second = 100\nburst = 200\n");
  }

  std::string get(const std::string &Path) const {
    return standins::control(Address, Path);
  }

  TemporaryFolder Folder;
  std::string Address;
  std::unique_ptr<Child> Process;
  int Changes = 0;
};

/// The node processes of one run.
class Fleet {
public:
  using MakeCommand = std::function<std::vector<std::string>(std::size_t)>;

  Fleet(std::size_t Count, MakeCommand Command)
      : Command(std::move(Command)), Nodes(Count) {}

  void startAll() {
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      Nodes[I] = NodeReport();
      Nodes[I].Process = std::make_unique<Child>(Command(I));
    }
  }

  void killAll() {
    for (NodeReport &Node : Nodes)
      kill(Node.Process->id(), SIGKILL);
    for (NodeReport &Node : Nodes)
      Node.Process.reset();
  }

  void sendToAll(const std::string &Line) {
    for (NodeReport &Node : Nodes)
      Node.Process->sendLine(Line);
  }

  /// Processes reports until \p Done returns true or the time has passed.
  /// Returns whether \p Done was met.
  bool processReports(int Milliseconds,
                      const std::function<bool()> &Done = {}) {
    const TimeMs End = Time.now() + DurationMs(Milliseconds);
    while (Time.now() < End) {
      if (Done && Done())
        return true;
      readReports();
    }
    return Done && Done();
  }

  /// Waits until the given nodes have a revision or a newer one in force. An
  /// empty list stands for all nodes. Returns false after \p Milliseconds.
  bool awaitRevision(std::uint64_t Revision, int Milliseconds,
                     const std::vector<std::size_t> &Indices = {}) {
    return processReports(Milliseconds, [&] {
      return std::all_of(Nodes.begin(), Nodes.end(), [&](const NodeReport &N) {
        const auto Index = static_cast<std::size_t>(&N - Nodes.data());
        const bool Selected =
            Indices.empty() ||
            std::find(Indices.begin(), Indices.end(), Index) != Indices.end();
        return !Selected ||
               N.InForceAt.lower_bound(Revision) != N.InForceAt.end();
      });
    });
  }

  /// Milliseconds from \p Since until the revision or a newer one was in force,
  /// for each node that reported it.
  std::vector<std::int64_t> delays(std::uint64_t Revision, TimeMs Since) const {
    std::vector<std::int64_t> Result;
    for (const NodeReport &N : Nodes) {
      const auto Found = N.InForceAt.lower_bound(Revision);
      if (Found != N.InForceAt.end())
        Result.push_back(Found->second - Since.Value);
    }
    return Result;
  }

  std::uint64_t bytes() const {
    std::uint64_t Sum = 0;
    for (const NodeReport &N : Nodes)
      Sum += N.Bytes;
    return Sum;
  }

  std::uint64_t connections() const {
    std::uint64_t Sum = 0;
    for (const NodeReport &N : Nodes)
      Sum += N.Connections;
    return Sum;
  }

  Usage usage() const {
    Usage Sum;
    for (const NodeReport &N : Nodes) {
      const Usage NodeUsage = usageOf(N.Process->id());
      Sum.CpuSeconds += NodeUsage.CpuSeconds;
      Sum.ResidentMb = std::max(Sum.ResidentMb, NodeUsage.ResidentMb);
      Sum.PrivateMb = std::max(Sum.PrivateMb, NodeUsage.PrivateMb);
    }
    return Sum;
  }

  std::size_t size() const { return Nodes.size(); }

private:
  void readReports() {
    std::vector<pollfd> Polled;
    Polled.reserve(Nodes.size());
    for (const NodeReport &N : Nodes)
      Polled.push_back({N.Process->output(), POLLIN, 0});
    poll(Polled.data(), Polled.size(), 50);
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      if (Polled[I].revents == 0)
        continue;
      for (const std::string &Line : Nodes[I].Process->readLines())
        parseReport(Nodes[I], Line);
    }
  }

  static void parseReport(NodeReport &Node, const std::string &Line) {
    std::istringstream Words(Line);
    std::string Kind;
    Words >> Kind;
    if (Kind == "V") {
      std::uint64_t Revision = 0;
      std::int64_t At = 0;
      Words >> Revision >> At;
      Node.InForceAt.emplace(Revision, At);
    } else if (Kind == "B") {
      std::uint64_t Sent = 0;
      std::uint64_t Received = 0;
      Words >> Sent >> Received >> Node.Connections;
      Node.Bytes = Sent + Received;
    }
  }

  MakeCommand Command;
  std::vector<NodeReport> Nodes;
  const Clock Time = Clock::monotonic();
};

} // namespace fescuewood::bench

#endif // FESCUEWOOD_BENCH_CONTROLBENCHFLEET_H
