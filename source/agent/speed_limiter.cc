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

SpeedLimiter::SpeedLimiter(const Clock& clock,
                           RunClient& client,
                           DecisionLog& decisions,
                           LocalRuns& runs,
                           BestEffortController::MakePolicy make_policy)
    : m_clock(clock),
      m_client(client),
      m_decisions(decisions),
      m_runs(runs),
      m_control(std::move(make_policy)) {}

void SpeedLimiter::OnNewLife() {
  ++m_life_number;
  m_control.Reset();
  m_has_figures = false;
}

void SpeedLimiter::OnLook(const PollResponse& answer) {
  std::vector<LatencyCriticalSample> latency_critical_samples;
  std::vector<ImageCpuUse> uses;
  for (const RunStatus& row : answer.running) {
    const auto it = m_runs.find(row.task);
    if (it == m_runs.end())
      continue;
    const StartInstruction& instruction = it->second.instruction;
    if (instruction.is_best_effort) {
      uses.push_back({instruction.image, row.measurement});
    } else if (instruction.latency_target > Millis(0) && row.measurement >= 0 &&
               row.percent >= kAtWorkPercent) {
      latency_critical_samples.push_back(
          {instruction.image,
           row.measurement * 100 / instruction.latency_target.count()});
    }
  }
  m_has_figures = !latency_critical_samples.empty();
  m_control.Update(latency_critical_samples, uses, m_clock.Now());
}

void SpeedLimiter::Send(uint64_t fencing_token) {
  const Millis now = m_clock.Now();
  const bool is_repeat = now < m_repeat_until && now >= m_next_repeat;
  if (is_repeat)
    m_next_repeat = now + kRepeatInterval;
  for (auto& [task, local] : m_runs) {
    const bool may_send = local.instruction.is_best_effort &&
                          local.stage == RunStage::kRunning &&
                          !local.is_pace_in_flight;
    const bool is_due =
        is_repeat || local.speed_limit_percent !=
                         m_control.PercentOf(local.instruction.image);
    if (may_send && is_due)
      SendTo(task, local, fencing_token);
  }
}

void SpeedLimiter::SendTo(const TaskName& task,
                          LocalRun& local,
                          uint64_t fencing_token) {
  const int64_t percent = m_control.PercentOf(local.instruction.image);
  local.is_pace_in_flight = true;
  m_decisions.Write(DecisionLine("filler_pace")
                        .With("task", ToString(task))
                        .With("from", local.speed_limit_percent)
                        .With("to", percent));
  m_client.SetSpeedLimit(
      task, local.run, percent, fencing_token,
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
        it->second.speed_limit_percent = is_answered ? percent : -1;
        it->second.progress_at = now;
      });
}

void SpeedLimiter::AddFigures(WorkerReport& report) {
  const Millis now = m_clock.Now();
  if (!m_has_figures || now - m_figures_sent < kFigureInterval)
    return;
  m_figures_sent = now;
  m_has_figures = false;
  report.has_samples = true;
  report.latency_critical_samples = m_control.latency_critical_samples();
  report.best_effort_samples = m_control.Figures();
}

}  // namespace fulmarrock
