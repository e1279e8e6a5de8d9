// HTTP client and handler for relayed records.
#include "catkinseam/node/record_relay.h"

#include "catkinseam/base/codec.h"

#include <algorithm>
#include <charconv>

namespace catkinseam {

namespace {

const char *const RelayPath = "/records";
const char *const TimeoutParameter = "timeout_ms";
constexpr int StatusStored = 200;
constexpr int StatusMalformed = 400;
constexpr int StatusNotStored = 503;
constexpr int StatusUnknown = 504;
/// Part of the timeout reserved for delivering the reply.
constexpr Milliseconds ReplyMargin{20};
/// Longest timeout that a caller may ask for.
constexpr Milliseconds MaxTimeout{60000};

using RelayedRecords = std::vector<std::pair<std::string, std::string>>;

RecordRelay::Reply decodeReply(const HttpReply &Reply) {
  using Delivery = RecordRelay::Delivery;
  if (Reply.m_outcome == CallOutcome::NotSent)
    return {Delivery::NotSent, LogOutcome::Unknown};
  if (Reply.m_outcome == CallOutcome::NoResponse)
    return {Delivery::NoReply, LogOutcome::Unknown};
  switch (Reply.m_status) {
  case StatusStored:
    return {Delivery::Answered, LogOutcome::Done};
  case StatusNotStored:
  case StatusMalformed:
    return {Delivery::Answered, LogOutcome::Refused};
  default:
    return {Delivery::Answered, LogOutcome::Unknown};
  }
}

bool isRelayable(const std::string &Key) {
  std::string Job;
  const RecordKind Kind = parseRecordKey(Key, Job);
  return Kind == RecordKind::Submission || Kind == RecordKind::Cancel;
}

Milliseconds timeoutOf(const HttpRequest &Request) {
  const std::string Text = Request.queryValue(TimeoutParameter);
  std::int64_t Count = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Count);
  return std::clamp(Milliseconds(Count), Milliseconds(0), MaxTimeout);
}

} // namespace

AsyncHttpClient &HttpRecordRelay::clientFor(const Endpoint &Peer) {
  std::erase_if(m_earlierClients,
                [](const auto &Each) { return Each->isIdle(); });
  if (m_client && m_client->server() == Peer)
    return *m_client;
  // A client that is destroyed drops its handlers, and the callers of the calls
  // in flight would wait for ever.
  if (m_client && !m_client->isIdle())
    m_earlierClients.push_back(std::move(m_client));
  m_client = std::make_unique<AsyncHttpClient>(m_loop, Peer,
                                               AsyncHttpClient::Options{});
  return *m_client;
}

void HttpRecordRelay::append(const Endpoint &Peer,
                             const std::vector<KeyedRecord> &Records,
                             Milliseconds Timeout,
                             std::function<void(const Reply &)> Done) {
  AsyncHttpClient &Client = clientFor(Peer);
  RelayedRecords Body;
  for (const KeyedRecord &Each : Records)
    Body.emplace_back(Each.m_key, Each.m_value.value_or(""));
  const Milliseconds Budget = std::max(Timeout - ReplyMargin, ReplyMargin);
  Client.call({.m_method = "POST",
               .m_target = std::string(RelayPath) + "?" + TimeoutParameter +
                           "=" + std::to_string(Budget.count()),
               .m_headers = {},
               .m_body = encode(Body),
               .m_timeout = Timeout},
              [Done = std::move(Done)](const HttpReply &Answer) {
                Done(decodeReply(Answer));
              });
}

void handleRelayedRecords(const HttpRequest &Request,
                          const HttpResponder &Respond, JobService &Service) {
  if (Request.m_path != RelayPath || Request.m_method != "POST")
    return Respond({404, {}, ""});
  auto Body = attempt([&] { return decode<RelayedRecords>(Request.m_body); });
  if (!Body)
    return Respond({StatusMalformed, {}, Body.error().m_message});
  std::vector<KeyedRecord> Records;
  for (auto &[Key, Value] : Body.value()) {
    if (!isRelayable(Key))
      return Respond(
          {StatusMalformed, {}, "key \"" + Key + "\" is not relayed"});
    Records.push_back({std::move(Key), std::move(Value)});
  }
  Service.appendForPeer(
      std::move(Records), timeoutOf(Request), [Respond](LogOutcome Outcome) {
        const int Status = Outcome == LogOutcome::Done      ? StatusStored
                           : Outcome == LogOutcome::Unknown ? StatusUnknown
                                                            : StatusNotStored;
        Respond({Status, {}, ""});
      });
}

} // namespace catkinseam
