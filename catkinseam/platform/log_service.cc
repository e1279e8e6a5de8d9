// HTTP client for the log service.
#include "catkinseam/platform/log_service.h"

#include "catkinseam/net/http_client.h"
#include "catkinseam/platform/json.h"

#include <Poco/Base64Decoder.h>
#include <sstream>

namespace catkinseam {

namespace {

const char *const RecordsPath = "/streams/catkinseam/records";

std::string fromBase64(const std::string &Text) {
  std::istringstream Source(Text);
  Poco::Base64Decoder Decoder(Source);
  return {std::istreambuf_iterator<char>(Decoder),
          std::istreambuf_iterator<char>()};
}

class HttpLog final : public LogService {
public:
  explicit HttpLog(const Endpoint &Server) : m_server(Server) {}

  Result<LogPage> read(std::uint64_t From, std::size_t MaxEntries,
                       Duration Wait, Duration Timeout) override {
    HttpRequest Request;
    Request.m_path = RecordsPath;
    Request.m_query =
        "from=" + std::to_string(From) + "&max=" + std::to_string(MaxEntries) +
        "&wait_ms=" + std::to_string(toMilliseconds(Wait).count());
    const CallResult Response =
        m_client.call(m_server, Request, Wait + Timeout);
    if (!Response.m_response || Response.m_response->m_status != 200)
      return makeError(ErrorCode::Unavailable,
                       "cannot read the log: " + describe(Response));
    BOOST_LEAF_AUTO(Body, parseJsonObject(Response.m_response->m_body));
    return toPage(Body);
  }

  Result<std::uint64_t> append(const std::string &Bytes,
                               Duration Timeout) override {
    HttpRequest Request;
    Request.m_method = "POST";
    Request.m_path = RecordsPath;
    Request.m_headers.emplace_back("Content-Type", "application/octet-stream");
    Request.m_body = Bytes;
    const CallResult Response = m_client.call(m_server, Request, Timeout);
    if (Response.m_failure == CallFailure::NotSent)
      return makeError(ErrorCode::Unavailable,
                       "cannot connect to the log: " + Response.m_reason);
    if (!Response.m_response || Response.m_response->m_status != 200)
      return makeError(ErrorCode::OutcomeUnknown,
                       "log append has an unknown outcome: " +
                           describe(Response));
    BOOST_LEAF_AUTO(Body, parseJsonObject(Response.m_response->m_body));
    return static_cast<std::uint64_t>(jsonInteger(Body, "offset"));
  }

private:
  static std::string describe(const CallResult &Response) {
    return Response.m_response
               ? "status " + std::to_string(Response.m_response->m_status)
               : Response.m_reason;
  }

  static LogPage toPage(const JsonObject &Body) {
    LogPage Page;
    Page.m_first = static_cast<std::uint64_t>(jsonInteger(Body, "first"));
    Page.m_end = static_cast<std::uint64_t>(jsonInteger(Body, "end"));
    const JsonArray Records = jsonArray(Body, "records");
    for (std::size_t Index = 0; Index < Records->size(); ++Index) {
      const JsonObject Item = Records->getObject(static_cast<unsigned>(Index));
      LogEntry Entry;
      Entry.m_offset = static_cast<std::uint64_t>(jsonInteger(Item, "offset"));
      Entry.m_bytes = fromBase64(jsonString(Item, "data"));
      Page.m_entries.push_back(std::move(Entry));
    }
    return Page;
  }

  Endpoint m_server;
  HttpClient m_client;
};

} // namespace

std::unique_ptr<LogService> makeHttpLog(const Endpoint &Server) {
  return std::make_unique<HttpLog>(Server);
}

} // namespace catkinseam
