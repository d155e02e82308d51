#include "source/net/http_worker_client.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "source/base/json_text.h"
#include "source/config/configuration_json.h"
#include "source/config/json_reader.h"

namespace fulmarrock {
namespace {

using nlohmann::json;

constexpr size_t kMaxBatch = 256;
/// Well below ActiveClock::kMaxGap.
constexpr Millis kClockUpdateInterval{50};
constexpr int64_t kMaxInteger = int64_t{1} << 62;

std::optional<TaskEventKind> EventKindFromName(std::string_view name) {
  constexpr std::array<std::pair<std::string_view, TaskEventKind>, 6> kNames = {
      {{"started", TaskEventKind::kStarted},
       {"completed", TaskEventKind::kCompleted},
       {"failed", TaskEventKind::kFailed},
       {"checkpointed", TaskEventKind::kCheckpointed},
       {"stopped", TaskEventKind::kStopped},
       {"rejected", TaskEventKind::kRejected}}};
  for (const auto& [known, kind] : kNames) {
    if (known == name)
      return kind;
  }
  return std::nullopt;
}

TaskId ReadTask(JsonReader& reader) {
  return {static_cast<JobId>(reader.Integer("job", 1, kMaxInteger)),
          static_cast<uint32_t>(reader.Integer("index", 0, UINT32_MAX))};
}

}  // namespace

HttpWorkerClient::HttpWorkerClient(EventLoop& loop,
                                   HttpWorkerOptions options,
                                   RandomSource& random)
    : m_loop(loop),
      m_options(std::move(options)),
      m_random(random),
      m_client(loop, 2),
      m_active_clock(loop.clock()),
      m_tasks_stopped_at(m_active_clock.Now()) {
  BeginSession();
  UpdateActiveClock();
}

HttpWorkerClient::~HttpWorkerClient() {
  m_loop.CancelTimer(m_timer);
  m_loop.CancelTimer(m_clock_timer);
}

void HttpWorkerClient::Listen(WorkerListener& listener) {
  m_listener = &listener;
  Poll();
}

void HttpWorkerClient::StopAll() {
  Add({{"command", "stop_all"}});
}

void HttpWorkerClient::ExtendLeases(Millis remaining) {
  m_lease_end = m_loop.clock().Now() + remaining;
  m_has_new_lease_end = true;
  SendCommands();
}

void HttpWorkerClient::Start(const TaskGrant& grant) {
  m_tasks[grant.task] = grant.epoch;
  Add({{"command", "start"},
       {"job", grant.task.job},
       {"index", grant.task.index},
       {"epoch", grant.epoch},
       {"kind", TaskKindName(grant.kind)},
       {"resources",
        {{"cpu_millicores", grant.resources.cpu_millicores},
         {"memory_mib", grant.resources.memory_mib},
         {"accelerators", grant.resources.accelerators}}},
       {"customer", grant.customer},
       {"workload", grant.workload},
       {"payload", grant.payload},
       {"can_checkpoint", grant.can_checkpoint},
       {"checkpoint", grant.checkpoint}});
}

void HttpWorkerClient::Checkpoint(TaskId task) {
  AddForTask("checkpoint", task);
}

void HttpWorkerClient::Stop(TaskId task) {
  AddForTask("stop", task);
}

void HttpWorkerClient::Suspend(TaskId task) {
  AddForTask("suspend", task);
}

void HttpWorkerClient::Resume(TaskId task) {
  AddForTask("resume", task);
}

void HttpWorkerClient::ThrottleBatch(int percent) {
  Add({{"command", "throttle"}, {"percent", percent}});
}

void HttpWorkerClient::Add(const json& command) {
  m_commands.push_back(ToJsonText(command));
  SendCommands();
}

void HttpWorkerClient::AddForTask(const char* name, TaskId task) {
  const auto it = m_tasks.find(task);
  // The task has ended: its last event was passed to the listener or is being
  // passed.
  if (it == m_tasks.end())
    return;
  Add({{"command", name},
       {"job", task.job},
       {"index", task.index},
       {"epoch", it->second}});
}

void HttpWorkerClient::BeginSession() {
  m_session = (m_random.Next() >> 2) + 1;
  m_first_sequence = 1;
  m_commands.clear();
}

void HttpWorkerClient::FailTasks(const std::string& reason) {
  const std::map<TaskId, Epoch> tasks = std::exchange(m_tasks, {});
  BeginSession();
  Add({{"command", "stop_all"}});
  for (const auto& [task, epoch] : tasks)
    m_listener->OnTaskEvent(task, TaskEventKind::kFailed, reason, Millis());
}

void HttpWorkerClient::UpdateActiveClock() {
  m_active_clock.Update();
  m_clock_timer =
      m_loop.AddTimer(kClockUpdateInterval, [this] { UpdateActiveClock(); });
}

void HttpWorkerClient::SchedulePoll() {
  m_timer = m_loop.AddTimer(m_options.poll_interval, [this] { Poll(); });
}

void HttpWorkerClient::Poll() {
  HttpClientRequest request;
  request.url = "http://" + m_options.address +
                "/events?after=" + std::to_string(m_last_event) +
                "&session=" + std::to_string(m_session);
  request.timeout = m_options.request_timeout;
  m_client.Send(std::move(request),
                [this](const HttpClientResponse& poll_response) {
                  OnPollResponse(poll_response);
                  SchedulePoll();
                });
}

void HttpWorkerClient::OnPollResponse(const HttpClientResponse& response) {
  if (response.kind != HttpClientResponse::Kind::kAnswered ||
      response.status != 200) {
    OnUnreachable();
    return;
  }
  const Result<json> poll_response = ParseJson(response.body);
  if (!poll_response) {
    m_counters.Add("worker_invalid_answers");
    OnUnreachable();
    return;
  }
  OnEvents(*poll_response);
}

void HttpWorkerClient::OnEvents(const json& poll_response) {
  FieldErrors errors;
  JsonReader reader(poll_response, "", errors);
  const std::string instance = reader.String("instance");
  const Millis worker_now(reader.Integer("now_ms", 0, kMaxInteger));
  std::vector<TaskUsage> usage;
  for (JsonReader& item : reader.Objects("usage")) {
    usage.push_back({ReadTask(item),
                     item.Integer("cpu_millicores", 0, kMaxInteger),
                     item.Integer("memory_mib", 0, kMaxInteger)});
  }
  if (!errors.empty()) {
    m_counters.Add("worker_invalid_answers");
    OnUnreachable();
    return;
  }
  m_active_clock.Update();
  m_worker_clock = worker_now;
  m_worker_clock_read_at = m_active_clock.Now();
  m_is_reachable = true;
  if (instance != m_instance) {
    const bool is_first = m_instance.empty();
    m_instance = instance;
    m_last_event = 0;
    if (!is_first) {
      m_counters.Add("worker_restarts");
      FailTasks("the worker restarted");
    }
    SendCommands();
    return;
  }
  if (poll_response.contains("events") && poll_response["events"].is_array()) {
    for (const json& event : poll_response["events"])
      DispatchEvent(event);
  }
  if (!usage.empty())
    m_listener->OnUsage(usage);
  SendCommands();
}

void HttpWorkerClient::OnUnreachable() {
  m_is_reachable = false;
  m_counters.Add("worker_failed_polls");
  m_active_clock.Update();
  if (m_tasks.empty() || m_active_clock.Now() <= m_tasks_stopped_at)
    return;
  FailTasks("the worker is unresponsive and has stopped its tasks by itself");
}

void HttpWorkerClient::DispatchEvent(const json& event) {
  FieldErrors errors;
  JsonReader reader(event, "", errors);
  const auto sequence =
      static_cast<uint64_t>(reader.Integer("sequence", 1, kMaxInteger));
  const auto session =
      static_cast<uint64_t>(reader.Integer("session", 0, kMaxInteger));
  const TaskId task = ReadTask(reader);
  const auto epoch =
      static_cast<Epoch>(reader.Integer("epoch", 0, kMaxInteger));
  const std::optional<TaskEventKind> kind =
      EventKindFromName(reader.String("kind"));
  const std::string detail = reader.String("detail", "");
  const Millis runtime(reader.Integer("runtime_ms", 0, kMaxInteger, 0));
  if (!errors.empty() || !kind) {
    m_counters.Add("worker_invalid_events");
    return;
  }
  if (sequence <= m_last_event)
    return;
  m_last_event = sequence;
  const auto it = m_tasks.find(task);
  if (session != m_session) {
    if (*kind != TaskEventKind::kStarted)
      m_listener->OnPastTaskEnd(task, epoch, *kind, detail, runtime);
    return;
  }
  if (it == m_tasks.end() || it->second != epoch)
    return;
  if (*kind != TaskEventKind::kStarted)
    m_tasks.erase(it);
  m_listener->OnTaskEvent(task, *kind, detail, runtime);
}

void HttpWorkerClient::SendCommands() {
  if (m_is_sending || !m_is_reachable ||
      (m_commands.empty() && !m_has_new_lease_end)) {
    return;
  }
  m_is_sending = true;
  HttpClientRequest request;
  request.method = "POST";
  request.url = "http://" + m_options.address + "/v1/commands";
  request.headers = {{"Content-Type", "application/json"}};
  request.timeout = m_options.request_timeout;
  request.body = CommandBody();
  const uint64_t last =
      m_first_sequence + std::min(m_commands.size(), kMaxBatch) - 1;
  m_client.Send(std::move(request), [this, last, session = m_session](
                                        const HttpClientResponse& response) {
    m_is_sending = false;
    // Ignored if a new session began meanwhile: sequence numbers belong to one
    // session.
    if (session == m_session)
      OnCommandsSent(response, last);
    SendCommands();
  });
}

std::string HttpWorkerClient::CommandBody() {
  json head = {{"instance", m_instance},
               {"session", m_session},
               {"first", m_first_sequence}};
  if (m_lease_end > Millis()) {
    m_active_clock.Update();
    const Millis active_now = m_active_clock.Now();
    const Millis remaining = m_lease_end - m_loop.clock().Now();
    // The worker read its clock before the response arrived, and it has
    // advanced by the active time since, so this is a lower bound: leases end
    // no later at the worker than here.
    const Millis worker_now =
        m_worker_clock + (active_now - m_worker_clock_read_at);
    head["leases_until_ms"] =
        std::max<int64_t>((worker_now + remaining).count(), 0);
    head["stop_after_ms"] = m_options.stop_after.count();
    m_tasks_stopped_at = std::max(
        m_tasks_stopped_at,
        active_now + remaining + m_options.stop_after + m_options.clock_margin);
    m_has_new_lease_end = false;
  }
  std::string body = ToJsonText(head);
  body.back() = ',';
  body += "\"commands\":[";
  const size_t count = std::min(m_commands.size(), kMaxBatch);
  for (size_t i = 0; i < count; ++i)
    body += (i > 0 ? "," : "") + m_commands[i];
  return body + "]}";
}

void HttpWorkerClient::OnCommandsSent(const HttpClientResponse& response,
                                      uint64_t last) {
  const bool is_answered = response.kind == HttpClientResponse::Kind::kAnswered;
  if (is_answered && response.status == 200) {
    while (m_first_sequence <= last) {
      m_commands.pop_front();
      ++m_first_sequence;
    }
    return;
  }
  m_counters.Add("worker_failed_commands");
  // The commands are sent again after the next successful poll.
  m_is_reachable = false;
  m_has_new_lease_end = m_lease_end > Millis();
  // 412 means that the worker restarted, which the next poll detects.
  if (is_answered && response.status == 409) {
    m_counters.Add("worker_lost_sessions");
    FailTasks("another agent took over the worker");
  }
}

}  // namespace fulmarrock
