// Learns how much fillers of one image press on services of another.
//
//   Interference Learned({});
//   Learned.observe(Worker, Clock.now());
//   if (Learned.roomWith(Worker, Step.m_image, 1700) >= 0) place(...);
//
// The model: a service's tail grows as that of a queue, with one over the idle
// part of its load. Its load is its own, plus, for each filler beside it, a
// pressure of the pair of images times the share of the worker's processors
// that the filler uses. Pressures are fitted by least squares over what workers
// report; old reports fade.
#ifndef CATKINSEAM_SCHEDULER_INTERFERENCE_H
#define CATKINSEAM_SCHEDULER_INTERFERENCE_H

#include "catkinseam/scheduler/tables.h"

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace catkinseam {

class Interference {
public:
  struct Options {
    /// After this time a report counts half.
    Milliseconds m_halfLife{60000};
    /// Pressures are fitted anew after this time.
    Milliseconds m_fitInterval{250};
    /// Reports of one worker within this time say the same.
    Milliseconds m_reportInterval{250};
    /// A pressure without reports, and the weight of assuming it, in squared
    /// shares: ten reports of a filler of usual size weigh as much.
    double m_assumed = 0.7;
    double m_assumedWeight = 0.05;
    /// The load that a service is assumed to have of its own.
    double m_usualLoad = 0.50;
    /// A load that grows is expected to go on so for this time.
    Milliseconds m_lookAhead{900};
    /// Part of a new trend that is believed.
    double m_trendPart = 0.6;
    /// The tail of an idle service over the least that was ever reported.
    double m_idlePart = 0.8;
    /// The same over its target before any report.
    double m_idleTail = 0.25;
    /// A filler that would add less load than this counts as harmless.
    double m_leastAdded = 0.01;
    /// Processors of a usual filler, in thousandths.
    double m_usualFiller = 2000.0;
    /// A service is to stay below this share of its target tail.
    double m_safeTail = 0.7;
  };

  explicit Interference(const Options &Values) : m_options(Values) {}

  /// What has been learned, for a successor.
  struct Knowledge {
    struct Service {
      std::string m_image;
      std::vector<std::vector<double>> m_squares;
      std::vector<double> m_products;
      double m_leastTail = 0.0;

      template <class Archive> void serialize(Archive &Target) {
        Target(m_image, m_squares, m_products, m_leastTail);
      }
    };
    /// By number.
    std::vector<std::string> m_images;
    std::vector<ImageNumber> m_fillers;
    std::vector<Service> m_services;

    template <class Archive> void serialize(Archive &Target) {
      Target(m_images, m_fillers, m_services);
    }
  };

  Knowledge knowledge() const;

  /// Takes over what an earlier owner learned; only before any image is met.
  void adopt(const Knowledge &Learned, TimePoint Now);

  ImageNumber numberOf(const std::string &Image);

  /// Takes in a worker's report.
  void observe(PlannedWorker &Worker, TimePoint Now);

  /// Load that a filler using a full worker would add to a service.
  double pressure(ImageNumber Service, ImageNumber Filler) const;

  /// Load that a filler using `MilliProcessors` of this worker adds.
  double added(const PlannedWorker &Worker, ImageNumber Service,
               ImageNumber Filler, double MilliProcessors) const;

  /// How far a service at this tail over target stands below the load that is
  /// safe; negative above it.
  double roomAt(ImageNumber Service, double Tail) const;

  /// The least room left to a service that a further filler would press on; 1
  /// when there is none. Renews the worker's m_tails.
  double roomWith(PlannedWorker &Worker, ImageNumber Filler,
                  double MilliProcessors) const;

  /// The part of all images met as fillers that the worker would bear.
  double bearablePart(PlannedWorker &Worker) const;

private:
  /// Sums of the least-squares fit of one service image. Column zero is its
  /// own load, column N + 1 the filler of image N.
  struct Fit {
    std::vector<std::vector<double>> m_squares;
    std::vector<double> m_products;
    std::vector<double> m_pressures;
    /// Least tail over target reported; zero before the first.
    double m_leastTail = 0.0;
    TimePoint m_fadedAt;
    TimePoint m_fittedAt;
  };

  double idleTail(ImageNumber Service) const;
  double loadAt(ImageNumber Service, double Tail) const;
  void fade(Fit &Of, TimePoint Now) const;
  void grow(Fit &Of) const;
  void solve(Fit &Of) const;
  void renewTails(PlannedWorker &Worker) const;
  void noteTrend(PlannedRun &Run, double Load, Duration Since) const;
  double expectedLoad(const RunRef &Service) const;

  const Options m_options;
  std::map<std::string, ImageNumber> m_numbers;
  std::set<ImageNumber> m_fillers;
  /// By the number of the service's image.
  std::vector<Fit> m_services;
};

/// The run that a reference names, or null.
const PlannedRun *runOf(const RunRef &Ref);

/// Tail over target of a service's run; zero when not known.
double tailOf(const RunRef &Ref);

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_INTERFERENCE_H
