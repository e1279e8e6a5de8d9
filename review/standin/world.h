// Stand-ins for the users' platform, as the pages describe it, for one case:
// the platform's store, workers, clients, and the project's nodes as separate
// processes. All addresses are loopback addresses, all ports are free ones.
//
// One thread; everything is a coroutine on one io_context.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/src.hpp>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;
template <class T> using Async = asio::awaitable<T>;
inline constexpr auto noThrow = asio::as_tuple(asio::use_awaitable);

inline std::int64_t steadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline std::int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline Async<void> sleepMs(std::int64_t Ms) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(std::chrono::milliseconds(Ms));
  co_await Timer.async_wait(noThrow);
}

struct Request {
  std::string m_method, m_path, m_body;
  std::map<std::string, std::string> m_query, m_headers;
  std::string query(const std::string &Name,
                    const std::string &Else = "") const {
    const auto Found = m_query.find(Name);
    return Found == m_query.end() ? Else : Found->second;
  }
};

struct Response {
  int m_status = 200;
  std::string m_body;
};

inline std::string percentDecoded(const std::string &Text) {
  std::string Plain;
  for (std::size_t At = 0; At < Text.size(); ++At)
    if (Text[At] == '%' && At + 2 < Text.size()) {
      Plain +=
          static_cast<char>(std::stoi(Text.substr(At + 1, 2), nullptr, 16));
      At += 2;
    } else {
      Plain += Text[At];
    }
  return Plain;
}

/// Returns a port that is free and is not given to outgoing connections, so
/// that it stays free while its server is down.
inline std::uint16_t pickPort(asio::io_context &Context) {
  static std::uint32_t Next =
      12000 + static_cast<std::uint32_t>(getpid()) % 64 * 256;
  while (true) {
    Next = Next >= 31000 ? 12000 : Next + 1;
    tcp::acceptor Probe(Context);
    error_code Ec;
    Probe.open(tcp::v4());
    Probe.bind(
        {asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(Next)},
        Ec);
    if (!Ec)
      return static_cast<std::uint16_t>(Next);
  }
}

/// An HTTP/1.1 server that can be reset like a killed process.
class Server {
public:
  using Handler = std::function<Async<Response>(Request)>;

  Server(asio::io_context &Context, Handler OnRequest)
      : m_context(Context), m_handler(std::move(OnRequest)) {}

  /// Listens on a free port, or again on the port of before.
  void open() {
    m_acceptor = std::make_unique<tcp::acceptor>(m_context);
    m_acceptor->open(tcp::v4());
    m_acceptor->set_option(asio::socket_base::reuse_address(true));
    if (m_port == 0)
      m_port = pickPort(m_context);
    m_acceptor->bind({asio::ip::make_address("127.0.0.1"), m_port});
    m_acceptor->listen(256);
    asio::co_spawn(m_context, accept(m_acceptor.get(), ++m_generation),
                   asio::detached);
  }

  /// Ends all connections with a reset, and listens no more.
  void reset() {
    ++m_generation;
    m_acceptor.reset();
    for (const std::weak_ptr<tcp::socket> &Each : m_sockets)
      if (const auto Socket = Each.lock()) {
        error_code Ignored;
        Socket->set_option(asio::socket_base::linger(true, 0), Ignored);
        Socket->close(Ignored);
      }
    m_sockets.clear();
  }

  std::uint16_t port() const { return m_port; }

private:
  Async<void> accept(tcp::acceptor *Acceptor, std::uint64_t Generation) {
    while (true) {
      auto [Ec, Socket] = co_await Acceptor->async_accept(noThrow);
      if (Generation != m_generation)
        co_return;
      if (Ec) {
        co_await sleepMs(20);
        if (Generation != m_generation)
          co_return;
        continue;
      }
      auto Shared = std::make_shared<tcp::socket>(std::move(Socket));
      std::erase_if(m_sockets, [](const auto &Each) { return Each.expired(); });
      m_sockets.push_back(Shared);
      asio::co_spawn(m_context, serve(Shared, Generation), asio::detached);
    }
  }

  Async<void> serve(std::shared_ptr<tcp::socket> Socket,
                    std::uint64_t Generation) {
    error_code Ignored;
    Socket->set_option(tcp::no_delay(true), Ignored);
    beast::flat_buffer Buffer;
    while (true) {
      http::request_parser<http::string_body> Parser;
      Parser.body_limit(16U << 20);
      auto [Ec, Bytes] =
          co_await http::async_read(*Socket, Buffer, Parser, noThrow);
      if (Ec || Generation != m_generation)
        co_return;
      Request Call = convert(Parser.get());
      Response Reply = co_await m_handler(std::move(Call));
      if (Generation != m_generation)
        co_return;
      std::string Text = "HTTP/1.1 " + std::to_string(Reply.m_status) +
                         " X\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(Reply.m_body.size()) + "\r\n\r\n" +
                         Reply.m_body;
      auto [WriteEc, Written] =
          co_await asio::async_write(*Socket, asio::buffer(Text), noThrow);
      if (WriteEc)
        co_return;
    }
  }

  static Request convert(http::request<http::string_body> &Parsed) {
    Request Call;
    Call.m_method = std::string(Parsed.method_string());
    const std::string Target(Parsed.target());
    const std::size_t Mark = Target.find('?');
    Call.m_path = Target.substr(0, Mark);
    for (std::size_t At = Mark;
         At != std::string::npos && At < Target.size();) {
      const std::size_t End = Target.find('&', At + 1);
      const std::string Pair =
          Target.substr(At + 1, End == std::string::npos ? End : End - At - 1);
      const std::size_t Equals = Pair.find('=');
      if (Equals != std::string::npos)
        Call.m_query[Pair.substr(0, Equals)] =
            percentDecoded(Pair.substr(Equals + 1));
      At = End;
    }
    for (const auto &Field : Parsed)
      Call.m_headers[std::string(Field.name_string())] =
          std::string(Field.value());
    Call.m_body = std::move(Parsed.body());
    return Call;
  }

  asio::io_context &m_context;
  Handler m_handler;
  std::unique_ptr<tcp::acceptor> m_acceptor;
  std::list<std::weak_ptr<tcp::socket>> m_sockets;
  std::uint64_t m_generation = 0;
  std::uint16_t m_port = 0;
};

/// The platform's metadata store: keyed topics with one partition each.
class Store {
public:
  explicit Store(asio::io_context &Context)
      : m_context(Context), m_server(Context, [this](Request Call) {
          return onCall(std::move(Call));
        }) {
    m_server.open();
  }

  std::uint16_t port() const { return m_server.port(); }

  void put(const std::string &Topic, const std::string &Key,
           const std::optional<std::string> &Value) {
    append(m_topics[Topic], Key, Value.value_or(""));
    notify(m_topics[Topic]);
  }

  std::optional<std::string> get(const std::string &Topic,
                                 const std::string &Key) {
    const auto Found = m_topics[Topic].m_newest.find(Key);
    if (Found == m_topics[Topic].m_newest.end())
      return std::nullopt;
    return m_topics[Topic].m_records[Found->second].second;
  }

  /// Takes the store down, or back into service. It keeps its records.
  void setDown(bool IsDown) {
    if (IsDown)
      m_server.reset();
    else
      m_server.open();
  }

  /// Called with the key and size of a record over m_recordBytes.
  std::function<void(const std::string &, std::size_t)> m_onTooLarge;
  /// Time until an answer; an append takes AppendMs more, one after the other.
  std::int64_t m_answerMs = 2;
  std::int64_t m_appendMs = 2;
  std::size_t m_recordBytes = 262144;
  std::size_t m_requestBytes = 2097152;

private:
  struct Topic {
    std::vector<std::pair<std::string, std::string>> m_records;
    std::map<std::string, std::size_t> m_newest;
    std::map<std::string, std::uint64_t> m_epochs, m_sequences;
    std::map<std::string, std::deque<std::pair<std::uint64_t, std::size_t>>>
        m_recent;
    std::list<asio::steady_timer *> m_waiting;
    std::int64_t m_freeAtMs = 0;
  };

  static void append(Topic &To, const std::string &Key,
                     const std::string &Value) {
    if (Value.empty())
      To.m_newest.erase(Key);
    else
      To.m_newest[Key] = To.m_records.size();
    To.m_records.emplace_back(Key, Value);
  }

  static void notify(Topic &Of) {
    for (asio::steady_timer *Each : Of.m_waiting)
      Each->cancel();
  }

  static void addNumber(std::string &To, std::uint64_t Value, int Bytes) {
    while (Bytes-- > 0)
      To.push_back(static_cast<char>((Value >> (8 * Bytes)) & 0xff));
  }

  Async<Response> onCall(Request Call) {
    Topic &Of = m_topics[Call.query("topic")];
    if (Call.m_path == "/api/log-append")
      co_return co_await onAppend(Of, std::move(Call));
    if (Call.m_path == "/api/log-read")
      co_return co_await onRead(Of, std::move(Call));
    if (Call.m_path == "/api/log-newest")
      co_return co_await onNewest(Of, std::move(Call));
    co_return Response{404, ""};
  }

  Async<Response> onAppend(Topic &Of, Request Call) {
    const std::int64_t Now = steadyMs();
    Of.m_freeAtMs = std::max(Of.m_freeAtMs, Now) + m_appendMs;
    co_await sleepMs(Of.m_freeAtMs - Now);
    std::vector<std::pair<std::string, std::string>> Records;
    const std::string &Body = Call.m_body;
    if (Body.size() > m_requestBytes)
      co_return Response{413, "{}"};
    for (std::size_t At = 0; At + 5 <= Body.size();) {
      std::size_t Size = 0;
      for (int Each = 0; Each < 4; ++Each)
        Size = Size << 8 | static_cast<unsigned char>(Body[At + Each]);
      const std::size_t KeySize = static_cast<unsigned char>(Body[At + 4]);
      if (Size > m_recordBytes) {
        if (m_onTooLarge)
          m_onTooLarge(Body.substr(At + 5, KeySize), Size);
        co_return Response{413, "{}"};
      }
      Records.emplace_back(Body.substr(At + 5, KeySize),
                           Body.substr(At + 5 + KeySize, Size - 1 - KeySize));
      At += 4 + Size;
    }
    std::size_t Offset = Of.m_records.size();
    if (const std::string Producer = Call.query("producer");
        !Producer.empty()) {
      const std::uint64_t Epoch = std::stoull(Call.query("epoch", "0"));
      const std::uint64_t Sequence = std::stoull(Call.query("sequence", "0"));
      auto &Recent = Of.m_recent[Producer];
      const auto Known = Of.m_epochs.find(Producer);
      if (Known != Of.m_epochs.end() && Epoch < Known->second)
        co_return Response{409, R"({"reason":"fenced"})"};
      if (Known != Of.m_epochs.end() && Epoch == Known->second) {
        for (const auto &[Number, At] : Recent)
          if (Number == Sequence)
            co_return appendReply(At, Records.size());
        if (Sequence != Of.m_sequences[Producer] + 1)
          co_return Response{409, R"({"reason":"seq"})"};
      } else {
        Recent.clear();
      }
      Of.m_epochs[Producer] = Epoch;
      Of.m_sequences[Producer] = Sequence;
      Recent.emplace_back(Sequence, Offset);
      if (Recent.size() > 5)
        Recent.pop_front();
    }
    for (const auto &[Key, Value] : Records)
      append(Of, Key, Value);
    if (!Records.empty())
      notify(Of);
    co_await sleepMs(m_answerMs);
    co_return appendReply(Offset, Records.size());
  }

  static Response appendReply(std::size_t Offset, std::size_t Count) {
    return {200, "{\"offset\":" + std::to_string(Offset) +
                     ",\"endOffset\":" + std::to_string(Offset + Count) + "}"};
  }

  Async<Response> onRead(Topic &Of, Request Call) {
    const std::size_t From = std::stoull(Call.query("from", "0"));
    const std::int64_t Until =
        steadyMs() + std::stoll(Call.query("waitMs", "0"));
    const std::size_t MaxBytes =
        1024 * std::stoull(Call.query("maxKb", "1024"));
    while (Of.m_records.size() <= From && steadyMs() < Until) {
      asio::steady_timer Timer(m_context);
      Timer.expires_after(std::chrono::milliseconds(Until - steadyMs()));
      Of.m_waiting.push_back(&Timer);
      co_await Timer.async_wait(noThrow);
      Of.m_waiting.remove(&Timer);
    }
    co_await sleepMs(m_answerMs);
    std::string Body;
    addNumber(Body, Of.m_records.size(), 8);
    addNumber(Body, 0, 8);
    for (std::size_t At = From; At < Of.m_records.size(); ++At) {
      const auto &[Key, Value] = Of.m_records[At];
      if (Body.size() > 16 &&
          Body.size() + Key.size() + Value.size() > MaxBytes)
        break;
      addNumber(Body, 1 + Key.size() + Value.size(), 4);
      addNumber(Body, Key.size(), 1);
      Body += Key;
      Body += Value;
    }
    co_return Response{200, std::move(Body)};
  }

  Async<Response> onNewest(Topic &Of, Request Call) {
    co_await sleepMs(m_answerMs);
    json::array Items;
    std::size_t Bytes = 0;
    bool HasMore = false;
    auto At = Call.query("after").empty()
                  ? Of.m_newest.begin()
                  : Of.m_newest.upper_bound(Call.query("after"));
    for (; At != Of.m_newest.end(); ++At) {
      const std::string &Value = Of.m_records[At->second].second;
      if (Items.size() == 500 ||
          (Bytes > 0 && Bytes + Value.size() > (1U << 20))) {
        HasMore = true;
        break;
      }
      namespace base64 = beast::detail::base64;
      std::string Text(base64::encoded_size(Value.size()), '\0');
      Text.resize(base64::encode(Text.data(), Value.data(), Value.size()));
      Items.push_back({{"key", At->first},
                       {"value", Text},
                       {"offset", static_cast<std::int64_t>(At->second)}});
      Bytes += Value.size();
    }
    co_return Response{
        200,
        json::serialize(json::value{
            {"items", Items},
            {"hasMore", HasMore},
            {"endOffset", static_cast<std::int64_t>(Of.m_records.size())}})};
  }

  asio::io_context &m_context;
  std::map<std::string, Topic> m_topics;
  Server m_server;
};

/// What the workers know of the tasks that they run.
struct TaskModel {
  std::int64_t m_workMs = 500;
  std::int64_t m_cpu = 0;
  std::int64_t m_memMb = 0;
  bool m_isService = false;
  bool m_savesCheckpoints = false;
  /// The run fails when it would end.
  bool m_fails = false;
  /// Members of its gang; 0 for none.
  std::size_t m_gangSize = 0;
};

struct RunEvent {
  std::int64_t m_atMs = 0;
  std::string m_worker, m_task;
  std::int64_t m_run = 0;
  /// "start", or how it ended; "lost" with its worker.
  std::string m_what;
  /// Of a start: the checkpoint that it carries. Of an end: its number.
  std::string m_checkpoint;
  std::int64_t m_number = 0;
  std::uint64_t m_life = 0;
};

class World;

/// A worker. Its state is lost when it crashes.
class Worker {
public:
  Worker(World &Of, std::string Id, std::int64_t Cpu, std::int64_t MemMb,
         std::string Rack);

  void crash();
  void restart();
  bool isUp() const { return m_isUp; }
  bool runs(const std::string &Task) const { return m_active.contains(Task); }
  std::size_t activeRuns() const { return m_active.size(); }
  std::int64_t cpuInUse() const;
  const std::string &id() const { return m_id; }
  std::uint16_t port() const { return m_server.port(); }
  std::int64_t cpu() const { return m_cpu; }
  void step(std::int64_t PassedMs);
  void announce();
  void withdraw();

  /// Work takes this many times as long.
  double m_slowness = 1.0;
  /// This share of the orders gets no answer and is carried out later.
  double m_lateShare = 0.0;
  /// Ends that were taken note of, as life and number.
  std::set<std::pair<std::uint64_t, std::int64_t>> m_noted;

private:
  friend class World;
  struct Active {
    std::int64_t m_run = 0;
    double m_doneMs = 0.0;
    std::int64_t m_startedMs = 0;
    std::int64_t m_stopAtMs = -1;
    std::string m_saved;
    TaskModel m_model;
  };
  struct Ended {
    std::int64_t m_number = 0;
    std::string m_task;
    std::int64_t m_run = 0;
    std::string m_how, m_saved;
    std::int64_t m_atMs = 0;
  };
  std::int64_t m_lapsedAtMs = 0;

  Async<Response> onCall(Request Call);
  Async<Response> carryOut(std::string Path, json::object Body);
  Async<void> carryOutLate(std::string Path, json::object Body);
  Response start(const json::object &Body);
  Response stop(const json::object &Body);
  Async<Response> hold(json::object Body);
  Response answer(int Status, json::object Body) const;
  void extend(const json::object &Body);
  void end(const std::string &Task, const std::string &How);
  std::int64_t clock() const { return 1000 + steadyMs() - m_bornSteadyMs; }
  bool isFenced(const json::object &Body);

  World &m_world;
  const std::string m_id;
  const std::int64_t m_cpu, m_memMb;
  const std::string m_rack;
  Server m_server;
  bool m_isUp = false;
  std::uint64_t m_life = 0;
  std::int64_t m_born = 0, m_bornSteadyMs = 0, m_sequence = 0;
  std::int64_t m_token = 0, m_leaseEnd = 0, m_lastEnd = 0;
  std::map<std::string, Active> m_active;
  std::deque<Ended> m_ended;
  std::map<std::string, std::int64_t> m_closed;
  std::list<asio::steady_timer *> m_waiting;
};

struct Reply {
  /// 0: no complete answer.
  int m_status = 0;
  std::string m_body;
};

/// One node: a process of the project.
struct Node {
  std::string m_name, m_settings, m_log;
  std::uint16_t m_callers = 0, m_readiness = 0, m_metrics = 0, m_peers = 0;
  pid_t m_pid = -1;
};

class World {
public:
  World(const std::string &Root, const std::string &RecordPath)
      : m_store(m_context), m_root(Root), m_record(RecordPath),
        m_beganMs(steadyMs()) {
    char Name[] = "/tmp/review-XXXXXX";
    m_folder = mkdtemp(Name);
    signal(SIGPIPE, SIG_IGN);
  }
  ~World() {
    for (Node &Each : m_nodes)
      killNode(Each, SIGKILL);
    if (getenv("KEEP")) {
      std::cerr << m_folder << "\n";
      return;
    }
    const std::string Command = "rm -rf " + m_folder;
    if (std::system(Command.c_str()) != 0)
      std::cerr << "cannot remove " << m_folder << "\n";
  }

  std::int64_t now() const { return steadyMs() - m_beganMs; }

  void note(const std::string &Text) {
    char Time[32];
    std::snprintf(Time, sizeof Time, "%9.3f ",
                  static_cast<double>(now()) / 1000.0);
    m_record << Time << Text << "\n" << std::flush;
  }

  void addWorkers(std::size_t Count, std::int64_t Cpu, std::int64_t MemMb) {
    for (std::size_t At = 0; At < Count; ++At) {
      const std::string Number = std::to_string(m_workers.size());
      m_workers.push_back(std::make_unique<Worker>(
          *this,
          "worker" +
              std::string(2 - std::min<std::size_t>(2, Number.size()), '0') +
              Number,
          Cpu, MemMb, "r" + std::to_string(m_workers.size() / 6)));
      m_workers.back()->restart();
    }
  }

  /// Starts a node with the settings of deploy/node.toml.in, filled in.
  void addNode(const std::string &Name) {
    Node Made;
    Made.m_name = Name;
    Made.m_callers = freePort();
    Made.m_readiness = freePort();
    Made.m_metrics = freePort();
    Made.m_peers = freePort();
    Made.m_settings = m_folder + "/" + Name + ".toml";
    Made.m_log = m_folder + "/" + Name + ".log";
    const auto Local = [](std::uint16_t Port) {
      return "\"127.0.0.1:" + std::to_string(Port) + "\"\n";
    };
    std::ofstream(Made.m_settings)
        << "[node]\nname = \"" << Name << "\"\ndata_centre = \"zone-a\"\n"
        << "callers = " << Local(Made.m_callers)
        << "readiness = " << Local(Made.m_readiness)
        << "metrics = " << Local(Made.m_metrics)
        << "peers = " << Local(Made.m_peers)
        << "[platform]\nstore = " << Local(m_store.port())
        << "record_bytes = " << m_store.m_recordBytes
        << "\nappend_bytes = " << m_store.m_requestBytes
        << "\n[limits]\ndescriptors = 4100\nprocessor_share = 0.1\n"
        << "[scheduling]\nlongest_lease_s = 6000e-3\njob_memory_s = 120\n"
        << "[stop]\ngrace_s = 6\n[telemetry]\nlog_level = \"info\"\n";
    m_nodes.push_back(Made);
    startNode(m_nodes.back());
  }

  void startNode(Node &Which) {
    const std::string Program = m_root + "/target/bin/catkinseam";
    const std::string Variable = "CATKINSEAM_NODE_FILE=" + Which.m_settings;
    std::vector<std::string> Kept = {Variable, "LANG=C.UTF-8"};
    for (const char *Name : {"PATH", "HOME"})
      if (const char *Value = getenv(Name))
        Kept.push_back(std::string(Name) + "=" + Value);
    std::vector<char *> Environment;
    for (std::string &Each : Kept)
      Environment.push_back(Each.data());
    Environment.push_back(nullptr);
    posix_spawn_file_actions_t Actions;
    posix_spawn_file_actions_init(&Actions);
    posix_spawn_file_actions_addopen(&Actions, 1, Which.m_log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&Actions, 1, 2);
    // The node must not keep the sockets of the stand-ins open.
    posix_spawn_file_actions_addclosefrom_np(&Actions, 3);
    std::string Name = Program, Role = "node";
    char *Arguments[] = {Name.data(), Role.data(), nullptr};
    if (posix_spawn(&Which.m_pid, Program.c_str(), &Actions, nullptr, Arguments,
                    Environment.data()) != 0)
      Which.m_pid = -1;
    posix_spawn_file_actions_destroy(&Actions);
    note("node " + Which.m_name + " started");
  }

  void killNode(Node &Which, int Signal) {
    if (Which.m_pid <= 0)
      return;
    kill(Which.m_pid, SIGCONT);
    kill(Which.m_pid, Signal);
    int Status = 0;
    waitpid(Which.m_pid, &Status, 0);
    Which.m_pid = -1;
  }

  /// Whether a node's process has ended by itself.
  bool hasEnded(Node &Which) {
    int Status = 0;
    if (Which.m_pid <= 0 ||
        waitpid(Which.m_pid, &Status, WNOHANG) != Which.m_pid)
      return false;
    Which.m_pid = -1;
    note("node " + Which.m_name + " ended by itself, status " +
         std::to_string(Status));
    return true;
  }

  std::uint16_t freePort() { return pickPort(m_context); }

  Async<Reply> call(std::uint16_t Port, const std::string &Method,
                    const std::string &Path, const std::string &Body = "",
                    std::int64_t TimeoutMs = 3000) {
    Reply Result;
    beast::tcp_stream Stream(m_context);
    Stream.expires_after(std::chrono::milliseconds(TimeoutMs));
    auto [ConnectEc] = co_await Stream.async_connect(
        {asio::ip::make_address("127.0.0.1"), Port}, noThrow);
    if (ConnectEc)
      co_return Result;
    http::request<http::string_body> Call;
    Call.version(11);
    Call.method_string(Method);
    Call.target(Path);
    Call.set(http::field::host, m_host);
    Call.set("Content-Type", "application/json");
    Call.set("X-Catkinseam-Deadline-Ms", std::to_string(TimeoutMs));
    Call.body() = Body;
    Call.prepare_payload();
    auto [WriteEc, Written] = co_await http::async_write(Stream, Call, noThrow);
    if (WriteEc)
      co_return Result;
    beast::flat_buffer Buffer;
    http::response<http::string_body> Answer;
    auto [ReadEc, Bytes] =
        co_await http::async_read(Stream, Buffer, Answer, noThrow);
    if (ReadEc)
      co_return Result;
    Result.m_status = static_cast<int>(Answer.result_int());
    Result.m_body = Answer.body();
    co_return Result;
  }

  /// A client call at any node that answers, like the platform's ingress.
  Async<Reply> callAny(const std::string &Method, const std::string &Path,
                       const std::string &Body = "") {
    Reply Last;
    for (int Attempt = 0; Attempt < 5; ++Attempt) {
      Node &Which = m_nodes[m_nextNode++ % m_nodes.size()];
      Last = co_await call(Which.m_callers, Method, Path, Body);
      if (Last.m_status != 0 && Last.m_status < 500 && Last.m_status != 429)
        break;
      co_await sleepMs(300);
    }
    co_return Last;
  }

  /// The state that a node shows of a job, or "?" with the status.
  Async<std::string> stateOf(const std::string &Path) {
    const Reply Answer = co_await callAny("GET", Path);
    if (Answer.m_status != 200)
      co_return "?" + std::to_string(Answer.m_status);
    co_return std::string(
        json::parse(Answer.m_body).as_object().at("state").as_string());
  }

  /// Number of a queue's pending jobs by one node; -1 without an answer.
  Async<std::int64_t> pendingAt(const Node &Which, const std::string &Prefix) {
    const Reply Answer = co_await call(Which.m_callers, "GET", Prefix);
    if (Answer.m_status != 200)
      co_return -1;
    co_return json::parse(Answer.m_body)
        .as_object()
        .at("pending")
        .to_number<std::int64_t>();
  }

  Async<bool> isOwner(const Node &Which) {
    const Reply Answer = co_await call(Which.m_metrics, "GET", "/", "", 1000);
    co_return Answer.m_body.find("catkinseam_is_owner 1") != std::string::npos;
  }

  /// Waits until all nodes are ready and one of them has taken over.
  Async<bool> waitUntilReady() {
    for (int Attempt = 0; Attempt < 200; ++Attempt) {
      std::size_t Ready = 0;
      bool HasOwner = false;
      for (const Node &Each : m_nodes) {
        const Reply Answer =
            co_await call(Each.m_readiness, "GET", "/api/readyz", "", 1000);
        Ready += Answer.m_status == 200;
        HasOwner = HasOwner || co_await isOwner(Each);
      }
      if (Ready == m_nodes.size() && HasOwner) {
        co_await sleepMs(1500);
        note("all nodes are ready");
        co_return true;
      }
      co_await sleepMs(100);
    }
    note("the nodes are not ready");
    co_return false;
  }

  void configure(const std::string &Routes) {
    m_store.put("keyed.op", "config",
                "{\"version\":1,\"routes\":[" + Routes +
                    "],\"services\":[{\"name\":\"regulator\","
                    "\"admissionControl\":true}],\"limits\":{}}");
  }

  std::string route(const std::string &Name, int Priority) const {
    return "{\"name\":\"" + Name + "\",\"host\":\"" + m_host +
           "\",\"pathPrefix\":\"/" + Name +
           "/\",\"timeoutMs\":3000,\"targetLatencyMs\":1000,\"priority\":" +
           std::to_string(Priority) +
           ",\"service\":\"regulator\",\"maxAttempts\":2,\"stretchFactor\":2."
           "0}";
  }

  /// Lets time pass at the workers.
  Async<void> tick() {
    std::int64_t Last = steadyMs(), NextBeat = 0;
    while (!m_isOver) {
      co_await sleepMs(5);
      const std::int64_t Now = steadyMs();
      for (const auto &Each : m_workers)
        if (Each->isUp())
          Each->step(Now - Last);
      stepGangs();
      Last = Now;
      if (Now >= NextBeat) {
        for (const auto &Each : m_workers)
          if (Each->isUp())
            Each->announce();
        NextBeat = Now + 1500;
      }
    }
  }

  /// Runs a case; returns its exit code.
  int run(std::function<Async<int>()> Case) {
    int Code = 2;
    asio::signal_set Signals(m_context, SIGTERM, SIGINT);
    Signals.async_wait([this](const error_code &Ec, int) {
      if (!Ec)
        m_context.stop();
    });
    asio::steady_timer Limit(m_context, 117s);
    Limit.async_wait([this](const error_code &Ec) {
      if (Ec)
        return;
      note("error: the case takes too long");
      m_context.stop();
    });
    asio::co_spawn(m_context, tick(), asio::detached);
    asio::co_spawn(
        m_context,
        [&]() -> Async<void> {
          Code = co_await Case();
          m_isOver = true;
          m_context.stop();
        },
        [&](std::exception_ptr Error) {
          if (!Error)
            return;
          try {
            std::rethrow_exception(Error);
          } catch (const std::exception &Thrown) {
            note(std::string("error: ") + Thrown.what());
          }
          m_context.stop();
        });
    m_context.run();
    return Code;
  }

  void noteRun(const Worker &At, const std::string &Task, std::int64_t Run,
               const std::string &What) {
    m_events.push_back({now(), At.id(), Task, Run, What, "", 0, 0});
    note("run " + What + " " + Task + " #" + std::to_string(Run) + " at " +
         At.id());
  }

  /// Gangs by ID.K.STEP and run: the members that are present, by task.
  struct Gang {
    std::map<std::string, Worker *> m_members;
    std::size_t m_size = 0;
    std::int64_t m_sinceMs = 0;
    double m_doneMs = 0.0;
    bool m_isOver = false;
    bool m_hasWorked = false;
  };
  void stepGangs();

  asio::io_context m_context;
  Store m_store;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::deque<Node> m_nodes;
  std::vector<RunEvent> m_events;
  /// Model of the tasks of a job's step, by ID.K.STEP or ID.
  std::function<TaskModel(const std::string &Task)> m_model;
  std::map<std::pair<std::string, std::int64_t>, Gang> m_gangs;
  std::string m_host = "tower.example";
  const std::string m_root;
  std::string m_folder;
  bool m_isOver = false;
  std::size_t m_nextNode = 0;

private:
  std::ofstream m_record;
  const std::int64_t m_beganMs;
};

// --- Worker.

inline constexpr std::int64_t MaxHoldMs = 6000;
inline constexpr std::int64_t GangTimeoutMs = 3000;

inline Worker::Worker(World &Of, std::string Id, std::int64_t Cpu,
                      std::int64_t MemMb, std::string Rack)
    : m_world(Of), m_id(std::move(Id)), m_cpu(Cpu), m_memMb(MemMb),
      m_rack(std::move(Rack)), m_server(Of.m_context, [this](Request Call) {
        return onCall(std::move(Call));
      }) {}

inline void Worker::restart() {
  ++m_life;
  m_isUp = true;
  m_born = wallMs();
  m_bornSteadyMs = steadyMs();
  m_token = m_leaseEnd = m_lastEnd = m_sequence = 0;
  m_active.clear();
  m_ended.clear();
  m_closed.clear();
  m_server.open();
  announce();
}

inline void Worker::crash() {
  m_isUp = false;
  ++m_life;
  for (const auto &[Task, Run] : m_active)
    m_world.noteRun(*this, Task, Run.m_run, "lost");
  m_active.clear();
  for (asio::steady_timer *Each : m_waiting)
    Each->cancel();
  m_server.reset();
  m_world.note("worker " + m_id + " crashed");
}

inline void Worker::announce() {
  m_world.m_store.put(
      "keyed.servers", m_id,
      json::serialize(json::value{
          {"service", "regulator"},
          {"address", "127.0.0.1:" + std::to_string(m_server.port())},
          {"zone", "zone-a"},
          {"version", "1"},
          {"slots", 8},
          {"state", "ready"},
          {"coldRemainingMs", 0},
          {"sequence", ++m_sequence},
          {"born", m_born},
          {"capacity", {{"cpu", m_cpu}, {"memMb", m_memMb}, {"gpu", 0}}},
          {"labels", json::array{"a", m_rack}}}));
}

inline void Worker::withdraw() {
  m_world.m_store.put("keyed.servers", m_id, std::nullopt);
}

inline std::int64_t Worker::cpuInUse() const {
  std::int64_t Sum = 0;
  for (const auto &[Task, Run] : m_active)
    Sum += Run.m_model.m_cpu;
  return Sum;
}

inline std::int64_t numberIn(const json::object &Body, const char *Name) {
  const json::value *Found = Body.if_contains(Name);
  return Found ? Found->to_number<std::int64_t>() : 0;
}

inline Response Worker::answer(int Status, json::object Body) const {
  Body["clockMs"] = clock();
  return {Status, json::serialize(Body)};
}

inline bool Worker::isFenced(const json::object &Body) {
  const std::int64_t Token = numberIn(Body, "fencingToken");
  if (Token < m_token)
    return true;
  m_token = Token;
  return false;
}

inline Async<Response> Worker::onCall(Request Call) {
  if (Call.m_path == "/healthz")
    co_return Response{200, "{}"};
  const auto Expected = Call.m_headers.find("X-Catkinseam-Expected-Instance");
  if (Expected != Call.m_headers.end() && Expected->second != m_id)
    co_return answer(421, {});
  json::object Body = json::parse(Call.m_body).as_object();
  if (m_lateShare > 0.0 &&
      static_cast<double>(std::rand() % 1000) < 1000.0 * m_lateShare) {
    asio::co_spawn(m_world.m_context,
                   carryOutLate(Call.m_path, std::move(Body)), asio::detached);
    co_await sleepMs(60000);
    co_return Response{503, ""};
  }
  co_return co_await carryOut(Call.m_path, std::move(Body));
}

inline Async<void> Worker::carryOutLate(std::string Path, json::object Body) {
  const std::uint64_t Life = m_life;
  co_await sleepMs(2000 + std::rand() % 6000);
  if (Life == m_life)
    co_await carryOut(std::move(Path), std::move(Body));
}

inline Async<Response> Worker::carryOut(std::string Path, json::object Body) {
  if (isFenced(Body))
    co_return answer(409, {{"reason", "fence"}});
  if (Path == "/api/run-start")
    co_return start(Body);
  if (Path == "/api/run-stop")
    co_return stop(Body);
  if (Path == "/api/hold")
    co_return co_await hold(std::move(Body));
  if (Path == "/api/pace")
    co_return answer(200, {});
  co_return Response{404, ""};
}

inline void Worker::extend(const json::object &Body) {
  if (Body.contains("expiresMs"))
    m_leaseEnd = std::max(
        m_leaseEnd, std::min(numberIn(Body, "expiresMs"), clock() + MaxHoldMs));
}

inline Response Worker::start(const json::object &Body) {
  const std::string Task(Body.at("taskId").as_string());
  const std::int64_t Run = numberIn(Body, "runId");
  if (const auto Found = m_active.find(Task);
      Found != m_active.end() && Found->second.m_run == Run) {
    extend(Body);
    return answer(200, {});
  }
  if (const auto Found = m_closed.find(Task);
      (Found != m_closed.end() && Run <= Found->second) ||
      m_active.contains(Task)) {
    extend(Body);
    return answer(409, {{"reason", "old"}});
  }
  if (numberIn(Body, "expiresMs") <= clock())
    return answer(409, {{"reason", "late"}});
  Active Made;
  Made.m_model = m_world.m_model(Task);
  std::int64_t MemInUse = 0;
  for (const auto &[Name, Each] : m_active)
    MemInUse += Each.m_model.m_memMb;
  extend(Body);
  if (cpuInUse() + Made.m_model.m_cpu > m_cpu ||
      MemInUse + Made.m_model.m_memMb > m_memMb)
    return answer(409, {{"reason", "room"}});
  Made.m_run = Run;
  Made.m_startedMs = steadyMs();
  if (Body.contains("checkpoint"))
    Made.m_saved = std::string(Body.at("checkpoint").as_string());
  if (!Made.m_saved.empty())
    Made.m_doneMs = std::stod(Made.m_saved);
  m_active[Task] = Made;
  m_world.noteRun(*this, Task, Run, "start");
  m_world.m_events.back().m_checkpoint = Made.m_saved;
  m_world.m_events.back().m_life = m_life;
  if (Made.m_model.m_gangSize > 0) {
    World::Gang &Of = m_world.m_gangs[{Task.substr(0, Task.rfind('.')), Run}];
    if (Of.m_members.empty()) {
      Of.m_size = Made.m_model.m_gangSize;
      Of.m_sinceMs = steadyMs();
    }
    Of.m_members[Task] = this;
  }
  return answer(200, {});
}

inline Response Worker::stop(const json::object &Body) {
  const std::string Task(Body.at("taskId").as_string());
  const std::int64_t Run = numberIn(Body, "runId");
  m_closed[Task] = std::max(m_closed[Task], Run);
  if (const auto Found = m_active.find(Task); Found != m_active.end() &&
                                              Found->second.m_run <= Run &&
                                              Found->second.m_stopAtMs < 0)
    Found->second.m_stopAtMs = steadyMs() + 50;
  return answer(200, {});
}

inline void Worker::end(const std::string &Task, const std::string &How) {
  const auto Found = m_active.find(Task);
  if (Found == m_active.end())
    return;
  const Active Run = Found->second;
  m_active.erase(Found);
  m_closed[Task] = std::max(m_closed[Task], Run.m_run);
  m_ended.push_back(
      {++m_lastEnd, Task, Run.m_run, How, Run.m_saved, steadyMs()});
  m_world.noteRun(*this, Task, Run.m_run, How);
  m_world.m_events.back().m_number = m_lastEnd;
  m_world.m_events.back().m_life = m_life;
  m_world.m_events.back().m_checkpoint = Run.m_saved;
  for (asio::steady_timer *Each : m_waiting)
    Each->cancel();
}

inline Async<Response> Worker::hold(json::object Body) {
  const std::uint64_t Life = m_life;
  extend(Body);
  const std::int64_t Observed = numberIn(Body, "observed");
  while (!m_ended.empty() && m_ended.front().m_number <= Observed) {
    // Not if the lease has lapsed since the end.
    if (m_ended.front().m_atMs >= m_lapsedAtMs)
      m_noted.insert({m_life, m_ended.front().m_number});
    m_ended.pop_front();
  }
  const std::int64_t Until =
      steadyMs() + std::min<std::int64_t>(2000, numberIn(Body, "waitMs"));
  while (m_ended.empty() && steadyMs() < Until && Life == m_life) {
    asio::steady_timer Timer(m_world.m_context);
    Timer.expires_after(std::chrono::milliseconds(Until - steadyMs()));
    m_waiting.push_back(&Timer);
    co_await Timer.async_wait(noThrow);
    m_waiting.remove(&Timer);
  }
  json::array ActiveRows, EndedRows;
  for (const auto &[Task, Run] : m_active) {
    const double Share =
        Run.m_doneMs /
        static_cast<double>(std::max<std::int64_t>(1, Run.m_model.m_workMs));
    const std::int64_t Percent =
        Run.m_model.m_isService
            ? (steadyMs() - Run.m_startedMs > 200 ? 100 : 0)
            : std::min<std::int64_t>(99,
                                     static_cast<std::int64_t>(Share * 100));
    ActiveRows.push_back(json::array{
        Task, Run.m_run, Run.m_saved, Percent,
        Run.m_model.m_isService ? std::int64_t{2} : Run.m_model.m_cpu});
  }
  for (std::size_t At = 0; At < std::min<std::size_t>(500, m_ended.size());
       ++At)
    EndedRows.push_back(json::array{m_ended[At].m_number, m_ended[At].m_task,
                                    m_ended[At].m_run, m_ended[At].m_how,
                                    m_ended[At].m_saved});
  co_return answer(
      200, {{"born", m_born}, {"active", ActiveRows}, {"finished", EndedRows}});
}

inline void Worker::step(std::int64_t PassedMs) {
  std::vector<std::pair<std::string, std::string>> Ends;
  const bool HasLapsed = clock() > m_leaseEnd;
  if (HasLapsed)
    m_lapsedAtMs = steadyMs();
  for (auto &[Task, Run] : m_active) {
    if (HasLapsed) {
      Ends.emplace_back(Task, "lapsed");
      continue;
    }
    if (Run.m_stopAtMs >= 0 && steadyMs() >= Run.m_stopAtMs) {
      Ends.emplace_back(Task, "stopped");
      continue;
    }
    if (Run.m_model.m_gangSize > 0)
      continue;
    Run.m_doneMs += static_cast<double>(PassedMs) / m_slowness;
    if (Run.m_model.m_savesCheckpoints && !Run.m_model.m_isService) {
      char Text[24];
      std::snprintf(Text, sizeof Text, "%016.0f",
                    std::floor(Run.m_doneMs / 500.0) * 500.0);
      if (Run.m_doneMs >= 500.0)
        Run.m_saved = Text;
    }
    if (!Run.m_model.m_isService &&
        Run.m_doneMs >= static_cast<double>(Run.m_model.m_workMs))
      Ends.emplace_back(Task, Run.m_model.m_fails ? "failed" : "done");
  }
  for (const auto &[Task, How] : Ends)
    end(Task, How);
}

inline void World::stepGangs() {
  for (auto &[Key, Of] : m_gangs) {
    if (Of.m_isOver) {
      // A member that was started after the others had ended.
      for (const auto &[Task, At] : Of.m_members) {
        const auto Found = At->m_active.find(Task);
        if (Found != At->m_active.end() && Found->second.m_run == Key.second)
          At->end(Task, "broken");
      }
      continue;
    }
    std::size_t Present = 0;
    bool IsBroken = false;
    for (const auto &[Task, At] : Of.m_members) {
      const auto Found = At->m_active.find(Task);
      if (Found != At->m_active.end() && Found->second.m_run == Key.second)
        ++Present;
      else
        IsBroken = true;
    }
    std::string How;
    if (IsBroken)
      How = "broken";
    else if (Present == Of.m_size) {
      Of.m_hasWorked = true;
      Of.m_doneMs += 5.0;
      if (Of.m_doneMs >=
          static_cast<double>(m_model(Of.m_members.begin()->first).m_workMs))
        How = "done";
    } else if (steadyMs() - Of.m_sinceMs > GangTimeoutMs)
      How = "alone";
    if (How.empty())
      continue;
    Of.m_isOver = true;
    for (const auto &[Task, At] : Of.m_members) {
      const auto Found = At->m_active.find(Task);
      if (Found != At->m_active.end() && Found->second.m_run == Key.second)
        At->end(Task, How);
    }
  }
}

/// The job's part of a task's name.
inline std::string jobOf(const std::string &Task) {
  return Task.substr(0, Task.find('.'));
}

inline bool hasTrouble() {
  const char *Value = getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

inline std::string jobId(std::size_t Number) {
  char Text[24];
  std::snprintf(Text, sizeof Text, "%016llx", 0x5c0e7a2100000000ULL + Number);
  return Text;
}

} // namespace review
