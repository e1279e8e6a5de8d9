// Learns how much fillers of one image raise the tails of services of another.
//
//   Interference Learned({});
//   Learned.observe(Worker, Clock.now());
//   double Tail = Learned.worstTailWith(Worker, "drift", 1700);
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
    /// From this weight of reports on a factor counts as known.
    double m_knownWeight = 0.03;
    /// Tails are cut off here: far beyond the target the model does not hold.
    double m_mostTail = 10.0;
    /// A service is expected to reach this share of its target by itself.
    double m_usualBase = 0.5;
  };

  explicit Interference(const Options &Values) : m_options(Values) {}

  /// Takes in a worker's report.
  void observe(const WorkerRow &Worker, TimePoint Now);

  /// Tail over target that a full worker's share of this filler would add.
  double factor(const std::string &Service, const std::string &Filler) const;

  /// Whether enough reports stand behind the factor.
  bool isKnown(const std::string &Service, const std::string &Filler) const;

  /// What a run of a filler adds to a service's tail over target now.
  double share(const WorkerRow &Worker, const std::string &Service,
               const TaskRow &Filler, const RunRow &Run) const;

  /// The worst tail over target expected on a worker when a filler that uses
  /// `MilliProcessors` more is added.
  double worstTailWith(const WorkerRow &Worker, const std::string &Filler,
                       double MilliProcessors) const;

private:
  /// Sums of the least-squares fit of one service image.
  struct Fit {
    std::vector<std::vector<double>> m_squares;
    std::vector<double> m_products;
    std::vector<double> m_factors;
    TimePoint m_fadedAt;
    TimePoint m_fittedAt;
  };

  std::size_t indexOf(const std::string &Filler);
  void fade(Fit &Of, TimePoint Now) const;
  void grow(Fit &Of) const;
  void solve(Fit &Of) const;

  const Options m_options;
  std::map<std::string, std::size_t> m_fillers;
  std::map<std::string, Fit> m_services;
};

/// The run that a reference names, or null.
const RunRow *runOf(const RunRef &Ref);

/// Tail over target of a service's run; zero when not known.
double tailOf(const RunRef &Ref);

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_INTERFERENCE_H
