/// \file
/// A table of the keys that a text may hold: one row per key.
///
/// Settings and intent describe their keys with rows; the same rows parse the
/// values, supply the defaults and are held against the documentation. To add
/// a key, add a member to the struct and one row to its table.

#ifndef FESCUEWOOD_INI_SCHEMA_H
#define FESCUEWOOD_INI_SCHEMA_H

#include "ini/Problem.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace fescuewood {

/// What people are told of a key.
struct KeyInfo {
  std::string Section; ///< Without the name of the thing described.
  std::string Name;
  std::string Unit;                   ///< Empty for none.
  std::optional<std::string> Default; ///< Nothing for a key that must be given.
  std::string Form;                   ///< What a value looks like.
  std::string Meaning;
};

/// How values of one type are written.
template <typename Value> struct ValueForm {
  std::string Text; ///< "a whole number from 1 to 65535".
  std::function<std::optional<Value>(std::string_view)> Parse;
};

/// One key of the struct \p Owner.
template <typename Owner> struct KeyRow {
  KeyInfo Info;
  /// Parses a value into the owner; false when it has another form.
  std::function<bool(std::string_view Text, Owner &Into)> Store;
};

/// Reaches the member that a key fills; a pointer to a member will do.
template <typename Owner, typename Value>
using MemberAccessor = std::function<Value &(Owner &)>;

/// Reaches a member of a member.
template <typename Owner, typename Inner, typename Value>
MemberAccessor<Owner, Value> within(Inner Owner::*Outer, Value Inner::*Member) {
  return [Outer, Member](Owner &O) -> Value & { return (O.*Outer).*Member; };
}

/// Makes a row. \p Default is parsed like any other value.
template <typename Owner, typename Value>
KeyRow<Owner> keyRow(std::string Section, std::string Name, std::string Unit,
                     std::optional<std::string> Default, ValueForm<Value> Form,
                     std::type_identity_t<MemberAccessor<Owner, Value>> Member,
                     std::string Meaning) {
  KeyInfo Info{std::move(Section), std::move(Name), std::move(Unit),
               std::move(Default), Form.Text,       std::move(Meaning)};
  auto Store = [Parse = std::move(Form.Parse),
                Member = std::move(Member)](std::string_view Text, Owner &O) {
    std::optional<Value> Parsed = Parse(Text);
    if (!Parsed)
      return false;
    Member(O) = std::move(*Parsed);
    return true;
  };
  return {std::move(Info), std::move(Store)};
}

/// A value and where it was written.
struct SourcedValue {
  std::string Text;
  SourceLine Where;
};

/// Values of one section by key.
using SectionValues = std::map<std::string, SourcedValue, std::less<>>;

/// The row of a key, or null.
template <typename Owner>
const KeyRow<Owner> *findRow(std::span<const KeyRow<Owner>> Rows,
                             std::string_view Section, std::string_view Name) {
  const auto It = std::find_if(Rows.begin(), Rows.end(), [&](const auto &Row) {
    return Row.Info.Section == Section && Row.Info.Name == Name;
  });
  return It == Rows.end() ? nullptr : &*It;
}

/// The problem of a value that has another form than its row says.
Problem malformedValue(const KeyInfo &Info, std::string_view Title,
                       const SourcedValue &Given);

/// The problem of a key that no row describes.
Problem unknownKey(std::span<const KeyInfo> Known, std::string_view Section,
                   std::string_view Title, std::string_view Name,
                   const SourceLine &Where);

/// The problem of a key that must be given.
Problem missingKey(const KeyInfo &Info, std::string_view Title,
                   const SourceLine &Where);

/// What people are told of every key of a table.
template <typename Owner>
std::vector<KeyInfo> keyInfos(std::span<const KeyRow<Owner>> Rows) {
  std::vector<KeyInfo> Infos;
  for (const KeyRow<Owner> &Row : Rows)
    Infos.push_back(Row.Info);
  return Infos;
}

/// Fills \p Into from the values of one section and from defaults. Reports
/// unknown, missing and malformed keys. \p Title names the section in
/// messages, and \p Where is its heading.
template <typename Owner>
void fillSection(std::span<const KeyRow<Owner>> Rows, std::string_view Section,
                 std::string_view Title, const SourceLine &Where,
                 const SectionValues &Values, Owner &Into, Problems &Found) {
  for (const auto &[Name, Given] : Values)
    if (!findRow(Rows, Section, Name))
      report(Found,
             unknownKey(keyInfos(Rows), Section, Title, Name, Given.Where));
  for (const KeyRow<Owner> &Row : Rows) {
    if (Row.Info.Section != Section)
      continue;
    const auto Given = Values.find(Row.Info.Name);
    if (Given == Values.end() && !Row.Info.Default)
      report(Found, missingKey(Row.Info, Title, Where));
    else if (Given == Values.end())
      Row.Store(*Row.Info.Default, Into);
    else if (!Row.Store(Given->second.Text, Into))
      report(Found, malformedValue(Row.Info, Title, Given->second));
  }
}

} // namespace fescuewood

#endif // FESCUEWOOD_INI_SCHEMA_H
