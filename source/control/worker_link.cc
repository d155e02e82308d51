#include "source/control/worker_link.h"

#include <algorithm>
#include <utility>

namespace fulmarrock {
namespace {

/// Time after which an unconfirmed instruction is sent again.
constexpr Millis kResendAfter{400};

/// Most events in one command, so that it stays below the size limit of a log
/// entry.
constexpr size_t kMaxEvents = 500;

/// Most replaced agent processes that are remembered. Only reports of the last
/// few can still be on their way.
constexpr size_t kMaxReplacedProcesses = 8;

}  // namespace

bool WorkerLink::IsFromReplacedProcess(const WorkerReport& report) const {
  // The send time tells a delayed report from one of the current process that
  // counts as replaced, because a report of its predecessor came after its own.
  return report.sent_at <= m_report.sent_at &&
         std::find(m_replaced_processes.begin(), m_replaced_processes.end(),
                   report.agent_incarnation) != m_replaced_processes.end();
}

bool WorkerLink::IsOutdated(const WorkerReport& report) const {
  return m_has_report &&
         report.agent_incarnation == m_report.agent_incarnation &&
         report.sent_at < m_report.sent_at;
}

void WorkerLink::OnReport(const WorkerReport& report,
                          WorkerNumber worker,
                          Millis now) {
  const bool is_new_process =
      !m_has_report || report.agent_incarnation != m_report.agent_incarnation;
  if (is_new_process) {
    if (m_has_report)
      m_replaced_processes.push_back(m_report.agent_incarnation);
    if (m_replaced_processes.size() > kMaxReplacedProcesses)
      m_replaced_processes.pop_front();
    m_reported_sequence = 0;
    m_proposed_sequence = 0;
    m_stored_sequence = 0;
    m_needs_full_report = true;
    m_must_resend_starts = true;
  }
  if (worker != m_worker) {
    m_starts.clear();
    m_stops.clear();
    m_unknown_runs.clear();
    m_worker = worker;
    m_needs_full_report = true;
    m_is_releasing = false;
    m_latency_critical_samples.clear();
    m_best_effort_samples.clear();
  }
  if (report.has_samples) {
    m_latency_critical_samples = report.latency_critical_samples;
    m_best_effort_samples = report.best_effort_samples;
  }
  m_stored_sequence = std::max(m_stored_sequence, report.stored_sequence);
  m_report = report;
  m_report.events.clear();
  m_report.listed_runs.clear();
  m_has_report = true;
  m_last_report_at = now;
  if (m_worker == kNoWorkerNumber)
    return;
  m_attached_agent_incarnation = report.agent_incarnation;
  Reconcile(report);
  StopEndedWorkflows();
}

void WorkerLink::StopEndedWorkflows() {
  // A workflow may have ended before the first report of this worker reached
  // the current leader.
  for (const TaskName& task : m_state.RunsOf(m_worker)) {
    if (IsFinal(m_state.Find(task.workflow)->phase))
      AddStop(task, m_state.FindTask(task)->run);
  }
}

bool WorkerLink::Attach(WorkerNumber worker,
                        const WorkerIncarnation& worker_incarnation) {
  if (!m_has_report || !(m_report.worker_incarnation == worker_incarnation))
    return false;
  m_worker = worker;
  m_needs_full_report = true;
  // They are for runs of earlier worker incarnations, which were released.
  m_stops.clear();
  return true;
}

bool WorkerLink::IsActiveHere(const RunId& run) const {
  const WorkflowTask* task = m_state.FindTask(run.task);
  return task && task->stage == TaskStage::kActive && task->run == run.run &&
         task->worker == m_worker;
}

void WorkerLink::Reconcile(const WorkerReport& report) {
  m_unknown_runs.clear();
  std::set<TaskName> listed_runs;
  for (const RunId& run : report.listed_runs) {
    if (!IsActiveHere(run)) {
      m_unknown_runs.push_back(run);
      continue;
    }
    listed_runs.insert(run.task);
    m_starts.erase(run.task);
  }
  // The instruction to stop an unknown run may be lost. The agent lists the run
  // again until it stops it.
  const bool has_unknown_runs = !m_unknown_runs.empty();
  for (const RunId& run : report.runs_without_instruction) {
    if (!IsActiveHere(run))
      m_unknown_runs.push_back(run);
    else if (!m_stops.contains(run.task))
      m_starts.try_emplace(run.task, PendingInstruction(run.run));
  }
  if (!report.is_full_report) {
    m_needs_full_report |= has_unknown_runs;
    return;
  }
  m_needs_full_report = has_unknown_runs;
  std::set<TaskName> ended;
  for (const RunEvent& event : report.events) {
    // The end of an earlier run of the task may be stored already.
    if (IsActiveHere({event.task, event.run}))
      ended.insert(event.task);
  }
  for (const TaskName& task : m_state.RunsOf(m_worker)) {
    const bool is_confirmed =
        listed_runs.contains(task) && !m_must_resend_starts;
    if (is_confirmed || ended.contains(task) || m_stops.contains(task))
      continue;
    // A new agent process ignored what was sent before it polled its worker.
    if (m_must_resend_starts)
      m_starts.erase(task);
    m_starts.try_emplace(task, PendingInstruction(m_state.FindTask(task)->run));
  }
  m_must_resend_starts = false;
}

std::vector<RunEvent> WorkerLink::TakeEvents(const WorkerReport& report) {
  std::vector<RunEvent> events;
  m_proposed_sequence = std::max(m_proposed_sequence, report.stored_sequence);
  for (const RunEvent& event : report.events) {
    m_reported_sequence = std::max(m_reported_sequence, event.sequence);
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
  if (!m_has_report || stored.incarnation != m_report.agent_incarnation)
    return;
  if (stored.first_sequence > m_stored_sequence + 1) {
    // The events before these were lost. The agent sends all again, since none
    // is acknowledged.
    m_proposed_sequence = m_stored_sequence;
    return;
  }
  m_stored_sequence = std::max(m_stored_sequence, stored.last_sequence);
}

void WorkerLink::AddStart(const TaskName& task, RunNumber run) {
  m_starts[task] = PendingInstruction(run);
}

void WorkerLink::AddStop(const TaskName& task, RunNumber run) {
  m_starts.erase(task);
  const auto it = m_stops.try_emplace(task, PendingInstruction(run)).first;
  // An earlier run of the task may have ended without notice of this link.
  if (it->second.run != run)
    it->second = PendingInstruction(run);
}

void WorkerLink::OnRunEnded(const TaskName& task) {
  m_starts.erase(task);
  m_stops.erase(task);
}

bool WorkerLink::IsDue(const PendingInstruction& instruction, Millis now) {
  return !instruction.is_sent || now - instruction.sent_at >= kResendAfter;
}

std::vector<RunId> WorkerLink::OverdueStops(Millis limit, Millis now) const {
  std::vector<RunId> overdue;
  for (const auto& [task, instruction] : m_stops) {
    if (instruction.is_sent && now - instruction.first_sent_at >= limit)
      overdue.push_back({task, instruction.run});
  }
  return overdue;
}

void WorkerLink::MarkSent(PendingInstruction& instruction, Millis now) {
  if (!instruction.is_sent)
    instruction.first_sent_at = now;
  instruction.is_sent = true;
  instruction.sent_at = now;
}

bool WorkerLink::HasDueInstructions(Millis now) const {
  const auto is_due = [now](const auto& item) {
    return IsDue(item.second, now);
  };
  return (!m_is_releasing &&
          std::any_of(m_starts.begin(), m_starts.end(), is_due)) ||
         std::any_of(m_stops.begin(), m_stops.end(), is_due);
}

WorkerInstructions WorkerLink::TakeInstructions(Term term,
                                                Millis lease,
                                                Millis now) {
  WorkerInstructions instructions;
  instructions.term = term;
  instructions.agent_incarnation = m_report.agent_incarnation;
  instructions.worker_incarnation = m_report.worker_incarnation;
  instructions.report_sent_at = m_report.sent_at;
  instructions.lease = lease;
  instructions.needs_full_report = m_needs_full_report;
  instructions.stored_sequence = m_stored_sequence;
  for (auto& [task, instruction] : m_starts) {
    if (m_is_releasing || !IsDue(instruction, now))
      continue;
    MarkSent(instruction, now);
    instructions.starts.push_back(MakeStart(task, instruction.run));
  }
  for (auto& [task, instruction] : m_stops) {
    if (!IsDue(instruction, now))
      continue;
    MarkSent(instruction, now);
    instructions.stops.push_back({task, instruction.run});
  }
  instructions.stops.insert(instructions.stops.end(), m_unknown_runs.begin(),
                            m_unknown_runs.end());
  m_unknown_runs.clear();
  instructions.interference_coefficients =
      std::exchange(m_interference_coefficients, {});
  return instructions;
}

StartInstruction WorkerLink::MakeStart(const TaskName& task,
                                       RunNumber run) const {
  StartInstruction instruction;
  instruction.task = task;
  instruction.run = run;
  instruction.payload = m_state.Find(task.workflow)->spec.payload;
  instruction.checkpoint = m_state.FindTask(task)->checkpoint;
  const StepSpec& step = *m_state.FindStep(task);
  instruction.estimate = step.estimate;
  instruction.is_best_effort = step.is_best_effort;
  instruction.latency_target = step.latency_target;
  instruction.is_long_running = step.is_long_running;
  instruction.image = step.image;
  instruction.cpu_millicores = step.cpu_millicores;
  instruction.memory_mib = step.memory_mib;
  instruction.accelerators = step.accelerators;
  return instruction;
}

}  // namespace fulmarrock
