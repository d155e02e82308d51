#ifndef SOURCE_NET_HTTP_WORKER_CLIENT_H_
#define SOURCE_NET_HTTP_WORKER_CLIENT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "source/agent/worker_client.h"
#include "source/base/active_clock.h"
#include "source/base/counters.h"
#include "source/base/random_source.h"
#include "source/net/event_loop.h"
#include "source/net/http_client.h"

namespace fulmarrock {

/// Address and intervals for the worker of the agent.
struct HttpWorkerOptions {
  /// "ip:port".
  std::string address;
  Millis poll_interval{50};
  Millis request_timeout{2'000};
  /// Time after the end of its leases at which a worker stops its tasks by
  /// itself: one lease duration.
  Millis stop_after{12'000};
  /// Allowance for the drift between the clocks of agent and worker.
  Millis clock_margin{1'000};
};

/// Worker client over HTTP with JSON. Commands carry a session and a sequence
/// number, so that one that is sent again takes effect only once; events are
/// fetched by number, so that none is lost. docs/interfaces/worker.md documents
/// both.
class HttpWorkerClient : public WorkerClient {
 public:
  HttpWorkerClient(EventLoop& loop,
                   HttpWorkerOptions options,
                   RandomSource& random);
  ~HttpWorkerClient() override;

  /// Sets the listener for the worker's events and starts polling.
  void Listen(WorkerListener& listener);

  void StopAll() override;
  void ExtendLeases(Millis remaining) override;
  void Start(const TaskGrant& grant) override;
  void Checkpoint(TaskId task) override;
  void Stop(TaskId task) override;
  void Suspend(TaskId task) override;
  void Resume(TaskId task) override;
  void ThrottleBatch(int percent) override;

  /// Whether the worker responded to the last poll.
  bool IsReachable() const { return m_is_reachable; }

  const Counters& counters() const { return m_counters; }

 private:
  void Add(const nlohmann::json& command);
  void AddForTask(const char* name, TaskId task);
  void BeginSession();
  void FailTasks(const std::string& reason);
  void UpdateActiveClock();
  void SchedulePoll();
  void Poll();
  void OnPollResponse(const HttpClientResponse& response);
  void OnEvents(const nlohmann::json& poll_response);
  void OnUnreachable();
  void DispatchEvent(const nlohmann::json& event);
  void SendCommands();
  void OnCommandsSent(const HttpClientResponse& response, uint64_t last);
  std::string CommandBody();

  EventLoop& m_loop;
  const HttpWorkerOptions m_options;
  RandomSource& m_random;
  WorkerListener* m_listener = nullptr;
  Counters m_counters;
  HttpClient m_client;
  EventLoop::TimerId m_timer = 0;

  uint64_t m_session = 0;
  // JSON texts of the commands that the worker has not acknowledged.
  std::deque<std::string> m_commands;
  uint64_t m_first_sequence = 1;
  bool m_is_sending = false;
  // On this process's clock.
  Millis m_lease_end;
  bool m_has_new_lease_end = false;
  // The worker's clock may stand still while the instance is suspended.
  ActiveClock m_active_clock;
  EventLoop::TimerId m_clock_timer = 0;
  // Active time by which the worker has stopped its tasks by itself.
  Millis m_tasks_stopped_at;

  std::string m_instance;
  uint64_t m_last_event = 0;
  // Clock in the worker's last response, and the active time of its arrival.
  Millis m_worker_clock;
  Millis m_worker_clock_read_at;
  bool m_is_reachable = false;
  // Tasks that were started and have not ended, with their epochs.
  std::map<TaskId, Epoch> m_tasks;
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_HTTP_WORKER_CLIENT_H_
