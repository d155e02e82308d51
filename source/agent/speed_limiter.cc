#include "source/agent/speed_limiter.h"

#include <utility>

#include "source/agent/unconfirmed_starts.h"

namespace fulmarrock {
namespace {

/// Interval at which samples are sent to control.
constexpr Millis kSampleInterval{500};
/// Start-up progress of a latency-critical task from which it serves requests,
/// so that its latency counts.
constexpr int64_t kStartedUpPercent = 100;

/// Interval at which speed limits are sent again while the worker may still
/// execute an earlier request that got no response.
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
      m_controller(std::move(make_policy)) {}

void SpeedLimiter::OnNewWorkerIncarnation() {
  ++m_incarnation_number;
  m_controller.Reset();
  m_has_samples = false;
}

void SpeedLimiter::OnPollResponse(const PollResponse& response) {
  std::vector<LatencyCriticalSample> latency_critical_samples;
  std::vector<ImageCpuUse> cpu_uses;
  for (const RunStatus& listed_run : response.running) {
    const auto it = m_runs.find(listed_run.task);
    if (it == m_runs.end())
      continue;
    const StartInstruction& instruction = it->second.instruction;
    if (instruction.is_best_effort) {
      cpu_uses.push_back({instruction.image, listed_run.measurement});
    } else if (instruction.latency_target > Millis(0) &&
               listed_run.measurement >= 0 &&
               listed_run.percent >= kStartedUpPercent) {
      latency_critical_samples.push_back(
          {instruction.image,
           listed_run.measurement * 100 / instruction.latency_target.count()});
    }
  }
  m_has_samples = !latency_critical_samples.empty();
  m_controller.Update(latency_critical_samples, cpu_uses, m_clock.Now());
}

void SpeedLimiter::Send(uint64_t fencing_token) {
  const Millis now = m_clock.Now();
  const bool is_repeat = now < m_repeat_until && now >= m_next_repeat;
  if (is_repeat)
    m_next_repeat = now + kRepeatInterval;
  for (auto& [task, local] : m_runs) {
    const bool may_send = local.instruction.is_best_effort &&
                          local.stage == RunStage::kRunning &&
                          !local.is_speed_limit_in_flight;
    const bool is_due =
        is_repeat || local.speed_limit_percent !=
                         m_controller.SpeedLimitOf(local.instruction.image);
    if (may_send && is_due)
      SendTo(task, local, fencing_token);
  }
}

void SpeedLimiter::SendTo(const TaskName& task,
                          LocalRun& local,
                          uint64_t fencing_token) {
  const int64_t percent = m_controller.SpeedLimitOf(local.instruction.image);
  local.is_speed_limit_in_flight = true;
  m_decisions.Write(DecisionLine("filler_pace")
                        .With("task", ToString(task))
                        .With("from", local.speed_limit_percent)
                        .With("to", percent));
  m_client.SetSpeedLimit(
      task, local.run, percent, fencing_token,
      [this, name = task, run = local.run, percent,
       incarnation_number = m_incarnation_number](bool has_response) {
        const Millis now = m_clock.Now();
        if (!has_response)
          m_repeat_until = now + UnconfirmedStarts::kMaxRequestDelay;
        const auto it = m_runs.find(name);
        if (incarnation_number != m_incarnation_number || it == m_runs.end() ||
            it->second.run != run) {
          return;
        }
        it->second.is_speed_limit_in_flight = false;
        it->second.speed_limit_percent = has_response ? percent : -1;
        it->second.progress_at = now;
      });
}

void SpeedLimiter::AddSamples(WorkerReport& report) {
  const Millis now = m_clock.Now();
  if (!m_has_samples || now - m_samples_sent_at < kSampleInterval)
    return;
  m_samples_sent_at = now;
  m_has_samples = false;
  report.has_samples = true;
  report.latency_critical_samples = m_controller.latency_critical_samples();
  report.best_effort_samples = m_controller.BestEffortSamples();
}

}  // namespace fulmarrock
