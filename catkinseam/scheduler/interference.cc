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
  Learned.m_periods.assign(m_periods.begin(), m_periods.end());
  return Learned;
}

void Interference::adopt(const Knowledge &Learned, TimePoint Now) {
  if (!m_numbers.empty())
    return;
  for (const std::string &Each : Learned.m_images)
    numberOf(Each);
  m_fillers.insert(Learned.m_fillers.begin(), Learned.m_fillers.end());
  if (Learned.m_periods.size() == m_periods.size())
    std::copy(Learned.m_periods.begin(), Learned.m_periods.end(),
              m_periods.begin());
  for (const Knowledge::Service &Each : Learned.m_services) {
    Fit &Of = m_services[numberOf(Each.m_image)];
    const bool IsSquare =
        Each.m_squares.size() == Each.m_products.size() &&
        Each.m_products.size() <= m_numbers.size() &&
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
  const std::size_t Size = m_numbers.size();
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

void Interference::noteHeldBack(double Share) {
  m_heldBack += m_options.m_heldBackPart * (Share - m_heldBack);
}

double Interference::safeLoad(const PlannedStep &Service) const {
  const double Pressed = std::min(1.0, m_heldBack / m_options.m_pressedShare);
  const double Spread =
      std::min(1.0, (static_cast<double>(Service.m_spec->m_count) - 1.0) /
                        (m_options.m_manyInstances - 1.0));
  return loadAt(Service.m_image,
                m_options.m_calmTail +
                    Pressed * Spread *
                        (m_options.m_pressedTail - m_options.m_calmTail));
}

double Interference::slackOf(const RunRef &Service) const {
  const PlannedStep &Step = *Service.m_task->m_step;
  return std::max(0.0, loadAt(Step.m_image, m_options.m_pressedTail) -
                           safeLoad(Step));
}

double Interference::roomOf(const RunRef &Service, TimePoint From,
                            Duration For) const {
  return safeLoad(*Service.m_task->m_step) - ownLoad(Service, From, For);
}

Interference::Shares Interference::sharesOf(PlannedWorker &Worker,
                                            TimePoint Now) const {
  Shares Used(m_numbers.size(), 0.0);
  for (const RunRef &Each : Worker.m_runs) {
    const PlannedStep &Step = *Each.m_task->m_step;
    const PlannedRun *Run = Step.m_spec->m_isFiller ? runOf(Each) : nullptr;
    if (Run && Run->m_figure > 0)
      Used[Step.m_image] +=
          static_cast<double>(Run->m_figure) / capacityOf(Worker);
  }
  const Duration Span = m_options.m_reportSpan;
  std::erase_if(Worker.m_endedFillers,
                [&](const PlannedWorker::EndedFiller &Each) {
                  return Now - Each.m_endedAt >= Span;
                });
  for (const PlannedWorker::EndedFiller &Each : Worker.m_endedFillers) {
    const double Part =
        1.0 - std::chrono::duration<double>(Now - Each.m_endedAt) / Span;
    Used[Each.m_image] +=
        Part * static_cast<double>(Each.m_figure) / capacityOf(Worker);
  }
  return Used;
}

void Interference::observe(PlannedWorker &Worker, TimePoint Now) {
  const Duration Since = Now - Worker.m_observedAt;
  if (Since < m_options.m_reportInterval)
    return;
  Worker.m_observedAt = Now;
  for (const RunRef &Each : Worker.m_runs)
    if (Each.m_task->m_step->m_spec->m_isFiller)
      m_fillers.insert(Each.m_task->m_step->m_image);
  const Shares Used = sharesOf(Worker, Now);
  for (const RunRef &Each : Worker.m_runs) {
    const double Tail = tailOf(Each);
    if (Tail <= 0.0)
      continue;
    PlannedStep &Step = *Each.m_task->m_step;
    if (!Step.m_habits)
      Step.m_habits = std::make_unique<ServiceHabits>();
    Fit &Of = m_services[Step.m_image];
    if (Of.m_leastTail == 0.0 || Tail < Of.m_leastTail)
      Of.m_leastTail = Tail;
    const double Load = loadAt(Step.m_image, Tail);
    learn(Of, *Step.m_habits, Load, Used, Now);
    double Pressed = 0.0;
    for (ImageNumber Filler = 0; Filler < Used.size(); ++Filler)
      if (Used[Filler] > 0.0)
        Pressed += pressure(Step.m_image, Filler) * Used[Filler];
    noteOwn(Each, Load, Pressed, Since, Now);
  }
}

void Interference::learn(Fit &Of, ServiceHabits &Habits, double Load,
                         const Shares &Used, TimePoint Now) const {
  const double Left =
      std::exp(-std::chrono::duration<double>(Now - Habits.m_meanAt).count() /
               std::chrono::duration<double>(m_options.m_compareTime).count());
  Habits.m_meanAt = Now;
  Habits.m_weight *= Left;
  Habits.m_shares.resize(Used.size(), 0.0);
  grow(Of);
  constexpr double LeastWeight = 0.3;
  if (Habits.m_weight >= LeastWeight) {
    // The fewer reports the mean rests on, the less the difference says.
    const double Weight = Habits.m_weight / (1.0 + Habits.m_weight);
    Shares Differences = Used;
    double Expected = 0.0;
    for (ImageNumber Image = 0; Image < Used.size(); ++Image) {
      Differences[Image] -= Habits.m_shares[Image];
      Expected += Of.m_pressures[Image] * Differences[Image];
    }
    const double Difference =
        std::clamp(Load - Habits.m_load, Expected - m_options.m_mostSurprise,
                   Expected + m_options.m_mostSurprise);
    fade(Of, Now);
    for (ImageNumber Row = 0; Row < Used.size(); ++Row) {
      if (Differences[Row] == 0.0)
        continue;
      for (ImageNumber Column = 0; Column < Used.size(); ++Column)
        Of.m_squares[Row][Column] +=
            Weight * Differences[Row] * Differences[Column];
      Of.m_products[Row] += Weight * Differences[Row] * Difference;
    }
  }
  Habits.m_weight += 1.0;
  Habits.m_load += (Load - Habits.m_load) / Habits.m_weight;
  for (ImageNumber Image = 0; Image < Used.size(); ++Image)
    Habits.m_shares[Image] +=
        (Used[Image] - Habits.m_shares[Image]) / Habits.m_weight;
  if (Now - Of.m_fittedAt >= m_options.m_fitInterval) {
    Of.m_fittedAt = Now;
    solve(Of);
  }
}

void Interference::noteOwn(const RunRef &Service, double Load, double Pressed,
                           Duration Since, TimePoint Now) {
  ServiceHabits &Habits = *Service.m_task->m_step->m_habits;
  const TimePoint At = Now - m_options.m_reportSpan / 2;
  const double Own = Load - Pressed;
  Habits.m_swing.observe(At, Own);
  if (Now - Habits.m_fittedAt >= m_options.m_habitsInterval) {
    Habits.m_fittedAt = Now;
    Habits.m_swing.fit(m_periods);
  }
  for (PlannedRun &Run : Service.m_task->m_runs) {
    if (Run.m_number != Service.m_run)
      continue;
    const double Seconds = std::chrono::duration<double>(Since).count();
    constexpr double LongestStep = 3.0;
    const double Trend = Run.m_ownLoad > 0.0 && Seconds < LongestStep
                             ? (Own - Run.m_ownLoad) / Seconds
                             : 0.0;
    Run.m_ownTrend += m_options.m_trendPart * (Trend - Run.m_ownTrend);
    Run.m_ownLoad = Own;
    const double Excess =
        Habits.m_swing.isKnown() ? Own - Habits.m_swing.at(At) : 0.0;
    Run.m_ownExcess += m_options.m_excessPart * (Excess - Run.m_ownExcess);
    Run.m_ownAt = At;
  }
}

double Interference::ownLoad(const RunRef &Service, TimePoint From,
                             Duration For) const {
  const PlannedRun *Run = runOf(Service);
  const ServiceHabits *Habits = Service.m_task->m_step->m_habits.get();
  if (Habits && Habits->m_swing.isKnown()) {
    const Duration Age = From + For / 2 - (Run ? Run->m_ownAt : From);
    const double Left =
        std::exp(-std::chrono::duration<double>(Age).count() /
                 std::chrono::duration<double>(m_options.m_excessTime).count());
    return Habits->m_swing.most(From, For) +
           (Run ? Run->m_ownExcess * Left : 0.0);
  }
  if (!Run || tailOf(Service) <= 0.0)
    return m_options.m_usualLoad;
  const double Ahead =
      std::chrono::duration<double>(m_options.m_lookAhead).count();
  return std::max(m_options.m_usualLoad,
                  Run->m_ownLoad + std::max(0.0, Run->m_ownTrend) * Ahead);
}

void Interference::solve(Fit &Of) const {
  // Gauss-Jordan elimination; the assumed weights keep pivots from zero.
  const std::size_t Size = Of.m_products.size();
  std::vector<std::vector<double>> Rows = Of.m_squares;
  std::vector<double> Right = Of.m_products;
  for (std::size_t At = 0; At < Size; ++At) {
    Rows[At][At] += m_options.m_assumedWeight;
    Right[At] += m_options.m_assumedWeight * m_options.m_assumed;
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
      Filler >= m_services[Service].m_pressures.size())
    return m_options.m_assumed;
  return m_services[Service].m_pressures[Filler];
}

double Interference::added(const PlannedWorker &Worker, ImageNumber Service,
                           ImageNumber Filler, double MilliProcessors) const {
  return pressure(Service, Filler) * MilliProcessors / capacityOf(Worker);
}

double Interference::processorsOf(const PlannedWorker &Worker, TimePoint From,
                                  Duration For) const {
  double Used = 0.0;
  for (const RunRef &Each : Worker.m_runs) {
    const StepSpec &Spec = *Each.m_task->m_step->m_spec;
    if (Spec.m_isService)
      Used += static_cast<double>(Spec.m_request.m_milliProcessors) *
              std::clamp(ownLoad(Each, From, For), 0.0, 1.0);
  }
  return Used;
}

void Interference::renewTails(PlannedWorker &Worker, TimePoint Now) const {
  Worker.m_areTailsStale = false;
  Worker.m_tails.clear();
  Worker.m_serviceUse = processorsOf(Worker, Now, m_options.m_placeAhead);
  for (const RunRef &Each : Worker.m_runs) {
    const PlannedStep &Step = *Each.m_task->m_step;
    if (!Step.m_spec->m_isService ||
        Step.m_spec->m_targetTail <= Milliseconds::zero())
      continue;
    const double Room =
        safeLoad(Step) - ownLoad(Each, Now, m_options.m_placeAhead);
    const double Part = 1.0 / static_cast<double>(Step.m_spec->m_count);
    const auto Found =
        std::find_if(Worker.m_tails.begin(), Worker.m_tails.end(),
                     [&](const PlannedWorker::ServiceTail &Tail) {
                       return Tail.m_image == Step.m_image;
                     });
    if (Found == Worker.m_tails.end())
      Worker.m_tails.push_back({Step.m_image, Room, Part});
    else {
      Found->m_room = std::min(Found->m_room, Room);
      Found->m_parts += Part;
    }
  }
  for (PlannedWorker::ServiceTail &Tail : Worker.m_tails) {
    for (const RunRef &Each : Worker.m_runs) {
      const PlannedStep &Step = *Each.m_task->m_step;
      const PlannedRun *Run = Step.m_spec->m_isFiller ? runOf(Each) : nullptr;
      if (Run)
        Tail.m_room -= added(
            Worker, Tail.m_image, Step.m_image,
            static_cast<double>(Step.m_spec->m_request.m_milliProcessors) *
                Run->m_pace / 100.0);
    }
  }
  if (m_fillers.empty())
    return;
  const auto Borne =
      std::count_if(m_fillers.begin(), m_fillers.end(), [&](ImageNumber Each) {
        return offerTo(Worker, Each, m_options.m_usualFiller, Now).m_room >=
               0.0;
      });
  Worker.m_bearable =
      static_cast<double>(Borne) / static_cast<double>(m_fillers.size());
}

Interference::Offer Interference::offerTo(PlannedWorker &Worker,
                                          ImageNumber Filler,
                                          double MilliProcessors,
                                          TimePoint Now) const {
  if (Worker.m_areTailsStale)
    renewTails(Worker, Now);
  Offer Least;
  for (const PlannedWorker::ServiceTail &Each : Worker.m_tails) {
    const double More = added(Worker, Each.m_image, Filler, MilliProcessors);
    if (More < m_options.m_leastAdded)
      continue;
    Least.m_pressed += Each.m_parts;
    Least.m_room = std::min(Least.m_room, Each.m_room - More);
    Least.m_pace = std::min(Least.m_pace, std::max(0.0, Each.m_room / More));
  }
  return Least;
}

} // namespace catkinseam
