#include "ini/Problem.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

#include <fmt/format.h>

namespace fescuewood {

namespace {

constexpr std::size_t MaxQuotedBytes = 60;

bool isPrintable(char C) { return C >= 0x20 && C != 0x7f; }

} // namespace

std::string SourceLocation::text() const {
  return Line == 0 ? File : fmt::format("{}:{}", File, Line);
}

std::string Problem::text() const {
  const std::string Subject = Name.empty() ? "" : Name + ": ";
  return fmt::format("{}: {}{} (code {})", Where.text(), Subject, Detail,
                     static_cast<unsigned>(Code));
}

void report(Problems &ProblemList, Problem NewProblem) {
  if (ProblemList.size() < MaxProblems)
    ProblemList.push_back(std::move(NewProblem));
  else if (ProblemList.size() == MaxProblems) {
    ProblemList.push_back(
        {ResultCode::TooManyProblems,
         {NewProblem.Where.File, 0},
         "",
         fmt::format("only the first {} problems are listed", MaxProblems)});
  }
}

void sortProblems(Problems &ProblemList) {
  const auto Position = [](const Problem &P) {
    return std::tuple(P.Code == ResultCode::TooManyProblems, P.Where);
  };
  std::stable_sort(ProblemList.begin(), ProblemList.end(),
                   [&](const Problem &Left, const Problem &Right) {
                     return Position(Left) < Position(Right);
                   });
}

std::string problemsText(const Problems &ProblemList) {
  std::string Text;
  for (const Problem &P : ProblemList)
    Text += P.text() + "\n";
  return Text;
}

std::string quotedText(std::string_view Text) {
  std::string Excerpt(Text.substr(0, MaxQuotedBytes));
  std::replace_if(
      Excerpt.begin(), Excerpt.end(), [](char C) { return !isPrintable(C); },
      '?');
  return fmt::format("\"{}{}\"", Excerpt,
                     Text.size() > MaxQuotedBytes ? "..." : "");
}

} // namespace fescuewood
