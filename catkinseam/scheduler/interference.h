// Learns how much fillers of one image press on services of another.
//
//   Interference Learned({});
//   Learned.observe(Worker, Clock.now());
//   if (Learned.roomWith(Worker, Step.m_image, 1700) >= 0) place(...);
//
// The model: a service's tail grows as that of a queue, with one over the idle
// part of its load. Its load is its own, plus, for each filler beside it, a
// pressure of the pair of images times the share of the worker's processors
// that the filler uses. Its own load is that of all instances of the service at
// that time (see swing.h), so pressures are fitted by least squares over how
// instances differ from one another; old reports fade.
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
    /// shares: the roughness of reports over the spread of pressures, squared.
    double m_assumed = 0.7;
    double m_assumedWeight = 0.01;
    /// A report that differs by more from what is expected counts as differing
    /// by this: four times the roughness of reports, more than any usual filler
    /// adds.
    double m_mostSurprise = 0.2;
    /// The load that a service is assumed to have of its own.
    double m_usualLoad = 0.50;
    /// While a service's habits are not known, a load that grows is expected
    /// to go on so for this time.
    Milliseconds m_lookAhead{900};
    /// Part of a new trend, and of a new excess over the habits, that is
    /// believed.
    double m_trendPart = 0.6;
    double m_excessPart = 0.7;
    /// How fast an instance comes back to the habits of its service: after this
    /// time a third of its excess is left.
    Milliseconds m_excessTime{1000};
    /// Reports cover so long.
    Milliseconds m_reportSpan{500};
    /// Reports of one service are compared with those of this time before; it
    /// is little beside the periods in which services swing.
    Milliseconds m_compareTime{350};
    /// Habits are fitted anew after this time.
    Milliseconds m_habitsInterval{400};
    /// A filler must bear the load of its neighbours for this time.
    Milliseconds m_placeAhead{1500};
    /// The tail of an idle service over the least that was ever reported.
    double m_idlePart = 0.8;
    /// The same over its target before any report.
    double m_idleTail = 0.25;
    /// A filler that would add less load than this counts as harmless.
    double m_leastAdded = 0.02;
    /// Processors of a usual filler, in thousandths.
    double m_usualFiller = 2000.0;
    /// A service is to stay below this share of its target tail while no batch
    /// work is held back, ...
    double m_calmTail = 0.55;
    /// ... and below this one while this share of it or more is.
    double m_pressedTail = 0.76;
    double m_pressedShare = 0.3;
    /// A service of so many instances or more is brought that close; one of a
    /// single instance never is, as it is all of the service.
    double m_manyInstances = 6.0;
    /// Part of a new share held back that is believed, each time it is noted.
    double m_heldBackPart = 0.2;
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
    std::vector<double> m_periods;

    template <class Archive> void serialize(Archive &Target) {
      Target(m_images, m_fillers, m_services, m_periods);
    }
  };

  Knowledge knowledge() const;

  /// Takes over what an earlier owner learned; only before any image is met.
  void adopt(const Knowledge &Learned, TimePoint Now);

  ImageNumber numberOf(const std::string &Image);

  /// Takes in the share of the batch work asked for, 0 to 1, that waits or is
  /// slowed; it decides how close to their targets services are brought.
  void noteHeldBack(double Share);

  /// Takes in a worker's report.
  void observe(PlannedWorker &Worker, TimePoint Now);

  /// Load that a filler using a full worker would add to a service.
  double pressure(ImageNumber Service, ImageNumber Filler) const;

  /// Load that a filler using `MilliProcessors` of this worker adds.
  double added(const PlannedWorker &Worker, ImageNumber Service,
               ImageNumber Filler, double MilliProcessors) const;

  /// The load that fillers may add to a service at most within a span of time;
  /// negative when its own is above what is safe.
  double roomOf(const RunRef &Service, TimePoint From, Duration For) const;

  /// Thousandths of a processor that a worker's services use at most within a
  /// span of time.
  double processorsOf(const PlannedWorker &Worker, TimePoint From,
                      Duration For) const;

  /// How much further a service may be brought to its target by those that
  /// press on it lightly.
  double slackOf(const RunRef &Service) const;

  /// What a worker offers a further filler. Renews the worker's m_tails.
  struct Offer {
    /// The least load left to a service that it would press on; 1 when there is
    /// none.
    double m_room = 1.0;
    /// The share of its pace, 0 to 1, at which all services bear it.
    double m_pace = 1.0;
    /// The sum of the parts of services that it would press on.
    double m_pressed = 0.0;
  };
  Offer offerTo(PlannedWorker &Worker, ImageNumber Filler,
                double MilliProcessors, TimePoint Now) const;

private:
  /// Sums of the least-squares fit of one service image; column N is the filler
  /// of image N.
  struct Fit {
    std::vector<std::vector<double>> m_squares;
    std::vector<double> m_products;
    std::vector<double> m_pressures;
    /// Least tail over target reported; zero before the first.
    double m_leastTail = 0.0;
    TimePoint m_fadedAt;
    TimePoint m_fittedAt;
  };

  /// What one report says of the fillers beside a service: by image, the share
  /// of the worker that they used.
  using Shares = std::vector<double>;

  Shares sharesOf(PlannedWorker &Worker, TimePoint Now) const;
  void learn(Fit &Of, ServiceHabits &Habits, double Load, const Shares &Used,
             TimePoint Now) const;
  void noteOwn(const RunRef &Service, double Load, double Pressed,
               Duration Since, TimePoint Now);
  double ownLoad(const RunRef &Service, TimePoint From, Duration For) const;
  double safeLoad(const PlannedStep &Service) const;
  double idleTail(ImageNumber Service) const;
  double loadAt(ImageNumber Service, double Tail) const;
  void fade(Fit &Of, TimePoint Now) const;
  void grow(Fit &Of) const;
  void solve(Fit &Of) const;
  void renewTails(PlannedWorker &Worker, TimePoint Now) const;

  const Options m_options;
  std::map<std::string, ImageNumber> m_numbers;
  std::set<ImageNumber> m_fillers;
  /// By the number of the service's image.
  std::vector<Fit> m_services;
  Swing::Votes m_periods{};
  double m_heldBack = 0.0;
};

/// The run that a reference names, or null.
const PlannedRun *runOf(const RunRef &Ref);

/// Tail over target of a service's run; zero when not known.
double tailOf(const RunRef &Ref);

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_INTERFERENCE_H
