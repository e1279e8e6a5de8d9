// Handling of termination signals by one waiting thread.
//
//   blockStopSignals();     // before any thread starts
//   ...
//   waitForStopSignal();
#ifndef CATKINSEAM_BASE_SIGNALS_H
#define CATKINSEAM_BASE_SIGNALS_H

namespace catkinseam {

/// Blocks SIGTERM and SIGINT in this thread and the threads it starts later,
/// and ignores SIGPIPE in the process.
void blockStopSignals();

/// Waits until SIGTERM or SIGINT is received. Call blockStopSignals() first.
void waitForStopSignal();

} // namespace catkinseam

#endif // CATKINSEAM_BASE_SIGNALS_H
