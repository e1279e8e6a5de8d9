// HTTP client for the platform's keyed log service.
//
//   HttpKeyedLog Store(Loop, Address, {});
//   Store.append(LogTopic::Jobs, {{"j1", "..."}}, {}, Milliseconds(700),
//                [](const AppendReply &Reply) { ... });
#ifndef CATKINSEAM_PLATFORM_HTTP_KEYED_LOG_H
#define CATKINSEAM_PLATFORM_HTTP_KEYED_LOG_H

#include "catkinseam/aio/async_http_client.h"
#include "catkinseam/ledger/keyed_log.h"

namespace catkinseam {

/// Not thread-safe.
class HttpKeyedLog final : public KeyedLog {
public:
  struct Options {
    /// Maximum connections for appends, and as many again for reads.
    std::size_t m_connections = 8;
  };

  HttpKeyedLog(EventLoop &Loop, const Endpoint &Address, const Options &Limits);

  void append(LogTopic Topic, const std::vector<KeyedRecord> &Records,
              const std::optional<AppendId> &Id, Milliseconds Timeout,
              std::function<void(const AppendReply &)> Done) override;
  void read(LogTopic Topic, std::int64_t From, Milliseconds Wait,
            Milliseconds Timeout,
            std::function<void(const ReadReply &)> Done) override;
  void newest(LogTopic Topic, const std::string &AfterKey, Milliseconds Timeout,
              std::function<void(const NewestReply &)> Done) override;

private:
  AsyncHttpClient m_appendClient;
  AsyncHttpClient m_readClient;
};

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_HTTP_KEYED_LOG_H
