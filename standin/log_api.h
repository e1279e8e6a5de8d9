// HTTP API of the platform's log service, on an in-memory log.
//
//   LogApi Api(Loop, Log);
//   Api.onCall(Request, Respond);
#ifndef CATKINSEAM_STANDIN_LOG_API_H
#define CATKINSEAM_STANDIN_LOG_API_H

#include "catkinseam/ownership/testing/fake_log.h"
#include "standin/held_responses.h"

namespace catkinseam {

class LogApi {
public:
  LogApi(Runtime &Host, FakeLog &Log) : m_held(Host), m_view(Log) {}

  void onCall(const HttpRequest &Request, const HttpResponder &Respond);

private:
  void append(LogTopic Topic, const HttpRequest &Request,
              const HttpResponder &Respond);
  void read(LogTopic Topic, const HttpRequest &Request,
            const HttpResponder &Respond);
  void newest(LogTopic Topic, const HttpRequest &Request,
              const HttpResponder &Respond);

  HeldResponses m_held;
  FakeLog::View m_view;
};

} // namespace catkinseam

#endif // CATKINSEAM_STANDIN_LOG_API_H
