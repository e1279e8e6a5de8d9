// HTTP client for the workers' task interface.
#include "catkinseam/platform/worker_service.h"

#include "catkinseam/net/http_client.h"
#include "catkinseam/platform/worker_wire.h"

namespace catkinseam {

namespace {

class HttpWorkerService final : public WorkerService {
public:
  Result<WorkerStatus> sync(const Endpoint &Address,
                            const WorkerCommands &Commands,
                            Duration Timeout) override {
    HttpRequest Request;
    Request.m_method = "POST";
    Request.m_path = "/tasks/sync";
    Request.m_headers.emplace_back("Content-Type", "application/json");
    Request.m_body = commandsToJson(Commands);
    const CallResult Response = m_client.call(Address, Request, Timeout);
    if (Response.m_failure == CallFailure::NotSent)
      return makeError(ErrorCode::Unavailable, Response.m_reason);
    if (!Response.m_response || Response.m_response->m_status != 200)
      return makeError(ErrorCode::OutcomeUnknown,
                       "worker at " + toString(Address) +
                           " returned no status: " + Response.m_reason);
    return statusFromJson(Response.m_response->m_body);
  }

private:
  HttpClient m_client;
};

} // namespace

std::unique_ptr<WorkerService> makeHttpWorkerService() {
  return std::make_unique<HttpWorkerService>();
}

} // namespace catkinseam
