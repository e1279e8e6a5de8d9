// Stand-ins of the users' platform; see world.h.
#include "world.h"

#include <boost/json/src.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <fcntl.h>
#include <sys/stat.h>

#include <algorithm>
#include <cstring>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace review {

const char *const HostName = "nony24.example";

std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
std::int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
void sleepMs(std::int64_t Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}
bool isCalm() {
  const char *Trouble = ::getenv("TROUBLE");
  return Trouble && std::string(Trouble) == "0";
}

// --- HTTP.

namespace {

int openListener(int Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) ||
      ::listen(Socket, 256)) {
    ::close(Socket);
    return -1;
  }
  return Socket;
}

int portOf(int Socket) {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

std::string lower(std::string Text) {
  for (char &Each : Text)
    Each = static_cast<char>(::tolower(static_cast<unsigned char>(Each)));
  return Text;
}

/// Reads the head and the body of a message; false at the end.
bool readMessage(int Socket, std::string &Buffer, std::string &Head,
                 std::string &Body, std::int64_t Deadline) {
  const auto More = [&] {
    if (Deadline > 0) {
      pollfd Wait{Socket, POLLIN, 0};
      const std::int64_t Left = Deadline - nowMs();
      if (Left <= 0 || ::poll(&Wait, 1, static_cast<int>(Left)) <= 0)
        return false;
    }
    char Bytes[65536];
    const ssize_t Count = ::recv(Socket, Bytes, sizeof(Bytes), 0);
    if (Count <= 0)
      return false;
    Buffer.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  };
  std::size_t End = 0;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!More())
      return false;
  Head = Buffer.substr(0, End + 2);
  Buffer.erase(0, End + 4);
  std::size_t Length = 0;
  const std::size_t At = lower(Head).find("\r\ncontent-length:");
  if (At != std::string::npos)
    Length = std::stoul(Head.substr(At + 17));
  while (Buffer.size() < Length)
    if (!More())
      return false;
  Body = Buffer.substr(0, Length);
  Buffer.erase(0, Length);
  return true;
}

bool sendAll(int Socket, const std::string &Text) {
  for (std::size_t At = 0; At < Text.size();) {
    const ssize_t Count =
        ::send(Socket, Text.data() + At, Text.size() - At, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    At += static_cast<std::size_t>(Count);
  }
  return true;
}

Request parse(const std::string &Head, std::string Body) {
  Request Read;
  std::istringstream Lines(Head);
  std::string Line, Target;
  std::getline(Lines, Line);
  std::istringstream(Line) >> Read.m_method >> Target;
  const std::size_t Question = Target.find('?');
  Read.m_path = Target.substr(0, Question);
  if (Question != std::string::npos)
    Read.m_query = Target.substr(Question + 1);
  while (std::getline(Lines, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::size_t From = Colon + 1;
    while (From < Line.size() && Line[From] == ' ')
      ++From;
    Read.m_headers[lower(Line.substr(0, Colon))] = Line.substr(From);
  }
  Read.m_body = std::move(Body);
  return Read;
}

std::string decodePercent(const std::string &Text) {
  std::string Out;
  for (std::size_t At = 0; At < Text.size(); ++At)
    if (Text[At] == '%' && At + 2 < Text.size()) {
      Out.push_back(static_cast<char>(
          std::stoi(Text.substr(At + 1, 2), nullptr, 16)));
      At += 2;
    } else {
      Out.push_back(Text[At]);
    }
  return Out;
}

} // namespace

std::string Request::query(const std::string &Name, const std::string &Or) const {
  std::istringstream Pairs(m_query);
  std::string Pair;
  while (std::getline(Pairs, Pair, '&')) {
    const std::size_t Equals = Pair.find('=');
    if (Equals != std::string::npos && Pair.substr(0, Equals) == Name)
      return decodePercent(Pair.substr(Equals + 1));
  }
  return Or;
}

int freePort() {
  // Below the ports that the system gives to connections, which would take it
  // before the node listens.
  static std::mt19937 Random{std::random_device{}()};
  for (;;) {
    const int Port = std::uniform_int_distribution<int>(15000, 31000)(Random);
    const int Socket = openListener(Port);
    if (Socket < 0)
      continue;
    ::close(Socket);
    return Port;
  }
}

Server::Server(Handler Serve) : m_serve(std::move(Serve)) { listenOn(0); }

void Server::listenOn(int Port) {
  int Socket = -1;
  for (int Try = 0; Try < 100 && Socket < 0; ++Try) {
    Socket = openListener(Port);
    if (Socket < 0)
      sleepMs(20);
  }
  if (Socket < 0) {
    std::cerr << "cannot listen on port " << Port << "\n";
    std::exit(2);
  }
  m_listener = Socket;
  m_port = portOf(Socket);
  std::thread([this, Socket] { acceptLoop(Socket); }).detach();
}

void Server::setDown(bool IsDown) {
  if (IsDown) {
    std::lock_guard<std::mutex> Held(m_lock);
    ::shutdown(m_listener, SHUT_RDWR);
    ::close(m_listener);
    m_listener = -1;
    for (const int Each : m_sockets)
      ::shutdown(Each, SHUT_RDWR);
  } else {
    std::lock_guard<std::mutex> Held(m_lock);
    listenOn(m_port);
  }
}

void Server::acceptLoop(int Listener) {
  for (;;) {
    const int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      return;
    int On = 1;
    ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    {
      std::lock_guard<std::mutex> Held(m_lock);
      if (m_listener != Listener) {
        ::close(Socket);
        return;
      }
      m_sockets.insert(Socket);
    }
    std::thread([this, Socket] { serve(Socket); }).detach();
  }
}

void Server::serve(int Socket) {
  std::string Buffer, Head, Body;
  while (readMessage(Socket, Buffer, Head, Body, 0)) {
    const Response Answer = m_serve(parse(Head, std::move(Body)));
    Body.clear();
    if (Answer.m_status == 0)
      continue;
    if (!sendAll(Socket,
                 "HTTP/1.1 " + std::to_string(Answer.m_status) +
                     " -\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(Answer.m_body.size()) + "\r\n\r\n" +
                     Answer.m_body))
      break;
  }
  std::lock_guard<std::mutex> Held(m_lock);
  m_sockets.erase(Socket);
  ::close(Socket);
}

Response call(int Port, const std::string &Method, const std::string &Path,
              const std::string &Host, const std::string &Body, int TimeoutMs) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Response Answer;
  Answer.m_status = -1;
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                sizeof(Address))) {
    ::close(Socket);
    return Answer;
  }
  const std::int64_t Deadline = nowMs() + TimeoutMs;
  std::string Text = Method + " " + Path + " HTTP/1.1\r\nHost: " + Host +
                     "\r\nContent-Type: application/json\r\n"
                     "X-Catkinseam-Deadline-Ms: " +
                     std::to_string(TimeoutMs) + "\r\nContent-Length: " +
                     std::to_string(Body.size()) + "\r\n\r\n" + Body;
  std::string Buffer, Head;
  Answer.m_status = 0;
  if (sendAll(Socket, Text) &&
      readMessage(Socket, Buffer, Head, Answer.m_body, Deadline))
    Answer.m_status = std::stoi(Head.substr(9, 3));
  ::close(Socket);
  return Answer;
}

// --- record.txt

Record::Record(const std::string &Path) : m_file(Path) {}

void Record::line(const std::string &Text) {
  std::lock_guard<std::mutex> Held(m_lock);
  char Time[32];
  std::snprintf(Time, sizeof(Time), "%8.3f ",
                static_cast<double>(nowMs() - m_start) / 1000.0);
  m_file << Time << Text << std::endl;
}

// --- Store.

namespace {

std::uint64_t bigEndian(const std::string &Bytes, std::size_t At, int Count) {
  std::uint64_t Value = 0;
  for (int Each = 0; Each < Count; ++Each)
    Value = Value << 8 |
            static_cast<unsigned char>(Bytes[At + static_cast<std::size_t>(Each)]);
  return Value;
}

void appendBigEndian(std::string &To, std::uint64_t Value, int Count) {
  for (int Each = Count; Each-- > 0;)
    To.push_back(static_cast<char>((Value >> (8 * Each)) & 0xff));
}

std::string base64(const std::string &Bytes) {
  static const char *const Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    std::uint32_t Three = 0;
    const std::size_t Count = std::min<std::size_t>(3, Bytes.size() - At);
    for (std::size_t Each = 0; Each < 3; ++Each)
      Three = Three << 8 |
              (Each < Count ? static_cast<unsigned char>(Bytes[At + Each]) : 0);
    for (std::size_t Each = 0; Each < 4; ++Each)
      Out.push_back(Each <= Count ? Digits[(Three >> (18 - 6 * Each)) & 63]
                                  : '=');
  }
  return Out;
}

Response jsonAnswer(int Status, json::object Body) {
  return {Status, json::serialize(Body)};
}

} // namespace

Store::Store()
    : m_server(std::make_unique<Server>(
          [this](const Request &Call) { return serve(Call); })) {}

void Store::put(const std::string &Name, const std::string &Key,
                const std::optional<std::string> &Value) {
  std::lock_guard<std::mutex> Held(m_lock);
  Topic &To = m_topics[Name];
  To.m_newest.erase(Key);
  if (Value)
    To.m_newest[Key] = To.m_items.size();
  To.m_items.push_back({Key, Value});
  m_changed.notify_all();
}

Response Store::serve(const Request &Call) {
  Topic *Of = nullptr;
  {
    std::lock_guard<std::mutex> Held(m_lock);
    Of = &m_topics[Call.query("topic")];
  }
  if (Call.m_path == "/api/log-append")
    return append(*Of, Call);
  sleepMs(m_latency);
  if (Call.m_path == "/api/log-read")
    return read(*Of, Call);
  if (Call.m_path == "/api/log-newest")
    return newest(*Of, Call);
  return {400, ""};
}

Response Store::append(Topic &To, const Request &Call) {
  std::vector<Item> Items;
  std::size_t Total = 0;
  for (std::size_t At = 0; At + 4 <= Call.m_body.size();) {
    const std::size_t Size = bigEndian(Call.m_body, At, 4);
    if (Size < 1 || At + 4 + Size > Call.m_body.size())
      return {400, "{}"};
    const std::size_t KeySize = static_cast<unsigned char>(Call.m_body[At + 4]);
    m_largest = std::max(m_largest.load(), Size);
    if (Size > m_recordBytes || (Total += Size) > m_requestBytes)
      return {413, "{}"};
    Item Each;
    Each.m_key = Call.m_body.substr(At + 5, KeySize);
    if (Size > 1 + KeySize)
      Each.m_value = Call.m_body.substr(At + 5 + KeySize, Size - 1 - KeySize);
    Items.push_back(std::move(Each));
    At += 4 + Size;
  }
  std::lock_guard<std::mutex> Turn(To.m_turn);
  sleepMs(m_latency);
  std::lock_guard<std::mutex> Held(m_lock);
  const std::string Name = Call.query("producer");
  if (!Name.empty()) {
    Producer &By = To.m_producers[Name];
    const std::uint64_t Epoch = std::stoull(Call.query("epoch", "0"));
    const std::int64_t Sequence = std::stoll(Call.query("sequence", "0"));
    if (Epoch < By.m_epoch)
      return jsonAnswer(409, {{"reason", "fenced"}});
    if (Epoch > By.m_epoch) {
      By.m_epoch = Epoch;
      By.m_sequence = Sequence - 1;
      By.m_last.clear();
    }
    for (const auto &[Number, Offset] : By.m_last)
      if (Number == Sequence)
        return jsonAnswer(200, {{"offset", Offset}});
    if (Items.empty())
      return jsonAnswer(200, {{"offset", To.m_items.size()}});
    if (Sequence != By.m_sequence + 1)
      return jsonAnswer(409, {{"reason", "seq"}});
    By.m_sequence = Sequence;
    By.m_last.emplace_back(Sequence,
                           static_cast<std::int64_t>(To.m_items.size()));
    if (By.m_last.size() > 5)
      By.m_last.pop_front();
  }
  const std::size_t Offset = To.m_items.size();
  for (Item &Each : Items) {
    To.m_newest.erase(Each.m_key);
    if (Each.m_value)
      To.m_newest[Each.m_key] = To.m_items.size();
    To.m_items.push_back(std::move(Each));
  }
  m_changed.notify_all();
  return jsonAnswer(200,
                    {{"offset", Offset}, {"endOffset", To.m_items.size()}});
}

Response Store::read(Topic &From, const Request &Call) {
  const std::size_t Begin = std::stoull(Call.query("from", "0"));
  const std::int64_t Wait = std::stoll(Call.query("waitMs", "0"));
  const std::size_t MaxBytes = 1024 * std::stoull(Call.query("maxKb", "1024"));
  std::unique_lock<std::mutex> Held(m_lock);
  m_changed.wait_for(Held, std::chrono::milliseconds(Wait),
                     [&] { return From.m_items.size() > Begin; });
  std::string Body;
  appendBigEndian(Body, From.m_items.size(), 8);
  appendBigEndian(Body, 0, 8);
  for (std::size_t At = Begin;
       At < From.m_items.size() && Body.size() < MaxBytes; ++At) {
    const Item &Each = From.m_items[At];
    const std::size_t Size =
        1 + Each.m_key.size() + (Each.m_value ? Each.m_value->size() : 0);
    appendBigEndian(Body, Size, 4);
    Body.push_back(static_cast<char>(Each.m_key.size()));
    Body += Each.m_key;
    if (Each.m_value)
      Body += *Each.m_value;
  }
  return {200, Body};
}

Response Store::newest(Topic &From, const Request &Call) {
  std::lock_guard<std::mutex> Held(m_lock);
  const std::string After = Call.query("after");
  json::array Items;
  std::size_t Bytes = 0;
  auto Each = After.empty() ? From.m_newest.begin()
                            : From.m_newest.upper_bound(After);
  for (; Each != From.m_newest.end() && Items.size() < 500 && Bytes < 1000000;
       ++Each) {
    const Item &Found = From.m_items[Each->second];
    Items.push_back({{"key", Each->first},
                     {"value", base64(*Found.m_value)},
                     {"offset", Each->second}});
    Bytes += Found.m_value->size();
  }
  return jsonAnswer(200, {{"items", std::move(Items)},
                          {"hasMore", Each != From.m_newest.end()},
                          {"endOffset", From.m_items.size()}});
}

// --- Workers.

namespace {

std::string jobOf(const std::string &Task) {
  return Task.substr(0, Task.find('.'));
}

/// ID.K.STEP of ID.K.STEP.INDEX.
std::string stepOf(const std::string &Task) {
  return Task.substr(0, Task.rfind('.'));
}

std::int64_t number(const json::object &Body, const char *Name) {
  const json::value *Found = Body.if_contains(Name);
  return Found && Found->is_number() ? Found->to_number<std::int64_t>() : 0;
}

std::string text(const json::object &Body, const char *Name) {
  const json::value *Found = Body.if_contains(Name);
  return Found && Found->is_string() ? std::string(Found->as_string().c_str())
                                     : "";
}

} // namespace

Workers::Workers(Store &To, Record &Log, const Options &Values)
    : m_store(To), m_record(Log), m_options(Values) {
  for (int At = 0; At < Values.m_count; ++At) {
    auto Added = std::make_unique<Worker>();
    Added->m_number = At;
    char Id[32];
    std::snprintf(Id, sizeof(Id), "i-%02d7f3a91", At);
    beginLife(*Added, Id);
    Added->m_server = std::make_unique<Server>(
        [this, At](const Request &Call) { return serve(At, Call); });
    m_workers.push_back(std::move(Added));
  }
  for (const auto &Each : m_workers)
    beat(*Each);
  std::thread([this] {
    for (;;) {
      sleepMs(m_options.m_heartbeatMs);
      std::lock_guard<std::mutex> Held(m_lock);
      for (const auto &Each : m_workers)
        if (Each->m_isUp)
          beat(*Each);
    }
  }).detach();
  std::thread([this] {
    for (;;) {
      sleepMs(10);
      tick();
    }
  }).detach();
}

void Workers::beginLife(Worker &At, const std::string &Id) {
  At.m_id = Id;
  At.m_born = unixMs();
  At.m_clockZero = nowMs() - 1000;
  At.m_leaseEnd = 0;
  At.m_fence = 0;
  At.m_ends = 0;
  At.m_sequence = 0;
  At.m_runs.clear();
  At.m_barred.clear();
  At.m_finished.clear();
}

void Workers::beat(Worker &At) {
  json::array Labels;
  if (m_options.m_labels)
    Labels = m_options.m_labels(At.m_number);
  else
    Labels = {"a", "r1-" + std::to_string(At.m_number / 6)};
  m_store.put("keyed.servers", At.m_id,
              json::serialize(json::object{
                  {"service", m_options.m_service},
                  {"address",
                   "127.0.0.1:" + std::to_string(At.m_server->port())},
                  {"zone", "tt-south-a"},
                  {"version", "v1"},
                  {"slots", 8},
                  {"state", "ready"},
                  {"coldRemainingMs", 0},
                  {"capacity",
                   {{"cpu", m_options.m_cpu}, {"memMb", m_options.m_memMb}, {"gpu", 0}}},
                  {"labels", Labels},
                  {"born", At.m_born},
                  {"clockMs", clock(At)},
                  {"sequence", ++At.m_sequence}}));
}

std::string Workers::id(int Number) {
  std::lock_guard<std::mutex> Held(m_lock);
  return m_workers[static_cast<std::size_t>(Number)]->m_id;
}

void Workers::know(const std::string &Job, const json::value &Body) {
  std::vector<StepShape> Steps;
  for (const json::value &Each : Body.at("steps").as_array()) {
    const json::object &Step = Each.as_object();
    StepShape Shape;
    Shape.m_count = static_cast<int>(number(Step, "count"));
    Shape.m_cpu = static_cast<int>(number(Step, "cpu"));
    Shape.m_memMb = static_cast<int>(number(Step, "memMb"));
    const auto Flag = [&](const char *Name) {
      const json::value *Found = Step.if_contains(Name);
      return Found && Found->is_bool() && Found->as_bool();
    };
    Shape.m_isGang = Flag("gang");
    Shape.m_savesCheckpoints = Flag("checkpointing");
    if (Flag("fills"))
      Shape.m_cpu = 0;
    Steps.push_back(Shape);
  }
  std::lock_guard<std::mutex> Held(m_lock);
  m_jobs[Job] = Steps;
}

StepShape Workers::shapeOf(const std::string &Task) {
  const auto Found = m_jobs.find(jobOf(Task));
  if (Found == m_jobs.end())
    return {};
  const std::string Step = stepOf(Task);
  const std::size_t Number = std::stoul(Step.substr(Step.rfind('.') + 1));
  return Number < Found->second.size() ? Found->second[Number] : StepShape();
}

void Workers::crash(int Number) {
  Server *Of = nullptr;
  {
    std::lock_guard<std::mutex> Held(m_lock);
    Worker &At = *m_workers[static_cast<std::size_t>(Number)];
    At.m_isUp = false;
    for (auto &[Task, Each] : At.m_runs) {
      m_seen[Each.m_seen].m_to = nowMs();
      m_seen[Each.m_seen].m_how = "crash";
    }
    At.m_runs.clear();
    At.m_finished.clear();
    Of = At.m_server.get();
    m_record.line("worker " + At.m_id + " crashes");
    m_changed.notify_all();
  }
  Of->setDown(true);
  // The entry is removed after three heartbeats of silence.
  std::thread([this, Number] {
    sleepMs(3 * m_options.m_heartbeatMs);
    std::lock_guard<std::mutex> Held(m_lock);
    Worker &At = *m_workers[static_cast<std::size_t>(Number)];
    if (!At.m_isUp)
      m_store.put("keyed.servers", At.m_id, std::nullopt);
  }).detach();
}

void Workers::restart(int Number, bool KeepsId) {
  Server *Of = nullptr;
  {
    std::lock_guard<std::mutex> Held(m_lock);
    Worker &At = *m_workers[static_cast<std::size_t>(Number)];
    const std::string Old = At.m_id;
    beginLife(At, KeepsId ? At.m_id : At.m_id + "n");
    At.m_isUp = true;
    m_record.line("worker " + At.m_id + " starts again");
    if (!KeepsId)
      m_store.put("keyed.servers", Old, std::nullopt);
    Of = At.m_server.get();
  }
  Of->setDown(false);
  std::lock_guard<std::mutex> Held(m_lock);
  beat(*m_workers[static_cast<std::size_t>(Number)]);
}

void Workers::setCut(int Number, bool IsCut) {
  std::lock_guard<std::mutex> Held(m_lock);
  Worker &At = *m_workers[static_cast<std::size_t>(Number)];
  At.m_isCut = IsCut;
  m_record.line("worker " + At.m_id + (IsCut ? " is cut off" : " is reached"));
}

void Workers::setLateOrders(double Share) {
  std::lock_guard<std::mutex> Held(m_lock);
  m_lateShare = Share;
}

Response Workers::serve(int Number, const Request &Call) {
  {
    std::lock_guard<std::mutex> Held(m_lock);
    const Worker &At = *m_workers[static_cast<std::size_t>(Number)];
    if (At.m_isCut)
      return {0, ""};
    if (m_lateShare > 0 && Call.m_path != "/api/hold" &&
        ::drand48() < m_lateShare) {
      const std::int64_t Born = At.m_born;
      const int Delay = 2000 + static_cast<int>(6000 * ::drand48());
      std::thread([this, Number, Call, Born, Delay] {
        sleepMs(Delay);
        {
          std::lock_guard<std::mutex> Check(m_lock);
          if (m_workers[static_cast<std::size_t>(Number)]->m_born != Born)
            return;
        }
        m_record.line("late:");
        carryOut(Number, Call);
      }).detach();
      return {0, ""};
    }
  }
  const Response Answer = carryOut(Number, Call);
  std::lock_guard<std::mutex> Held(m_lock);
  return m_workers[static_cast<std::size_t>(Number)]->m_isCut ? Response{0, ""}
                                                              : Answer;
}

Response Workers::carryOut(int Number, const Request &Call) {
  std::unique_lock<std::mutex> Held(m_lock);
  Worker &At = *m_workers[static_cast<std::size_t>(Number)];
  if (!At.m_isUp)
    return {0, ""};
  const auto Expected = Call.m_headers.find("x-catkinseam-expected-instance");
  if (Expected != Call.m_headers.end() && Expected->second != At.m_id)
    return jsonAnswer(421, {{"clockMs", clock(At)}});
  boost::system::error_code Ec;
  const json::value Body = json::parse(Call.m_body, Ec);
  if (Ec || !Body.is_object())
    return {400, "{}"};
  const json::object &Fields = Body.as_object();
  const auto Fence = static_cast<std::uint64_t>(number(Fields, "fencingToken"));
  if (Fence < At.m_fence)
    return jsonAnswer(409, {{"clockMs", clock(At)}, {"reason", "fence"}});
  At.m_fence = Fence;
  if (Call.m_path == "/api/hold")
    return hold(At, Fields, Held);
  if (Call.m_path == "/api/run-start") {
    const Response Answer = start(At, Fields);
    const std::string Task = text(Fields, "taskId");
    const int Run = static_cast<int>(number(Fields, "runId"));
    m_record.line("start " + Task + " run " + std::to_string(Run) + " at " +
                  At.m_id + " fence " + std::to_string(Fence) + " -> " +
                  std::to_string(Answer.m_status) +
                  (Answer.m_status == 200 ? "" : " " + Answer.m_body));
    if (Answer.m_status == 200 && m_onStart) {
      Held.unlock();
      m_onStart(Task, Run, Number);
    }
    return Answer;
  }
  if (Call.m_path == "/api/run-stop")
    return stop(At, Fields);
  if (Call.m_path == "/api/pace")
    return jsonAnswer(200, {{"clockMs", clock(At)}});
  return {400, "{}"};
}

Response Workers::start(Worker &At, const json::object &Body) {
  const std::string Task = text(Body, "taskId");
  const int Run = static_cast<int>(number(Body, "runId"));
  const std::int64_t Expires =
      std::min(number(Body, "expiresMs"), clock(At) + m_options.m_longestLeaseMs);
  const auto Refuse = [&](const char *Reason) {
    return jsonAnswer(409, {{"clockMs", clock(At)}, {"reason", Reason}});
  };
  const auto Present = At.m_runs.find(Task);
  if (Present != At.m_runs.end() && Present->second.m_run == Run)
    return jsonAnswer(200, {{"clockMs", clock(At)}});
  if (Expires <= clock(At))
    return Refuse("late");
  At.m_leaseEnd = std::max(At.m_leaseEnd, Expires);
  const auto Barred = At.m_barred.find(Task);
  if (Present != At.m_runs.end() ||
      (Barred != At.m_barred.end() && Run <= Barred->second))
    return Refuse("old");
  const StepShape Shape = shapeOf(Task);
  int Cpu = Shape.m_cpu, Memory = Shape.m_memMb;
  for (const auto &[Name, Each] : At.m_runs) {
    Cpu += Each.m_shape.m_cpu;
    Memory += Each.m_shape.m_memMb;
  }
  if (Cpu > m_options.m_cpu || Memory > m_options.m_memMb)
    return Refuse("room");
  review::Workers::Run Added;
  Added.m_task = Task;
  Added.m_run = Run;
  Added.m_saved = text(Body, "checkpoint");
  Added.m_shape = Shape;
  Added.m_plan = m_plan ? m_plan(Task, Run, At.m_number) : Plan();
  Added.m_arrivedAt = nowMs();
  if (!Shape.m_isGang)
    Added.m_workFrom =
        nowMs() + (Added.m_saved.empty() ? 0 : m_options.m_restoreMs);
  Added.m_savedAt = nowMs();
  Added.m_seen = m_seen.size();
  m_seen.push_back({Task, Run, At.m_number, nowMs(), 0, "", Added.m_saved});
  At.m_runs[Task] = Added;
  return jsonAnswer(200, {{"clockMs", clock(At)}});
}

Response Workers::stop(Worker &At, const json::object &Body) {
  const std::string Task = text(Body, "taskId");
  const int Run = static_cast<int>(number(Body, "runId"));
  int &Barred = At.m_barred[Task];
  Barred = std::max(Barred, Run);
  const auto Found = At.m_runs.find(Task);
  if (Found != At.m_runs.end() && Found->second.m_run == Run &&
      Found->second.m_stopsAt == 0)
    Found->second.m_stopsAt = nowMs() + m_options.m_stopMs;
  m_record.line("stop " + Task + " run " + std::to_string(Run) + " at " +
                At.m_id);
  return jsonAnswer(200, {{"clockMs", clock(At)}});
}

Response Workers::hold(Worker &At, const json::object &Body,
                       std::unique_lock<std::mutex> &Held) {
  const std::int64_t Observed = number(Body, "observed");
  while (!At.m_finished.empty() && At.m_finished.front().m_number <= Observed) {
    m_seen[At.m_finished.front().m_seen].m_observedAt = nowMs();
    At.m_finished.pop_front();
  }
  if (const std::int64_t Expires = number(Body, "expiresMs"); Expires > 0)
    At.m_leaseEnd =
        std::max(At.m_leaseEnd,
                 std::min(Expires, clock(At) + m_options.m_longestLeaseMs));
  const std::int64_t Born = At.m_born;
  const std::int64_t Ends = At.m_ends;
  m_changed.wait_for(
      Held, std::chrono::milliseconds(std::min<std::int64_t>(
                2000, number(Body, "waitMs"))),
      [&] { return !At.m_isUp || At.m_born != Born || At.m_ends > Ends; });
  if (!At.m_isUp || At.m_born != Born)
    return {0, ""};
  json::array Active, Finished;
  for (const auto &[Task, Each] : At.m_runs) {
    std::int64_t Percent = 0;
    if (Each.m_workFrom > 0 && Each.m_workFrom <= nowMs())
      Percent = Each.m_plan.m_workMs < 0
                    ? 100
                    : std::min<std::int64_t>(
                          99, 100 * (nowMs() - Each.m_workFrom) /
                                  std::max<std::int64_t>(1, Each.m_plan.m_workMs));
    Active.push_back(json::array{Task, Each.m_run, Each.m_saved, Percent,
                                 Each.m_plan.m_workMs < 0 ? 2 : Each.m_shape.m_cpu});
  }
  for (const auto &Each : At.m_finished)
    if (Finished.size() < 500)
      Finished.push_back(json::array{Each.m_number, Each.m_task, Each.m_run,
                                     Each.m_how, Each.m_saved});
  return jsonAnswer(200, {{"clockMs", clock(At)},
                          {"born", At.m_born},
                          {"active", std::move(Active)},
                          {"finished", std::move(Finished)}});
}

void Workers::end(Worker &At, const std::string &Task, const std::string &How) {
  const auto Found = At.m_runs.find(Task);
  if (Found == At.m_runs.end())
    return;
  const review::Workers::Run Ended = Found->second;
  At.m_runs.erase(Found);
  int &Barred = At.m_barred[Task];
  Barred = std::max(Barred, Ended.m_run);
  At.m_finished.push_back(
      {++At.m_ends, Task, Ended.m_run, How, Ended.m_saved, Ended.m_seen});
  m_seen[Ended.m_seen].m_to = nowMs();
  m_seen[Ended.m_seen].m_how = How;
  m_record.line("end " + Task + " run " + std::to_string(Ended.m_run) + " at " +
                At.m_id + " " + How);
  m_changed.notify_all();
}

void Workers::tick() {
  std::lock_guard<std::mutex> Held(m_lock);
  const std::int64_t Now = nowMs();
  struct Member {
    Worker *m_at;
    Run *m_run;
  };
  std::map<std::pair<std::string, int>, std::vector<Member>> Gangs;
  std::vector<std::tuple<Worker *, std::string, std::string>> Ends;
  for (const auto &At : m_workers) {
    if (!At->m_isUp)
      continue;
    const bool IsLapsed = !At->m_runs.empty() && clock(*At) >= At->m_leaseEnd;
    for (auto &[Task, Each] : At->m_runs) {
      if (IsLapsed) {
        Ends.emplace_back(At.get(), Task, "lapsed");
      } else if (Each.m_stopsAt > 0 && Now >= Each.m_stopsAt) {
        Ends.emplace_back(At.get(), Task, "stopped");
      } else if (Each.m_shape.m_isGang) {
        Gangs[{stepOf(Task), Each.m_run}].push_back({At.get(), &Each});
      } else {
        if (Each.m_shape.m_savesCheckpoints && Now >= Each.m_workFrom &&
            Now - Each.m_savedAt >= m_options.m_checkpointMs) {
          Each.m_savedAt = Now;
          char Saved[20];
          std::snprintf(Saved, sizeof(Saved), "%08llx%08llx",
                        static_cast<unsigned long long>(Now & 0xffffffff),
                        static_cast<unsigned long long>(Each.m_seen));
          Each.m_saved = Saved;
        }
        if (Each.m_plan.m_workMs >= 0 &&
            Now >= Each.m_workFrom + Each.m_plan.m_workMs)
          Ends.emplace_back(At.get(), Task,
                            Each.m_plan.m_fails ? "failed" : "done");
      }
    }
  }
  std::map<std::pair<std::string, int>, bool> Broken;
  for (const auto &[At, Task, How] : Ends) {
    const auto Found = At->m_runs.find(Task);
    if (Found != At->m_runs.end() && Found->second.m_shape.m_isGang)
      Broken[{stepOf(Task), Found->second.m_run}] = true;
    end(*At, Task, How);
  }
  for (auto &[Key, Members] : Gangs) {
    const auto Count = static_cast<std::size_t>(Members.front().m_run->m_shape.m_count);
    const bool HasBegun = std::any_of(
        Members.begin(), Members.end(),
        [](const Member &Each) { return Each.m_run->m_workFrom > 0; });
    if (HasBegun && (Members.size() < Count || Broken.count(Key))) {
      for (const Member &Each : Members)
        end(*Each.m_at, std::string(Each.m_run->m_task), "broken");
    } else if (!HasBegun && Members.size() == Count) {
      for (const Member &Each : Members)
        Each.m_run->m_workFrom = Now;
    } else if (!HasBegun) {
      std::vector<std::pair<Worker *, std::string>> Alone;
      for (const Member &Each : Members)
        if (Now - Each.m_run->m_arrivedAt >= m_options.m_gangTimeoutMs)
          Alone.emplace_back(Each.m_at, Each.m_run->m_task);
      for (const auto &[At, Task] : Alone)
        end(*At, Task, "alone");
    } else {
      Run &First = *Members.front().m_run;
      if (First.m_shape.m_savesCheckpoints &&
          Now - First.m_savedAt >= m_options.m_checkpointMs) {
        char Saved[20];
        std::snprintf(Saved, sizeof(Saved), "%08llx%08llx",
                      static_cast<unsigned long long>(Now & 0xffffffff),
                      static_cast<unsigned long long>(First.m_seen));
        for (const Member &Each : Members) {
          Each.m_run->m_savedAt = Now;
          Each.m_run->m_saved = Saved;
        }
      }
      const std::int64_t Work = Members.front().m_run->m_plan.m_workMs;
      if (Work >= 0 && Now >= Members.front().m_run->m_workFrom + Work) {
        std::vector<std::pair<Worker *, std::string>> All;
        for (const Member &Each : Members)
          All.emplace_back(Each.m_at, Each.m_run->m_task);
        for (const auto &[At, Task] : All)
          end(*At, Task, "done");
      }
    }
  }
}

std::vector<Workers::RunSeen> Workers::runs() {
  std::lock_guard<std::mutex> Held(m_lock);
  return m_seen;
}

int Workers::active(const std::string &Job) {
  std::lock_guard<std::mutex> Held(m_lock);
  return static_cast<int>(
      std::count_if(m_seen.begin(), m_seen.end(), [&](const RunSeen &Each) {
        return Each.m_to == 0 && jobOf(Each.m_task) == Job;
      }));
}

int Workers::started(const std::string &Job) {
  std::lock_guard<std::mutex> Held(m_lock);
  return static_cast<int>(
      std::count_if(m_seen.begin(), m_seen.end(), [&](const RunSeen &Each) {
        return jobOf(Each.m_task) == Job;
      }));
}

// --- Nodes.

namespace {

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

const json::value *lookUp(const json::value &In, const std::string &Name) {
  const json::value *At = &In;
  std::istringstream Parts(Name);
  std::string Part;
  while (At && std::getline(Parts, Part, '.')) {
    if (At->is_object())
      At = At->as_object().if_contains(Part);
    else if (At->is_array() && std::stoul(Part) < At->as_array().size())
      At = &At->as_array()[std::stoul(Part)];
    else
      At = nullptr;
  }
  return At && !At->is_null() ? At : nullptr;
}

/// Fills in a settings template as the platform does.
std::string render(const std::string &Template, const json::value &Fields) {
  std::string Out;
  for (std::size_t At = 0; At < Template.size();) {
    const std::size_t Open = Template.find("{{", At);
    if (Open == std::string::npos)
      return Out + Template.substr(At);
    Out += Template.substr(At, Open - At);
    const std::size_t Close = Template.find("}}", Open);
    std::string Name = Template.substr(Open + 2, Close - Open - 2);
    At = Close + 2;
    if (Name[0] == '#') {
      const std::string End = "{{/" + Name.substr(1) + "}}";
      const std::size_t EndAt = Template.find(End, At);
      if (lookUp(Fields, Name.substr(1)))
        Out += render(Template.substr(At, EndAt - At), Fields);
      At = EndAt + End.size();
      continue;
    }
    const bool IsJson = Name.size() > 5 && Name.substr(Name.size() - 5) == "|json";
    if (IsJson)
      Name.resize(Name.size() - 5);
    const json::value *Found = lookUp(Fields, Name);
    if (!Found)
      continue;
    Out += Found->is_string() && !IsJson ? std::string(Found->as_string().c_str())
                                         : json::serialize(*Found);
  }
  return Out;
}

} // namespace

Nodes::Nodes(const Store &Of, Record &Log, int LongestLeaseMs)
    : m_store(Of), m_record(Log), m_longestLeaseMs(LongestLeaseMs) {
  ::signal(SIGPIPE, SIG_IGN);
  char Name[] = "/tmp/review-2-XXXXXX";
  m_directory = ::mkdtemp(Name);
}

Nodes::~Nodes() {
  for (auto &[Name, Each] : m_nodes)
    if (Each.m_pid > 0) {
      ::kill(Each.m_pid, SIGKILL);
      ::waitpid(Each.m_pid, nullptr, 0);
    }
  if (::getenv("KEEP_LOGS"))
    return;
  for (const auto &[Name, Each] : m_nodes) {
    ::unlink((m_directory + "/" + Name + ".toml").c_str());
    ::unlink((m_directory + "/" + Name + ".log").c_str());
  }
  ::rmdir(m_directory.c_str());
}

void Nodes::start(const std::string &Name, const Options &Values) {
  Node &Added = m_nodes[Name];
  if (Added.m_callers == 0) {
    Added.m_callers = freePort();
    Added.m_readiness = freePort();
    Added.m_metrics = freePort();
  }
  const std::string Ip = "127.0.0.1";
  const json::value Fields = {
      {"nodeName", Name},
      {"zone", Values.m_zone},
      {"ip", Ip},
      {"listen",
       {{"frontend", Ip + ":" + std::to_string(Added.m_callers)},
        {"readiness", Ip + ":" + std::to_string(Added.m_readiness)}}},
      {"internalPorts", {Added.m_metrics, freePort()}},
      {"limits", {{"cpuShare", Values.m_cpuShare}, {"fileDescriptors", 4100}}},
      {"bounds",
       {{"maxHoldMs", m_longestLeaseMs}, {"status_s", 120}, {"gracePeriodS", 6}}},
      {"platform",
       {{"address", Ip + ":" + std::to_string(m_store.port())},
        {"recordBytes", m_store.m_recordBytes},
        {"requestBytes", m_store.m_requestBytes}}}};
  const std::string Path = m_directory + "/" + Name + ".toml";
  std::ofstream(Path) << render(readFile("deploy/node.toml.in"), Fields);
  // The words of `run` in deploy/system.toml.
  const pid_t Pid = ::fork();
  if (Pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Log = ::open((m_directory + "/" + Name + ".log").c_str(),
                           O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Log, 1);
    ::dup2(Log, 2);
    ::setenv("CATKINSEAM_NODE_FILE", Path.c_str(), 1);
    ::execl("target/bin/catkinseam", "target/bin/catkinseam", "node", nullptr);
    ::_exit(127);
  }
  Added.m_pid = Pid;
  m_record.line("node " + Name + " starts");
}

void Nodes::signal(const std::string &Name, int Signal) {
  m_record.line("node " + Name + " gets signal " + std::to_string(Signal));
  ::kill(m_nodes.at(Name).m_pid, Signal);
}

void Nodes::kill(const std::string &Name) {
  signal(Name, SIGKILL);
  ::waitpid(m_nodes.at(Name).m_pid, nullptr, 0);
  m_nodes.at(Name).m_pid = 0;
}

bool Nodes::isRunning(const std::string &Name) {
  Node &Of = m_nodes.at(Name);
  if (Of.m_pid > 0 && ::waitpid(Of.m_pid, nullptr, WNOHANG) == Of.m_pid)
    Of.m_pid = 0;
  return Of.m_pid > 0;
}

bool Nodes::isReady(const std::string &Name) {
  return call(m_nodes.at(Name).m_readiness, "GET", "/api/readyz", "x", "", 500)
             .m_status == 200;
}

bool Nodes::isOwner(const std::string &Name) {
  const Response Answer =
      call(m_nodes.at(Name).m_metrics, "GET", "/", "x", "", 500);
  return Answer.m_status == 200 &&
         Answer.m_body.find("\ncatkinseam_is_owner 1") != std::string::npos;
}

std::string Nodes::owner() {
  for (const auto &[Name, Each] : m_nodes)
    if (Each.m_pid > 0 && isOwner(Name))
      return Name;
  return "";
}

bool Nodes::waitOwner(const std::string &Name, int TimeoutMs) {
  for (const std::int64_t Until = nowMs() + TimeoutMs; nowMs() < Until;
       sleepMs(20))
    if (Name.empty() ? !owner().empty() : isOwner(Name))
      return true;
  return false;
}

bool Nodes::waitReady(int TimeoutMs) {
  for (const std::int64_t Until = nowMs() + TimeoutMs; nowMs() < Until;
       sleepMs(50))
    if (std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto &Each) {
          return Each.second.m_pid == 0 || isReady(Each.first);
        }))
      return true;
  return false;
}

std::vector<std::string> Nodes::names() const {
  std::vector<std::string> All;
  for (const auto &[Name, Each] : m_nodes)
    All.push_back(Name);
  return All;
}

std::string config(int Version, const std::vector<std::string> &Prefixes,
                   const std::string &Service, int MaxAttempts) {
  json::array Routes;
  for (const std::string &Each : Prefixes)
    Routes.push_back({{"name", "r" + Each.substr(1, Each.size() - 2)},
                      {"host", HostName},
                      {"pathPrefix", Each},
                      {"kind", "non_idempotent"},
                      {"timeoutMs", 3000},
                      {"targetLatencyMs", 1000},
                      {"priority", 0},
                      {"service", Service},
                      {"maxAttempts", MaxAttempts},
                      {"stretchFactor", 2.0}});
  return json::serialize(json::object{
      {"version", Version},
      {"routes", Routes},
      {"services",
       {{{"name", Service},
         {"healthPath", "/healthz"},
         {"maxConnections", 64},
         {"protocol", "h1"},
         {"tls", false},
         {"admissionControl", true},
         {"standby", false}}}},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", 262144},
        {"headerTimeoutMs", 3000},
        {"idleTimeoutMs", 15000}}}});
}

void runCase(char **Args, int (*Case)(Record &Log)) {
  Record &Log = *new Record(Args[1]);
  Log.line(isCalm() ? "without the disruption" : "with the disruption");
  const int Result = Case(Log);
  const char *const Names[] = {"held", "broken", "couldn't run"};
  Log.line(Names[Result]);
  std::cout << Names[Result] << std::endl;
  std::_Exit(Result);
}

} // namespace review
