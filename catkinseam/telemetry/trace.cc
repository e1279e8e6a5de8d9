// Trace context parsing and the OTLP JSON exporter.
#include "catkinseam/telemetry/trace.h"

#include "catkinseam/base/hash.h"
#include "catkinseam/net/http_client.h"
#include "catkinseam/platform/json.h"

namespace catkinseam {

namespace {

constexpr std::size_t TraceIdLength = 32;
constexpr std::size_t SpanIdLength = 16;
constexpr std::size_t HeaderLength = 55;
constexpr std::size_t SpansPerPost = 256;
constexpr Duration PostTimeout = std::chrono::seconds(2);
constexpr Duration GatherTime = std::chrono::milliseconds(200);
constexpr int ServerSpanKind = 2;

bool isHex(const std::string &Text) {
  return Text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool isAllZero(const std::string &Text) {
  return Text.find_first_not_of('0') == std::string::npos;
}

JsonObject stringAttribute(const std::string &Key, const std::string &Text) {
  JsonObject Value = newObject();
  Value->set("stringValue", Text);
  JsonObject Attribute = newObject();
  Attribute->set("key", Key);
  Attribute->set("value", Value);
  return Attribute;
}

JsonObject toJson(const Span &Done) {
  const std::chrono::nanoseconds Start = Done.m_start.time_since_epoch();
  JsonObject Item = newObject();
  Item->set("traceId", Done.m_context.m_traceId);
  Item->set("spanId", Done.m_context.m_spanId);
  if (!Done.m_context.m_parentSpanId.empty())
    Item->set("parentSpanId", Done.m_context.m_parentSpanId);
  Item->set("name", Done.m_name);
  Item->set("kind", ServerSpanKind);
  Item->set("startTimeUnixNano", std::to_string(Start.count()));
  Item->set("endTimeUnixNano", std::to_string((Start + Done.m_length).count()));
  JsonArray Attributes = newArray();
  for (const auto &[Key, Value] : Done.m_attributes)
    Attributes->add(stringAttribute(Key, Value));
  Item->set("attributes", Attributes);
  return Item;
}

} // namespace

std::optional<TraceContext> parseTraceparent(const std::string &Header) {
  const bool HasShape = Header.size() >= HeaderLength && Header[2] == '-' &&
                        Header[35] == '-' && Header[52] == '-';
  if (!HasShape)
    return std::nullopt;
  TraceContext Read;
  Read.m_traceId = Header.substr(3, TraceIdLength);
  Read.m_spanId = Header.substr(36, SpanIdLength);
  const std::string Flags = Header.substr(53, 2);
  const bool IsValid = isHex(Read.m_traceId) && isHex(Read.m_spanId) &&
                       isHex(Flags) && !isAllZero(Read.m_traceId) &&
                       !isAllZero(Read.m_spanId) && Header.substr(0, 2) != "ff";
  if (!IsValid)
    return std::nullopt;
  constexpr int SampledFlag = 1;
  Read.m_isSampled = (std::stoi(Flags, nullptr, 16) & SampledFlag) != 0;
  return Read;
}

TraceContext childOf(const std::optional<TraceContext> &Parent,
                     bool SampleRoot) {
  TraceContext Child;
  Child.m_spanId = randomId();
  if (Parent) {
    Child.m_traceId = Parent->m_traceId;
    Child.m_parentSpanId = Parent->m_spanId;
    Child.m_isSampled = Parent->m_isSampled;
  } else {
    Child.m_traceId = randomId() + randomId();
    Child.m_isSampled = SampleRoot;
  }
  return Child;
}

std::string toTraceparent(const TraceContext &Context) {
  return "00-" + Context.m_traceId + "-" + Context.m_spanId + "-" +
         (Context.m_isSampled ? "01" : "00");
}

std::string toOtlpJson(const std::string &Service,
                       const std::vector<Span> &Spans) {
  JsonArray Items = newArray();
  for (const Span &Done : Spans)
    Items->add(toJson(Done));
  JsonObject Scope = newObject();
  Scope->set("name", "catkinseam");
  JsonObject ScopeSpans = newObject();
  ScopeSpans->set("scope", Scope);
  ScopeSpans->set("spans", Items);
  JsonArray ScopeList = newArray();
  ScopeList->add(ScopeSpans);
  JsonArray Attributes = newArray();
  Attributes->add(stringAttribute("service.name", Service));
  JsonObject Resource = newObject();
  Resource->set("attributes", Attributes);
  JsonObject ResourceSpans = newObject();
  ResourceSpans->set("resource", Resource);
  ResourceSpans->set("scopeSpans", ScopeList);
  JsonArray ResourceList = newArray();
  ResourceList->add(ResourceSpans);
  JsonObject Root = newObject();
  Root->set("resourceSpans", ResourceList);
  return toText(Root);
}

SpanExporter::SpanExporter(std::string Service,
                           std::optional<Endpoint> Collector)
    : m_service(std::move(Service)), m_collector(std::move(Collector)) {
  if (m_collector)
    m_thread = std::thread([this] { run(); });
}

SpanExporter::~SpanExporter() {
  {
    const std::lock_guard Lock(m_mutex);
    m_isStopping = true;
  }
  m_stopSignal.notify_all();
  if (m_thread.joinable())
    m_thread.join();
}

void SpanExporter::record(Span Done) {
  if (!m_collector || !Done.m_context.m_isSampled)
    return;
  const std::lock_guard Lock(m_mutex);
  if (m_queue.size() >= MaxQueuedSpans)
    ++m_dropped;
  else
    m_queue.push_back(std::move(Done));
}

std::uint64_t SpanExporter::dropped() const {
  const std::lock_guard Lock(m_mutex);
  return m_dropped;
}

void SpanExporter::run() {
  bool IsLast = false;
  while (!IsLast) {
    std::vector<Span> Batch;
    {
      std::unique_lock Lock(m_mutex);
      m_stopSignal.wait_for(Lock, GatherTime, [this] { return m_isStopping; });
      IsLast = m_isStopping && m_queue.size() <= SpansPerPost;
      while (!m_queue.empty() && Batch.size() < SpansPerPost) {
        Batch.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
      }
    }
    if (!Batch.empty())
      exportBatch(Batch);
  }
}

void SpanExporter::exportBatch(const std::vector<Span> &Spans) {
  HttpConnection Connection(*m_collector);
  if (!attempt([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(Connection.connect(PostTimeout));
        return true;
      }))
    return;
  HttpRequest Request;
  Request.m_method = "POST";
  Request.m_path = "/v1/traces";
  Request.m_headers.emplace_back("Content-Type", "application/json");
  Request.m_body = toOtlpJson(m_service, Spans);
  Connection.call(Request, PostTimeout);
}

} // namespace catkinseam
