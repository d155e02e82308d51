#include "source/agent/run_table.h"

#include <algorithm>
#include <utility>

namespace fulmarrock {

void RunEventQueue::Add(const TaskName& task,
                        RunNumber run,
                        RunOutcome kind,
                        std::string checkpoint,
                        uint64_t end_number) {
  RunEvent event;
  event.sequence = ++m_last_sequence;
  event.task = task;
  event.run = run;
  event.kind = kind;
  event.checkpoint = std::move(checkpoint);
  m_events.push_back(std::move(event));
  m_end_numbers.push_back(end_number);
  m_last_end = std::max(m_last_end, end_number);
}

void RunEventQueue::OnStored(uint64_t sequence) {
  while (!m_events.empty() && m_events.front().sequence <= sequence) {
    m_stored_end = std::max(m_stored_end, m_end_numbers.front());
    m_events.pop_front();
    m_end_numbers.pop_front();
  }
}

bool RunEventQueue::Holds(const TaskName& task, RunNumber run) const {
  return std::any_of(m_events.begin(), m_events.end(),
                     [&](const RunEvent& event) {
                       return event.task == task && event.run == run;
                     });
}

void RunEventQueue::DiscardEndNumbers() {
  std::fill(m_end_numbers.begin(), m_end_numbers.end(), 0);
  m_last_end = 0;
  m_stored_end = 0;
}

}  // namespace fulmarrock
