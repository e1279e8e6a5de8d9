// Least-squares fit of the load that fillers put on services.
#include "catkinseam/scheduler/interference.h"

#include <algorithm>
#include <cmath>

namespace catkinseam {

namespace {

constexpr std::int64_t AtWork = 100;

double capacityOf(const PlannedWorker &Worker) {
  return static_cast<double>(
      std::max<std::int64_t>(1, Worker.m_report.m_capacity.m_milliProcessors));
}

} // namespace

const PlannedRun *runOf(const RunRef &Ref) {
  for (const PlannedRun &Each : Ref.m_task->m_runs)
    if (Each.m_number == Ref.m_run)
      return &Each;
  return nullptr;
}

double tailOf(const RunRef &Ref) {
  const StepSpec &Spec = *Ref.m_task->m_step->m_spec;
  const PlannedRun *Run = runOf(Ref);
  if (!Run || !Spec.m_isService || Spec.m_targetTail <= Milliseconds::zero() ||
      Run->m_phase != RunPhase::Running || Run->m_percent != AtWork)
    return 0.0;
  return static_cast<double>(Run->m_figure) /
         static_cast<double>(Spec.m_targetTail.count());
}

Interference::Knowledge Interference::knowledge() const {
  Knowledge Learned;
  Learned.m_images.resize(m_numbers.size());
  for (const auto &[Image, Number] : m_numbers)
    Learned.m_images[Number] = Image;
  Learned.m_fillers.assign(m_fillers.begin(), m_fillers.end());
  for (ImageNumber Number = 0; Number < m_services.size(); ++Number) {
    const Fit &Of = m_services[Number];
    if (Of.m_leastTail > 0.0)
      Learned.m_services.push_back({Learned.m_images[Number], Of.m_squares,
                                    Of.m_products, Of.m_leastTail});
  }
  return Learned;
}

void Interference::adopt(const Knowledge &Learned, TimePoint Now) {
  if (!m_numbers.empty())
    return;
  for (const std::string &Each : Learned.m_images)
    numberOf(Each);
  m_fillers.insert(Learned.m_fillers.begin(), Learned.m_fillers.end());
  for (const Knowledge::Service &Each : Learned.m_services) {
    Fit &Of = m_services[numberOf(Each.m_image)];
    const bool IsSquare =
        Each.m_squares.size() == Each.m_products.size() &&
        Each.m_products.size() <= m_numbers.size() + 1 &&
        std::all_of(Each.m_squares.begin(), Each.m_squares.end(),
                    [&](const std::vector<double> &Row) {
                      return Row.size() == Each.m_products.size();
                    });
    if (!IsSquare)
      continue;
    Of.m_squares = Each.m_squares;
    Of.m_products = Each.m_products;
    Of.m_leastTail = Each.m_leastTail;
    Of.m_fadedAt = Now;
    Of.m_pressures.assign(Of.m_products.size(), m_options.m_assumed);
    grow(Of);
    solve(Of);
  }
}

ImageNumber Interference::numberOf(const std::string &Image) {
  const ImageNumber Number =
      m_numbers.emplace(Image, m_numbers.size()).first->second;
  if (m_services.size() <= Number)
    m_services.resize(Number + 1);
  return Number;
}

void Interference::grow(Fit &Of) const {
  const std::size_t Size = m_numbers.size() + 1;
  if (Of.m_products.size() == Size)
    return;
  Of.m_products.resize(Size, 0.0);
  Of.m_pressures.resize(Size, m_options.m_assumed);
  Of.m_squares.resize(Size);
  for (std::vector<double> &Row : Of.m_squares)
    Row.resize(Size, 0.0);
}

void Interference::fade(Fit &Of, TimePoint Now) const {
  const double Halves =
      std::chrono::duration<double>(Now - Of.m_fadedAt).count() /
      std::chrono::duration<double>(m_options.m_halfLife).count();
  Of.m_fadedAt = Now;
  const double Left = std::exp2(-std::max(0.0, Halves));
  for (std::vector<double> &Row : Of.m_squares)
    for (double &Each : Row)
      Each *= Left;
  for (double &Each : Of.m_products)
    Each *= Left;
}

double Interference::idleTail(ImageNumber Service) const {
  const double Least =
      Service < m_services.size() ? m_services[Service].m_leastTail : 0.0;
  return Least > 0.0 ? Least * m_options.m_idlePart : m_options.m_idleTail;
}

double Interference::loadAt(ImageNumber Service, double Tail) const {
  const double Idle = idleTail(Service);
  return 1.0 - Idle / std::max(Tail, Idle);
}

double Interference::roomAt(ImageNumber Service, double Tail) const {
  return loadAt(Service, m_options.m_safeTail) - loadAt(Service, Tail);
}

void Interference::observe(PlannedWorker &Worker, TimePoint Now) {
  const Duration Since = Now - Worker.m_observedAt;
  if (Since < m_options.m_reportInterval)
    return;
  Worker.m_observedAt = Now;
  std::map<std::size_t, double> Shares;
  Shares[0] = 1.0;
  for (const RunRef &Each : Worker.m_runs) {
    const PlannedStep &Step = *Each.m_task->m_step;
    const PlannedRun *Run = Step.m_spec->m_isFiller ? runOf(Each) : nullptr;
    if (Run)
      m_fillers.insert(Step.m_image);
    if (Run && Run->m_figure > 0)
      Shares[Step.m_image + 1] +=
          static_cast<double>(Run->m_figure) / capacityOf(Worker);
  }
  for (const RunRef &Each : Worker.m_runs) {
    const double Tail = tailOf(Each);
    if (Tail <= 0.0)
      continue;
    const ImageNumber Image = Each.m_task->m_step->m_image;
    Fit &Of = m_services[Image];
    if (Of.m_leastTail == 0.0 || Tail < Of.m_leastTail)
      Of.m_leastTail = Tail;
    const double Load = loadAt(Image, Tail);
    for (PlannedRun &Run : Each.m_task->m_runs)
      if (Run.m_number == Each.m_run)
        noteTrend(Run, Load, Since);
    grow(Of);
    fade(Of, Now);
    for (const auto &[Row, Left] : Shares) {
      for (const auto &[Column, Right] : Shares)
        Of.m_squares[Row][Column] += Left * Right;
      Of.m_products[Row] += Left * Load;
    }
    if (Now - Of.m_fittedAt < m_options.m_fitInterval)
      continue;
    Of.m_fittedAt = Now;
    solve(Of);
  }
}

void Interference::noteTrend(PlannedRun &Run, double Load,
                             Duration Since) const {
  const double Seconds = std::chrono::duration<double>(Since).count();
  constexpr double LongestStep = 3.0;
  const double Trend = Run.m_load > 0.0 && Seconds < LongestStep
                           ? (Load - Run.m_load) / Seconds
                           : 0.0;
  Run.m_loadTrend = (1.0 - m_options.m_trendPart) * Run.m_loadTrend +
                    m_options.m_trendPart * Trend;
  Run.m_load = Load;
}

double Interference::expectedLoad(const RunRef &Service) const {
  const PlannedRun *Run = runOf(Service);
  if (!Run)
    return 0.0;
  const double Ahead =
      std::chrono::duration<double>(m_options.m_lookAhead).count();
  return loadAt(Service.m_task->m_step->m_image, tailOf(Service)) +
         std::max(0.0, Run->m_loadTrend) * Ahead;
}

void Interference::solve(Fit &Of) const {
  // Gauss-Jordan elimination; the assumed weights keep pivots from zero.
  const std::size_t Size = Of.m_products.size();
  std::vector<std::vector<double>> Rows = Of.m_squares;
  std::vector<double> Right = Of.m_products;
  for (std::size_t At = 0; At < Size; ++At) {
    const double Assumed =
        At == 0 ? m_options.m_usualLoad : m_options.m_assumed;
    Rows[At][At] += m_options.m_assumedWeight;
    Right[At] += m_options.m_assumedWeight * Assumed;
  }
  for (std::size_t At = 0; At < Size; ++At) {
    for (std::size_t Other = 0; Other < Size; ++Other) {
      const double Ratio = Rows[Other][At] / Rows[At][At];
      if (Other == At || Ratio == 0.0)
        continue;
      for (std::size_t Column = At; Column < Size; ++Column)
        Rows[Other][Column] -= Ratio * Rows[At][Column];
      Right[Other] -= Ratio * Right[At];
    }
  }
  for (std::size_t At = 0; At < Size; ++At)
    Of.m_pressures[At] = std::max(0.0, Right[At] / Rows[At][At]);
}

double Interference::pressure(ImageNumber Service, ImageNumber Filler) const {
  if (Service >= m_services.size() ||
      Filler + 1 >= m_services[Service].m_pressures.size())
    return m_options.m_assumed;
  return m_services[Service].m_pressures[Filler + 1];
}

double Interference::added(const PlannedWorker &Worker, ImageNumber Service,
                           ImageNumber Filler, double MilliProcessors) const {
  return pressure(Service, Filler) * MilliProcessors / capacityOf(Worker);
}

void Interference::renewTails(PlannedWorker &Worker) const {
  Worker.m_areTailsStale = false;
  Worker.m_tails.clear();
  for (const RunRef &Each : Worker.m_runs) {
    const PlannedStep &Step = *Each.m_task->m_step;
    if (!Step.m_spec->m_isService ||
        Step.m_spec->m_targetTail <= Milliseconds::zero())
      continue;
    const double Load = expectedLoad(Each);
    const auto Found =
        std::find_if(Worker.m_tails.begin(), Worker.m_tails.end(),
                     [&](const PlannedWorker::ServiceTail &Tail) {
                       return Tail.m_image == Step.m_image;
                     });
    if (Found == Worker.m_tails.end())
      Worker.m_tails.push_back({Step.m_image, Load});
    else
      Found->m_load = std::max(Found->m_load, Load);
  }
  for (PlannedWorker::ServiceTail &Tail : Worker.m_tails) {
    double Modelled = m_options.m_usualLoad;
    for (const RunRef &Each : Worker.m_runs) {
      const PlannedStep &Step = *Each.m_task->m_step;
      const PlannedRun *Run = Step.m_spec->m_isFiller ? runOf(Each) : nullptr;
      if (Run)
        Modelled += added(
            Worker, Tail.m_image, Step.m_image,
            static_cast<double>(Step.m_spec->m_request.m_milliProcessors) *
                Run->m_pace / 100.0);
    }
    Tail.m_load = std::max(Tail.m_load, Modelled);
  }
  if (m_fillers.empty())
    return;
  const auto Borne =
      std::count_if(m_fillers.begin(), m_fillers.end(), [&](ImageNumber Each) {
        return roomWith(Worker, Each, m_options.m_usualFiller) >= 0.0;
      });
  Worker.m_bearable =
      static_cast<double>(Borne) / static_cast<double>(m_fillers.size());
}

double Interference::bearablePart(PlannedWorker &Worker) const {
  if (Worker.m_areTailsStale)
    renewTails(Worker);
  return Worker.m_bearable;
}

double Interference::roomWith(PlannedWorker &Worker, ImageNumber Filler,
                              double MilliProcessors) const {
  if (Worker.m_areTailsStale)
    renewTails(Worker);
  double Least = 1.0;
  for (const PlannedWorker::ServiceTail &Each : Worker.m_tails) {
    const double More = added(Worker, Each.m_image, Filler, MilliProcessors);
    if (More < m_options.m_leastAdded)
      continue;
    Least = std::min(Least, loadAt(Each.m_image, m_options.m_safeTail) -
                                Each.m_load - More);
  }
  return Least;
}

} // namespace catkinseam
