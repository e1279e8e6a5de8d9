// Learns how much fillers of one image raise the tails of services of another.
//
//   Interference Learned({});
//   Learned.observe(Worker, Clock.now());
//   double Tail = Learned.worstTailWith(Worker, Step.m_image, 1700);
//
// The model: a service's tail over its target is a base of its own load, plus,
// for each filler beside it, a factor of the pair of images times the share of
// the worker's processors that the filler uses. The factors are fitted by least
// squares over what workers report; old reports fade.
#ifndef CATKINSEAM_SCHEDULER_INTERFERENCE_H
#define CATKINSEAM_SCHEDULER_INTERFERENCE_H

#include "catkinseam/scheduler/tables.h"

#include <map>
#include <string>
#include <vector>

namespace catkinseam {

class Interference {
public:
  struct Options {
    /// After this time a report counts half.
    Milliseconds m_halfLife{60000};
    /// Factors are fitted anew after this time.
    Milliseconds m_fitInterval{250};
    /// A factor without reports, and the weight of assuming it: one filler of
    /// usual size is let try, several at once are not.
    double m_assumed = 4.0;
    double m_assumedWeight = 0.004;
    /// Tails are cut off here: far beyond the target the model does not hold.
    double m_mostTail = 10.0;
    /// A filler that would add less to a tail over target counts as harmless,
    /// and then only this share of the tail stands against it.
    double m_leastAdded = 0.05;
    double m_bearable = 0.5;
    /// A service is expected to reach this share of its target by itself.
    double m_usualBase = 0.5;
  };

  explicit Interference(const Options &Values) : m_options(Values) {}

  ImageNumber numberOf(const std::string &Image);

  /// Takes in a worker's report.
  void observe(const WorkerRow &Worker, TimePoint Now);

  /// Tail over target that a full worker's share of this filler would add.
  double factor(ImageNumber Service, ImageNumber Filler) const;

  /// What a run of a filler adds to a service's tail over target now.
  double share(const WorkerRow &Worker, ImageNumber Service,
               const TaskRow &Filler, const RunRow &Run) const;

  /// The worst tail over target expected on a worker when a filler that uses
  /// `MilliProcessors` more is added. Renews the worker's m_tails.
  double worstTailWith(WorkerRow &Worker, ImageNumber Filler,
                       double MilliProcessors) const;

private:
  /// Sums of the least-squares fit of one service image. Column zero is the
  /// base, column N + 1 the filler of image N.
  struct Fit {
    std::vector<std::vector<double>> m_squares;
    std::vector<double> m_products;
    std::vector<double> m_factors;
    TimePoint m_fadedAt;
    TimePoint m_fittedAt;
  };

  void fade(Fit &Of, TimePoint Now) const;
  void grow(Fit &Of) const;
  void solve(Fit &Of) const;
  void renewTails(WorkerRow &Worker) const;

  const Options m_options;
  std::map<std::string, ImageNumber> m_numbers;
  /// By the number of the service's image.
  std::vector<Fit> m_services;
};

/// The run that a reference names, or null.
const RunRow *runOf(const RunRef &Ref);

/// Tail over target of a service's run; zero when not known.
double tailOf(const RunRef &Ref);

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_INTERFERENCE_H
