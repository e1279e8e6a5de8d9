// Stand-ins of the users' platform for the scripts of the second review: the
// store, workers, clients and the start of nodes. All addresses are loopback.
//
// Blocking sockets, a thread for each connection, one lock for all state.
#ifndef REVIEW_STANDIN_2_WORLD_H
#define REVIEW_STANDIN_2_WORLD_H

#include <boost/json.hpp>

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review {

namespace json = boost::json;

std::int64_t nowMs();  // steady clock
std::int64_t unixMs(); // time of day
void sleepMs(std::int64_t Ms);

struct Request {
  std::string m_method, m_path, m_query, m_body;
  std::map<std::string, std::string> m_headers; // names in lower case
  std::string query(const std::string &Name, const std::string &Or = "") const;
};
struct Response {
  int m_status = 200;
  std::string m_body;
  /// Status 0: the connection is kept open and never answered.
};
using Handler = std::function<Response(const Request &)>;

/// Listens on a free loopback port. Never destroyed.
class Server {
public:
  explicit Server(Handler Serve);
  int port() const { return m_port; }
  /// Closes the connections and refuses new ones, or listens again on the port.
  void setDown(bool IsDown);

private:
  void listenOn(int Port);
  void acceptLoop(int Listener);
  void serve(int Socket);
  Handler m_serve;
  std::mutex m_lock;
  int m_port = 0;
  int m_listener = -1;
  std::set<int> m_sockets;
};

/// One call with its own connection. Status 0: no answer; -1: not sent.
Response call(int Port, const std::string &Method, const std::string &Path,
              const std::string &Host, const std::string &Body,
              int TimeoutMs = 3000);

/// Lines of record.txt.
class Record {
public:
  explicit Record(const std::string &Path);
  void line(const std::string &Text);

private:
  std::mutex m_lock;
  std::ofstream m_file;
  std::int64_t m_start = nowMs();
};

/// The platform's store: keyed topics with one partition each.
class Store {
public:
  Store();
  int port() const { return m_server->port(); }
  void put(const std::string &Topic, const std::string &Key,
           const std::optional<std::string> &Value);
  /// Each answer takes at least this long.
  void setLatency(int Ms) { m_latency = Ms; }
  std::size_t m_recordBytes = 262144;
  std::size_t m_requestBytes = 2097152;
  std::size_t largestRecord() const { return m_largest; }

private:
  struct Item {
    std::string m_key;
    std::optional<std::string> m_value;
  };
  struct Producer {
    std::uint64_t m_epoch = 0;
    std::int64_t m_sequence = -1;
    std::deque<std::pair<std::int64_t, std::int64_t>> m_last;
  };
  struct Topic {
    std::vector<Item> m_items;
    std::map<std::string, std::size_t> m_newest;
    std::map<std::string, Producer> m_producers;
    std::mutex m_turn; // one append at a time
  };
  Response serve(const Request &Call);
  Response append(Topic &To, const Request &Call);
  Response read(Topic &From, const Request &Call);
  Response newest(Topic &From, const Request &Call);
  std::mutex m_lock;
  std::condition_variable m_changed;
  std::map<std::string, Topic> m_topics;
  std::atomic<int> m_latency{4};
  std::atomic<std::size_t> m_largest{0};
  std::unique_ptr<Server> m_server;
};

/// How a run goes.
struct Plan {
  std::int64_t m_workMs = 500; // below 0: it lasts
  bool m_fails = false;
};

struct StepShape {
  int m_count = 0, m_cpu = 0, m_memMb = 0;
  bool m_isGang = false, m_savesCheckpoints = false;
};

/// All workers of one service. They guard their capacity.
class Workers {
public:
  struct Options {
    int m_count = 12;
    int m_cpu = 16000, m_memMb = 64000;
    int m_longestLeaseMs = 6000;
    int m_stopMs = 200;
    int m_gangTimeoutMs = 3000;
    int m_heartbeatMs = 1500;
    int m_checkpointMs = 500;
    int m_restoreMs = 100;
    std::string m_service = "regulator";
    /// Labels of worker I; by default the kind and a rack of six.
    std::function<json::array(int)> m_labels;
  };
  Workers(Store &To, Record &Log, const Options &Values);
  /// The shape of a job's steps, which the workers know by its id.
  void know(const std::string &Job, const json::value &Body);
  std::function<Plan(const std::string &Task, int Run, int Worker)> m_plan;
  /// Called after a worker has begun a run, without the lock.
  std::function<void(const std::string &Task, int Run, int Worker)> m_onStart;

  /// The worker is gone; nothing is listed or answered any more.
  void crash(int Worker);
  /// It starts again, under its id or a new one.
  void restart(int Worker, bool KeepsId);
  std::string id(int Worker);
  /// While it is set, calls are neither carried out nor answered.
  void setCut(int Worker, bool IsCut);
  /// This share of the orders is not answered, and carried out 2 to 8 s later.
  void setLateOrders(double Share);

  struct RunSeen {
    std::string m_task;
    int m_run = 0, m_worker = 0;
    std::int64_t m_from = 0, m_to = 0; // m_to 0: runs
    std::string m_how, m_checkpoint;
    /// When the end was taken note of; 0 if it was not.
    std::int64_t m_observedAt = 0;
  };
  std::vector<RunSeen> runs();
  /// Number of runs at work or waiting of a job.
  int active(const std::string &Job);
  int started(const std::string &Job);

private:
  struct Run {
    std::string m_task;
    int m_run = 0;
    std::string m_saved;
    Plan m_plan;
    StepShape m_shape;
    std::int64_t m_arrivedAt = 0;
    std::int64_t m_workFrom = 0; // 0: waits for its gang
    std::int64_t m_stopsAt = 0;
    std::int64_t m_savedAt = 0;
    std::size_t m_seen = 0;
  };
  struct Worker {
    int m_number = 0;
    std::string m_id;
    std::int64_t m_born = 0, m_clockZero = 0, m_leaseEnd = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_ends = 0, m_sequence = 0;
    std::map<std::string, Run> m_runs; // by task
    std::map<std::string, int> m_barred;
    struct End {
      std::int64_t m_number;
      std::string m_task;
      int m_run;
      std::string m_how, m_saved;
      std::size_t m_seen;
    };
    std::deque<End> m_finished;
    bool m_isUp = true;
    bool m_isCut = false;
    std::unique_ptr<Server> m_server;
  };
  Response serve(int Number, const Request &Call);
  Response carryOut(int Number, const Request &Call);
  Response start(Worker &At, const json::object &Body);
  Response hold(Worker &At, const json::object &Body,
                std::unique_lock<std::mutex> &Held);
  Response stop(Worker &At, const json::object &Body);
  void tick();
  void end(Worker &At, const std::string &Task, const std::string &How);
  void beat(Worker &At);
  void beginLife(Worker &At, const std::string &Id);
  std::int64_t clock(const Worker &At) const { return nowMs() - At.m_clockZero; }
  StepShape shapeOf(const std::string &Task);
  Store &m_store;
  Record &m_record;
  const Options m_options;
  std::mutex m_lock;
  std::condition_variable m_changed;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::map<std::string, std::vector<StepShape>> m_jobs;
  std::vector<RunSeen> m_seen;
  double m_lateShare = 0;
};

/// Nodes, each a process of the program that the deploy file names.
class Nodes {
public:
  struct Options {
    double m_cpuShare = 0.1;
    std::string m_zone = "tt-south-a";
  };
  Nodes(const Store &Of, Record &Log, int LongestLeaseMs);
  ~Nodes();
  void start(const std::string &Name, const Options &Values);
  void signal(const std::string &Name, int Signal);
  /// SIGKILL; waits for the end.
  void kill(const std::string &Name);
  bool isRunning(const std::string &Name);
  bool isReady(const std::string &Name);
  bool isOwner(const std::string &Name);
  std::string owner();
  bool waitReady(int TimeoutMs);
  bool waitOwner(const std::string &Name, int TimeoutMs);
  int port(const std::string &Name) { return m_nodes.at(Name).m_callers; }
  std::vector<std::string> names() const;
  std::string directory() const { return m_directory; }

private:
  struct Node {
    int m_callers = 0, m_readiness = 0, m_metrics = 0;
    pid_t m_pid = 0;
  };
  const Store &m_store;
  Record &m_record;
  const int m_longestLeaseMs;
  std::string m_directory;
  std::map<std::string, Node> m_nodes;
};

/// op/config with one route for each prefix, all on one host and service.
std::string config(int Version, const std::vector<std::string> &Prefixes,
                   const std::string &Service = "regulator",
                   int MaxAttempts = 2);
extern const char *const HostName;
int freePort();
/// Whether the disruption is left out.
bool isCalm();
/// Opens the record, runs a case and ends the process with its result: 0 if the
/// rule held, 1 if it was broken, 2 if the case couldn't run.
[[noreturn]] void runCase(char **Args, int (*Case)(Record &Log));

} // namespace review

#endif
