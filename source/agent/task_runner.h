#ifndef SOURCE_AGENT_TASK_RUNNER_H_
#define SOURCE_AGENT_TASK_RUNNER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "source/agent/agent_part.h"
#include "source/agent/kernel_listener.h"
#include "source/agent/latency_probe.h"
#include "source/agent/worker_client.h"
#include "source/base/clock.h"
#include "source/base/counters.h"
#include "source/base/random_source.h"
#include "source/message/transport.h"

namespace fulmarrock {

/// Settings of a TaskRunner.
struct TaskRunnerSettings {
  /// Members of the control group.
  std::vector<NodeId> control_members;
  std::string data_centre;
  std::string rack;
  /// Address at which the agent accepts messages, as "ip:port".
  std::string address;
  Resources capacity;
  Incarnation incarnation = 0;
};

/// Runs tasks on the worker beside the agent under leases from control. A new
/// agent incarnation starts without leases and stops the tasks of its
/// predecessor. Until then the worker suspends the tasks of a dead agent when
/// their leases expire.
class TaskRunner : public AgentPart, public WorkerListener {
 public:
  /// All references outlive the runner.
  TaskRunner(TaskRunnerSettings settings,
             Clock& clock,
             Transport& transport,
             RandomSource& random,
             WorkerClient& worker,
             Counters& counters);

  /// Sets the listener for the kernels that execute here; optional.
  void SetKernelListener(KernelListener& listener) {
    m_kernel_listener = &listener;
  }

  /// Sets the probe for the latency of the service beside the worker. Usage
  /// reports include the latency and the workloads that run there; optional.
  void SetServiceProbe(std::string service, const LatencyProbe& probe) {
    m_service = std::move(service);
    m_service_probe = &probe;
  }

  // AgentPart:
  void OnMessage(const NodeId& from, const Message& message) override;
  void OnTick() override;
  void BeginShutdown() override;
  bool IsDrained() const override;
  std::string Name() const override { return "tasks"; }
  std::string DumpState() const override;

  // WorkerListener:
  void OnTaskEvent(TaskId task,
                   TaskEventKind kind,
                   const std::string& detail,
                   Millis runtime) override;
  void OnPastTaskEnd(TaskId task,
                     Epoch epoch,
                     TaskEventKind kind,
                     const std::string& detail,
                     Millis runtime) override;
  void OnUsage(const std::vector<TaskUsage>& usage) override;

 private:
  enum class LeaseState {
    kRunning,
    kCheckpointing,
    kStopping,
    kEnded,  ///< Kept until control has acknowledged the final event.
  };
  struct Lease {
    Epoch epoch = 0;
    TaskKind kind = TaskKind::kBatch;
    Resources resources;
    bool can_checkpoint = false;
    /// For a kernel, also the affinity name by which requests are routed to it.
    std::string workload;
    LeaseState state = LeaseState::kRunning;
    Millis started_at;
    /// The task may execute before this instant.
    Millis valid_until;
    bool is_suspended = false;
    Millis suspended_at;
    /// Sequence number of the final event once the lease has ended.
    uint64_t final_sequence = 0;
  };
  struct EndedLease {
    Epoch epoch = 0;
    Millis ended_at;
  };

  void OnAnnounceAck(const NodeId& from, const WorkerAnnounceAck& ack);
  void OnRenewReply(const NodeId& from, const LeaseRenewReply& reply);
  void OnGrants(const GrantBatch& batch);
  void OnGrant(const TaskGrant& grant, Millis valid_until);
  void OnStop(const TaskStop& stop);
  void OnEventsAck(const TaskEventsAck& ack);

  /// Adds a lease, also to the digest.
  Lease& AddLease(TaskId task, Epoch epoch);
  void EndLease(TaskId task,
                TaskEventKind kind,
                const std::string& detail,
                Millis runtime);
  void StopLease(TaskId task, Lease& lease, bool with_checkpoint);
  /// Whether a grant or stop names an epoch that has ended here or is older
  /// than the current lease.
  bool IsEndedEpoch(TaskId task, Epoch epoch) const;
  uint64_t AddEvent(TaskEvent event);
  /// Extends the leases that were covered by a renewal sent at this instant.
  void Renew(Millis sent_at, Millis lease_duration);
  void SuspendExpired();
  /// Sends the worker the time for which its tasks may run if this agent dies:
  /// until the first of the leases expires.
  void UpdateWorkerLease();
  /// Notifies the listener if the set of executing kernels has changed.
  void ReportKernels();
  void RemoveEndedLeases();
  void SendAnnounce();
  void SendRenew();
  void SendReport();
  void SendEvents();
  void SendUsage();
  /// Returns the service's latency and the workloads that execute beside it
  /// now.
  std::vector<ServiceLatency> MeasureService() const;
  /// Sends to the leader, or to all control members while no leader is known.
  void SendToControl(const Message& message);

  const TaskRunnerSettings m_settings;
  Clock& m_clock;
  Transport& m_transport;
  RandomSource& m_random;
  WorkerClient& m_worker;
  Counters& m_counters;

  std::string m_service;
  const LatencyProbe* m_service_probe = nullptr;
  KernelListener* m_kernel_listener = nullptr;
  std::vector<std::string> m_kernels;
  std::map<TaskId, Lease> m_leases;
  uint64_t m_digest = 0;
  Resources m_used;
  // Epochs that ended here; late duplicates of their grants are ignored.
  std::unordered_map<TaskId, EndedLease> m_ended_leases;
  Millis m_answered_at;
  std::deque<TaskEvent> m_events;
  uint64_t m_first_sequence = 1;
  uint64_t m_last_sent_sequence = 0;
  bool m_has_unsent_events = false;
  std::vector<TaskUsage> m_usage;

  NodeId m_leader;
  bool m_is_announced = false;
  bool m_is_shutting_down = false;
  bool m_is_renewal_pending = false;
  Millis m_next_announce;
  Millis m_next_renew;
  Millis m_next_events;
  Millis m_next_usage;
  Millis m_next_cleanup;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_TASK_RUNNER_H_
