#include "source/control/worker_link.h"

#include <algorithm>
#include <utility>

namespace fulmarrock {
namespace {

/// Pause before an unconfirmed order is repeated.
constexpr Millis kRepeatAfter{400};

/// Most events in one command, so that it stays below the entry limit.
constexpr size_t kMaxEvents = 500;

}  // namespace

void WorkerLink::OnReport(const WorkerReport& report,
                          WorkerNumber worker,
                          Millis now) {
  const bool is_new_process = !m_has_report || report.agent != m_report.agent;
  if (is_new_process) {
    m_proposed_sequence = 0;
    m_stored_sequence = 0;
    m_needs_full = true;
    m_must_describe = true;
  }
  if (worker != m_worker) {
    m_starts.clear();
    m_stops.clear();
    m_strays.clear();
    m_worker = worker;
    m_needs_full = true;
    m_is_releasing = false;
  }
  if (report.has_figures || worker != m_worker) {
    m_serving = report.serving;
    m_fillers = report.fillers;
  }
  m_report = report;
  m_report.events.clear();
  m_report.listed.clear();
  m_has_report = true;
  m_heard_at = now;
  if (m_worker == kNoWorkerNumber)
    return;
  m_attached_process = report.agent;
  Compare(report);
  StopEndedWorkflows();
}

void WorkerLink::StopEndedWorkflows() {
  // A workflow may have ended while no report of this worker had reached the
  // present leader.
  for (const TaskName& task : m_state.RunsOf(m_worker)) {
    if (IsFinal(m_state.Find(task.workflow)->phase))
      AddStop(task, m_state.FindTask(task)->run);
  }
}

bool WorkerLink::Attach(WorkerNumber worker, const WorkerLife& life) {
  if (!m_has_report || !(m_report.life == life))
    return false;
  m_worker = worker;
  m_needs_full = true;
  return true;
}

void WorkerLink::Compare(const WorkerReport& report) {
  m_strays.clear();
  std::set<TaskName> listed;
  for (const RunListing& run : report.listed) {
    const WorkflowTask* task = m_state.FindTask(run.task);
    const bool is_active = task && task->stage == TaskStage::kActive &&
                           task->run == run.run && task->worker == m_worker;
    if (!is_active) {
      m_strays.push_back(run);
      continue;
    }
    listed.insert(run.task);
    m_starts.erase(run.task);
  }
  if (!report.is_full)
    return;
  m_needs_full = false;
  std::set<TaskName> ended;
  for (const RunEvent& event : report.events)
    ended.insert(event.task);
  for (const TaskName& task : m_state.RunsOf(m_worker)) {
    const bool is_settled = listed.contains(task) && !m_must_describe;
    if (!is_settled && !ended.contains(task) && !m_stops.contains(task))
      m_starts.try_emplace(task, PendingOrder(m_state.FindTask(task)->run));
  }
  m_must_describe = false;
}

std::vector<RunEvent> WorkerLink::TakeEvents(const WorkerReport& report) {
  std::vector<RunEvent> events;
  m_proposed_sequence = std::max(m_proposed_sequence, report.stored_sequence);
  for (const RunEvent& event : report.events) {
    if (event.sequence != m_proposed_sequence + 1 ||
        events.size() >= kMaxEvents) {
      continue;
    }
    events.push_back(event);
    m_proposed_sequence = event.sequence;
  }
  return events;
}

void WorkerLink::OnStored(const StoredEvents& stored) {
  if (m_has_report && stored.incarnation == m_report.agent)
    m_stored_sequence = std::max(m_stored_sequence, stored.last_sequence);
}

void WorkerLink::AddStart(const TaskName& task, RunNumber run) {
  m_starts[task] = PendingOrder(run);
}

void WorkerLink::AddStop(const TaskName& task, RunNumber run) {
  m_starts.erase(task);
  m_stops.try_emplace(task, PendingOrder(run));
}

void WorkerLink::OnRunOver(const TaskName& task) {
  m_starts.erase(task);
  m_stops.erase(task);
}

bool WorkerLink::IsDue(const PendingOrder& order, Millis now) {
  return !order.is_sent || now - order.sent_at >= kRepeatAfter;
}

bool WorkerLink::HasDueOrders(Millis now) const {
  const auto is_due = [now](const auto& item) {
    return IsDue(item.second, now);
  };
  return (!m_is_releasing &&
          std::any_of(m_starts.begin(), m_starts.end(), is_due)) ||
         std::any_of(m_stops.begin(), m_stops.end(), is_due);
}

WorkerOrders WorkerLink::TakeOrders(Term term, Millis lease, Millis now) {
  WorkerOrders orders;
  orders.term = term;
  orders.agent = m_report.agent;
  orders.life = m_report.life;
  orders.report_sent_at = m_report.sent_at;
  orders.lease = lease;
  orders.needs_full = m_needs_full;
  orders.stored_sequence = m_stored_sequence;
  for (auto& [task, order] : m_starts) {
    if (m_is_releasing || !IsDue(order, now))
      continue;
    order.is_sent = true;
    order.sent_at = now;
    orders.starts.push_back(MakeStart(task, order.run));
  }
  for (auto& [task, order] : m_stops) {
    if (!IsDue(order, now))
      continue;
    order.is_sent = true;
    order.sent_at = now;
    orders.stops.push_back({task, order.run});
  }
  orders.stops.insert(orders.stops.end(), m_strays.begin(), m_strays.end());
  m_strays.clear();
  orders.slopes = std::exchange(m_slopes, {});
  return orders;
}

StartOrder WorkerLink::MakeStart(const TaskName& task, RunNumber run) const {
  StartOrder order;
  order.task = task;
  order.run = run;
  order.payload = m_state.Find(task.workflow)->spec.payload;
  order.checkpoint = m_state.FindTask(task)->checkpoint;
  const StepSpec& step = *m_state.FindStep(task);
  order.estimate = step.estimate;
  order.is_filler = step.is_filler;
  order.latency_target = step.latency_target;
  order.is_lasting = step.is_lasting;
  order.image = step.image;
  order.cpu_millicores = step.cpu_millicores;
  return order;
}

}  // namespace fulmarrock
