// Workers reserved for the trials of suspects (crash_suspects.h).
//
// A suspect starts only on a worker without young runs. Under a steady load
// each worker may start something all the time, so that there never is one. A
// suspect that has waited for a moment therefore gets a worker on which nothing
// else starts until its trial has begun. The worker whose youngest run is the
// oldest is chosen. It stays the choice, since its runs only grow older.
//
//   TrialReservations Trials({});
//   for (WorkerInfo *Each : Workers)
//     Trials.beginRound(*Each, Clock.now());
//   Trials.reserve(Waiting, Candidates, Learned, Clock.now());
//   if (isBarredByTrial(Other, Worker)) ... // not there
//
// The number of reserved workers, the length of a reservation and the time
// between two of them are limited, so that suspects do not keep others waiting
// either.
#ifndef CATKINSEAM_SCHEDULER_TRIAL_RESERVATIONS_H
#define CATKINSEAM_SCHEDULER_TRIAL_RESERVATIONS_H

#include "catkinseam/scheduler/interference_model.h"
#include "catkinseam/scheduler/tables.h"

#include <cstddef>
#include <vector>

namespace catkinseam {

/// A suspect that could not be placed.
struct TrialRequest {
  const TaskInfo *m_task = nullptr;
  TimePoint m_waitingSince;
};

/// Keeps no state: the reservations are in the workers' rows.
class TrialReservations {
public:
  struct Options {
    /// How long a suspect waits for a worker without young runs before one is
    /// reserved.
    Milliseconds m_patience{300};
    /// At most one worker in this number is reserved or on trial, but always
    /// one.
    std::size_t m_workersPerReservation = 4;
    /// Maximum length of a reservation.
    Milliseconds m_maxLength{2000};
    /// Minimum time after a trial, or a reservation that led to none, before
    /// the worker is reserved again.
    Milliseconds m_pause{500};
  };

  explicit TrialReservations(const Options &Values) : m_options(Values) {}

  /// Ends the reservation of the worker. All are made anew in each round.
  void beginRound(WorkerInfo &Worker, TimePoint Now) const;

  /// Reserves workers of one service for suspects, in this order. The suspects
  /// of a gang start together and get all workers that they need, or none.
  void reserve(const std::vector<TrialRequest> &Waiting,
               const std::vector<WorkerInfo *> &Candidates,
               const InterferenceModel &Learned, TimePoint Now) const;

private:
  struct Candidate {
    /// When a trial may begin; TimePoint::min() if it may now.
    TimePoint m_at;
    WorkerInfo *m_worker = nullptr;
  };

  bool mayReserve(const WorkerInfo &Worker, TimePoint Now) const;
  /// The workers for the trial of a task or, of a gang, of all its suspects;
  /// empty if there is no room for them.
  static std::vector<WorkerInfo *>
  chooseWorkers(const TaskInfo &Suspect,
                const std::vector<Candidate> &Candidates,
                const InterferenceModel &Learned, TimePoint Now);

  /// Reserves the worker, or goes on with the reservation of the last round.
  static void reserveWorker(WorkerInfo &Worker, const TrialRequest &For,
                            TimePoint Now);

  const Options m_options;
};

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_TRIAL_RESERVATIONS_H
