/// \file
/// Benchmark of intent compilation and route lookup.
///
/// Measures the time and memory to compile an intent by its number of sections,
/// and the time to find a route. Prints Markdown.

#include "intent/BundleDelta.h"
#include "intent/CompileIntent.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_int32(repeats, 15, "runs of each measurement; the median is printed");

using namespace fescuewood;

namespace {

/// Size of a generated intent.
struct Size {
  std::size_t Services;
  std::size_t Routes;
  std::size_t Organisations;
  std::size_t Keys;
  std::size_t CommentBytes; ///< In every section, like operators' notes.
};

IntentFile section(std::string Name, const Size &S, std::string Body) {
  return {std::move(Name),
          "; " + std::string(S.CommentBytes, 'c') + "\n" + std::move(Body)};
}

IntentBundle generate(const Size &S) {
  IntentBundle Bundle{1, {}};
  auto &Files = Bundle.Files;
  for (std::size_t I = 0; I < 5; ++I)
    Files.push_back(section(
        fmt::format("10-domain-{}.ini", I), S,
        fmt::format("[domain d{}]\nregion = r{}\nnodes = 240\n", I, I / 3)));
  for (std::size_t I = 0; I < S.Services; ++I)
    Files.push_back(section(fmt::format("20-service-{}.ini", I), S,
                            fmt::format("[service s{}]\nslots = 6\n", I)));
  for (std::size_t I = 0; I < S.Routes; ++I) {
    Files.push_back(section(
        fmt::format("30-route-{}.ini", I), S,
        fmt::format("[route r{0}]\nmethod = GET\npath = /service-{1}/item-{0}/*"
                    "\nservice = s{1}\nidempotent = yes\ntimeout_ms = 1000\n",
                    I, I % S.Services)));
  }
  Files.push_back(
      section("40-rates.ini", S, "[rate a]\nper_second = 50\nburst = 100\n"));
  for (std::size_t I = 0; I < S.Organisations; ++I)
    Files.push_back(
        section(fmt::format("50-organisation-{}.ini", I), S,
                fmt::format("[organisation o{}]\nrate = a\nweight = 2\n", I)));
  for (std::size_t I = 0; I < S.Keys; ++I) {
    Files.push_back(
        section(fmt::format("60-key-{}.ini", I), S,
                fmt::format("[key k{}]\norganisation = o{}\nsha256 = {}\n", I,
                            I % S.Organisations,
                            Digest::sha256(std::to_string(I)).hex())));
  }
  return Bundle;
}

std::size_t bytesOf(const IntentBundle &Bundle) {
  std::size_t Bytes = 0;
  for (const IntentFile &F : Bundle.Files)
    Bytes += F.Name.size() + F.Text.size();
  return Bytes;
}

/// Median duration of one call, in microseconds.
template <typename Function> double medianMicroseconds(Function Call) {
  std::vector<double> Times;
  for (int I = 0; I < FLAGS_repeats; ++I) {
    const auto Start = std::chrono::steady_clock::now();
    Call();
    const std::chrono::duration<double, std::micro> Elapsed =
        std::chrono::steady_clock::now() - Start;
    Times.push_back(Elapsed.count());
  }
  std::sort(Times.begin(), Times.end());
  return Times[Times.size() / 2];
}

/// Heap bytes held by the snapshot of a bundle.
std::size_t snapshotBytes(const IntentBundle &Bundle) {
  const std::size_t Before = mallinfo2().uordblks;
  CompiledIntent Compiled = compileIntent(Bundle);
  return mallinfo2().uordblks - Before;
}

void printCompile(const char *Name, const Size &S) {
  const IntentBundle Bundle = generate(S);
  const CompiledIntent Compiled = compileIntent(Bundle);
  if (!Compiled.Result) {
    std::printf("%s\n", problemsText(Compiled.Found).c_str());
    return;
  }
  const double CompileUs = medianMicroseconds([&] { compileIntent(Bundle); });
  const double DigestUs = medianMicroseconds([&] { Bundle.version(); });
  IntentBundle Changed = Bundle;
  Changed.Revision = 2;
  Changed.Files.back().Text += "; changed\n";
  const BundleDelta Delta = makeDelta(Bundle, Changed);
  const double ApplyUs = medianMicroseconds([&] { applyDelta(Bundle, Delta); });
  const std::size_t Sections = Bundle.Files.size();
  std::printf("| %s | %zu | %zu | %.1f | %.1f | %.2f | %.2f | %zu | %zu |\n",
              Name, Sections, bytesOf(Bundle) / 1024, CompileUs / 1000,
              CompileUs / static_cast<double>(Sections), DigestUs / 1000,
              ApplyUs / 1000, snapshotBytes(Bundle) / 1024,
              Delta.payloadBytes());
}

void printRoutes(std::size_t Routes) {
  const CompiledIntent Compiled =
      compileIntent(generate({88, Routes, 8, 8, 10}));
  const std::string Path =
      fmt::format("/service-{}/item-{}/7", (Routes - 1) % 88, Routes - 1);
  constexpr int Calls = 1000;
  std::size_t Found = 0;
  const double Us = medianMicroseconds([&] {
    for (int I = 0; I < Calls; ++I)
      Found += Compiled.Result->findRoute("GET", "", Path) ? 1U : 0U;
  });
  std::printf("| %zu | %.0f |\n", Routes, Us * 1000 / Calls);
  if (Found == 0)
    std::printf("no route found\n");
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::printf("| Intent | Sections | KiB | Compile (ms) | per section (us) | "
              "Digest (ms) | Apply a delta (ms) | Snapshot (KiB) | Delta "
              "(bytes) |\n|---|---|---|---|---|---|---|---|---|\n");
  printCompile("Teiknibás of today", {4, 8, 8, 8, 40});
  printCompile("a quarter", {22, 100, 75, 150, 40});
  printCompile("half", {44, 200, 150, 300, 40});
  printCompile("the target", {88, 400, 300, 600, 40});
  printCompile("the target, near 1 MiB", {88, 400, 300, 600, 600});
  std::printf("\n| Routes | Finding the last one (ns) |\n|---|---|\n");
  for (const std::size_t Routes : {8U, 100U, 400U, 1600U})
    printRoutes(Routes);
  return 0;
}
