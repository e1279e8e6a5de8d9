// Least-squares fit of the effect of fillers on services.
#include "catkinseam/scheduler/interference.h"

#include <algorithm>
#include <cmath>

namespace catkinseam {

namespace {

constexpr std::int64_t AtWork = 100;

double capacityOf(const WorkerRow &Worker) {
  return static_cast<double>(
      std::max<std::int64_t>(1, Worker.m_report.m_capacity.m_milliProcessors));
}

} // namespace

const RunRow *runOf(const RunRef &Ref) {
  for (const RunRow &Each : Ref.m_task->m_runs)
    if (Each.m_number == Ref.m_run)
      return &Each;
  return nullptr;
}

double tailOf(const RunRef &Ref) {
  const StepSpec &Spec = *Ref.m_task->m_step->m_spec;
  const RunRow *Run = runOf(Ref);
  if (!Run || !Spec.m_isService || Spec.m_targetTail <= Milliseconds::zero() ||
      Run->m_phase != RunPhase::Running || Run->m_percent != AtWork)
    return 0.0;
  return static_cast<double>(Run->m_figure) /
         static_cast<double>(Spec.m_targetTail.count());
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
  Of.m_factors.resize(Size, m_options.m_assumed);
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

void Interference::observe(const WorkerRow &Worker, TimePoint Now) {
  std::map<std::size_t, double> Shares;
  Shares[0] = 1.0;
  for (const RunRef &Each : Worker.m_runs) {
    const StepSpec &Spec = *Each.m_task->m_step->m_spec;
    const RunRow *Run = runOf(Each);
    if (!Spec.m_isFiller || !Run || Run->m_figure <= 0)
      continue;
    Shares[Each.m_task->m_step->m_image + 1] +=
        static_cast<double>(Run->m_figure) / capacityOf(Worker);
  }
  for (const RunRef &Each : Worker.m_runs) {
    const double Tail = std::min(tailOf(Each), m_options.m_mostTail);
    if (Tail <= 0.0)
      continue;
    Fit &Of = m_services[Each.m_task->m_step->m_image];
    grow(Of);
    fade(Of, Now);
    for (const auto &[Row, Left] : Shares) {
      for (const auto &[Column, Right] : Shares)
        Of.m_squares[Row][Column] += Left * Right;
      Of.m_products[Row] += Left * Tail;
    }
    if (Now - Of.m_fittedAt < m_options.m_fitInterval)
      continue;
    Of.m_fittedAt = Now;
    solve(Of);
  }
}

void Interference::solve(Fit &Of) const {
  // Gauss-Jordan elimination; the assumed weights keep pivots from zero.
  const std::size_t Size = Of.m_products.size();
  std::vector<std::vector<double>> Rows = Of.m_squares;
  std::vector<double> Right = Of.m_products;
  Rows[0][0] += m_options.m_assumedWeight;
  Right[0] += m_options.m_assumedWeight * m_options.m_usualBase;
  for (std::size_t At = 1; At < Size; ++At) {
    Rows[At][At] += m_options.m_assumedWeight;
    Right[At] += m_options.m_assumedWeight * m_options.m_assumed;
  }
  for (std::size_t At = 0; At < Size; ++At) {
    for (std::size_t Other = 0; Other < Size; ++Other) {
      if (Other == At || Rows[At][At] == 0.0)
        continue;
      const double Ratio = Rows[Other][At] / Rows[At][At];
      if (Ratio == 0.0)
        continue;
      for (std::size_t Column = At; Column < Size; ++Column)
        Rows[Other][Column] -= Ratio * Rows[At][Column];
      Right[Other] -= Ratio * Right[At];
    }
  }
  for (std::size_t At = 0; At < Size; ++At)
    Of.m_factors[At] = std::max(0.0, Right[At] / Rows[At][At]);
}

double Interference::factor(ImageNumber Service, ImageNumber Filler) const {
  if (Service >= m_services.size() ||
      Filler + 1 >= m_services[Service].m_factors.size())
    return m_options.m_assumed;
  return m_services[Service].m_factors[Filler + 1];
}

double Interference::share(const WorkerRow &Worker, ImageNumber Service,
                           const TaskRow &Filler, const RunRow &Run) const {
  return factor(Service, Filler.m_step->m_image) *
         static_cast<double>(Run.m_figure) / capacityOf(Worker);
}

void Interference::renewTails(WorkerRow &Worker) const {
  Worker.m_areTailsStale = false;
  Worker.m_tails.clear();
  for (const RunRef &Each : Worker.m_runs) {
    const StepRow &Step = *Each.m_task->m_step;
    if (!Step.m_spec->m_isService ||
        Step.m_spec->m_targetTail <= Milliseconds::zero())
      continue;
    const auto Found =
        std::find_if(Worker.m_tails.begin(), Worker.m_tails.end(),
                     [&](const WorkerRow::ServiceTail &Tail) {
                       return Tail.m_image == Step.m_image;
                     });
    if (Found == Worker.m_tails.end())
      Worker.m_tails.push_back({Step.m_image, tailOf(Each)});
    else
      Found->m_expected = std::max(Found->m_expected, tailOf(Each));
  }
  for (WorkerRow::ServiceTail &Tail : Worker.m_tails) {
    double Modelled = m_options.m_usualBase;
    for (const RunRef &Each : Worker.m_runs) {
      const StepRow &Step = *Each.m_task->m_step;
      const RunRow *Run = Step.m_spec->m_isFiller ? runOf(Each) : nullptr;
      if (Run)
        Modelled +=
            factor(Tail.m_image, Step.m_image) *
            static_cast<double>(Step.m_spec->m_request.m_milliProcessors) *
            Run->m_pace / 100.0 / capacityOf(Worker);
    }
    Tail.m_expected = std::max(Tail.m_expected, Modelled);
  }
}

double Interference::worstTailWith(WorkerRow &Worker, ImageNumber Filler,
                                   double MilliProcessors) const {
  if (Worker.m_areTailsStale)
    renewTails(Worker);
  double Worst = 0.0;
  for (const WorkerRow::ServiceTail &Each : Worker.m_tails) {
    const double Added =
        factor(Each.m_image, Filler) * MilliProcessors / capacityOf(Worker);
    // A filler that adds next to nothing is no worse for a strained service.
    Worst = std::max(Worst, Added >= m_options.m_leastAdded
                                ? Each.m_expected + Added
                                : Each.m_expected * m_options.m_bearable);
  }
  return Worst;
}

} // namespace catkinseam
