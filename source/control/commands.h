#ifndef SOURCE_CONTROL_COMMANDS_H_
#define SOURCE_CONTROL_COMMANDS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "source/base/error.h"
#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/message/configuration.h"
#include "source/message/request_messages.h"
#include "source/message/task_messages.h"
#include "source/workflow/evacuation_table.h"
#include "source/workflow/workflow_commands.h"

namespace fulmarrock {

/// Position of a worker in the worker table.
using WorkerIndex = uint32_t;
inline constexpr WorkerIndex kNoWorker = UINT32_MAX;

/// Replaces the configuration. `token` identifies the caller that waits for the
/// result at the proposing member.
struct ApplyCommand {
  uint64_t token = 0;
  std::string operation_id;
  uint64_t fingerprint = 0;
  uint64_t base_version = 0;
  Configuration configuration;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.token, self.operation_id, self.fingerprint, self.base_version,
            self.configuration);
  }
};

/// Adds a job.
struct SubmitCommand {
  uint64_t token = 0;
  std::string operation_id;
  uint64_t fingerprint = 0;
  JobSpec spec;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.token, self.operation_id, self.fingerprint, self.spec);
  }
};

/// Cancels jobs.
struct CancelCommand {
  uint64_t token = 0;
  std::vector<JobId> jobs;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.token, self.jobs);
  }
};

/// Adds a worker or updates it.
struct AnnounceCommand {
  NodeId node;
  WorkerAnnounce announce;
  /// Accepts an incarnation that was replaced before. Set when the announcement
  /// that replaced it had been delayed, so that the replacing incarnation never
  /// renewed.
  bool accepts_past_incarnation = false;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.node, self.announce, self.accepts_past_incarnation);
  }
};

/// Sets whether an operator drains a worker.
struct DrainCommand {
  uint64_t token = 0;
  NodeId node;
  bool is_draining = false;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.token, self.node, self.is_draining);
  }
};

/// Removes a worker that was unresponsive for long and runs no tasks.
struct RemoveWorkerCommand {
  WorkerIndex worker = kNoWorker;
  Incarnation incarnation = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.worker, self.incarnation);
  }
};

/// Events of one agent, in order.
struct EventsCommand {
  WorkerIndex worker = kNoWorker;
  TaskEvents events;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.worker, self.events);
  }
};

/// Starts the eviction of a running task.
struct EvictCommand {
  HeldLease lease;
  std::string reason;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.lease, self.reason);
  }
};

/// Records why a pending task cannot be placed.
struct UnplaceableCommand {
  TaskId task;
  std::string reason;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.task, self.reason);
  }
};

/// Grants a pending task to a worker under the next epoch.
struct GrantCommand {
  TaskId task;
  Epoch epoch = 0;
  WorkerIndex worker = kNoWorker;
  Incarnation incarnation = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.task, self.epoch, self.worker, self.incarnation);
  }
};

/// Claims the idempotency key of a request for the entry process that received
/// it.
struct ClaimCommand {
  NodeId entry;
  ClaimRequest request;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.entry, self.request);
  }
};

/// Records the outcome of a request that holds a claim.
struct ClaimOutcomeCommand {
  NodeId entry;
  ClaimOutcome outcome;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.entry, self.outcome);
  }
};

/// Content of one log entry. The commands are applied in the order of the
/// fields.
struct CommandBatch {
  /// Replicated time: it advances with the leader's clock and never goes
  /// backwards, not even when the leader changes.
  Millis time;
  std::vector<ApplyCommand> configurations;
  std::vector<SubmitCommand> submissions;
  std::vector<CancelCommand> cancellations;
  std::vector<AnnounceCommand> announcements;
  std::vector<DrainCommand> drains;
  std::vector<EventsCommand> events;
  /// Leases that have expired even with maximum clock drift; their tasks become
  /// pending again.
  std::vector<HeldLease> expired;
  std::vector<RemoveWorkerCommand> removed_workers;
  std::vector<EvictCommand> evictions;
  std::vector<UnplaceableCommand> unplaceable;
  std::vector<GrantCommand> grants;
  std::vector<ClaimCommand> claims;
  std::vector<ClaimOutcomeCommand> claim_outcomes;
  WorkflowBatch workflow;
  /// Applied first, so that no run of this entry starts in a data centre that
  /// it evacuates.
  std::vector<EvacuationCommand> evacuations;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.time, self.configurations, self.submissions,
            self.cancellations, self.announcements, self.drains, self.events,
            self.expired, self.removed_workers, self.evictions,
            self.unplaceable, self.grants, self.claims, self.claim_outcomes,
            self.workflow, self.evacuations);
  }

  /// Whether the batch has no commands.
  bool IsEmpty() const;
};

/// Encodes a batch as the payload of a log entry.
std::string EncodeBatch(const CommandBatch& batch);

/// Decodes a payload; fails with kCorruption.
Result<CommandBatch> DecodeBatch(std::string_view payload);

/// Return hashes of the content of an operation, to detect an operation id that
/// is reused for different content.
uint64_t Fingerprint(uint64_t base_version, const Configuration& configuration);
uint64_t Fingerprint(const JobSpec& spec);

}  // namespace fulmarrock

#endif  // SOURCE_CONTROL_COMMANDS_H_
