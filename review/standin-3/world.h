// Stand-ins of the users' platform for the scripts of the third review: the
// store, workers and clients, and the nodes as separate processes.
//
//   World Stage;
//   Stage.addWorkers(8, {16000, 64000});
//   Stage.startStore(Configuration);
//   Stage.startNode(1);
//
// All of it is in one process with a thread for each connection, on loopback
// addresses, free ports and the real clock.
#ifndef REVIEW_STANDIN_3_WORLD_H
#define REVIEW_STANDIN_3_WORLD_H

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/// Milliseconds since this process started.
std::int64_t nowMs();
/// Milliseconds since 1970.
std::int64_t wallMs();
void sleepMs(std::int64_t Time);

/// Writes one line with the time to record.txt.
void note(const std::string &Text);
void openRecord(const std::string &Path);

struct Request {
  std::string m_method;
  std::string m_path;
  std::map<std::string, std::string> m_query;
  std::map<std::string, std::string> m_headers;
  std::string m_body;
};

/// Without a status, the connection is closed and nothing is answered.
struct Response {
  int m_status = 200;
  std::string m_body;
  std::string m_type = "application/json";
};

/// An HTTP/1.1 server with a thread for each connection. Lasts until the
/// process ends.
class Server {
public:
  using Handler = std::function<Response(const Request &)>;
  Server(Handler Serve);
  std::uint16_t port() const { return m_port; }
  /// Resets all connections and refuses new ones until resume().
  void interrupt();
  void resume();

private:
  void acceptLoop();
  void serve(int Socket);
  Handler m_handler;
  int m_listener = -1;
  std::uint16_t m_port = 0;
  std::mutex m_mutex;
  std::set<int> m_sockets;
  bool m_isInterrupted = false;
};

struct Answer {
  /// Zero if there was no complete answer.
  int m_status = 0;
  std::string m_body;
};

/// One call on a connection of its own.
Answer call(std::uint16_t Port, const std::string &Method,
            const std::string &Path, const std::string &Host,
            const std::string &Body, std::int64_t TimeoutMs);

struct Capacity {
  std::int64_t m_cpu = 0;
  std::int64_t m_memMb = 0;
};

/// The store of the platform, with keyed topics of one partition.
class Store {
public:
  Store();
  std::uint16_t port() const { return m_server->port(); }
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);
  /// Deletes the record of a key.
  void drop(const std::string &Topic, const std::string &Key);
  Server &server() { return *m_server; }
  /// Largest record of a key that was appended or refused, in bytes.
  std::size_t largest(const std::string &Topic);
  std::uint64_t calls();

private:
  struct Record {
    std::string m_key;
    std::string m_value;
    bool m_hasValue = false;
  };
  struct Producer {
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;
    std::deque<std::pair<std::uint64_t, std::string>> m_last;
  };
  struct Topic {
    std::vector<Record> m_records;
    std::map<std::string, std::size_t> m_newest;
    std::map<std::string, Producer> m_producers;
    std::mutex m_appending;
    std::size_t m_largest = 0;
  };
  Response onCall(const Request &Given);
  Response append(const Request &Given);
  Response read(const Request &Given);
  Response newest(const Request &Given);
  Topic &topic(const std::string &Name);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::unique_ptr<Topic>> m_topics;
  std::uint64_t m_calls = 0;
  std::unique_ptr<Server> m_server;
};

class World;

/// What the clients have handed in, for the stand-ins of the workers.
struct StepShape {
  int m_count = 1;
  std::int64_t m_cpu = 0;
  std::int64_t m_memMb = 0;
  std::int64_t m_workMs = 100;
  bool m_isGang = false;
  bool m_isCheckpointing = false;
};

/// A worker: runs tasks under one lease.
class Worker {
public:
  Worker(World &Owner, int Number, Capacity Size, std::string Kind);
  const std::string &id() const { return m_id; }
  std::uint16_t port() const { return m_server->port(); }
  std::string registration(std::uint64_t Sequence) const;

  struct Run {
    std::string m_task;
    std::uint64_t m_run = 0;
    StepShape m_shape;
    std::int64_t m_startedAt = 0;
    /// Of gang members: when all were present; -1 before.
    std::int64_t m_worksSince = -1;
    bool m_isStopping = false;
    std::int64_t m_endsAt = 0;
    /// Newest checkpoint.
    std::string m_saved;
  };

private:
  friend class World;
  Response onCall(const Request &Given);
  Response start(const Request &Given);
  /// Carries out a start, with the world's lock.
  Response begin(const std::string &Body);
  Response stop(const Request &Given);
  Response hold(const Request &Given);
  Response pace(const Request &Given);
  std::int64_t clockMs() const { return nowMs() + m_clockOffset; }
  void end(const std::string &Task, const std::string &How);
  std::string lists() const;

  World &m_world;
  const int m_number;
  const std::string m_id;
  const Capacity m_size;
  const std::string m_kind;
  /// Of the present life.
  std::int64_t m_born;
  std::int64_t m_clockOffset;
  bool m_isUp = true;
  std::map<std::string, Run> m_active;
  struct End {
    std::uint64_t m_number = 0;
    std::string m_task;
    std::uint64_t m_run = 0;
    std::string m_how;
    std::string m_saved;
  };
  std::deque<End> m_ends;
  std::uint64_t m_lastEnd = 0;
  std::map<std::string, std::uint64_t> m_barred;
  /// Bodies of starts that got no answer and have not been carried out.
  std::vector<std::string> m_lateStarts;
  std::uint64_t m_token = 0;
  std::int64_t m_expires = 0;
  std::unique_ptr<Server> m_server;
};

class World {
public:
  explicit World(const std::string &Program);

  /// Ends all processes that were started and removes their files.
  void endNodes();

  void configure(const std::string &Configuration);
  /// `Kind` is among the labels of these workers.
  void addWorkers(int Count, Capacity Size, const std::string &Kind = "a");
  /// The worker is gone without a word; what it ran has ended.
  void crashWorker(std::size_t Number);
  /// The entry of a worker that is gone is removed from the store.
  void removeEntry(std::size_t Number);
  /// From now on each 19th start gets no answer; it is carried out when its
  /// worker starts again.
  void delayStarts(bool AreDelayed);
  /// Workers that have such a start of a task that runs on another worker now,
  /// and none of which runs the task of another one's.
  std::vector<std::size_t> workersWithGivenUpStarts();
  std::size_t lateStarts();
  /// Notes tasks of which two runs are active; returns how many there are.
  std::size_t runTwice();
  /// It starts again under its id and address, and knows nothing of before. Its
  /// time of day differs from the true one by `ClockStepMs`.
  void restartWorker(std::size_t Number, std::int64_t ClockStepMs = 0);
  Store &store() { return m_store; }

  /// Starts node `Number`, or starts it again, as a process of its own.
  void startNode(int Number);
  void signalNode(int Number, int Signal);
  /// Kills the process of a node and waits for its end.
  void killNode(int Number);
  bool isReady(int Number);
  std::uint16_t callerPort(int Number);
  /// Number of nodes whose process has ended by itself.
  int endedNodes();

  /// Tells the workers what a job's steps are, by the id of the job.
  void expect(const std::string &Job, std::vector<StepShape> Steps);

  /// Tasks that have begun, by name, and how often; and those that ended done.
  std::size_t begun(const std::string &JobPrefix);
  std::size_t done(const std::string &JobPrefix);
  std::size_t active();
  std::size_t failed(const std::string &JobPrefix);
  std::size_t ended(const std::string &JobPrefix, const std::string &How);
  bool hasBegun(const std::string &Job);
  /// Names of the job's tasks that are active on a worker that is up.
  std::set<std::string> activeTasks(const std::string &Job);

private:
  friend class Worker;
  struct NodeProcess {
    pid_t m_pid = 0;
    std::uint16_t m_port = 0;
    std::string m_settings;
  };
  void tick();
  void heartbeat();
  StepShape shapeOf(const std::string &Task);

  const std::string m_program;
  std::string m_folder;
  Store m_store;
  /// Guards the workers.
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::map<std::string, std::vector<StepShape>> m_jobs;
  std::map<std::string, std::map<std::string, std::size_t>> m_counts;
  std::map<int, NodeProcess> m_nodes;
  bool m_areStartsDelayed = false;
  std::size_t m_delayableStarts = 0;
  std::set<std::string> m_runTwice;
};

} // namespace review

#endif // REVIEW_STANDIN_3_WORLD_H
