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
  /// Random number chosen at each start, not zero.
  Incarnation incarnation = 0;
  /// Entries that this target is announced to.
  std::vector<NodeId> entries;
  /// Requests the target processes concurrently, and connections it accepts.
  int32_t slots = 8;
  int32_t connections = 64;
  /// Capacity of the queue. Two requests per slot keep a target busy between
  /// replies; more would wait here although another target may have lower load.
  size_t max_queued = 16;
  Millis announce_interval{500};
  /// A running request that the target has not answered this long after the
  /// deadline releases its slot. Its connection counts until it is closed.
  Millis hung_request_timeout{10'000};
  /// Requests still queued this long after the start of a graceful shutdown are
  /// refused, since a draining target gets no new work.
  Millis drain_queue_timeout{2000};
  /// Time for which a draining agent still replies to queries after the last
  /// request has ended.
  Millis drain_grace_period{500};
  RequestRecords::Limits records;
};

/// The part of the agent for interactive requests: queues requests for the
/// slots of its target, refuses those that cannot finish before their deadline,
/// and runs each request at most once.
class RequestServer : public AgentPart, public KernelListener {
 public:
  /// Window of RecentP90(), RecentP99() and RecentCount(). A p99 over the
  /// requests of a shorter window is mostly noise.
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

  /// Replaces the affinity names that this target owns regardless of kernels.
  void SetAffinities(std::vector<std::string> affinities);

  /// Replaces the affinity names of the kernels on this instance, which the
  /// target owns in addition to those of SetAffinities().
  void OnKernelsChanged(const std::vector<std::string>& kernels) override;

  /// 90th and 99th percentile of the time from arrival to answer of recent
  /// requests, or zero without recent requests.
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
  /// Returns why a request has to be refused, or an empty text.
  std::string FindRefusalReason(const RequestForward& forward) const;
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
  bool IsDraining() const { return m_is_shutting_down || !m_is_healthy; }
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
  std::vector<std::string> m_static_affinities;
  std::vector<std::string> m_kernels;
  // The static affinities and the kernels, sorted.
  std::vector<std::string> m_affinities;
  int32_t m_open_connections = 0;
  // Smoothed service time in milliseconds; negative before the first sample.
  double m_service_time = -1;
  Millis m_next_announce;
  Millis m_last_reply;
  Millis m_shutdown_started_at;
  bool m_is_shutting_down = false;
  bool m_is_healthy = true;
  // Callbacks of the target client hold a weak reference, since they may
  // outlive this object.
  std::shared_ptr<RequestServer*> m_self;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_REQUEST_SERVER_H_
