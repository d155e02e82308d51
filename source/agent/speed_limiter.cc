#include "source/agent/speed_limiter.h"

#include <utility>

#include "source/agent/unanswered_starts.h"

namespace fulmarrock {
namespace {

/// Figures of latencies and fillers go to control this often.
constexpr Millis kFigureInterval{500};
/// A lasting task is at work from this share of its start-up on.
constexpr int64_t kAtWorkPercent = 100;

/// Pause between repeats while an order without an answer may be carried out.
constexpr Millis kRepeatInterval{1'000};

}  // namespace

FillerPacer::FillerPacer(const Clock& clock,
                         RunClient& client,
                         DecisionLog& decisions,
                         LocalRuns& runs,
                         FillerControl::MakePolicy make_policy)
    : m_clock(clock),
      m_client(client),
      m_decisions(decisions),
      m_runs(runs),
      m_control(std::move(make_policy)) {}

void FillerPacer::OnNewLife() {
  ++m_life_number;
  m_control.Reset();
  m_has_figures = false;
}

void FillerPacer::OnLook(const LookAnswer& answer) {
  std::vector<ServingFigure> serving;
  std::vector<FillerUse> uses;
  for (const RunRow& row : answer.running) {
    const auto it = m_runs.find(row.task);
    if (it == m_runs.end())
      continue;
    const StartOrder& order = it->second.order;
    if (order.is_filler) {
      uses.push_back({order.image, row.figure});
    } else if (order.latency_target > Millis(0) && row.figure >= 0 &&
               row.percent >= kAtWorkPercent) {
      serving.push_back(
          {order.image, row.figure * 100 / order.latency_target.count()});
    }
  }
  m_has_figures = !serving.empty();
  m_control.Update(serving, uses, m_clock.Now());
}

void FillerPacer::Send(uint64_t fence) {
  const Millis now = m_clock.Now();
  const bool is_repeat = now < m_repeat_until && now >= m_next_repeat;
  if (is_repeat)
    m_next_repeat = now + kRepeatInterval;
  for (auto& [task, local] : m_runs) {
    const bool may_send = local.order.is_filler &&
                          local.stage == RunStage::kRunning &&
                          !local.is_pace_in_flight;
    const bool is_due = is_repeat || local.pace_percent !=
                                         m_control.PercentOf(local.order.image);
    if (may_send && is_due)
      SendTo(task, local, fence);
  }
}

void FillerPacer::SendTo(const TaskName& task,
                         LocalRun& local,
                         uint64_t fence) {
  const int64_t percent = m_control.PercentOf(local.order.image);
  local.is_pace_in_flight = true;
  m_decisions.Write(DecisionLine("filler_pace")
                        .With("task", ToString(task))
                        .With("from", local.pace_percent)
                        .With("to", percent));
  m_client.SetPace(task, local.run, percent, fence,
                   [this, name = task, run = local.run, percent,
                    life = m_life_number](bool is_answered) {
                     const Millis now = m_clock.Now();
                     if (!is_answered)
                       m_repeat_until = now + UnansweredStarts::kLateOrderLimit;
                     const auto it = m_runs.find(name);
                     if (life != m_life_number || it == m_runs.end() ||
                         it->second.run != run) {
                       return;
                     }
                     it->second.is_pace_in_flight = false;
                     it->second.pace_percent = is_answered ? percent : -1;
                     it->second.progress_at = now;
                   });
}

void FillerPacer::AddFigures(WorkerReport& report) {
  const Millis now = m_clock.Now();
  if (!m_has_figures || now - m_figures_sent < kFigureInterval)
    return;
  m_figures_sent = now;
  m_has_figures = false;
  report.has_figures = true;
  report.serving = m_control.serving();
  report.fillers = m_control.Figures();
}

}  // namespace fulmarrock
