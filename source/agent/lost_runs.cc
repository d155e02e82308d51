#include "source/agent/lost_runs.h"

#include <utility>

namespace fulmarrock {
namespace {

/// A run that started longer before the crash than this did not cause it by
/// starting.
constexpr Millis kStartupTime{300};

/// Time for which lost runs are reported. An election and the registration of
/// the next worker fit in.
constexpr Millis kReportTime{20'000};

}  // namespace

void LostRuns::OnConnectionLost(Millis now) {
  if (!m_connection_lost_at)
    m_connection_lost_at = now;
}

void LostRuns::OnWorkerResponsive() {
  m_connection_lost_at.reset();
  m_expired_runs.clear();
}

void LostRuns::OnLeaseExpired(const LocalRuns& runs) {
  Add(runs, m_expired_runs);
}

void LostRuns::OnCrash(const LocalRuns& runs, Millis now) {
  m_runs = std::exchange(m_expired_runs, {});
  Add(runs, m_runs);
  m_connection_lost_at.reset();
  m_crash_seen_at = now;
}

void LostRuns::Add(const LocalRuns& runs,
                   std::vector<LostRun>& lost_runs) const {
  for (const auto& [task, local] : runs) {
    // A start without a response may not have reached the worker.
    const bool has_just_started =
        local.is_confirmed && m_connection_lost_at &&
        *m_connection_lost_at - local.started_at < kStartupTime;
    lost_runs.push_back({task, local.run, has_just_started});
  }
}

void LostRuns::Remove(const TaskName& task, RunNumber run) {
  std::erase_if(m_runs, [&](const LostRun& lost) {
    return lost.task == task && lost.run == run;
  });
}

std::vector<LostRun> LostRuns::ToReport(Millis now) const {
  if (now - m_crash_seen_at >= kReportTime)
    return {};
  return m_runs;
}

}  // namespace fulmarrock
