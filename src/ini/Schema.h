/// \file
/// Schema tables for settings and intent: one row per key.
///
/// The rows parse the values, supply the defaults and are compared with the
/// documentation by tests. To add a key, add a member to the struct and a row
/// to its table.

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

/// Documentation of a key, also used in messages.
struct KeyInfo {
  std::string Section; ///< Section kind, without the section name.
  std::string Name;
  std::string Unit;                   ///< Empty if none.
  std::optional<std::string> Default; ///< std::nullopt for a required key.
  std::string Form;                   ///< Format of values.
  std::string Meaning;                ///< One sentence for the documentation.
};

/// Format of values of one type.
template <typename Value> struct ValueForm {
  std::string Text; ///< Such as "a whole number from 1 to 65535".
  std::function<std::optional<Value>(std::string_view)> Parse;
};

/// Schema row for one key of the struct \p Owner.
template <typename Owner> struct KeyRow {
  KeyInfo Info;
  /// Parses a value into the owner; returns false when it is malformed.
  std::function<bool(std::string_view Text, Owner &Destination)> Store;
};

/// Returns the member that a key sets; a pointer to a member converts to it.
template <typename Owner, typename Value>
using MemberAccessor = std::function<Value &(Owner &)>;

/// Accessor for a member of a member.
template <typename Owner, typename Inner, typename Value>
MemberAccessor<Owner, Value> nestedMember(Inner Owner::*Outer,
                                          Value Inner::*Member) {
  return [Outer, Member](Owner &O) -> Value & { return (O.*Outer).*Member; };
}

/// Creates a row. \p Default is parsed like any other value.
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

/// A value and its location in the file.
struct SourcedValue {
  std::string Text;
  SourceLocation Where;
};

/// Values of one section by key.
using SectionValues = std::map<std::string, SourcedValue, std::less<>>;

/// Row of a key, or null if there is none.
template <typename Owner>
const KeyRow<Owner> *findRow(std::span<const KeyRow<Owner>> Rows,
                             std::string_view Section, std::string_view Name) {
  const auto It = std::find_if(Rows.begin(), Rows.end(), [&](const auto &Row) {
    return Row.Info.Section == Section && Row.Info.Name == Name;
  });
  return It == Rows.end() ? nullptr : &*It;
}

/// Problem for a value that does not have the format of its row.
Problem malformedValue(const KeyInfo &Info, std::string_view Title,
                       const SourcedValue &Input);

/// Problem for a key that has no row.
Problem unknownKey(std::span<const KeyInfo> Known, std::string_view Section,
                   std::string_view Title, std::string_view Name,
                   const SourceLocation &Location);

/// Problem for a required key that is missing.
Problem missingKey(const KeyInfo &Info, std::string_view Title,
                   const SourceLocation &Location);

/// Documentation of all keys in a table.
template <typename Owner>
std::vector<KeyInfo> keyInfos(std::span<const KeyRow<Owner>> Rows) {
  std::vector<KeyInfo> Infos;
  for (const KeyRow<Owner> &Row : Rows)
    Infos.push_back(Row.Info);
  return Infos;
}

/// Sets the members of \p Destination from the values of one section and from
/// defaults. Reports unknown, missing and malformed keys. \p Title names the
/// section in messages, and \p Location is the location of its heading.
template <typename Owner>
void fillSection(std::span<const KeyRow<Owner>> Rows, std::string_view Section,
                 std::string_view Title, const SourceLocation &Location,
                 const SectionValues &Values, Owner &Destination,
                 Problems &ProblemList) {
  for (const auto &[Name, Input] : Values)
    if (!findRow(Rows, Section, Name))
      report(ProblemList,
             unknownKey(keyInfos(Rows), Section, Title, Name, Input.Where));
  for (const KeyRow<Owner> &Row : Rows) {
    if (Row.Info.Section != Section)
      continue;
    const auto Input = Values.find(Row.Info.Name);
    if (Input == Values.end() && !Row.Info.Default)
      report(ProblemList, missingKey(Row.Info, Title, Location));
    else if (Input == Values.end())
      Row.Store(*Row.Info.Default, Destination);
    else if (!Row.Store(Input->second.Text, Destination))
      report(ProblemList, malformedValue(Row.Info, Title, Input->second));
  }
}

} // namespace fescuewood

#endif // FESCUEWOOD_INI_SCHEMA_H
