// Stop signals, waited for by one thread.
//
//   blockStopSignals();     // before any thread is started
//   ...
//   waitForStopSignal();
#ifndef CATKINSEAM_BASE_SIGNALS_H
#define CATKINSEAM_BASE_SIGNALS_H

namespace catkinseam {

/// Blocks SIGTERM and SIGINT in this thread and those it will start, and
/// ignores SIGPIPE.
void blockStopSignals();

/// Returns once SIGTERM or SIGINT has come.
void waitForStopSignal();

} // namespace catkinseam

#endif // CATKINSEAM_BASE_SIGNALS_H
