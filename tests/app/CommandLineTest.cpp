#include "app/Commands.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

ExitCode runWith(std::vector<std::string> Words) {
  std::vector<char *> Arguments;
  Arguments.reserve(Words.size());
  for (std::string &Word : Words)
    Arguments.push_back(Word.data());
  return runCommandLine(static_cast<int>(Arguments.size()), Arguments.data());
}

} // namespace

TEST_GROUP(CommandLine){};

// Guards against a misspelt flag that ends with exit code 1, which scripts take
// for warnings or an unhealthy mesh.
TEST(CommandLine, EndsWithTheUsageCodeForInvalidFlags) {
  CHECK_TRUE(ExitCode::Usage ==
             runWith({"fescuewood", "check", "--strikt", "a"}));
  CHECK_TRUE(ExitCode::Usage == runWith({"fescuewood", "check", "--against"}));
  CHECK_TRUE(ExitCode::Usage ==
             runWith({"fescuewood", "check", "a", "--json=x"}));
  CHECK_TRUE(ExitCode::Usage ==
             runWith({"fescuewood", "status", "--timeout_ms", "soon"}));
}
