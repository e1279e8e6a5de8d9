// HTTP API of one worker, and cuts of its connections.
//
//   WorkerApi Api(Loop, Worker);
//   Api.setCut(WorkerApi::Cut::Replies);   // carries out, answers nothing
//   Api.onCall(Request, Respond);
#ifndef CATKINSEAM_STANDIN_WORKER_API_H
#define CATKINSEAM_STANDIN_WORKER_API_H

#include "catkinseam/ownership/testing/fake_worker.h"
#include "catkinseam/platform/boost_json.h"
#include "standin/held_responses.h"

#include <memory>
#include <utility>
#include <vector>

namespace catkinseam {

class WorkerApi {
public:
  enum class Cut {
    None,
    Calls,   ///< Calls are neither carried out nor answered.
    Replies, ///< Calls are carried out and not answered.
    Delayed  ///< Calls are kept for resumeCalls().
  };

  WorkerApi(Runtime &Host, FakeWorker &Worker);

  /// Serves the worker's present incarnation from now on. Calls in progress get
  /// no response.
  void restart();

  /// Applies to calls in progress too.
  void setCut(Cut How) { m_cut = How; }

  /// Start of the present incarnation, in milliseconds since 1970.
  std::int64_t startedMs() const { return m_startedMs; }

  void onCall(const HttpRequest &Request, const HttpResponder &Respond);

  /// Carries out the calls that were kept, as calls to the present incarnation.
  void resumeCalls();

private:
  void poll(const JsonValue &Body, std::uint64_t Token,
            const HttpResponder &Respond);
  void respond(const HttpResponder &Respond, OrderOutcome Outcome,
               const HttpResponse &Response);

  Runtime &m_host;
  FakeWorker &m_worker;
  HeldResponses m_held;
  std::unique_ptr<WorkerLink> m_link;
  std::int64_t m_startedMs = 0;
  Cut m_cut = Cut::None;
  std::vector<std::pair<HttpRequest, HttpResponder>> m_keptCalls;
};

} // namespace catkinseam

#endif // CATKINSEAM_STANDIN_WORKER_API_H
