#include "source/agent/unconfirmed_starts.h"

#include <algorithm>

namespace fulmarrock {
namespace {

/// The worker's clock may be slow, so that its timeouts take up to this
/// percentage of their length on the agent's clock.
constexpr int64_t kSlowClockPercent = 103;

}  // namespace

void UnconfirmedStarts::Add(const TaskName& task, RunNumber run) {
  m_clock.Update();
  const Millis now = m_clock.Now();
  std::erase_if(m_starts,
                [now](const Start& start) { return now >= start.until; });
  m_starts.push_back({task, run, now + kMaxRequestDelay});
}

bool UnconfirmedStarts::MayStillExecute(const TaskName& task) const {
  const Millis now = m_clock.Now();
  return std::any_of(m_starts.begin(), m_starts.end(), [&](const Start& start) {
    return start.task == task && now < start.until;
  });
}

void UnconfirmedStarts::OnNewWorkerIncarnation(const LocalRuns& runs) {
  const Millis now = m_clock.Now();
  ++m_incarnation_number;
  for (const auto& [task, local] : runs)
    m_earlier_starts[task] = {local.run};
  for (const Start& start : m_starts) {
    if (now >= start.until)
      continue;
    EarlierStart& earlier = m_earlier_starts[start.task];
    earlier.run = std::max(earlier.run, start.run);
  }
  for (auto& [task, earlier] : m_earlier_starts)
    earlier.is_stop_in_flight = false;
}

void UnconfirmedStarts::StopEarlierStarts(uint64_t fencing_token) {
  for (auto& [task, earlier] : m_earlier_starts) {
    if (earlier.is_stop_in_flight)
      continue;
    earlier.is_stop_in_flight = true;
    m_client.Stop(
        task, earlier.run, fencing_token,
        [this, name = task,
         incarnation_number = m_incarnation_number](bool has_response) {
          if (incarnation_number != m_incarnation_number)
            return;
          const auto it = m_earlier_starts.find(name);
          if (it == m_earlier_starts.end())
            return;
          it->second.is_stop_in_flight = false;
          if (!has_response)
            return;
          // The worker responds before the run has ended.
          m_clock.Update();
          m_stops_effective_at =
              m_clock.Now() + m_stop_timeout * kSlowClockPercent / 100;
          m_earlier_starts.erase(it);
        });
  }
}

}  // namespace fulmarrock
