#include "source/agent/request_server.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <nlohmann/json.hpp>

#include "source/base/checksum.h"
#include "source/base/json_text.h"

namespace fulmarrock {
namespace {

// Latency samples kept for the recent percentiles.
constexpr size_t kLatencySamples = 1024;

// Weight of a new sample in the smoothed service time. Service times are heavy
// tailed, so that a single long request must not change the estimate much.
constexpr double kServiceTimeGain = 0.05;

}  // namespace

RequestServer::RequestServer(RequestServerOptions options,
                             const Clock& clock,
                             Transport& transport,
                             TargetClient& target,
                             Counters& counters)
    : m_options(std::move(options)),
      m_clock(clock),
      m_transport(transport),
      m_target(target),
      m_counters(counters),
      m_queue(m_options.max_queued),
      m_records(m_options.records),
      m_latency(kLatencySamples, kLatencySpan),
      m_next_announce(clock.Now()),
      m_last_reply(clock.Now()),
      m_self(std::make_shared<RequestServer*>(this)) {}

void RequestServer::OnMessage(const NodeId& from, const Message& message) {
  if (const auto* forward = std::get_if<RequestForward>(&message))
    OnForward(from, *forward);
  else if (const auto* cancel = std::get_if<RequestCancel>(&message))
    OnCancel(from, *cancel);
  else if (const auto* query = std::get_if<RequestQuery>(&message))
    OnQuery(from, *query);
}

void RequestServer::OnTick() {
  const bool is_healthy = m_target.IsHealthy();
  if (is_healthy != m_is_healthy) {
    m_is_healthy = is_healthy;
    m_counters.Add(is_healthy ? "target_recovered" : "target_unhealthy");
    if (!is_healthy)
      RefuseQueued(m_queue.TakeAll(),
                   "the target became unhealthy; send the request again");
    Announce();
  }
  RefuseQueued(m_queue.TakeExpired(m_clock.Now()),
               "the deadline passed in the queue; allow more time");
  if (m_is_shutting_down &&
      m_clock.Now() >= m_shutdown_started_at + m_options.drain_queue_timeout)
    RefuseQueued(m_queue.TakeAll(),
                 "the target is draining; send the request again");
  ReleaseHungSlots();
  DispatchQueued();
  if (m_clock.Now() >= m_next_announce)
    Announce();
}

void RequestServer::BeginShutdown() {
  if (m_is_shutting_down)
    return;
  m_is_shutting_down = true;
  m_shutdown_started_at = m_clock.Now();
  m_last_reply = m_clock.Now();
  Announce();
}

bool RequestServer::IsDrained() const {
  return m_is_shutting_down && m_running.empty() && m_queue.size() == 0 &&
         m_clock.Now() >= m_last_reply + m_options.drain_grace_period;
}

void RequestServer::SetAffinities(std::vector<std::string> affinities) {
  m_static_affinities = std::move(affinities);
  UpdateAffinities();
}

void RequestServer::OnKernelsChanged(const std::vector<std::string>& kernels) {
  m_kernels = kernels;
  UpdateAffinities();
}

void RequestServer::UpdateAffinities() {
  std::vector<std::string> affinities = m_static_affinities;
  affinities.insert(affinities.end(), m_kernels.begin(), m_kernels.end());
  std::sort(affinities.begin(), affinities.end());
  if (affinities == m_affinities)
    return;
  m_affinities = std::move(affinities);
  Announce();
}

void RequestServer::OnForward(const NodeId& from,
                              const RequestForward& forward) {
  if (forward.target_incarnation != m_options.incarnation) {
    // The earlier agent incarnation may have run a duplicate, so that "not run"
    // could be false.
    m_counters.Add("forward_for_other_incarnation");
    SendReply(from,
              MakeReply(forward.id, Outcome::kOutcomeUnknown,
                        "the agent restarted since the request was sent"));
    return;
  }
  if (const RequestRecords::Record* record = m_records.Find(forward.id)) {
    m_counters.Add("forward_duplicate");
    if (record->state == RequestRecords::State::kFinished ||
        record->state == RequestRecords::State::kRefused)
      SendReply(from, record->reply);
    return;
  }
  if (m_records.MayHaveBeenDropped(forward.id)) {
    m_counters.Add("forward_too_late");
    SendReply(from, MakeReply(forward.id, Outcome::kOutcomeUnknown,
                              "the record of this request was dropped"));
    return;
  }
  std::string refusal_reason = FindRefusalReason(forward);
  if (!refusal_reason.empty()) {
    Refuse(from, forward.id, std::move(refusal_reason));
    return;
  }
  m_counters.Add("forward_accepted");
  m_records.Add(forward.id);
  const Millis now = m_clock.Now();
  const std::optional<QueuedRequest> displaced =
      m_queue.Push({from, forward, now, now + forward.remaining});
  if (displaced)
    Refuse(displaced->entry, displaced->forward.id,
           "the target's queue is full; send the request again later");
  DispatchQueued();
}

std::string RequestServer::FindRefusalReason(
    const RequestForward& forward) const {
  if (m_is_shutting_down)
    return "the target is draining; send the request again";
  if (!m_is_healthy)
    return "the target is unhealthy; send the request again";
  if (forward.service != m_options.service)
    return "the target serves '" + m_options.service + "'; check the service";
  if (Checksum(forward.body) != forward.body_checksum)
    return "the body checksum does not match; send the request again";
  if (!OwnsAffinity(forward.affinity))
    return "the target does not own '" + forward.affinity +
           "'; send the request again once its owner is known";
  if (m_open_connections >= m_options.connections)
    return "all connections of the target are in use; send it again later";
  if (!CanMeetDeadline(forward))
    return "the deadline cannot be met; allow more time or try again later";
  return {};
}

bool RequestServer::CanMeetDeadline(const RequestForward& forward) const {
  if (forward.remaining <= Millis(0))
    return false;
  const auto free_slots = static_cast<size_t>(std::max<int64_t>(
      0, m_options.slots - static_cast<int64_t>(m_running.size())));
  const size_t ahead = m_queue.CountAhead(forward);
  if (m_service_time < 0 || ahead < free_slots)
    return true;
  const double rounds = static_cast<double>(ahead - free_slots + 1) /
                        static_cast<double>(m_options.slots);
  const double expected = m_service_time * (rounds + 1);
  return expected <= static_cast<double>(forward.remaining.count());
}

bool RequestServer::OwnsAffinity(const std::string& affinity) const {
  return affinity.empty() ||
         std::binary_search(m_affinities.begin(), m_affinities.end(), affinity);
}

void RequestServer::OnCancel(const NodeId& from, const RequestCancel& cancel) {
  if (m_queue.Remove(cancel.id)) {
    m_counters.Add("cancelled");
    Refuse(from, cancel.id, "the request was cancelled");
  }
}

void RequestServer::OnQuery(const NodeId& from, const RequestQuery& query) {
  RequestQueryReply query_reply{query.id, RequestProgress::kUnknown,
                                m_options.incarnation};
  const RequestRecords::Record* record = m_records.Find(query.id);
  if (query.target_incarnation != m_options.incarnation ||
      (!record && m_records.MayHaveBeenDropped(query.id))) {
    m_transport.Send(from, query_reply);
    return;
  }
  if (!record) {
    m_counters.Add("query_recorded_refusal");
    m_records.End(
        m_clock.Now(), RequestRecords::State::kRefused,
        MakeReply(query.id, Outcome::kNotRun,
                  "the request arrived after a query found it not started"));
    query_reply.progress = RequestProgress::kNeverStarted;
    m_transport.Send(from, query_reply);
    return;
  }
  switch (record->state) {
    case RequestRecords::State::kQueued:
      query_reply.progress = RequestProgress::kQueued;
      break;
    case RequestRecords::State::kRunning:
      query_reply.progress = RequestProgress::kRunning;
      break;
    case RequestRecords::State::kFinished:
      query_reply.progress = RequestProgress::kFinished;
      SendReply(from, record->reply);
      break;
    case RequestRecords::State::kRefused:
      query_reply.progress = RequestProgress::kNeverStarted;
      break;
  }
  m_transport.Send(from, query_reply);
}

void RequestServer::RefuseQueued(std::vector<QueuedRequest> requests,
                                 const std::string& reason) {
  for (const QueuedRequest& request : requests)
    Refuse(request.entry, request.forward.id, reason);
}

void RequestServer::DispatchQueued() {
  // The queue of an unhealthy target is refused in OnTick().
  while (m_target.IsHealthy() &&
         static_cast<int32_t>(m_running.size()) < m_options.slots &&
         m_open_connections < m_options.connections) {
    std::optional<QueuedRequest> next = m_queue.Pop();
    if (!next)
      return;
    if (next->deadline <= m_clock.Now())
      Refuse(next->entry, next->forward.id,
             "the deadline passed in the queue; allow more time");
    else if (!OwnsAffinity(next->forward.affinity))
      Refuse(next->entry, next->forward.id,
             "the owner changed while the request waited; send it again");
    else
      Start(std::move(*next));
  }
}

void RequestServer::Start(QueuedRequest request) {
  RequestForward& forward = request.forward;
  const RequestId id = forward.id;
  const Millis now = m_clock.Now();
  m_records.Find(id)->state = RequestRecords::State::kRunning;
  m_running[id] = {request.entry, forward.customer, request.arrival, now,
                   request.deadline};
  ++m_open_connections;
  m_counters.Add("started");
  TargetRequest target_request{id, forward.customer, std::move(forward.path),
                               std::move(forward.body), request.deadline - now};
  m_target.Submit(target_request, [self = std::weak_ptr<RequestServer*>(m_self),
                                   id](TargetResponse response) {
    if (const auto server = self.lock())
      (*server)->OnTargetDone(id, std::move(response));
  });
}

void RequestServer::OnTargetDone(RequestId id, TargetResponse response) {
  --m_open_connections;
  const auto it = m_running.find(id);
  if (it == m_running.end()) {
    m_counters.Add("response_after_hung");
    return;
  }
  const Running running = std::move(it->second);
  m_running.erase(it);
  const Millis now = m_clock.Now();
  switch (response.kind) {
    case TargetResponse::Kind::kAnswered: {
      RequestReply reply = MakeReply(id, Outcome::kAnswered, {});
      reply.status = response.status;
      reply.body = std::move(response.body);
      reply.body_length = reply.body.size();
      reply.body_checksum = Checksum(reply.body);
      const auto sample = static_cast<double>((now - running.start).count());
      m_service_time =
          m_service_time < 0
              ? sample
              : m_service_time + kServiceTimeGain * (sample - m_service_time);
      m_latency.Add(now, now - running.arrival);
      m_counters.Add("answered");
      Finish(RequestRecords::State::kFinished, running.entry, std::move(reply));
      break;
    }
    case TargetResponse::Kind::kNotStarted:
      Refuse(running.entry, id,
             "the target refused the connection; send the request again");
      break;
    case TargetResponse::Kind::kLost:
      m_counters.Add("response_lost");
      Finish(RequestRecords::State::kFinished, running.entry,
             MakeReply(id, Outcome::kOutcomeUnknown,
                       "the connection to the target broke after sending"));
      break;
  }
  DispatchQueued();
}

void RequestServer::ReleaseHungSlots() {
  std::vector<RequestId> hung;
  for (const auto& [id, running] : m_running) {
    if (running.deadline + m_options.hung_request_timeout <= m_clock.Now())
      hung.push_back(id);
  }
  for (const RequestId& id : hung) {
    const Running running = m_running[id];
    m_running.erase(id);
    m_counters.Add("slot_released_as_hung");
    Finish(RequestRecords::State::kFinished, running.entry,
           MakeReply(id, Outcome::kOutcomeUnknown,
                     "the target did not answer in time"));
  }
}

void RequestServer::Refuse(const NodeId& entry,
                           RequestId id,
                           std::string reason) {
  m_counters.Add("refused");
  Finish(RequestRecords::State::kRefused, entry,
         MakeReply(id, Outcome::kNotRun, std::move(reason)));
}

void RequestServer::Finish(RequestRecords::State state,
                           const NodeId& to,
                           RequestReply reply) {
  SendReply(to, reply);
  m_last_reply = m_clock.Now();
  m_records.End(m_clock.Now(), state, std::move(reply));
}

void RequestServer::SendReply(const NodeId& to, RequestReply reply) {
  reply.load = CurrentLoad();
  m_transport.Send(to, reply);
}

RequestReply RequestServer::MakeReply(RequestId id,
                                      Outcome outcome,
                                      std::string reason) const {
  RequestReply reply;
  reply.id = id;
  reply.outcome = outcome;
  reply.reason = std::move(reason);
  reply.body_checksum = Checksum({});
  reply.target_incarnation = m_options.incarnation;
  return reply;
}

TargetLoad RequestServer::CurrentLoad() const {
  TargetLoad load;
  load.slots = m_options.slots;
  load.running = static_cast<int32_t>(m_running.size());
  load.queued = static_cast<int32_t>(m_queue.size());
  load.service_time =
      Millis(m_service_time < 0 ? 0 : std::llround(m_service_time));
  return load;
}

void RequestServer::Announce() {
  TargetAnnounce announce;
  announce.service = m_options.service;
  announce.data_centre = m_options.data_centre;
  announce.incarnation = m_options.incarnation;
  announce.is_draining = IsDraining();
  announce.load = CurrentLoad();
  announce.affinities = m_affinities;
  announce.address = m_options.address;
  for (const NodeId& entry : m_options.entries)
    m_transport.Send(entry, announce);
  m_next_announce = m_clock.Now() + m_options.announce_interval;
}

std::string RequestServer::DumpState() const {
  nlohmann::json running = nlohmann::json::array();
  for (const auto& [id, request] : m_running) {
    running.push_back(
        {{"id", ToString(id)},
         {"entry", request.entry},
         {"customer", request.customer},
         {"running_ms", (m_clock.Now() - request.start).count()},
         {"deadline_in_ms", (request.deadline - m_clock.Now()).count()}});
  }
  return ToJsonText(
      nlohmann::json{{"service", m_options.service},
                     {"incarnation", m_options.incarnation},
                     {"leaving", IsDraining()},
                     {"healthy", m_is_healthy},
                     {"slots", m_options.slots},
                     {"open_connections", m_open_connections},
                     {"queued", m_queue.size()},
                     {"records", m_records.size()},
                     {"service_time_ms", CurrentLoad().service_time.count()},
                     {"p99_ms", RecentP99().count()},
                     {"affinities", m_affinities},
                     {"running", running}});
}

}  // namespace fulmarrock
