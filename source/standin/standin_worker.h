#ifndef SOURCE_STANDIN_STANDIN_WORKER_H_
#define SOURCE_STANDIN_STANDIN_WORKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "source/base/ids.h"
#include "source/base/random_source.h"
#include "source/message/task_messages.h"
#include "source/net/event_loop.h"
#include "source/net/http_server.h"

namespace fulmarrock {

class JsonReader;

/// Stand-in for a worker: each task is a timer. The payload is JSON with
/// "duration_ms" and optionally "fail", the reason with which the task fails at
/// its end. A checkpoint's name holds the work done, so any stand-in worker can
/// resume the task.
/// docs/interfaces/worker.md documents the interface.
class StandinWorker {
 public:
  StandinWorker(EventLoop& loop, HttpServer& server, RandomSource& random);

 private:
  struct Task {
    Epoch epoch = 0;
    uint64_t session = 0;
    TaskKind kind = TaskKind::kBatch;
    Resources resources;
    bool can_checkpoint = false;
    std::string failure;
    /// Work left, in milliseconds at full speed.
    double work_left_ms = 0;
    double work_done_ms = 0;
    bool is_suspended = false;
    /// Speed since `updated`, as a fraction of full speed.
    double speed = 0;
    Millis started;
    Millis updated;
    EventLoop::TimerId timer = 0;
  };
  struct Event {
    uint64_t sequence = 0;
    uint64_t session = 0;
    TaskId task;
    Epoch epoch = 0;
    std::string kind;
    std::string detail;
    Millis runtime;
  };

  HttpResponse OnEvents(const HttpRequest& request);
  HttpResponse OnCommands(const HttpRequest& request);
  void SetLeases(Millis until, Millis stop_after);
  void Execute(const nlohmann::json& command);
  void Start(JsonReader& reader);
  void Checkpoint(TaskId id, Task& task);
  void StopAll();
  void End(TaskId id, const char* kind, std::string detail);
  void AddEvent(TaskId id,
                const Task& task,
                const char* kind,
                std::string text);
  /// Accounts for the work since the last update and restarts the timer.
  void Update(TaskId id, Task& task);
  void UpdateAll();
  double Speed(const Task& task) const;
  bool HasLease() const;
  std::string Executions() const;

  EventLoop& m_loop;
  std::string m_instance;
  uint64_t m_session = 0;
  std::set<uint64_t> m_past_sessions;
  uint64_t m_next_command = 1;
  std::map<TaskId, Task> m_tasks;
  std::deque<Event> m_events;
  uint64_t m_last_event = 0;
  Millis m_leases_until;
  EventLoop::TimerId m_lease_timer = 0;
  int64_t m_throttle_percent = 100;
  // Number of completions of each task on this worker.
  std::map<TaskId, uint64_t> m_completions;
};

}  // namespace fulmarrock

#endif  // SOURCE_STANDIN_STANDIN_WORKER_H_
