// The faults that can be injected into the stand-in platform, as JSON objects.
// The first member names the fault; times are in milliseconds.
//
//   auto Fault =
//       attempt([&] { return parseFault(R"({"store_down_ms":3000})"); });
//   Fault.value()(Platform);
//
// {"crash_worker":3,"down_ms":1500,"new_id":1}
//     Connections are closed, and refused until the worker starts again, with
//     new_id under another id. With "gone":1 in place of down_ms, it does not
//     start again.
// {"dark_worker":3,"down_ms":600,"how":"reset"}
//     Its runs end, its connections stay open and carry nothing, and it starts
//     again under its id. reset: the connections are closed then. keep: they
//     lead to the next incarnation, with what was sent meanwhile. lose: without
//     it, so that the calls in progress stay unanswered.
// {"cut_worker":3,"for_ms":4000,"how":"silent","reborn":0}
//     silent: takes calls, does and answers nothing. replies: carries calls out
//     and answers none. reset: connections are closed and refused. With reborn,
//     the worker crashes halfway and starts again at once.
// {"failing_worker":3,"for_ms":5000}
//     Each run that starts there fails at once.
// {"unlist_worker":3,"for_ms":3000}
//     Its registration is removed.
// {"drain_worker":3,"remaining_ms":3000,"down_ms":1000,"new_id":1}
//     It drains, leaves, and starts again.
// {"store_down_ms":3000,"how":"closed"}
//     The log service, for all nodes; `how` as for store_refuse.
// {"store_refuse":[1,3],"for_ms":4000,"how":"reset"}
//     The same for some nodes. reset: connections are accepted and reset.
//     closed: they are refused. busy: 503. many: 429. silent: calls get no
//     response. early: see RawListener::Kind::Early; "share":0.3 serves the
//     others.
// {"store_lost":0.3,"for_ms":4000,"late":0}
//     This share of appends is carried out without a response, with late after
//     1 to 6 s.
// {"store_slow_ms":60,"for_ms":4000}
// {"orders_late":0.2,"for_ms":5000,"across":0}
//     This share of calls to workers gets no response and is carried out 2 to
//     8 s later, unless the worker has crashed; with across also then, by its
//     next incarnation under the same id.
// {"node_fault_ms":2000}
//     Does nothing: tells that a node is killed, paused or stopped for so long.
//
// Tasks that last may be away for some time after the end of a fault; see
// absence_monitor.h.
#ifndef CATKINSEAM_STANDIN_FAULT_INJECTION_H
#define CATKINSEAM_STANDIN_FAULT_INJECTION_H

#include "catkinseam/base/error.h"

#include <functional>
#include <string>

namespace catkinseam {

class NodePlatform;

using Fault = std::function<void(NodePlatform &)>;

/// Returns Invalid, naming the member, for a fault that is unknown or
/// malformed.
Result<Fault> parseFault(const std::string &Text);

} // namespace catkinseam

#endif // CATKINSEAM_STANDIN_FAULT_INJECTION_H
