// Trace context parsing and OTLP JSON export.
#include "catkinseam/telemetry/trace.h"

#include "catkinseam/base/hash.h"
#include "catkinseam/net/http_client.h"
#include "catkinseam/platform/json.h"

namespace catkinseam {

namespace {

constexpr std::size_t TraceIdLength = 32;
constexpr std::size_t SpanIdLength = 16;
constexpr std::size_t TraceparentLength = 55;
constexpr std::size_t MaxSpansPerExport = 256;
constexpr Duration ExportTimeout = std::chrono::seconds(2);
constexpr Duration BatchingWindow = std::chrono::milliseconds(200);
constexpr int OtlpSpanKindServer = 2;

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

JsonObject toJson(const Span &FinishedSpan) {
  const std::chrono::nanoseconds Start =
      FinishedSpan.m_start.time_since_epoch();
  JsonObject Item = newObject();
  Item->set("traceId", FinishedSpan.m_context.m_traceId);
  Item->set("spanId", FinishedSpan.m_context.m_spanId);
  if (!FinishedSpan.m_context.m_parentSpanId.empty())
    Item->set("parentSpanId", FinishedSpan.m_context.m_parentSpanId);
  Item->set("name", FinishedSpan.m_name);
  Item->set("kind", OtlpSpanKindServer);
  Item->set("startTimeUnixNano", std::to_string(Start.count()));
  Item->set("endTimeUnixNano",
            std::to_string((Start + FinishedSpan.m_duration).count()));
  JsonArray Attributes = newArray();
  for (const auto &[Key, Value] : FinishedSpan.m_attributes)
    Attributes->add(stringAttribute(Key, Value));
  Item->set("attributes", Attributes);
  return Item;
}

} // namespace

std::optional<TraceContext> parseTraceparent(const std::string &Header) {
  const bool IsWellFormed = Header.size() >= TraceparentLength &&
                            Header[2] == '-' && Header[35] == '-' &&
                            Header[52] == '-';
  if (!IsWellFormed)
    return std::nullopt;
  TraceContext Context;
  Context.m_traceId = Header.substr(3, TraceIdLength);
  Context.m_spanId = Header.substr(36, SpanIdLength);
  const std::string Flags = Header.substr(53, 2);
  const bool IsValid = isHex(Context.m_traceId) && isHex(Context.m_spanId) &&
                       isHex(Flags) && !isAllZero(Context.m_traceId) &&
                       !isAllZero(Context.m_spanId) &&
                       Header.substr(0, 2) != "ff";
  if (!IsValid)
    return std::nullopt;
  constexpr int SampledFlag = 1;
  Context.m_isSampled = (std::stoi(Flags, nullptr, 16) & SampledFlag) != 0;
  return Context;
}

TraceContext newChildContext(const std::optional<TraceContext> &Parent,
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
  for (const Span &FinishedSpan : Spans)
    Items->add(toJson(FinishedSpan));
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

void SpanExporter::record(Span FinishedSpan) {
  if (!m_collector || !FinishedSpan.m_context.m_isSampled)
    return;
  const std::lock_guard Lock(m_mutex);
  if (m_queue.size() >= MaxQueuedSpans)
    ++m_dropped;
  else
    m_queue.push_back(std::move(FinishedSpan));
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
      m_stopSignal.wait_for(Lock, BatchingWindow,
                            [this] { return m_isStopping; });
      IsLast = m_isStopping && m_queue.size() <= MaxSpansPerExport;
      while (!m_queue.empty() && Batch.size() < MaxSpansPerExport) {
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
        BOOST_LEAF_CHECK(Connection.connect(ExportTimeout));
        return true;
      }))
    return;
  HttpRequest Request;
  Request.m_method = "POST";
  Request.m_path = "/v1/traces";
  Request.m_headers.emplace_back("Content-Type", "application/json");
  Request.m_body = toOtlpJson(m_service, Spans);
  Connection.call(Request, ExportTimeout);
}

} // namespace catkinseam
