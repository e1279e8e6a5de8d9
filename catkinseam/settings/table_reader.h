// Reads a TOML settings file into a struct, driven by a table of its fields.
//
//   const std::vector<SettingsField<Settings>> Fields = {
//       {"entry", "name", &Settings::m_name, true}};
//   TableReader<Settings> Reader(Fields, Target, Errors);
//   Reader.read(Root);
#ifndef CATKINSEAM_SETTINGS_TABLE_READER_H
#define CATKINSEAM_SETTINGS_TABLE_READER_H

#include "catkinseam/base/clock.h"
#include "catkinseam/net/endpoint.h"
#include "catkinseam/settings/settings_error.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <toml++/toml.h>
#include <variant>
#include <vector>

namespace catkinseam {

/// One key of a settings file and the member that stores its value.
template <class Values> struct SettingsField {
  using Member = std::variant<std::string Values::*, std::int64_t Values::*,
                              Milliseconds Values::*, Endpoint Values::*,
                              std::vector<Endpoint> Values::*, bool Values::*,
                              FractionalSeconds Values::*, double Values::*>;

  const char *m_section;
  const char *m_key;
  Member m_member;
  bool m_isRequired;
  /// Inclusive bounds of a number, in the unit of the key.
  std::int64_t m_min = 0;
  std::int64_t m_max = 0;

  std::string path() const { return std::string(m_section) + "." + m_key; }
};

/// Reads all fields and collects errors without stopping at the first.
template <class Values> class TableReader {
public:
  using Field = SettingsField<Values>;

  TableReader(const std::vector<Field> &Fields, Values &Target,
              std::vector<SettingsError> &Errors)
      : m_fields(Fields), m_target(Target), m_errors(Errors) {}

  void read(const toml::table &Root) {
    rejectUnknownKeys(Root);
    for (const Field &Spec : m_fields)
      readField(Root, Spec);
  }

  /// Adds an error for a key, with the line it was read from, or 0 if the file
  /// does not contain the key.
  void addError(const std::string &Key, const std::string &Message) {
    const auto Line = m_lines.find(Key);
    addError(Key, Line == m_lines.end() ? 0 : Line->second, Message);
  }

private:
  void addError(const std::string &Key, std::int64_t Line,
                std::string Message) {
    m_errors.push_back({Key, Line, std::move(Message)});
  }

  void rejectUnknownKeys(const toml::table &Root) {
    std::set<std::string> Sections;
    std::set<std::string> Paths;
    for (const Field &Spec : m_fields) {
      Sections.insert(Spec.m_section);
      Paths.insert(Spec.path());
    }
    for (const auto &[Section, Node] : Root) {
      const std::string Name(Section.str());
      const toml::table *Table = Node.as_table();
      if (Table == nullptr || Sections.count(Name) == 0) {
        addError(Name, Node.source().begin.line, "unknown section");
        continue;
      }
      for (const auto &[Key, Value] : *Table) {
        const std::string Path = Name + "." + std::string(Key.str());
        if (Paths.count(Path) == 0)
          addError(Path, Value.source().begin.line, "unknown key");
      }
    }
  }

  void readField(const toml::table &Root, const Field &Spec) {
    const toml::node_view<const toml::node> Node =
        Root[Spec.m_section][Spec.m_key];
    if (!Node) {
      if (Spec.m_isRequired)
        addError(Spec.path(), 0, "is required");
      return;
    }
    const std::int64_t Line = Node.node()->source().begin.line;
    m_lines[Spec.path()] = Line;
    std::visit(
        [&](auto MemberPtr) { store(Spec, Line, *Node.node(), MemberPtr); },
        Spec.m_member);
  }

  void store(const Field &Spec, std::int64_t Line, const toml::node &Node,
             std::string Values::*MemberPtr) {
    const auto Text = Node.value_exact<std::string>();
    if (!Text)
      return addError(Spec.path(), Line, "must be a string");
    if (Spec.m_isRequired && Text->empty())
      return addError(Spec.path(), Line, "must not be empty");
    m_target.*MemberPtr = *Text;
  }

  bool readNumber(const Field &Spec, std::int64_t Line, const toml::node &Node,
                  std::int64_t &Number) {
    const auto Found = Node.value_exact<std::int64_t>();
    if (!Found) {
      addError(Spec.path(), Line, "must be an integer");
      return false;
    }
    if (*Found < Spec.m_min || *Found > Spec.m_max) {
      addError(Spec.path(), Line,
               "must be from " + std::to_string(Spec.m_min) + " to " +
                   std::to_string(Spec.m_max));
      return false;
    }
    Number = *Found;
    return true;
  }

  void store(const Field &Spec, std::int64_t Line, const toml::node &Node,
             std::int64_t Values::*MemberPtr) {
    readNumber(Spec, Line, Node, m_target.*MemberPtr);
  }

  void store(const Field &Spec, std::int64_t Line, const toml::node &Node,
             Milliseconds Values::*MemberPtr) {
    std::int64_t Number = 0;
    if (readNumber(Spec, Line, Node, Number))
      m_target.*MemberPtr = Milliseconds(Number);
  }

  bool readEndpoint(const Field &Spec, std::int64_t Line,
                    const toml::node &Node, Endpoint &Address) {
    const auto Text = Node.value_exact<std::string>();
    if (!Text) {
      addError(Spec.path(), Line, "must be an \"IP:PORT\" string");
      return false;
    }
    Outcome<Endpoint> Parsed = attempt([&] { return parseEndpoint(*Text); });
    if (!Parsed) {
      addError(Spec.path(), Line, Parsed.error().m_message);
      return false;
    }
    Address = Parsed.value();
    return true;
  }

  void store(const Field &Spec, std::int64_t Line, const toml::node &Node,
             Endpoint Values::*MemberPtr) {
    readEndpoint(Spec, Line, Node, m_target.*MemberPtr);
  }

  void store(const Field &Spec, std::int64_t Line, const toml::node &Node,
             std::vector<Endpoint> Values::*MemberPtr) {
    const toml::array *Items = Node.as_array();
    if (Items == nullptr)
      return addError(Spec.path(), Line,
                      "must be a list of \"IP:PORT\" strings");
    std::vector<Endpoint> Found;
    for (const toml::node &Item : *Items) {
      Endpoint Address;
      if (readEndpoint(Spec, Item.source().begin.line, Item, Address))
        Found.push_back(Address);
    }
    m_target.*MemberPtr = std::move(Found);
  }

  void store(const Field &Spec, std::int64_t Line, const toml::node &Node,
             bool Values::*MemberPtr) {
    const auto Flag = Node.value_exact<bool>();
    if (!Flag)
      return addError(Spec.path(), Line, "must be true or false");
    m_target.*MemberPtr = *Flag;
  }

  void store(const Field &Spec, std::int64_t Line, const toml::node &Node,
             FractionalSeconds Values::*MemberPtr) {
    double Seconds = 0.0;
    if (readDouble(Spec, Line, Node, Seconds))
      m_target.*MemberPtr = FractionalSeconds(Seconds);
  }

  void store(const Field &Spec, std::int64_t Line, const toml::node &Node,
             double Values::*MemberPtr) {
    readDouble(Spec, Line, Node, m_target.*MemberPtr);
  }

  bool readDouble(const Field &Spec, std::int64_t Line, const toml::node &Node,
                  double &Number) {
    const auto Found = Node.value<double>();
    if (!Found || !Node.is_number()) {
      addError(Spec.path(), Line, "must be a number");
      return false;
    }
    if (*Found < static_cast<double>(Spec.m_min) ||
        *Found > static_cast<double>(Spec.m_max)) {
      addError(Spec.path(), Line,
               "must be from " + std::to_string(Spec.m_min) + " to " +
                   std::to_string(Spec.m_max));
      return false;
    }
    Number = *Found;
    return true;
  }

  const std::vector<Field> &m_fields;
  Values &m_target;
  std::vector<SettingsError> &m_errors;
  std::map<std::string, std::int64_t> m_lines;
};

/// Sorts errors by line; missing keys, which have line 0, come first.
inline void sortByLine(std::vector<SettingsError> &Errors) {
  std::stable_sort(Errors.begin(), Errors.end(),
                   [](const SettingsError &Left, const SettingsError &Right) {
                     return Left.m_line < Right.m_line;
                   });
}

/// Parses TOML text into `Target`. `CheckAcrossFields(Target, Reader)` then
/// checks constraints between fields. A syntax error is reported as the only
/// error.
template <class Values, class Check>
void readSettingsText(const std::string &Text,
                      const std::vector<SettingsField<Values>> &Fields,
                      Check &&CheckAcrossFields, Values &Target,
                      std::vector<SettingsError> &Errors) {
  try {
    const toml::table Root = toml::parse(Text);
    TableReader<Values> Reader(Fields, Target, Errors);
    Reader.read(Root);
    CheckAcrossFields(Target, Reader);
    sortByLine(Errors);
  } catch (const toml::parse_error &Failure) {
    Errors.push_back({"(file)", Failure.source().begin.line,
                      std::string(Failure.description())});
  }
}

} // namespace catkinseam

#endif // CATKINSEAM_SETTINGS_TABLE_READER_H
