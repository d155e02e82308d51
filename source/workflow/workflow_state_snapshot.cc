#include <utility>

#include "source/workflow/workflow_state.h"

// Snapshots of the replicated state of workflows.

namespace fulmarrock {

void WorkflowState::CountTasks(WorkflowRecord& workflow) {
  workflow.active = 0;
  for (WorkflowOccurrence& occurrence : workflow.occurrences) {
    for (WorkflowStep& step : occurrence.steps) {
      step.pending = 0;
      step.done = 0;
      for (const WorkflowTask& task : step.tasks) {
        step.pending += task.stage == TaskStage::kPending;
        step.done += task.stage == TaskStage::kDone;
        workflow.active += task.stage == TaskStage::kActive;
      }
    }
  }
}

WorkflowState::Snapshot WorkflowState::Save() const {
  Snapshot snapshot;
  snapshot.queue_configuration = m_queue_configuration;
  snapshot.last_worker = m_last_worker;
  snapshot.interference_coefficients = InterferenceCoefficients();
  for (const auto& [key, workflow] : m_workflows)
    snapshot.workflows.push_back(workflow);
  for (const auto& [number, worker] : m_workers)
    snapshot.workers.push_back(worker);
  return snapshot;
}

void WorkflowState::Restore(Snapshot snapshot) {
  *this = WorkflowState();
  m_queue_configuration = std::move(snapshot.queue_configuration);
  IndexQueues();
  m_last_worker = snapshot.last_worker;
  for (const InterferenceCoefficient& coefficient :
       snapshot.interference_coefficients)
    StoreCoefficient(coefficient);
  for (WorkerEntry& worker : snapshot.workers) {
    m_worker_by_agent[worker.agent] = worker.number;
    m_workers.emplace(worker.number, std::move(worker));
  }
  for (WorkflowRecord& workflow : snapshot.workflows) {
    CountTasks(workflow);
    const WorkflowKey key = workflow.spec.key;
    if (IsFinal(workflow.phase))
      m_ended.emplace(workflow.ended_at, key);
    if (!IsFinal(workflow.phase) || workflow.active > 0)
      m_open.insert(key);
    for (uint32_t k = 0; k < workflow.occurrences.size(); ++k) {
      const auto& steps = workflow.occurrences[k].steps;
      for (uint32_t s = 0; s < steps.size(); ++s) {
        for (uint32_t i = 0; i < steps[s].tasks.size(); ++i) {
          if (steps[s].tasks[i].stage == TaskStage::kActive)
            m_runs[steps[s].tasks[i].worker].insert({key, k, s, i});
        }
      }
    }
    m_workflows.emplace(key, std::move(workflow));
  }
}

}  // namespace fulmarrock
