// Adapter of the workers' task interface over HTTP.
#include "catkinseam/platform/worker_service.h"

#include "catkinseam/net/http_client.h"
#include "catkinseam/platform/worker_wire.h"

namespace catkinseam {

namespace {

class HttpWorkerService final : public WorkerService {
public:
  Result<WorkerStatus> sync(const Endpoint &Where,
                            const WorkerCommands &Commands,
                            Duration Timeout) override {
    HttpRequest Request;
    Request.m_method = "POST";
    Request.m_path = "/tasks/sync";
    Request.m_headers.emplace_back("Content-Type", "application/json");
    Request.m_body = commandsToJson(Commands);
    const CallResult Answer = m_client.call(Where, Request, Timeout);
    if (Answer.m_failure == CallFailure::NotSent)
      return makeError(ErrorCode::Unavailable, Answer.m_reason);
    if (!Answer.m_response || Answer.m_response->m_status != 200)
      return makeError(ErrorCode::OutcomeUnknown,
                       "worker at " + toString(Where) +
                           " gave no status: " + Answer.m_reason);
    return statusFromJson(Answer.m_response->m_body);
  }

private:
  HttpClient m_client;
};

} // namespace

std::unique_ptr<WorkerService> makeHttpWorkerService() {
  return std::make_unique<HttpWorkerService>();
}

} // namespace catkinseam
