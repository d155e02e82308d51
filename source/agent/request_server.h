#ifndef SOURCE_AGENT_REQUEST_SERVER_H_
#define SOURCE_AGENT_REQUEST_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "source/agent/agent_part.h"
#include "source/agent/kernel_listener.h"
#include "source/agent/latency_window.h"
#include "source/agent/request_queue.h"
#include "source/agent/request_records.h"
#include "source/agent/target_client.h"
#include "source/base/clock.h"
#include "source/base/counters.h"
#include "source/message/transport.h"

namespace fulmarrock {

/// Settings of a RequestServer.
struct RequestServerOptions {
  std::string service;
  std::string data_centre;
  /// Address at which this agent accepts messages, as "ip:port".
  std::string address;
  /// Random number drawn at each start, not zero.
  Incarnation incarnation = 0;
  /// Entries that learn of this target.
  std::vector<NodeId> entries;
  /// Requests the target works on at once, and connections it accepts.
  int32_t slots = 8;
  int32_t connections = 64;
  /// Requests that may wait. Two per slot keep a target busy between replies;
  /// more would only wait here instead of at a less loaded target.
  size_t max_queued = 16;
  Millis announce_interval{500};
  /// A started request whose target is silent for this long after the deadline
  /// gives its slot back. Its connection stays counted until it ends.
  Millis hung_grace{10'000};
  /// Requests still queued this long after the start of a planned stop are
  /// refused, since a leaving target gets no new work.
  Millis leave_grace{2000};
  /// Time a stopping agent answers queries after its last reply.
  Millis drain_linger{500};
  RequestRecords::Limits records;
};

/// The agent's interactive part: queues requests for the slots of its target,
/// refuses what cannot finish in time, and runs each request at most once.
class RequestServer : public AgentPart, public KernelListener {
 public:
  /// Time over which the percentiles and RecentCount() look back. A p99 over
  /// fewer requests is mostly chance.
  static constexpr Millis kLatencySpan{10'000};

  RequestServer(RequestServerOptions options,
                const Clock& clock,
                Transport& transport,
                TargetClient& target,
                Counters& counters);

  void OnMessage(const NodeId& from, const Message& message) override;
  void OnTick() override;
  void BeginShutdown() override;
  bool IsDrained() const override;
  std::string Name() const override { return "requests"; }
  std::string DumpState() const override;

  /// Replaces the affinity names that this target owns at all times.
  void SetAffinities(std::vector<std::string> affinities);

  /// Replaces the affinity names of the kernels on this instance, which are
  /// owned beside those of SetAffinities().
  void OnKernelsChanged(const std::vector<std::string>& kernels) override;

  /// Time from arrival to answer that 90% or 99% of recent requests stay
  /// within, or zero without recent requests.
  Millis RecentP90() const { return m_latency.Percentile(m_clock.Now(), 0.9); }
  Millis RecentP99() const { return m_latency.P99(m_clock.Now()); }

  /// Number of requests that RecentP99() covers.
  size_t RecentCount() const { return m_latency.CountAt(m_clock.Now()); }

 private:
  struct Running {
    NodeId entry;
    std::string customer;
    Millis arrival;
    Millis start;
    Millis deadline;
  };

  void OnForward(const NodeId& from, const RequestForward& forward);
  void OnCancel(const NodeId& from, const RequestCancel& cancel);
  void OnQuery(const NodeId& from, const RequestQuery& query);
  /// Returns why a request cannot be taken, or an empty text.
  std::string FindObstacle(const RequestForward& forward) const;
  bool CanMeetDeadline(const RequestForward& forward) const;
  bool OwnsAffinity(const std::string& affinity) const;
  void RefuseQueued(std::vector<QueuedRequest> requests,
                    const std::string& reason);
  void DispatchQueued();
  void Start(QueuedRequest request);
  void OnTargetDone(RequestId id, TargetResponse response);
  void ReleaseHungSlots();
  void Refuse(const NodeId& entry, RequestId id, std::string reason);
  void Finish(RequestRecords::State state,
              const NodeId& to,
              RequestReply reply);
  void SendReply(const NodeId& to, RequestReply reply);
  RequestReply MakeReply(RequestId id,
                         Outcome outcome,
                         std::string reason) const;
  bool IsLeaving() const { return m_is_stopping || !m_is_healthy; }
  TargetLoad CurrentLoad() const;
  void UpdateAffinities();
  void Announce();

  RequestServerOptions m_options;
  const Clock& m_clock;
  Transport& m_transport;
  TargetClient& m_target;
  Counters& m_counters;
  RequestQueue m_queue;
  RequestRecords m_records;
  LatencyWindow m_latency;
  std::unordered_map<RequestId, Running> m_running;
  std::vector<std::string> m_fixed_affinities;
  std::vector<std::string> m_kernels;
  // Both together, sorted.
  std::vector<std::string> m_affinities;
  int32_t m_open_connections = 0;
  // Smoothed service time in milliseconds; negative before the first sample.
  double m_service_time = -1;
  Millis m_next_announce;
  Millis m_last_reply;
  Millis m_stop_time;
  bool m_is_stopping = false;
  bool m_is_healthy = true;
  // Callbacks of the target hold a weak reference, since they may outlive this.
  std::shared_ptr<RequestServer*> m_self;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_REQUEST_SERVER_H_
