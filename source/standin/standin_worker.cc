#include "source/standin/standin_worker.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include <nlohmann/json.hpp>

#include "source/config/configuration_json.h"
#include "source/config/json_reader.h"
#include "source/net/json_response.h"

namespace fulmarrock {
namespace {

using nlohmann::json;

constexpr int64_t kMaxInteger = int64_t{1} << 62;
constexpr int64_t kMaxDurationMs = int64_t{30} * 24 * 3600 * 1000;
constexpr std::string_view kCheckpointPrefix = "work-done-ms-";

HttpResponse Refuse(int status, std::string message, std::string remedy) {
  return MakeErrorResponse(status, {ErrorKind::kFailedPrecondition,
                                    std::move(message), std::move(remedy)});
}

TaskId ReadTask(JsonReader& reader) {
  return {static_cast<JobId>(reader.Integer("job", 1, kMaxInteger)),
          static_cast<uint32_t>(reader.Integer("index", 0, UINT32_MAX))};
}

/// Returns a number from a query argument, or zero.
uint64_t ReadNumber(std::string_view text) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/// Returns the work done, in milliseconds, from a checkpoint's name.
double WorkDone(std::string_view checkpoint) {
  int64_t done = 0;
  if (checkpoint.starts_with(kCheckpointPrefix)) {
    checkpoint.remove_prefix(kCheckpointPrefix.size());
    std::from_chars(checkpoint.data(), checkpoint.data() + checkpoint.size(),
                    done);
  }
  return static_cast<double>(done);
}

}  // namespace

StandinWorker::StandinWorker(EventLoop& loop,
                             HttpServer& server,
                             RandomSource& random)
    : m_loop(loop), m_instance(std::to_string(random.Next())) {
  using Respond = HttpServer::Responder;
  server.Route("GET", "/events",
               [this](const HttpRequest& request, const Respond& responder) {
                 responder.Respond(OnEvents(request));
               });
  server.Route("POST", "/v1/commands",
               [this](const HttpRequest& request, const Respond& responder) {
                 responder.Respond(OnCommands(request));
               });
  server.Route("GET", "/executions",
               [this](const HttpRequest&, const Respond& responder) {
                 responder.Respond(MakeJsonResponse(Executions()));
               });
  server.Route("GET", "/healthz",
               [](const HttpRequest&, const Respond& responder) {
                 responder.Respond(MakeJsonResponse("{}"));
               });
}

HttpResponse StandinWorker::OnEvents(const HttpRequest& request) {
  const uint64_t after = ReadNumber(request.Query("after"));
  // An earlier agent that still polls must not acknowledge, and so remove,
  // events that the new one has not read.
  const bool is_current = ReadNumber(request.Query("session")) == m_session;
  while (is_current && !m_events.empty() &&
         m_events.front().sequence <= after) {
    m_events.pop_front();
  }
  json events = json::array();
  for (const Event& event : m_events) {
    if (event.sequence <= after)
      continue;
    events.push_back({{"sequence", event.sequence},
                      {"session", event.session},
                      {"job", event.task.job},
                      {"index", event.task.index},
                      {"epoch", event.epoch},
                      {"kind", event.kind},
                      {"detail", event.detail},
                      {"runtime_ms", event.runtime.count()}});
  }
  json usage = json::array();
  for (const auto& [id, task] : m_tasks) {
    const auto cpu = static_cast<double>(task.resources.cpu_millicores);
    usage.push_back(
        {{"job", id.job},
         {"index", id.index},
         {"cpu_millicores", static_cast<int64_t>(cpu * Speed(task))},
         {"memory_mib", task.resources.memory_mib}});
  }
  return MakeJsonResponse(json({{"instance", m_instance},
                                {"now_ms", m_loop.clock().Now().count()},
                                {"events", std::move(events)},
                                {"usage", std::move(usage)}})
                              .dump());
}

HttpResponse StandinWorker::OnCommands(const HttpRequest& request) {
  const Result<json> document = ParseJson(request.body);
  if (!document)
    return MakeErrorResponse(document.error());
  FieldErrors errors;
  JsonReader reader(*document, "", errors);
  const std::string instance = reader.String("instance");
  const auto session =
      static_cast<uint64_t>(reader.Integer("session", 1, kMaxInteger));
  auto sequence =
      static_cast<uint64_t>(reader.Integer("first", 1, kMaxInteger));
  const Millis until(reader.Integer("leases_until_ms", 0, kMaxInteger, 0));
  const Millis stop_after(reader.Integer("stop_after_ms", 0, kMaxInteger, 0));
  if (!errors.empty() || !document->contains("commands") ||
      !(*document)["commands"].is_array()) {
    return Refuse(400, "the batch of commands is not valid",
                  "see the documentation of the worker interface");
  }
  if (instance != m_instance)
    return Refuse(412, "the worker restarted", "fetch the events first");
  if (m_past_sessions.contains(session))
    return Refuse(409, "the session has ended", "begin a new session");
  if (session != m_session) {
    m_past_sessions.insert(m_session);
    m_session = session;
    m_next_command = 1;
  }
  SetLeases(until, stop_after);
  for (const json& command : (*document)["commands"]) {
    if (sequence++ < m_next_command)
      continue;
    ++m_next_command;
    Execute(command);
  }
  return MakeJsonResponse("{}");
}

void StandinWorker::SetLeases(Millis until, Millis stop_after) {
  if (until <= m_leases_until)
    return;
  m_leases_until = until;
  UpdateAll();
  m_loop.CancelTimer(m_lease_timer);
  const Millis now = m_loop.clock().Now();
  m_lease_timer =
      m_loop.AddTimer(std::max(until - now, Millis()), [this, stop_after] {
        UpdateAll();
        m_lease_timer = m_loop.AddTimer(stop_after, [this] { StopAll(); });
      });
}

void StandinWorker::Execute(const json& command) {
  FieldErrors errors;
  JsonReader reader(command, "", errors);
  const std::string name = reader.String("command");
  if (name == "stop_all")
    return StopAll();
  if (name == "throttle") {
    m_throttle_percent = reader.Integer("percent", 1, 100, 100);
    return UpdateAll();
  }
  if (name == "start")
    return Start(reader);
  const TaskId id = ReadTask(reader);
  const auto it = m_tasks.find(id);
  if (it == m_tasks.end() ||
      it->second.epoch !=
          static_cast<Epoch>(reader.Integer("epoch", 0, kMaxInteger))) {
    return;
  }
  if (name == "stop")
    return End(id, "stopped", "");
  if (name == "checkpoint")
    return Checkpoint(id, it->second);
  if (name != "suspend" && name != "resume")
    return;
  Update(id, it->second);
  it->second.is_suspended = name == "suspend";
  Update(id, it->second);
}

void StandinWorker::Start(JsonReader& reader) {
  const TaskId id = ReadTask(reader);
  Task task;
  task.epoch = static_cast<Epoch>(reader.Integer("epoch", 0, kMaxInteger));
  task.session = m_session;
  const std::string kind = reader.String("kind", "batch");
  for (const TaskKind known : {TaskKind::kKernel, TaskKind::kService}) {
    if (kind == TaskKindName(known))
      task.kind = known;
  }
  task.can_checkpoint = reader.Boolean("can_checkpoint", false);
  if (auto resources = reader.Object("resources")) {
    task.resources.cpu_millicores =
        resources->Integer("cpu_millicores", 0, kMaxInteger);
    task.resources.memory_mib =
        resources->Integer("memory_mib", 0, kMaxInteger);
  }
  const std::string payload = reader.String("payload", "");
  const Result<json> parsed = ParseJson(payload.empty() ? "{}" : payload);
  if (m_tasks.contains(id) || !parsed || !parsed->is_object()) {
    AddEvent(id, task, "rejected",
             m_tasks.contains(id) ? "the task already runs here"
                                  : "the payload is not a JSON object");
    return;
  }
  FieldErrors errors;
  JsonReader details(*parsed, "", errors);
  task.work_left_ms = static_cast<double>(
      details.Integer("duration_ms", 0, kMaxDurationMs, 1000));
  task.failure = details.String("fail", "");
  task.work_done_ms = WorkDone(reader.String("checkpoint", ""));
  task.work_left_ms = std::max(task.work_left_ms - task.work_done_ms, 0.0);
  task.started = task.updated = m_loop.clock().Now();
  Task& stored = m_tasks[id] = task;
  AddEvent(id, stored, "started", "");
  Update(id, stored);
}

void StandinWorker::Checkpoint(TaskId id, Task& task) {
  Update(id, task);
  if (!task.can_checkpoint)
    return End(id, "stopped", "");
  End(id, "checkpointed",
      std::string(kCheckpointPrefix) +
          std::to_string(static_cast<int64_t>(task.work_done_ms)));
}

void StandinWorker::StopAll() {
  while (!m_tasks.empty())
    End(m_tasks.begin()->first, "stopped", "");
}

void StandinWorker::End(TaskId id, const char* kind, std::string detail) {
  const auto it = m_tasks.find(id);
  if (it == m_tasks.end())
    return;
  m_loop.CancelTimer(it->second.timer);
  AddEvent(id, it->second, kind, std::move(detail));
  m_tasks.erase(it);
}

void StandinWorker::AddEvent(TaskId id,
                             const Task& task,
                             const char* kind,
                             std::string text) {
  const Millis runtime =
      task.started == Millis() ? Millis() : m_loop.clock().Now() - task.started;
  m_events.push_back({++m_last_event, task.session, id, task.epoch, kind,
                      std::move(text), runtime});
}

void StandinWorker::Update(TaskId id, Task& task) {
  const Millis now = m_loop.clock().Now();
  const double work =
      static_cast<double>((now - task.updated).count()) * task.speed;
  task.work_done_ms += work;
  task.work_left_ms -= work;
  task.updated = now;
  task.speed = Speed(task);
  m_loop.CancelTimer(task.timer);
  if (task.speed == 0)
    return;
  const Millis left(static_cast<int64_t>(
      std::ceil(std::max(task.work_left_ms, 0.0) / task.speed)));
  task.timer = m_loop.AddTimer(left, [this, id] {
    const std::string failure = m_tasks[id].failure;
    if (failure.empty())
      ++m_completions[id];
    End(id, failure.empty() ? "completed" : "failed", failure);
  });
}

void StandinWorker::UpdateAll() {
  for (auto& [id, task] : m_tasks)
    Update(id, task);
}

double StandinWorker::Speed(const Task& task) const {
  if (task.is_suspended || !HasLease())
    return 0;
  return task.kind == TaskKind::kBatch
             ? static_cast<double>(m_throttle_percent) / 100
             : 1;
}

bool StandinWorker::HasLease() const {
  return m_loop.clock().Now() < m_leases_until;
}

std::string StandinWorker::Executions() const {
  uint64_t completed = 0;
  uint64_t max_completions = 0;
  for (const auto& [id, count] : m_completions) {
    completed += count;
    max_completions = std::max(max_completions, count);
  }
  return json({{"completed", completed},
               {"largest_repeat", max_completions},
               {"running", m_tasks.size()},
               {"throttle_percent", m_throttle_percent}})
      .dump();
}

}  // namespace fulmarrock
