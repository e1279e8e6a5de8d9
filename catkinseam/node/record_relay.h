// The protocol by which nodes relay records to the owner's node: a POST whose
// body is a cereal-encoded list of keys and values.
//
//   HttpRecordRelay Relay(Loop);
//   Relay.append(Owner, Records, Milliseconds(900), Done);
//
//   handleRelayedRecords(Request, Respond, Service);   // on the owner's node
#ifndef CATKINSEAM_NODE_RECORD_RELAY_H
#define CATKINSEAM_NODE_RECORD_RELAY_H

#include "catkinseam/aio/async_http_client.h"
#include "catkinseam/aio/http_listener.h"
#include "catkinseam/front/job_service.h"
#include "catkinseam/front/relayed_log.h"

#include <memory>
#include <vector>

namespace catkinseam {

/// Not thread-safe.
class HttpRecordRelay final : public RecordRelay {
public:
  explicit HttpRecordRelay(EventLoop &Loop) : m_loop(Loop) {}

  void append(const Endpoint &Peer, const std::vector<KeyedRecord> &Records,
              Milliseconds Timeout,
              std::function<void(const Reply &)> Done) override;

private:
  AsyncHttpClient &clientFor(const Endpoint &Peer);

  EventLoop &m_loop;
  /// Connections to the last peer, and to earlier ones that have not replied to
  /// all calls.
  std::unique_ptr<AsyncHttpClient> m_client;
  std::vector<std::unique_ptr<AsyncHttpClient>> m_earlierClients;
};

/// Stores the records of a relayed request. Refuses all but submissions and
/// cancellations: other records are written by owners only.
void handleRelayedRecords(const HttpRequest &Request,
                          const HttpResponder &Respond, JobService &Service);

} // namespace catkinseam

#endif // CATKINSEAM_NODE_RECORD_RELAY_H
