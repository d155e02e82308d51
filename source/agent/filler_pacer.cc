#include "source/agent/filler_pacer.h"

#include <utility>

#include "source/agent/unanswered_starts.h"

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

void FillerPacer::OnNewWorkerIncarnation() {
  ++m_incarnation_number;
  m_control.Reset();
  m_has_samples = false;
}

void FillerPacer::OnPollResponse(const LookAnswer& response) {
  std::vector<ServingFigure> serving;
  std::vector<FillerUse> uses;
  for (const RunRow& listed_run : response.running) {
    const auto it = m_runs.find(listed_run.task);
    if (it == m_runs.end())
      continue;
    const StartOrder& instruction = it->second.instruction;
    if (instruction.is_filler) {
      uses.push_back({instruction.image, listed_run.figure});
    } else if (instruction.latency_target > Millis(0) &&
               listed_run.figure >= 0 &&
               listed_run.percent >= kStartedUpPercent) {
      serving.push_back(
          {instruction.image,
           listed_run.figure * 100 / instruction.latency_target.count()});
    }
  }
  m_has_samples = !serving.empty();
  m_control.Update(serving, uses, m_clock.Now());
}

void FillerPacer::Send(uint64_t fence) {
  const Millis now = m_clock.Now();
  const bool is_repeat = now < m_repeat_until && now >= m_next_repeat;
  if (is_repeat)
    m_next_repeat = now + kRepeatInterval;
  for (auto& [task, local] : m_runs) {
    const bool may_send = local.instruction.is_filler &&
                          local.stage == RunStage::kRunning &&
                          !local.is_speed_limit_in_flight;
    const bool is_due =
        is_repeat ||
        local.pace_percent != m_control.PercentOf(local.instruction.image);
    if (may_send && is_due)
      SendTo(task, local, fence);
  }
}

void FillerPacer::SendTo(const TaskName& task,
                         LocalRun& local,
                         uint64_t fence) {
  const int64_t percent = m_control.PercentOf(local.instruction.image);
  local.is_speed_limit_in_flight = true;
  m_decisions.Write(DecisionLine("filler_pace")
                        .With("task", ToString(task))
                        .With("from", local.pace_percent)
                        .With("to", percent));
  m_client.SetPace(task, local.run, percent, fence,
                   [this, name = task, run = local.run, percent,
                    life = m_incarnation_number](bool has_response) {
                     const Millis now = m_clock.Now();
                     if (!has_response)
                       m_repeat_until =
                           now + UnconfirmedStarts::kMaxRequestDelay;
                     const auto it = m_runs.find(name);
                     if (life != m_incarnation_number || it == m_runs.end() ||
                         it->second.run != run) {
                       return;
                     }
                     it->second.is_speed_limit_in_flight = false;
                     it->second.pace_percent = has_response ? percent : -1;
                     it->second.progress_at = now;
                   });
}

void FillerPacer::AddSamples(WorkerReport& report) {
  const Millis now = m_clock.Now();
  if (!m_has_samples || now - m_samples_sent_at < kSampleInterval)
    return;
  m_samples_sent_at = now;
  m_has_samples = false;
  report.has_figures = true;
  report.serving = m_control.serving();
  report.fillers = m_control.Figures();
}

}  // namespace fulmarrock
