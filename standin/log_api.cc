// HTTP API of the log service.
#include "standin/log_api.h"

#include "standin/http_answer.h"

#include <boost/beast/core/detail/base64.hpp>

namespace catkinseam {

namespace {

namespace json = boost::json;

/// Time after which the log itself considers an append's reply lost.
constexpr Milliseconds CallTimeout{1000};

bool topicOf(const std::string &Name, LogTopic &Topic) {
  static const std::map<std::string, LogTopic> Names = {
      {"keyed.jobs", LogTopic::Jobs},
      {"keyed.progress", LogTopic::Progress},
      {"keyed.learned", LogTopic::Learned},
      {"keyed.op", LogTopic::Operator},
      {"keyed.servers", LogTopic::Workers},
      {"keyed.status", LogTopic::Status}};
  const auto Found = Names.find(Name);
  if (Found == Names.end())
    return false;
  Topic = Found->second;
  return true;
}

std::uint64_t bigEndian(const std::string &Bytes, std::size_t At,
                        std::size_t Count) {
  std::uint64_t Value = 0;
  for (std::size_t Each = 0; Each < Count; ++Each)
    Value = Value << 8 | static_cast<unsigned char>(Bytes[At + Each]);
  return Value;
}

void appendBigEndian(std::string &Target, std::uint64_t Value,
                     std::size_t Count) {
  for (std::size_t Each = Count; Each-- > 0;)
    Target.push_back(static_cast<char>((Value >> (8 * Each)) & 0xff));
}

std::string frame(const KeyedRecord &Record) {
  std::string Content(1, static_cast<char>(Record.m_key.size()));
  Content.append(Record.m_key).append(Record.m_value.value_or(""));
  std::string Framed;
  appendBigEndian(Framed, Content.size(), 4);
  return Framed.append(Content);
}

std::vector<KeyedRecord> unframe(const std::string &Body) {
  std::vector<KeyedRecord> Records;
  for (std::size_t At = 0; At + 5 <= Body.size();) {
    const std::size_t Size = bigEndian(Body, At, 4);
    const std::size_t KeySize = static_cast<unsigned char>(Body[At + 4]);
    KeyedRecord Each;
    Each.m_key = Body.substr(At + 5, KeySize);
    if (Size > 1 + KeySize)
      Each.m_value = Body.substr(At + 5 + KeySize, Size - 1 - KeySize);
    Records.push_back(std::move(Each));
    At += 4 + Size;
  }
  return Records;
}

std::string toBase64(const std::string &Bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string Text(base64::encoded_size(Bytes.size()), '\0');
  Text.resize(base64::encode(Text.data(), Bytes.data(), Bytes.size()));
  return Text;
}

std::int64_t numberOf(const HttpRequest &Request, const char *Name) {
  return std::stoll(Request.queryValue(Name, "0"));
}

HttpResponse appendAnswer(const AppendReply &Reply) {
  switch (Reply.m_outcome) {
  case LogOutcome::Done:
    return jsonAnswer(200, {{"offset", Reply.m_offset}});
  case LogOutcome::Fenced:
    return jsonAnswer(409, {{"reason", "fenced"}});
  case LogOutcome::OutOfOrder:
    return jsonAnswer(409, {{"reason", "seq"}});
  case LogOutcome::Invalid:
    return {413, {}, ""};
  default:
    return {503, {}, ""};
  }
}

} // namespace

void LogApi::onCall(const HttpRequest &Request, const HttpResponder &Respond) {
  LogTopic Topic = LogTopic::Jobs;
  if (!topicOf(Request.queryValue("topic"), Topic))
    return Respond({404, {}, ""});
  if (Request.m_path == "/api/log-append")
    return append(Topic, Request, Respond);
  if (Request.m_path == "/api/log-read")
    return read(Topic, Request, Respond);
  if (Request.m_path == "/api/log-newest")
    return newest(Topic, Request, Respond);
  Respond({404, {}, ""});
}

void LogApi::append(LogTopic Topic, const HttpRequest &Request,
                    const HttpResponder &Respond) {
  std::optional<AppendId> Id;
  if (const std::string Name = Request.queryValue("producer"); !Name.empty())
    Id = AppendId{Name, static_cast<std::uint64_t>(numberOf(Request, "epoch")),
                  static_cast<std::uint64_t>(numberOf(Request, "sequence"))};
  m_view.append(Topic, unframe(Request.m_body), Id, CallTimeout,
                [this, Respond](const AppendReply &Reply) {
                  if (Reply.m_outcome == LogOutcome::Unknown)
                    return m_held.hold(Respond);
                  Respond(appendAnswer(Reply));
                });
}

void LogApi::read(LogTopic Topic, const HttpRequest &Request,
                  const HttpResponder &Respond) {
  const auto MaxBytes = static_cast<std::size_t>(
      1024 * std::stoll(Request.queryValue("maxKb", "1024")));
  m_view.read(
      Topic, numberOf(Request, "from"),
      Milliseconds(numberOf(Request, "waitMs")), CallTimeout,
      [Respond, MaxBytes](const ReadReply &Reply) {
        if (Reply.m_outcome == LogOutcome::HistoryDeleted)
          return Respond(jsonAnswer(410, {{"earliest", Reply.m_endOffset}}));
        std::string Body;
        appendBigEndian(Body, static_cast<std::uint64_t>(Reply.m_endOffset), 8);
        appendBigEndian(Body, 0, 8);
        for (const StoredRecord &Each : Reply.m_records)
          if (Body.size() < MaxBytes)
            Body.append(frame(Each.m_record));
        Respond({200, {}, Body});
      });
}

void LogApi::newest(LogTopic Topic, const HttpRequest &Request,
                    const HttpResponder &Respond) {
  m_view.newest(
      Topic, Request.queryValue("after"), CallTimeout,
      [Respond](const NewestReply &Reply) {
        json::array Items;
        for (const StoredRecord &Each : Reply.m_records)
          Items.push_back(
              {{"key", Each.m_record.m_key},
               {"value", toBase64(Each.m_record.m_value.value_or(""))},
               {"offset", Each.m_offset}});
        Respond(jsonAnswer(200, {{"items", Items},
                                 {"hasMore", Reply.m_hasMore},
                                 {"endOffset", Reply.m_endOffset}}));
      });
}

} // namespace catkinseam
