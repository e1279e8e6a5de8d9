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

std::size_t Interference::indexOf(const std::string &Filler) {
  // Index zero is the base.
  return m_fillers.emplace(Filler, m_fillers.size() + 1).first->second;
}

void Interference::grow(Fit &Of) const {
  const std::size_t Size = m_fillers.size() + 1;
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
    Shares[indexOf(Spec.m_image)] +=
        static_cast<double>(Run->m_figure) / capacityOf(Worker);
  }
  for (const RunRef &Each : Worker.m_runs) {
    const double Tail = std::min(tailOf(Each), m_options.m_mostTail);
    if (Tail <= 0.0)
      continue;
    Fit &Of = m_services[Each.m_task->m_step->m_spec->m_image];
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

double Interference::factor(const std::string &Service,
                            const std::string &Filler) const {
  const auto Found = m_services.find(Service);
  const auto Index = m_fillers.find(Filler);
  if (Found == m_services.end() || Index == m_fillers.end() ||
      Index->second >= Found->second.m_factors.size())
    return m_options.m_assumed;
  return Found->second.m_factors[Index->second];
}

bool Interference::isKnown(const std::string &Service,
                           const std::string &Filler) const {
  const auto Found = m_services.find(Service);
  const auto Index = m_fillers.find(Filler);
  if (Found == m_services.end() || Index == m_fillers.end() ||
      Index->second >= Found->second.m_factors.size())
    return false;
  return Found->second.m_squares[Index->second][Index->second] >=
         m_options.m_knownWeight;
}

double Interference::share(const WorkerRow &Worker, const std::string &Service,
                           const TaskRow &Filler, const RunRow &Run) const {
  return factor(Service, Filler.m_step->m_spec->m_image) *
         static_cast<double>(Run.m_figure) / capacityOf(Worker);
}

double Interference::worstTailWith(const WorkerRow &Worker,
                                   const std::string &Filler,
                                   double MilliProcessors) const {
  double Worst = 0.0;
  for (const RunRef &Each : Worker.m_runs) {
    const StepSpec &Spec = *Each.m_task->m_step->m_spec;
    if (!Spec.m_isService || Spec.m_targetTail <= Milliseconds::zero())
      continue;
    const double Added =
        factor(Spec.m_image, Filler) * MilliProcessors / capacityOf(Worker);
    double Others = 0.0;
    for (const RunRef &Beside : Worker.m_runs) {
      const StepSpec &Other = *Beside.m_task->m_step->m_spec;
      const RunRow *Run = runOf(Beside);
      if (!Other.m_isFiller || !Run)
        continue;
      Others += factor(Spec.m_image, Other.m_image) *
                static_cast<double>(Other.m_request.m_milliProcessors) *
                Run->m_pace / 100.0 / capacityOf(Worker);
    }
    const double Expected =
        std::max(tailOf(Each), m_options.m_usualBase + Others) + Added;
    Worst = std::max(Worst, Added > 0.05 ? Expected : Expected * 0.5);
  }
  return Worst;
}

} // namespace catkinseam
