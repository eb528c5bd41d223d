/// \file
/// Child process for tests. It is signalled by its process id and never
/// outlives the test.

#ifndef FESCUEWOOD_TESTS_STANDINS_PROCESS_H
#define FESCUEWOOD_TESTS_STANDINS_PROCESS_H

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <optional>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace standins {

class Process {
public:
  Process() = default;

  /// Starts a program and appends its output to the file \p Output.
  Process(const std::vector<std::string> &Command, const std::string &Output) {
    Id = fork();
    if (Id < 0)
      throw std::runtime_error("cannot fork to start " + Command.front());
    if (Id == 0)
      execute(Command, Output);
  }

  ~Process() { end(); }
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  Process(Process &&Other) noexcept : Id(std::exchange(Other.Id, 0)) {}
  Process &operator=(Process &&Other) noexcept {
    std::swap(Id, Other.Id);
    return *this;
  }

  void signal(int Number) const {
    if (Id > 0)
      kill(Id, Number);
  }

  /// Waits until the process exits and returns its exit code, or 128 + the
  /// signal number if a signal ended it. Returns std::nullopt after \p Timeout.
  std::optional<int> wait(std::chrono::seconds Timeout) {
    const auto End = std::chrono::steady_clock::now() + Timeout;
    int Status = 0;
    while (Id > 0 && waitpid(Id, &Status, WNOHANG) == 0) {
      if (std::chrono::steady_clock::now() > End)
        return std::nullopt;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    Id = 0;
    return WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
  }

  /// Like \ref wait, but returns std::nullopt at once while the process runs.
  std::optional<int> poll() {
    int Status = 0;
    if (Id <= 0 || waitpid(Id, &Status, WNOHANG) == 0)
      return std::nullopt;
    Id = 0;
    return WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
  }

  /// Kills the process if it is running, and reaps it.
  void end() {
    if (Id <= 0)
      return;
    kill(Id, SIGKILL);
    waitpid(Id, nullptr, 0);
    Id = 0;
  }

  bool running() const { return Id > 0 && kill(Id, 0) == 0; }
  pid_t id() const { return Id; }

private:
  [[noreturn]] static void execute(const std::vector<std::string> &Command,
                                   const std::string &Output) {
    // The kernel kills the child when the test process dies.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int File =
        open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(File, STDOUT_FILENO);
    dup2(File, STDERR_FILENO);
    std::vector<char *> Arguments;
    Arguments.reserve(Command.size() + 1);
    for (const std::string &Argument : Command)
      Arguments.push_back(const_cast<char *>(Argument.c_str()));
    Arguments.push_back(nullptr);
    execv(Arguments[0], Arguments.data());
    _exit(127);
  }

  pid_t Id = 0;
};

} // namespace standins

#endif // FESCUEWOOD_TESTS_STANDINS_PROCESS_H
