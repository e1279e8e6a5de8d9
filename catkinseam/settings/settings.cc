// Settings parser: one table of keys drives reading, checking and defaults.
#include "catkinseam/settings/settings.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <toml++/toml.h>
#include <variant>

namespace catkinseam {

namespace {

using Member = std::variant<std::string Settings::*, std::int64_t Settings::*,
                            Milliseconds Settings::*, Endpoint Settings::*,
                            std::vector<Endpoint> Settings::*>;

struct Field {
  const char *m_section;
  const char *m_key;
  Member m_member;
  bool m_isRequired;
  /// Bounds of numbers, in the key's unit.
  std::int64_t m_least = 0;
  std::int64_t m_most = 0;

  std::string path() const { return std::string(m_section) + "." + m_key; }
};

constexpr std::int64_t Day = 24LL * 3600 * 1000;

const std::vector<Field> &fields() {
  static const std::vector<Field> All = {
      {"entry", "name", &Settings::m_name, true},
      {"entry", "data_centre", &Settings::m_dataCentre, true},
      {"entry", "seat", &Settings::m_seat, true, 1, 64},
      {"entry", "callers", &Settings::m_callers, true},
      {"entry", "admin", &Settings::m_admin, true},
      {"entry", "peer", &Settings::m_peer, true},
      {"entry", "peers", &Settings::m_peers, true},
      {"platform", "log", &Settings::m_log, true},
      {"platform", "instances", &Settings::m_instances, true},
      {"platform", "log_poll_ms", &Settings::m_logPollInterval, false, 1,
       10000},
      {"platform", "log_timeout_ms", &Settings::m_logTimeout, false, 10, 60000},
      {"platform", "instances_poll_ms", &Settings::m_instancesPollInterval,
       false, 10, 1000},
      {"platform", "log_retention_ms", &Settings::m_logRetention, false, 1000,
       365 * Day},
      {"admin", "token", &Settings::m_adminToken, true},
      {"limits", "header_bytes", &Settings::m_headerBytes, false, 1024, 65536},
      {"limits", "body_bytes", &Settings::m_bodyBytes, false, 1024, 67108864},
      {"limits", "caller_connections", &Settings::m_callerConnections, false, 1,
       10000},
      {"limits", "admin_connections", &Settings::m_adminConnections, false, 1,
       1000},
      {"limits", "requests_in_flight", &Settings::m_requestsInFlight, false, 1,
       100000},
      {"limits", "tasks_per_job", &Settings::m_tasksPerJob, false, 1, 100000},
      {"limits", "read_timeout_ms", &Settings::m_readTimeout, false, 10, 60000},
      {"limits", "idle_timeout_ms", &Settings::m_idleTimeout, false, 1000,
       3600000},
      {"request", "connections_per_worker", &Settings::m_connectionsPerWorker,
       false, 1, 60},
      {"request", "slot_sharing", &Settings::m_slotSharing, false},
      {"request", "drain_wait_ms", &Settings::m_drainWait, false, 0, 600000},
      {"batch", "lease_ms", &Settings::m_lease, false, 500, 600000},
      {"batch", "renew_ms", &Settings::m_renewInterval, false, 50, 200000},
      {"telemetry", "log_level", &Settings::m_logLevel, false},
      {"telemetry", "otlp", &Settings::m_otlp, false},
      {"telemetry", "traced_per_thousand", &Settings::m_tracedPerThousand,
       false, 0, 1000},
  };
  return All;
}

class Reader {
public:
  explicit Reader(LoadedSettings &Target) : m_target(Target) {}

  void read(const toml::table &Root) {
    refuseUnknown(Root);
    for (const Field &Known : fields())
      readField(Root, Known);
    checkTogether();
    std::stable_sort(m_target.m_faults.begin(), m_target.m_faults.end(),
                     [](const SettingsFault &Left, const SettingsFault &Right) {
                       return Left.m_line < Right.m_line;
                     });
  }

private:
  void fault(const std::string &Key, std::int64_t Line, std::string Message) {
    m_target.m_faults.push_back({Key, Line, std::move(Message)});
  }

  void refuseUnknown(const toml::table &Root) {
    std::set<std::string> Sections;
    std::set<std::string> Paths;
    for (const Field &Known : fields()) {
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
             std::string Settings::*Place) {
    const auto Text = Node.value_exact<std::string>();
    if (!Text)
      return fault(Known.path(), Line, "must be a string");
    if (Known.m_isRequired && Text->empty())
      return fault(Known.path(), Line, "must not be empty");
    m_target.m_settings.*Place = *Text;
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
             std::int64_t Settings::*Place) {
    readNumber(Known, Line, Node, m_target.m_settings.*Place);
  }

  void store(const Field &Known, std::int64_t Line, const toml::node &Node,
             Milliseconds Settings::*Place) {
    std::int64_t Number = 0;
    if (readNumber(Known, Line, Node, Number))
      m_target.m_settings.*Place = Milliseconds(Number);
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
             Endpoint Settings::*Place) {
    readEndpoint(Known, Line, Node, m_target.m_settings.*Place);
  }

  void store(const Field &Known, std::int64_t Line, const toml::node &Node,
             std::vector<Endpoint> Settings::*Place) {
    const toml::array *Items = Node.as_array();
    if (Items == nullptr)
      return fault(Known.path(), Line, "must be a list of \"IP:PORT\" strings");
    std::vector<Endpoint> Found;
    for (const toml::node &Item : *Items) {
      Endpoint Where;
      if (readEndpoint(Known, Item.source().begin.line, Item, Where))
        Found.push_back(Where);
    }
    m_target.m_settings.*Place = std::move(Found);
  }

  void checkTogether() {
    const Settings &Read = m_target.m_settings;
    const auto Seats = static_cast<std::int64_t>(Read.m_peers.size());
    if (Read.m_seat > Seats)
      fault("entry.seat", m_lines["entry.seat"],
            "entry.peers has no seat " + std::to_string(Read.m_seat));
    else if (Read.m_seat > 0 &&
             Read.m_peers[static_cast<std::size_t>(Read.m_seat - 1)] !=
                 Read.m_peer)
      fault("entry.peer", m_lines["entry.peer"],
            "differs from entry.peers at this seat");
    if (Read.m_renewInterval * 3 > Read.m_lease)
      fault("batch.renew_ms", m_lines["batch.renew_ms"],
            "must be at most a third of batch.lease_ms");
    static const std::set<std::string> Levels = {"debug", "info", "warn",
                                                 "error"};
    if (Levels.count(Read.m_logLevel) == 0)
      fault("telemetry.log_level", m_lines["telemetry.log_level"],
            "must be debug, info, warn or error");
    static const std::set<std::string> Ways = {"lending", "static", "local",
                                               "gossip", "round_robin"};
    if (Ways.count(Read.m_slotSharing) == 0)
      fault("request.slot_sharing", m_lines["request.slot_sharing"],
            "must be lending, static, local, gossip or round_robin");
    if (!Read.m_otlp.empty() &&
        !attempt([&] { return parseEndpoint(Read.m_otlp); }))
      fault("telemetry.otlp", m_lines["telemetry.otlp"],
            "must be an \"IP:PORT\" string");
  }

  LoadedSettings &m_target;
  std::map<std::string, std::int64_t> m_lines;
};

} // namespace

LoadedSettings parseSettings(const std::string &Text) {
  LoadedSettings Loaded;
  try {
    const toml::table Root = toml::parse(Text);
    Reader(Loaded).read(Root);
  } catch (const toml::parse_error &Fault) {
    Loaded.m_faults.push_back({"(file)", Fault.source().begin.line,
                               std::string(Fault.description())});
  }
  return Loaded;
}

LoadedSettings loadSettings(const std::string &Path) {
  std::ifstream Stream(Path);
  if (!Stream) {
    LoadedSettings Unreadable;
    Unreadable.m_faults.push_back(
        {"(file)", 0, "cannot read \"" + Path + "\""});
    return Unreadable;
  }
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return parseSettings(Text.str());
}

std::string toString(const SettingsFault &Fault) {
  const std::string Place =
      Fault.m_line > 0 ? "line " + std::to_string(Fault.m_line) + ": " : "";
  return Place + Fault.m_key + ": " + Fault.m_message;
}

} // namespace catkinseam
