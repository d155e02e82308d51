#include "source/agent/unanswered_starts.h"

#include <algorithm>

namespace fulmarrock {
namespace {

/// The worker's clock may be slow, so that its limits last longer here.
constexpr int64_t kSlowClockPercent = 103;

}  // namespace

void UnansweredStarts::Add(const TaskName& task, RunNumber run, Millis now) {
  std::erase_if(m_starts,
                [now](const Start& start) { return now >= start.until; });
  m_starts.push_back({task, run, now + kLateOrderLimit});
}

bool UnansweredStarts::MayArrive(const TaskName& task, Millis now) const {
  return std::any_of(m_starts.begin(), m_starts.end(), [&](const Start& start) {
    return start.task == task && now < start.until;
  });
}

void UnansweredStarts::OnNewLife(const LocalRuns& runs, Millis now) {
  ++m_life_number;
  for (const auto& [task, local] : runs)
    m_earlier[task] = {local.run};
  for (const Start& start : m_starts) {
    if (now >= start.until)
      continue;
    EarlierStart& earlier = m_earlier[start.task];
    earlier.run = std::max(earlier.run, start.run);
  }
  for (auto& [task, earlier] : m_earlier)
    earlier.is_stop_in_flight = false;
}

void UnansweredStarts::StopEarlier(uint64_t fencing_token) {
  for (auto& [task, earlier] : m_earlier) {
    if (earlier.is_stop_in_flight)
      continue;
    earlier.is_stop_in_flight = true;
    m_client.Stop(task, earlier.run, fencing_token,
                  [this, name = task, life = m_life_number](bool is_answered) {
                    if (life != m_life_number)
                      return;
                    const auto it = m_earlier.find(name);
                    if (it == m_earlier.end())
                      return;
                    it->second.is_stop_in_flight = false;
                    if (!is_answered)
                      return;
                    // The worker answers at once and goes on for a moment.
                    m_stopped_at =
                        m_clock.Now() + m_stop_limit * kSlowClockPercent / 100;
                    m_earlier.erase(it);
                  });
  }
}

}  // namespace fulmarrock
