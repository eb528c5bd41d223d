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

std::string SourceLine::text() const {
  return Line == 0 ? File : fmt::format("{}:{}", File, Line);
}

std::string Problem::text() const {
  const std::string Subject = Name.empty() ? "" : Name + ": ";
  return fmt::format("{}: {}{} (code {})", Where.text(), Subject, Detail,
                     static_cast<unsigned>(Code));
}

void report(Problems &Found, Problem Next) {
  if (Found.size() < MaxProblems)
    Found.push_back(std::move(Next));
  else if (Found.size() == MaxProblems) {
    Found.push_back(
        {ResultCode::TooManyProblems,
         {Next.Where.File, 0},
         "",
         fmt::format("only the first {} problems are listed", MaxProblems)});
  }
}

void sortProblems(Problems &Found) {
  const auto Position = [](const Problem &P) {
    return std::tuple(P.Code == ResultCode::TooManyProblems, P.Where);
  };
  std::stable_sort(Found.begin(), Found.end(),
                   [&](const Problem &Left, const Problem &Right) {
                     return Position(Left) < Position(Right);
                   });
}

std::string problemsText(const Problems &Found) {
  std::string Text;
  for (const Problem &P : Found)
    Text += P.text() + "\n";
  return Text;
}

std::string quotedText(std::string_view Text) {
  std::string Shown(Text.substr(0, MaxQuotedBytes));
  std::replace_if(
      Shown.begin(), Shown.end(), [](char C) { return !isPrintable(C); }, '?');
  return fmt::format("\"{}{}\"", Shown,
                     Text.size() > MaxQuotedBytes ? "..." : "");
}

} // namespace fescuewood
