// Binary and JSON encoding of the platform's keyed log service.
#include "catkinseam/platform/http_keyed_log.h"

#include "catkinseam/platform/boost_json.h"
#include "catkinseam/telemetry/log.h"

#include <boost/beast/core/detail/base64.hpp>
#include <cctype>

namespace catkinseam {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t OffsetBytes = 8;
/// Maximum size of the reply to one read, in KB.
constexpr const char *MaxReadKb = "512";
constexpr std::size_t MaxLoggedReplyBytes = 120;

const char *topicName(LogTopic Topic) {
  switch (Topic) {
  case LogTopic::Jobs:
    return "keyed.jobs";
  case LogTopic::Progress:
    return "keyed.progress";
  case LogTopic::Operator:
    return "keyed.op";
  case LogTopic::Workers:
    return "keyed.servers";
  case LogTopic::Status:
    return "keyed.status";
  case LogTopic::Learned:
    return "keyed.learned";
  }
  return "";
}

std::string streamQuery(LogTopic Topic) {
  return std::string("topic=") + topicName(Topic) + "&part=0";
}

void appendBigEndian(std::string &Target, std::uint64_t Value,
                     std::size_t Bytes) {
  for (std::size_t Each = Bytes; Each-- > 0;)
    Target.push_back(static_cast<char>((Value >> (8 * Each)) & 0xff));
}

std::uint64_t readBigEndian(const std::string &Bytes, std::size_t At,
                            std::size_t Count) {
  std::uint64_t Value = 0;
  for (std::size_t Each = 0; Each < Count; ++Each)
    Value = Value << 8 | static_cast<unsigned char>(Bytes[At + Each]);
  return Value;
}

/// Encodes each record as the number of bytes that follow, in 4 bytes, and the
/// record as decodeRecord() reads it.
std::string encodeRecords(const std::vector<KeyedRecord> &Records) {
  std::string Body;
  for (const KeyedRecord &Each : Records) {
    const std::size_t ValueBytes = Each.m_value ? Each.m_value->size() : 0;
    appendBigEndian(Body, 1 + Each.m_key.size() + ValueBytes, LengthBytes);
    Body.push_back(static_cast<char>(Each.m_key.size()));
    Body += Each.m_key;
    if (Each.m_value)
      Body += *Each.m_value;
  }
  return Body;
}

/// Decodes a record: a byte with the key's length, the key, and the value. A
/// record without a value deletes its key. Returns false when the record is too
/// short.
bool decodeRecord(const std::string &Bytes, std::size_t At, std::size_t Size,
                  KeyedRecord &Read) {
  if (Size < 1)
    return false;
  const std::size_t KeyBytes = static_cast<unsigned char>(Bytes[At]);
  if (Size < 1 + KeyBytes)
    return false;
  Read.m_key = Bytes.substr(At + 1, KeyBytes);
  if (Size > 1 + KeyBytes)
    Read.m_value = Bytes.substr(At + 1 + KeyBytes, Size - 1 - KeyBytes);
  return true;
}

LogOutcome logOutcomeOf(const HttpReply &Reply) {
  if (Reply.m_outcome == CallOutcome::NotSent)
    return LogOutcome::Refused;
  if (Reply.m_outcome == CallOutcome::NoResponse)
    return LogOutcome::Unknown;
  switch (Reply.m_status) {
  case 200:
    return LogOutcome::Done;
  case 410:
    return LogOutcome::HistoryDeleted;
  case 400:
  case 413:
    return LogOutcome::Invalid;
  default:
    return LogOutcome::Refused;
  }
}

AppendReply decodeAppendReply(const HttpReply &Reply) {
  AppendReply Read;
  Read.m_outcome = logOutcomeOf(Reply);
  if (Reply.m_outcome != CallOutcome::Answered)
    return Read;
  if (Read.m_outcome == LogOutcome::Invalid) {
    Read.m_status = Reply.m_status;
    Read.m_reply = Reply.m_body.substr(0, MaxLoggedReplyBytes);
  }
  auto Body = attempt([&] { return parseJsonBody(Reply.m_body); });
  if (Reply.m_status == 409) {
    std::string Reason;
    if (Body) {
      auto Text = attempt([&] { return stringMember(Body.value(), "reason"); });
      Reason = Text ? Text.value() : "";
    }
    Read.m_outcome =
        Reason == "seq" ? LogOutcome::OutOfOrder : LogOutcome::Fenced;
  } else if (Read.m_outcome == LogOutcome::Done && Body) {
    auto Offset =
        attempt([&] { return integerMember(Body.value(), "offset"); });
    Read.m_offset = Offset ? Offset.value() : 0;
  }
  return Read;
}

ReadReply decodeReadReply(const HttpReply &Reply, std::int64_t From) {
  ReadReply Read;
  Read.m_outcome = logOutcomeOf(Reply);
  Read.m_nextOffset = From;
  if (Read.m_outcome != LogOutcome::Done)
    return Read;
  // The reply starts with the end offset and 8 bytes that are not used here.
  const std::string &Bytes = Reply.m_body;
  if (Bytes.size() < 2 * OffsetBytes) {
    Read.m_outcome = LogOutcome::Unknown;
    return Read;
  }
  Read.m_endOffset =
      static_cast<std::int64_t>(readBigEndian(Bytes, 0, OffsetBytes));
  std::size_t At = 2 * OffsetBytes;
  while (At + LengthBytes <= Bytes.size()) {
    const std::size_t Size = readBigEndian(Bytes, At, LengthBytes);
    At += LengthBytes;
    if (At + Size > Bytes.size())
      break;
    StoredRecord Each;
    Each.m_offset = Read.m_nextOffset++;
    if (decodeRecord(Bytes, At, Size, Each.m_record))
      Read.m_records.push_back(std::move(Each));
    else
      logWarn("store.record_unreadable",
              {{"offset", std::to_string(Each.m_offset)}});
    At += Size;
  }
  return Read;
}

std::string fromBase64(const boost::json::string &Text) {
  namespace base64 = boost::beast::detail::base64;
  std::string Bytes(base64::decoded_size(Text.size()), '\0');
  Bytes.resize(base64::decode(Bytes.data(), Text.data(), Text.size()).first);
  return Bytes;
}

NewestReply decodeNewestReply(const HttpReply &Reply) {
  NewestReply Read;
  Read.m_outcome = logOutcomeOf(Reply);
  if (Read.m_outcome != LogOutcome::Done)
    return Read;
  auto Parsed = attempt([&] { return parseJsonBody(Reply.m_body); });
  const JsonValue *Items =
      Parsed ? findMember(Parsed.value(), "items") : nullptr;
  if (!Items || !Items->is_array()) {
    Read.m_outcome = LogOutcome::Unknown;
    return Read;
  }
  for (const JsonValue &Item : Items->get_array()) {
    auto Key = attempt([&] { return stringMember(Item, "key"); });
    auto Offset = attempt([&] { return integerMember(Item, "offset"); });
    const JsonValue *Value = findMember(Item, "value");
    if (!Key || !Offset || !Value || !Value->is_string()) {
      logWarn("store.item_unreadable", {{"key", Key ? Key.value() : ""}});
      continue;
    }
    Read.m_records.push_back(
        {Offset.value(), {Key.value(), fromBase64(Value->get_string())}});
  }
  auto More = attempt([&] { return boolMember(Parsed.value(), "hasMore"); });
  auto End =
      attempt([&] { return integerMember(Parsed.value(), "endOffset"); });
  Read.m_hasMore = More && More.value();
  Read.m_endOffset = End ? End.value() : 0;
  return Read;
}

std::string percentEncoded(const std::string &Text) {
  static const char *const HexDigits = "0123456789ABCDEF";
  std::string Encoded;
  for (const char Character : Text) {
    const auto Byte = static_cast<unsigned char>(Character);
    if (std::isalnum(Byte)) {
      Encoded.push_back(Character);
      continue;
    }
    Encoded += {'%', HexDigits[Byte >> 4], HexDigits[Byte & 15]};
  }
  return Encoded;
}

} // namespace

HttpKeyedLog::HttpKeyedLog(EventLoop &Loop, const Endpoint &Address,
                           const Options &Limits)
    : m_appendClient(Loop, Address,
                     {.m_maxConnections = Limits.m_connections,
                      .m_mayConflictPrecedeBody = true}),
      m_readClient(Loop, Address, {.m_maxConnections = Limits.m_connections}) {}

void HttpKeyedLog::append(LogTopic Topic,
                          const std::vector<KeyedRecord> &Records,
                          const std::optional<AppendId> &Id,
                          Milliseconds Timeout,
                          std::function<void(const AppendReply &)> Done) {
  HttpCall Call{.m_method = "POST",
                .m_target = "/api/log-append?" + streamQuery(Topic),
                .m_headers = {},
                .m_body = encodeRecords(Records),
                .m_timeout = Timeout};
  if (Id)
    Call.m_target += "&producer=" + Id->m_producer +
                     "&epoch=" + std::to_string(Id->m_epoch) +
                     "&sequence=" + std::to_string(Id->m_sequence);
  m_appendClient.call(std::move(Call),
                      [Done = std::move(Done)](const HttpReply &Reply) {
                        Done(decodeAppendReply(Reply));
                      });
}

void HttpKeyedLog::read(LogTopic Topic, std::int64_t From, Milliseconds Wait,
                        Milliseconds Timeout,
                        std::function<void(const ReadReply &)> Done) {
  HttpCall Call;
  Call.m_target = "/api/log-read?" + streamQuery(Topic) +
                  "&from=" + std::to_string(From) + "&maxKb=" + MaxReadKb +
                  "&waitMs=" + std::to_string(Wait.count());
  Call.m_timeout = Timeout;
  m_readClient.call(std::move(Call),
                    [From, Done = std::move(Done)](const HttpReply &Reply) {
                      Done(decodeReadReply(Reply, From));
                    });
}

void HttpKeyedLog::newest(LogTopic Topic, const std::string &AfterKey,
                          Milliseconds Timeout,
                          std::function<void(const NewestReply &)> Done) {
  HttpCall Call;
  Call.m_target = "/api/log-newest?" + streamQuery(Topic);
  if (!AfterKey.empty())
    Call.m_target += "&after=" + percentEncoded(AfterKey);
  Call.m_timeout = Timeout;
  m_readClient.call(std::move(Call),
                    [Done = std::move(Done)](const HttpReply &Reply) {
                      Done(decodeNewestReply(Reply));
                    });
}

} // namespace catkinseam
