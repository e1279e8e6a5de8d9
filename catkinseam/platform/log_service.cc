// Adapter of the log service's HTTP form.
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
  explicit HttpLog(const Endpoint &Where) : m_where(Where) {}

  Result<LogPage> read(std::uint64_t From, std::size_t MaxEntries,
                       Duration Wait, Duration Timeout) override {
    HttpRequest Request;
    Request.m_path = RecordsPath;
    Request.m_query =
        "from=" + std::to_string(From) + "&max=" + std::to_string(MaxEntries) +
        "&wait_ms=" + std::to_string(toMilliseconds(Wait).count());
    const CallResult Answer = m_client.call(m_where, Request, Wait + Timeout);
    if (!Answer.m_response || Answer.m_response->m_status != 200)
      return makeError(ErrorCode::Unavailable,
                       "log cannot be read: " + describe(Answer));
    BOOST_LEAF_AUTO(Body, parseJsonObject(Answer.m_response->m_body));
    return toPage(Body);
  }

  Result<std::uint64_t> append(const std::string &Bytes,
                               Duration Timeout) override {
    HttpRequest Request;
    Request.m_method = "POST";
    Request.m_path = RecordsPath;
    Request.m_headers.emplace_back("Content-Type", "application/octet-stream");
    Request.m_body = Bytes;
    const CallResult Answer = m_client.call(m_where, Request, Timeout);
    if (Answer.m_failure == CallFailure::NotSent)
      return makeError(ErrorCode::Unavailable,
                       "log cannot be reached: " + Answer.m_reason);
    if (!Answer.m_response || Answer.m_response->m_status != 200)
      return makeError(ErrorCode::OutcomeUnknown,
                       "log append is in doubt: " + describe(Answer));
    BOOST_LEAF_AUTO(Body, parseJsonObject(Answer.m_response->m_body));
    return static_cast<std::uint64_t>(jsonNumber(Body, "offset"));
  }

private:
  static std::string describe(const CallResult &Answer) {
    return Answer.m_response
               ? "status " + std::to_string(Answer.m_response->m_status)
               : Answer.m_reason;
  }

  static LogPage toPage(const JsonObject &Body) {
    LogPage Page;
    Page.m_first = static_cast<std::uint64_t>(jsonNumber(Body, "first"));
    Page.m_end = static_cast<std::uint64_t>(jsonNumber(Body, "end"));
    const JsonArray Records = jsonArray(Body, "records");
    for (std::size_t Index = 0; Index < Records->size(); ++Index) {
      const JsonObject Item = Records->getObject(static_cast<unsigned>(Index));
      LogEntry Entry;
      Entry.m_offset = static_cast<std::uint64_t>(jsonNumber(Item, "offset"));
      Entry.m_bytes = fromBase64(jsonText(Item, "data"));
      Page.m_entries.push_back(std::move(Entry));
    }
    return Page;
  }

  Endpoint m_where;
  HttpClient m_client;
};

} // namespace

std::unique_ptr<LogService> makeHttpLog(const Endpoint &Where) {
  return std::make_unique<HttpLog>(Where);
}

} // namespace catkinseam
