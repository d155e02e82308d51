#ifndef SOURCE_WORKFLOW_WORKFLOW_COMMANDS_H_
#define SOURCE_WORKFLOW_WORKFLOW_COMMANDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "source/base/ids.h"
#include "source/message/workflow.h"
#include "source/message/workflow_messages.h"

namespace fulmarrock {

/// Number of a worker incarnation in the replicated state; never reused.
using WorkerNumber = uint64_t;
inline constexpr WorkerNumber kNoWorkerNumber = 0;

/// Sets the queues and services. `token` identifies the caller that waits at
/// the proposer.
struct ConfigureQueues {
  uint64_t token = 0;
  QueueConfiguration queue_configuration;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.token, self.queue_configuration);
  }
};

/// Adds a workflow to the queue of a host and path.
struct SubmitWorkflow {
  uint64_t token = 0;
  std::string host;
  std::string path;
  WorkflowSpec spec;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.token, self.host, self.path, self.spec);
  }
};

/// Cancels a workflow.
struct CancelWorkflow {
  uint64_t token = 0;
  WorkflowKey key = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.token, self.key);
  }
};

/// Adds a worker incarnation.
struct RegisterWorker {
  NodeId agent;
  WorkerIncarnation worker_incarnation;
  WorkerAttributes attributes;
  /// Runs that the agent's earlier worker had when it crashed.
  std::vector<LostRun> lost_runs;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.agent, self.worker_incarnation, self.attributes,
            self.lost_runs);
  }
};

/// Releases all runs of a worker, which have ended even with maximum clock
/// drift, so that their tasks are pending again.
struct ReleaseWorker {
  WorkerNumber worker = kNoWorkerNumber;
  /// Whether the worker incarnation has ended, so that it is removed.
  bool removes_worker = false;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.worker, self.removes_worker);
  }
};

/// Records runs that ended.
struct RecordEvents {
  NodeId agent;
  Incarnation incarnation = 0;
  std::vector<RunEvent> events;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.agent, self.incarnation, self.events);
  }
};

/// Assigns a pending task to a worker as its next run.
struct AssignRun {
  TaskName task;
  RunNumber run = 0;
  WorkerNumber worker = kNoWorkerNumber;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.task, self.run, self.worker);
  }
};

/// The part of a log entry that concerns workflows, applied in the order of the
/// fields.
struct WorkflowBatch {
  std::vector<ConfigureQueues> configurations;
  std::vector<RegisterWorker> workers;
  std::vector<RecordEvents> events;
  std::vector<ReleaseWorker> releases;
  std::vector<SubmitWorkflow> submissions;
  std::vector<CancelWorkflow> cancellations;
  std::vector<AssignRun> assignments;
  /// Coefficients that changed since the leader last stored them.
  std::vector<InterferenceCoefficient> interference_coefficients;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.configurations, self.workers, self.events, self.releases,
            self.submissions, self.cancellations, self.assignments,
            self.interference_coefficients);
  }

  bool IsEmpty() const {
    return configurations.empty() && workers.empty() && events.empty() &&
           releases.empty() && submissions.empty() && cancellations.empty() &&
           assignments.empty() && interference_coefficients.empty();
  }
};

}  // namespace fulmarrock

#endif  // SOURCE_WORKFLOW_WORKFLOW_COMMANDS_H_
