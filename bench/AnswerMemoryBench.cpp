/// \file
/// Benchmark of the memory that one large answer takes on its way.
///
/// Runs each part of the way in a process of its own and prints the growth of
/// its peak resident memory for each byte of the answer, as a Markdown table.

#include "calls/CallEngine.h"
#include "core/ProcessMemory.h"
#include "nodes/CallMessages.h"

#include <cstdio>
#include <functional>
#include <future>
#include <string>
#include <string_view>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <gflags/gflags.h>

DEFINE_uint64(answer_bytes, 6'000'000, "size of the answer");

using namespace fescuewood;

namespace {

constexpr std::size_t BytesPerKilobyte = 1024;

CallAnswer makeAnswer() {
  CallAnswer Answer;
  Answer.Status = 200;
  Answer.Body.resize(FLAGS_answer_bytes, 'a');
  return Answer;
}

std::size_t peakMemory() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  return static_cast<std::size_t>(Usage.ru_maxrss) * BytesPerKilobyte;
}

/// Beside the target: from the target's answer to the first piece of the reply.
void runAtTarget() {
  CallIdentity Self;
  Self.Incarnation = 1;
  CallHooks Hooks;
  Hooks.Random = [] { return 1; };
  Hooks.Target.Run = [](const CallRequest &, DurationMs,
                        const RunHook &OnResult) {
    RunResult Result;
    Result.Answer = makeAnswer();
    OnResult(std::move(Result));
  };
  CallEngine Engine(Self, {}, std::move(Hooks));
  Engine.start();
  CallStart Start;
  Start.Request.Id = {2, 1};
  Start.Request.Method = "GET";
  Start.Request.Idempotent = true;
  Start.Request.Remaining = DurationMs(2000);
  std::promise<void> Replied;
  Engine.handlePeer(PeerKind::CallStart, {}, encode(Start),
                    [&Replied](const std::string &) { Replied.set_value(); });
  Replied.get_future().wait();
  Engine.stop();
}

/// On the entry node: from the pieces to the answer.
void runAtEntry(std::string_view Encoded) {
  AnswerAssembler Assembler;
  while (!Assembler.complete()) {
    CallReply Reply;
    addAnswerPiece(Reply, Encoded, Assembler.offset(), 0);
    Assembler.add(Reply);
  }
  if (!Assembler.answer())
    std::fputs("the answer is malformed\n", stderr);
}

/// Runs \p Part in a process of its own and prints its result.
void measure(const char *Name, const std::function<void()> &Part) {
  std::fflush(stdout);
  const pid_t Child = fork();
  if (Child == 0) {
    const std::size_t Before = residentMemory().value_or(0);
    Part();
    const auto Growth = static_cast<double>(peakMemory() - Before);
    std::printf("| %s | %.2f |\n", Name,
                Growth / static_cast<double>(FLAGS_answer_bytes));
    std::fflush(stdout);
    _exit(0);
  }
  int Status = 0;
  waitpid(Child, &Status, 0);
}

} // namespace

int main(int ArgCount, char **Args) {
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  std::printf("| part of the way | peak bytes for a byte of the answer |\n"
              "|---|---|\n");
  const std::string Encoded = encodeAnswer(makeAnswer());
  measure("beside the target, from its answer to the reply", runAtTarget);
  measure("entry node, from the pieces to the answer",
          [&Encoded] { runAtEntry(Encoded); });
  return 0;
}
