/// \file
/// Child process that lives as long as the object; used to run stand-ins.

#ifndef FESCUEWOOD_TESTS_SUPPORT_CHILDPROCESS_H
#define FESCUEWOOD_TESTS_SUPPORT_CHILDPROCESS_H

#include <csignal>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

/// Starts a program, waits for the first line of its output, and kills the
/// process on destruction.
class ChildProcess {
public:
  explicit ChildProcess(std::vector<std::string> Command) {
    int Pipe[2];
    if (pipe(Pipe) != 0)
      return;
    Id = fork();
    if (Id == 0) {
      dup2(Pipe[1], STDOUT_FILENO);
      close(Pipe[0]);
      close(Pipe[1]);
      std::vector<char *> Arguments;
      Arguments.reserve(Command.size());
      for (std::string &Argument : Command)
        Arguments.push_back(Argument.data());
      Arguments.push_back(nullptr);
      execv(Arguments[0], Arguments.data());
      _exit(127);
    }
    close(Pipe[1]);
    char Character = 0;
    while (read(Pipe[0], &Character, 1) == 1 && Character != '\n')
      FirstLine += Character;
    close(Pipe[0]);
  }

  ~ChildProcess() {
    if (Id <= 0)
      return;
    kill(Id, SIGKILL);
    waitpid(Id, nullptr, 0);
  }

  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// First line of the program's output; empty when it did not start.
  const std::string &firstLine() const { return FirstLine; }

private:
  pid_t Id = -1;
  std::string FirstLine;
};

#endif // FESCUEWOOD_TESTS_SUPPORT_CHILDPROCESS_H
