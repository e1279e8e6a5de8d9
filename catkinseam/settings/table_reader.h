// Reads a TOML settings file into a struct by a table of its fields.
//
//   const std::vector<SettingsField<Settings>> Fields = {
//       {"entry", "name", &Settings::m_name, true}};
//   TableReader<Settings> Reader(Fields, Values, Faults);
//   Reader.read(Root);
#ifndef CATKINSEAM_SETTINGS_TABLE_READER_H
#define CATKINSEAM_SETTINGS_TABLE_READER_H

#include "catkinseam/base/clock.h"
#include "catkinseam/net/endpoint.h"
#include "catkinseam/settings/fault.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <toml++/toml.h>
#include <variant>
#include <vector>

namespace catkinseam {

/// One key of a settings file, and the member that it fills.
template <class Values> struct SettingsField {
  using Member = std::variant<std::string Values::*, std::int64_t Values::*,
                              Milliseconds Values::*, Endpoint Values::*,
                              std::vector<Endpoint> Values::*, bool Values::*,
                              FractionalSeconds Values::*, double Values::*>;

  const char *m_section;
  const char *m_key;
  Member m_member;
  bool m_isRequired;
  /// Bounds of numbers, in the key's unit.
  std::int64_t m_least = 0;
  std::int64_t m_most = 0;

  std::string path() const { return std::string(m_section) + "." + m_key; }
};

/// Collects every fault in place of stopping at the first.
template <class Values> class TableReader {
public:
  using Field = SettingsField<Values>;

  TableReader(const std::vector<Field> &Fields, Values &Target,
              std::vector<SettingsFault> &Faults)
      : m_fields(Fields), m_target(Target), m_faults(Faults) {}

  void read(const toml::table &Root) {
    refuseUnknown(Root);
    for (const Field &Known : m_fields)
      readField(Root, Known);
  }

  /// Notes a fault of a key that has been read; line 0 when it was absent.
  void fault(const std::string &Key, const std::string &Message) {
    const auto Line = m_lines.find(Key);
    fault(Key, Line == m_lines.end() ? 0 : Line->second, Message);
  }

private:
  void fault(const std::string &Key, std::int64_t Line, std::string Message) {
    m_faults.push_back({Key, Line, std::move(Message)});
  }

  void refuseUnknown(const toml::table &Root) {
    std::set<std::string> Sections;
    std::set<std::string> Paths;
    for (const Field &Known : m_fields) {
      Sections.insert(Known.m_section);
      Paths.insert(Known.path());
    }
    for (const auto &[Section, Node] : Root) {
      const std::string Name(Section.str());
      const toml::table *Table = Node.as_table();
      if (Table == nullptr || Sections.count(Name) == 0) {
        fault(Name, Node.source().begin.line, "unknown section");
        continue;
      }
      for (const auto &[Key, Value] : *Table) {
        const std::string Path = Name + "." + std::string(Key.str());
        if (Paths.count(Path) == 0)
          fault(Path, Value.source().begin.line, "unknown key");
      }
    }
  }

  void readField(const toml::table &Root, const Field &Known) {
    const toml::node_view<const toml::node> Node =
        Root[Known.m_section][Known.m_key];
    if (!Node) {
      if (Known.m_isRequired)
        fault(Known.path(), 0, "is required");
      return;
    }
    const std::int64_t Line = Node.node()->source().begin.line;
    m_lines[Known.path()] = Line;
    std::visit([&](auto Place) { store(Known, Line, *Node.node(), Place); },
               Known.m_member);
  }

  void store(const Field &Known, std::int64_t Line, const toml::node &Node,
             std::string Values::*Place) {
    const auto Text = Node.value_exact<std::string>();
    if (!Text)
      return fault(Known.path(), Line, "must be a string");
    if (Known.m_isRequired && Text->empty())
      return fault(Known.path(), Line, "must not be empty");
    m_target.*Place = *Text;
  }

  bool readNumber(const Field &Known, std::int64_t Line, const toml::node &Node,
                  std::int64_t &Number) {
    const auto Found = Node.value_exact<std::int64_t>();
    if (!Found) {
      fault(Known.path(), Line, "must be a whole number");
      return false;
    }
    if (*Found < Known.m_least || *Found > Known.m_most) {
      fault(Known.path(), Line,
            "must be from " + std::to_string(Known.m_least) + " to " +
                std::to_string(Known.m_most));
      return false;
    }
    Number = *Found;
    return true;
  }

  void store(const Field &Known, std::int64_t Line, const toml::node &Node,
             std::int64_t Values::*Place) {
    readNumber(Known, Line, Node, m_target.*Place);
  }

  void store(const Field &Known, std::int64_t Line, const toml::node &Node,
             Milliseconds Values::*Place) {
    std::int64_t Number = 0;
    if (readNumber(Known, Line, Node, Number))
      m_target.*Place = Milliseconds(Number);
  }

  bool readEndpoint(const Field &Known, std::int64_t Line,
                    const toml::node &Node, Endpoint &Where) {
    const auto Text = Node.value_exact<std::string>();
    if (!Text) {
      fault(Known.path(), Line, "must be an \"IP:PORT\" string");
      return false;
    }
    Outcome<Endpoint> Parsed = attempt([&] { return parseEndpoint(*Text); });
    if (!Parsed) {
      fault(Known.path(), Line, Parsed.error().m_message);
      return false;
    }
    Where = Parsed.value();
    return true;
  }

  void store(const Field &Known, std::int64_t Line, const toml::node &Node,
             Endpoint Values::*Place) {
    readEndpoint(Known, Line, Node, m_target.*Place);
  }

  void store(const Field &Known, std::int64_t Line, const toml::node &Node,
             std::vector<Endpoint> Values::*Place) {
    const toml::array *Items = Node.as_array();
    if (Items == nullptr)
      return fault(Known.path(), Line, "must be a list of \"IP:PORT\" strings");
    std::vector<Endpoint> Found;
    for (const toml::node &Item : *Items) {
      Endpoint Where;
      if (readEndpoint(Known, Item.source().begin.line, Item, Where))
        Found.push_back(Where);
    }
    m_target.*Place = std::move(Found);
  }

  void store(const Field &Known, std::int64_t Line, const toml::node &Node,
             bool Values::*Place) {
    const auto Flag = Node.value_exact<bool>();
    if (!Flag)
      return fault(Known.path(), Line, "must be true or false");
    m_target.*Place = *Flag;
  }

  void store(const Field &Known, std::int64_t Line, const toml::node &Node,
             FractionalSeconds Values::*Place) {
    double Seconds = 0.0;
    if (readFraction(Known, Line, Node, Seconds))
      m_target.*Place = FractionalSeconds(Seconds);
  }

  void store(const Field &Known, std::int64_t Line, const toml::node &Node,
             double Values::*Place) {
    readFraction(Known, Line, Node, m_target.*Place);
  }

  bool readFraction(const Field &Known, std::int64_t Line,
                    const toml::node &Node, double &Number) {
    const auto Found = Node.value<double>();
    if (!Found || !Node.is_number()) {
      fault(Known.path(), Line, "must be a number");
      return false;
    }
    if (*Found < static_cast<double>(Known.m_least) ||
        *Found > static_cast<double>(Known.m_most)) {
      fault(Known.path(), Line,
            "must be from " + std::to_string(Known.m_least) + " to " +
                std::to_string(Known.m_most));
      return false;
    }
    Number = *Found;
    return true;
  }

  const std::vector<Field> &m_fields;
  Values &m_target;
  std::vector<SettingsFault> &m_faults;
  std::map<std::string, std::int64_t> m_lines;
};

/// Sorts faults into the order of the file.
inline void sortByLine(std::vector<SettingsFault> &Faults) {
  std::stable_sort(Faults.begin(), Faults.end(),
                   [](const SettingsFault &Left, const SettingsFault &Right) {
                     return Left.m_line < Right.m_line;
                   });
}

/// Reads a whole file's text; `CheckTogether(Values, Reader)` checks what
/// the table of fields cannot.
template <class Values, class Check>
void readSettingsText(const std::string &Text,
                      const std::vector<SettingsField<Values>> &Fields,
                      Check &&CheckTogether, Values &Target,
                      std::vector<SettingsFault> &Faults) {
  try {
    const toml::table Root = toml::parse(Text);
    TableReader<Values> Reader(Fields, Target, Faults);
    Reader.read(Root);
    CheckTogether(Target, Reader);
    sortByLine(Faults);
  } catch (const toml::parse_error &Fault) {
    Faults.push_back({"(file)", Fault.source().begin.line,
                      std::string(Fault.description())});
  }
}

} // namespace catkinseam

#endif // CATKINSEAM_SETTINGS_TABLE_READER_H
