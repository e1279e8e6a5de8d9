// JSON responses of the stand-in.
//
//   Respond(jsonAnswer(409, {{"reason", "fence"}}));
#ifndef CATKINSEAM_STANDIN_HTTP_ANSWER_H
#define CATKINSEAM_STANDIN_HTTP_ANSWER_H

#include "catkinseam/net/http.h"

#include <boost/json/serialize.hpp>

namespace catkinseam {

inline HttpResponse jsonAnswer(int Status, const boost::json::value &Body) {
  return jsonResponse(Status, boost::json::serialize(Body));
}

} // namespace catkinseam

#endif // CATKINSEAM_STANDIN_HTTP_ANSWER_H
