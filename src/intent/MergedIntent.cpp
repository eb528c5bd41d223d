#include "intent/MergedIntent.h"

#include "ini/IniReader.h"
#include "intent/CompileIntent.h"

#include <algorithm>
#include <vector>

#include <fmt/format.h>

namespace fescuewood {

namespace {

bool checkSize(const IntentBundle &Bundle, Problems &Found) {
  std::size_t Bytes = 0;
  for (const IntentFile &F : Bundle.Files)
    Bytes += F.Name.size() + F.Text.size();
  if (Bytes <= MaxBundleBytes && Bundle.Files.size() <= MaxBundleFiles)
    return true;
  report(Found,
         {ResultCode::IntentTooLarge,
          {},
          "intent",
          fmt::format("{} bytes in {} files; at most {} bytes in {} files are "
                      "accepted",
                      Bytes, Bundle.Files.size(), MaxBundleBytes,
                      MaxBundleFiles)});
  return false;
}

std::vector<const IntentFile *> sortedByName(const IntentBundle &Bundle) {
  std::vector<const IntentFile *> Files;
  for (const IntentFile &F : Bundle.Files)
    Files.push_back(&F);
  std::stable_sort(Files.begin(), Files.end(),
                   [](const IntentFile *Left, const IntentFile *Right) {
                     return Left->Name < Right->Name;
                   });
  return Files;
}

bool checkName(const IntentFile &File, const IntentFile *Previous,
               Problems &Found) {
  const bool Duplicate = Previous && Previous->Name == File.Name;
  if (isIntentFileName(File.Name) && !Duplicate)
    return true;
  report(Found, {ResultCode::IntentFileName,
                 {File.Name, 0},
                 quotedText(File.Name),
                 Duplicate ? "duplicate file name"
                           : "expected lower-case letters, digits, '.', '_' or "
                             "'-', and \".ini\" at the end"});
  return false;
}

void mergeSection(const IniSection &Section, const std::string &FileName,
                  MergedIntent &Merged) {
  const SectionId Id{Section.Kind, Section.Name};
  const SourceLocation Heading{FileName, Section.Line};
  MergedSection &Destination =
      Merged.try_emplace(Id, MergedSection{Heading, {}, {}}).first->second;
  for (const IniEntry &Entry : Section.Entries) {
    SourcedValue Value{Entry.Value, {FileName, Entry.Line}};
    const auto [Current, Added] =
        Destination.Values.try_emplace(Entry.Name, Value);
    if (Added)
      continue;
    Destination.Overridden.emplace(Entry.Name, std::move(Current->second));
    Current->second = std::move(Value);
  }
}

} // namespace

std::string SectionId::heading() const {
  return Name.empty() ? "[" + Kind + "]" : "[" + Kind + " " + Name + "]";
}

MergedIntent mergeIntent(const IntentBundle &Bundle, Problems &Found) {
  MergedIntent Merged;
  if (!checkSize(Bundle, Found))
    return Merged;
  const IntentFile *Previous = nullptr;
  for (const IntentFile *File : sortedByName(Bundle)) {
    if (checkName(*File, Previous, Found))
      for (const IniSection &Section : readIni(File->Text, File->Name, Found))
        mergeSection(Section, File->Name, Merged);
    Previous = File;
  }
  return Merged;
}

} // namespace fescuewood
