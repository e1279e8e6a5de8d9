// Learns how much load fillers of one image add to services of another.
//
//   InterferenceModel Model({});
//   Model.observe(Worker, Clock.now());
//   const auto Estimate = Model.estimateFiller(Worker, Image, 1700.0, Now);
//   if (Estimate.m_loadHeadroom >= 0.0) ... // the services tolerate the filler
//
// A filler is a best-effort task: it uses only processors that other tasks
// leave idle. A service's tail latency is modelled as that of a queue,
// proportional to 1 / (1 - load). The load is the service's intrinsic load
// plus, for each filler on the same worker, the interference coefficient of the
// pair of images times the share of the worker's processors that the filler
// uses. The intrinsic load is common to all instances of a service at a given
// time (see periodic_load.h), so the coefficients are fitted by least squares
// to the differences between instances. Older reports are weighted down
// exponentially.
#ifndef CATKINSEAM_SCHEDULER_INTERFERENCE_MODEL_H
#define CATKINSEAM_SCHEDULER_INTERFERENCE_MODEL_H

#include "catkinseam/scheduler/tables.h"

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace catkinseam {

class InterferenceModel {
public:
  struct Options {
    /// Half-life of a report's weight.
    Milliseconds m_halfLife{60000};
    /// Minimum interval between fits of the coefficients.
    Milliseconds m_fitInterval{250};
    /// Reports of one worker that follow within this time are ignored, as they
    /// carry no new information.
    Milliseconds m_minReportInterval{250};
    /// Prior of a coefficient, and its weight in squared processor shares: the
    /// squared ratio of the noise of reports to the spread of coefficients.
    double m_priorCoefficient = 0.7;
    double m_priorWeight = 0.01;
    /// Residuals are clamped to this load to bound the effect of outliers. It
    /// is four times the noise of reports and more than a typical filler adds.
    double m_maxResidual = 0.2;
    /// Intrinsic load assumed for a service without reports, and the lower
    /// bound of predictions from the trend.
    double m_defaultLoad = 0.50;
    /// A rising load is extrapolated this far while the history is too short to
    /// fit the service's periodic load.
    Milliseconds m_trendHorizon{900};
    /// Smoothing factors, 0 to 1, of an instance's trend and of its deviation
    /// from the service's periodic load.
    double m_trendSmoothing = 0.6;
    double m_deviationSmoothing = 0.7;
    /// Time constant with which an instance's deviation from the periodic load
    /// decays; about a third (1/e) of it is left after this time.
    Milliseconds m_deviationTimeConstant{1000};
    /// Interval that the measurements in a report cover.
    Milliseconds m_reportWindow{500};
    /// Time constant of the mean that a service's reports are compared with;
    /// short relative to the periods of service load.
    Milliseconds m_meanTimeConstant{350};
    /// Minimum interval between fits of a service's periodic load.
    Milliseconds m_periodicLoadFitInterval{400};
    /// A filler is placed only where the services on the worker tolerate it for
    /// this time.
    Milliseconds m_placementHorizon{1500};
    /// Tail latency of an idle service, relative to the lowest ever reported.
    double m_idleTailFactor = 0.8;
    /// Tail latency of an idle service, relative to its target, before any
    /// report.
    double m_defaultIdleTail = 0.25;
    /// A service to which a filler would add less load than this counts as
    /// unaffected by it.
    double m_minAddedLoad = 0.02;
    /// Processor request of a typical filler, in thousandths of a processor.
    double m_typicalFillerMilliProcessors = 2000.0;
    /// Limit of a service's tail latency, relative to its target, while no
    /// batch work is suspended.
    double m_minTailLimit = 0.55;
    /// The same limit while the suspended share of batch work is
    /// m_maxLimitSuspendedShare or more.
    double m_maxTailLimit = 0.76;
    double m_maxLimitSuspendedShare = 0.3;
    /// Number of instances from which m_maxTailLimit applies in full. It never
    /// applies to a single instance, which carries all of its service's load.
    double m_maxLimitInstances = 6.0;
    /// Smoothing factor, 0 to 1, of the suspended share.
    double m_suspendedShareSmoothing = 0.2;
    /// Number of images from which those without users are forgotten.
    std::size_t m_maxImages = 96;
  };

  explicit InterferenceModel(const Options &Values) : m_options(Values) {}

  /// Learned state that is handed to the next owner. The order of fields is
  /// part of the stored format.
  struct State {
    /// Nonzero elements of the normal equations. Row and column are positions
    /// in m_images.
    struct MatrixEntry {
      std::uint16_t m_row = 0;
      std::uint16_t m_column = 0;
      float m_value = 0.0F;

      template <class Archive> void serialize(Archive &Target) {
        Target(m_row, m_column, m_value);
      }
    };
    struct VectorEntry {
      std::uint16_t m_row = 0;
      float m_value = 0.0F;

      template <class Archive> void serialize(Archive &Target) {
        Target(m_row, m_value);
      }
    };
    struct Service {
      std::uint16_t m_image = 0;
      /// The lower triangle of the symmetric matrix.
      std::vector<MatrixEntry> m_normalMatrix;
      std::vector<VectorEntry> m_normalVector;
      double m_minTail = 0.0;

      template <class Archive> void serialize(Archive &Target) {
        Target(m_image, m_normalMatrix, m_normalVector, m_minTail);
      }
    };
    std::vector<std::string> m_images;
    std::vector<std::uint16_t> m_fillers;
    std::vector<Service> m_services;
    std::vector<double> m_periodErrors;

    template <class Archive> void serialize(Archive &Target) {
      Target(m_images, m_fillers, m_services, m_periodErrors);
    }
  };

  /// Returns the learned state of the images in use. Leaves out a filler's
  /// terms in the fit of a service when their weight, in squared processor
  /// shares, is below `MinWeight`.
  State state(double MinWeight = 0.0) const;

  struct EncodedState {
    std::string m_bytes;
    /// Terms of a smaller weight were left out; zero if none was.
    double m_minWeight = 0.0;
  };
  /// Returns the encoded state without its smallest terms, so that it has at
  /// most `MaxBytes`; empty if no part of it fits.
  EncodedState encodedState(std::size_t MaxBytes) const;

  /// Restores the state of an earlier owner. Has no effect once an image has
  /// been numbered; skips entries that are out of range.
  void restore(const State &Stored, TimePoint Now);

  /// Returns the number of an image and counts one more user of it. A new image
  /// takes the number of an image without users once `m_maxImages` are known.
  ImageIndex acquireImage(const std::string &Image);

  /// Ends one use of an image.
  void releaseImage(ImageIndex Image);

  /// Number of images that have a number.
  std::size_t images() const { return m_images.size(); }

  /// Records the suspended share of the requested batch work, 0 to 1: the part
  /// that is waiting or throttled. The larger it is, the closer to their
  /// targets services may run.
  void updateSuspendedShare(double Share);

  /// Updates the model from a worker's latest report.
  void observe(WorkerInfo &Worker, TimePoint Now);

  /// Returns the load that a filler using all processors of a worker would add
  /// to a service.
  double interferenceCoefficient(ImageIndex Service, ImageIndex Filler) const;

  /// Returns the load that a filler using `MilliProcessors` of this worker adds
  /// to a service.
  double addedLoad(const WorkerInfo &Worker, ImageIndex Service,
                   ImageIndex Filler, double MilliProcessors) const;

  /// Returns the load that fillers may add to a service from `Begin` to
  /// `Begin + Length`; negative when its intrinsic load exceeds the limit.
  double loadHeadroom(const RunRef &Service, TimePoint Begin,
                      Duration Length) const;

  /// Returns the most thousandths of a processor that a worker's services are
  /// expected to use from `Begin` to `Begin + Length`.
  double maxServiceProcessors(const WorkerInfo &Worker, TimePoint Begin,
                              Duration Length) const;

  /// Returns the load beyond loadHeadroom() that low-impact fillers may add to
  /// a service.
  double lowImpactLoadHeadroom(const RunRef &Service) const;

  /// Conditions under which a worker could run one more filler.
  struct FillerEstimate {
    /// Smallest load headroom left on any service that the filler affects; 1
    /// when it affects none.
    double m_loadHeadroom = 1.0;
    /// Fraction of its full CPU rate, 0 to 1, that all services tolerate.
    double m_cpuRateFraction = 1.0;
    /// Sum over the affected instances of 1 / (instances of their service).
    double m_affectedFraction = 0.0;
  };
  /// Evaluates one more filler on a worker. Refreshes the load headrooms of the
  /// worker's services when they are stale.
  FillerEstimate estimateFiller(WorkerInfo &Worker, ImageIndex Filler,
                                double MilliProcessors, TimePoint Now) const;

private:
  /// Least-squares fit of one service image, as the normal equations; column N
  /// belongs to fillers of image N.
  struct Fit {
    std::vector<std::vector<double>> m_normalMatrix;
    std::vector<double> m_normalVector;
    std::vector<double> m_coefficients;
    /// Lowest reported tail latency relative to the target; zero before the
    /// first report.
    double m_minTail = 0.0;
    TimePoint m_decayedAt;
    TimePoint m_fittedAt;
  };

  /// Share of a worker's processors that its fillers use, by image number.
  using FillerShares = std::vector<double>;

  FillerShares fillerShares(WorkerInfo &Worker, TimePoint Now) const;
  void updateFit(Fit &Target, LoadBaseline &Baseline, double Load,
                 const FillerShares &Shares, TimePoint Now) const;
  void updateIntrinsicLoad(const RunRef &Service, double Load,
                           double FillerLoad, Duration Elapsed, TimePoint Now);
  double predictIntrinsicLoad(const RunRef &Service, TimePoint Begin,
                              Duration Length) const;
  double loadLimit(const StepInfo &Service) const;
  double idleTail(ImageIndex Service) const;
  double loadFromTail(ImageIndex Service, double Tail) const;
  void decay(Fit &Target, TimePoint Now) const;
  void resizeToImages(Fit &Target) const;
  /// Assigns a number to an image, or returns the one that it has.
  ImageIndex numberOf(const std::string &Image);
  /// Removes an image from all fits, so that its number can be used again.
  void forgetImage(ImageIndex Image);
  void solveCoefficients(Fit &Target) const;
  void refreshLoadHeadrooms(WorkerInfo &Worker, TimePoint Now) const;

  struct ImageInfo {
    std::string m_name;
    std::size_t m_users = 0;
  };

  const Options m_options;
  std::map<std::string, ImageIndex> m_imageIndices;
  /// By number. Invariant: m_imageIndices maps each name to its number.
  std::vector<ImageInfo> m_images;
  std::set<ImageIndex> m_fillers;
  /// Indexed by the service's image number.
  std::vector<Fit> m_fits;
  PeriodicLoad::PeriodErrors m_periodErrors{};
  double m_suspendedShare = 0.0;
};

/// Returns the run that a reference names, or null if it is gone.
const RunInfo *findReferencedRun(const RunRef &Ref);

/// Returns the tail latency of a service's run relative to its target; zero
/// when unknown.
double tailLatencyRatio(const RunRef &Ref);

} // namespace catkinseam

#endif // CATKINSEAM_SCHEDULER_INTERFERENCE_MODEL_H
