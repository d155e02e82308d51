#include "source/net/http_worker_client.h"

#include <chrono>
#include <thread>

#include <catch2/catch.hpp>

#include "source/base/seeded_random.h"
#include "source/standin/standin_worker.h"
#include "tests/net/net_fixture.h"

namespace fulmarrock::test {
namespace {

struct SeenEvent {
  TaskId task;
  TaskEventKind kind;
  std::string detail;
};

/// A stand-in worker on a loop of its own.
class Worker {
 public:
  explicit Worker(uint64_t seed, const std::string& address = "127.0.0.1:0")
      : m_random(seed) {
    m_thread.RunAndWait([&] {
      HttpServerOptions options;
      options.address = address;
      m_server.emplace(m_thread.loop(), options);
      m_worker.emplace(m_thread.loop(), *m_server, m_random);
      REQUIRE(m_server->Start());
    });
  }
  ~Worker() {
    m_thread.RunAndWait([this] { m_server.reset(); });
  }
  std::string address() const { return m_server->address(); }

 private:
  LoopThread m_thread;
  SeededRandom m_random;
  std::optional<HttpServer> m_server;
  std::optional<StandinWorker> m_worker;
};

/// A worker client on a loop of its own.
class Agent : private WorkerListener {
 public:
  Agent(const std::string& address, uint64_t seed)
      : Agent(address, seed, HttpWorkerOptions()) {}
  Agent(const std::string& address, uint64_t seed, HttpWorkerOptions options)
      : m_random(seed) {
    m_thread.RunAndWait([&] {
      options.address = address;
      options.poll_interval = Millis(5);
      m_client.emplace(m_thread.loop(), options, m_random);
      m_client->Listen(*this);
    });
  }
  ~Agent() override {
    m_thread.RunAndWait([this] { m_client.reset(); });
  }

  void Call(const std::function<void(HttpWorkerClient&)>& function) {
    m_thread.RunAndWait([&] { function(*m_client); });
  }
  void Start(TaskId task, const std::string& payload, std::string from = "") {
    Call([&](HttpWorkerClient& client) {
      TaskGrant grant;
      grant.task = task;
      grant.epoch = 5;
      grant.can_checkpoint = true;
      grant.payload = payload;
      grant.checkpoint = std::move(from);
      client.Start(grant);
    });
  }
  void ExtendLeases(Millis remaining = Millis::FromSeconds(60)) {
    Call([remaining](HttpWorkerClient& client) {
      client.ExtendLeases(remaining);
    });
  }
  /// The agent's process does nothing for a time.
  void Freeze(std::chrono::milliseconds duration) {
    m_thread.RunAndWait([&] { std::this_thread::sleep_for(duration); });
  }
  SeenEvent Take() {
    return events.Take().value_or(
        SeenEvent{{}, TaskEventKind::kRejected, "no event arrived"});
  }

  Mailbox<SeenEvent> events;
  Mailbox<SeenEvent> past_events;

 private:
  void OnTaskEvent(TaskId task,
                   TaskEventKind kind,
                   const std::string& detail,
                   Millis) override {
    events.Put({task, kind, detail});
  }
  void OnPastTaskEnd(TaskId task,
                     Epoch,
                     TaskEventKind kind,
                     const std::string& detail,
                     Millis) override {
    past_events.Put({task, kind, detail});
  }
  void OnUsage(const std::vector<TaskUsage>&) override {}

  LoopThread m_thread;
  SeededRandom m_random;
  std::optional<HttpWorkerClient> m_client;
};

constexpr const char* kForever = R"({"duration_ms": 3600000})";

// Guards against lost events, and against tasks that fail without a reason.
TEST_CASE("tasks start, complete and fail as their payloads say") {
  Worker worker(1);
  Agent agent(worker.address(), 2);
  agent.ExtendLeases();
  agent.Start({1, 0}, R"({"duration_ms": 0})");
  CHECK(agent.Take().kind == TaskEventKind::kStarted);
  CHECK(agent.Take().kind == TaskEventKind::kCompleted);
  agent.Start({2, 0}, R"({"duration_ms": 0, "fail": "no paint"})");
  CHECK(agent.Take().kind == TaskEventKind::kStarted);
  const SeenEvent failed = agent.Take();
  CHECK(failed.kind == TaskEventKind::kFailed);
  CHECK(failed.detail == "no paint");
}

// Guards against a task that runs although its agent holds no lease yet.
TEST_CASE("a task makes no progress without a lease") {
  Worker worker(1);
  Agent agent(worker.address(), 2);
  agent.Start({1, 0}, R"({"duration_ms": 0})");
  CHECK(agent.Take().kind == TaskEventKind::kStarted);
  agent.Start({2, 0}, kForever);
  CHECK(agent.Take().task == TaskId{2, 0});
  agent.ExtendLeases();
  const SeenEvent next = agent.Take();
  CHECK(next.task == TaskId{1, 0});
  CHECK(next.kind == TaskEventKind::kCompleted);
}

// Guards against a checkpoint that does not stop the task or cannot be resumed
// on another worker.
TEST_CASE("a checkpointed task resumes on another worker") {
  Worker first(1);
  Agent agent(first.address(), 2);
  agent.ExtendLeases();
  agent.Start({1, 0}, kForever, "work-done-ms-3600000");
  CHECK(agent.Take().kind == TaskEventKind::kStarted);
  CHECK(agent.Take().kind == TaskEventKind::kCompleted);
  agent.Start({2, 0}, kForever);
  CHECK(agent.Take().kind == TaskEventKind::kStarted);
  agent.Call([](HttpWorkerClient& client) { client.Checkpoint({2, 0}); });
  const SeenEvent saved = agent.Take();
  CHECK(saved.kind == TaskEventKind::kCheckpointed);
  Worker second(3);
  Agent other(second.address(), 4);
  other.Start({2, 0}, kForever, saved.detail);
  CHECK(other.Take().kind == TaskEventKind::kStarted);
}

// Guards against tasks that count as running forever although their worker
// restarted and lost them.
TEST_CASE("the tasks of a restarted worker are reported as failed") {
  std::optional<Worker> worker(std::in_place, 1);
  const std::string address = worker->address();
  Agent agent(address, 2);
  agent.ExtendLeases();
  agent.Start({1, 0}, kForever);
  CHECK(agent.Take().kind == TaskEventKind::kStarted);
  worker.reset();
  worker.emplace(3, address);
  CHECK(agent.Take().kind == TaskEventKind::kFailed);
  agent.Start({2, 0}, R"({"duration_ms": 0})");
  CHECK(agent.Take().kind == TaskEventKind::kStarted);
  CHECK(agent.Take().kind == TaskEventKind::kCompleted);
}

// Guards against tasks that count as stopped while they run on a worker whose
// clock stood still with its suspended instance.
TEST_CASE("the tasks of a worker run on after a suspension") {
  constexpr Millis kLease{1'500};
  constexpr Millis kStopAfter{1'500};
  constexpr std::chrono::milliseconds kSuspension{4'000};
  std::optional<Worker> worker(std::in_place, 1);
  HttpWorkerOptions options;
  options.stop_after = kStopAfter;
  options.clock_margin = Millis(100);
  Agent agent(worker->address(), 2, options);
  agent.Start({1, 0}, kForever);
  CHECK(agent.Take().kind == TaskEventKind::kStarted);
  agent.ExtendLeases(kLease);
  agent.Start({2, 0}, R"({"duration_ms": 0})");
  // Its end shows that the lease arrived.
  CHECK(agent.Take().task == TaskId{2, 0});
  CHECK(agent.Take().task == TaskId{2, 0});
  // The worker responds to nothing after the suspension.
  worker.reset();
  agent.Freeze(kSuspension);
  const auto resumed = std::chrono::steady_clock::now();
  const SeenEvent failed = agent.Take();
  const auto waited = std::chrono::steady_clock::now() - resumed;
  CHECK(failed.task == TaskId{1, 0});
  CHECK(failed.kind == TaskEventKind::kFailed);
  // At most the time until the freeze has passed of the lease.
  CHECK(waited >= std::chrono::milliseconds(kStopAfter.count()));
}

// Guards against losing the completion of a task that ended while no agent was
// connected: the task would then run a second time.
TEST_CASE("a new agent learns of tasks that ended while none was connected") {
  Worker worker(1);
  {
    Agent agent(worker.address(), 2);
    agent.Start({1, 0}, R"({"duration_ms": 2000})");
    CHECK(agent.Take().kind == TaskEventKind::kStarted);
    agent.Start({2, 0}, R"({"duration_ms": 0})");
    CHECK(agent.Take().task == TaskId{2, 0});
    agent.ExtendLeases();
    // The end of the short task shows that the lease arrived; the long task
    // ends after the agent is gone.
    CHECK(agent.Take().task == TaskId{2, 0});
  }
  Agent other(worker.address(), 3);
  std::optional<SeenEvent> past;
  do {
    past = other.past_events.Take();
    REQUIRE(past);
  } while (past->task == TaskId{2, 0});
  CHECK(past->task == TaskId{1, 0});
  CHECK(past->kind == TaskEventKind::kCompleted);
}

// Guards against two agents that both assume that they control the tasks of one
// worker.
TEST_CASE("a new agent stops the tasks of the earlier one") {
  Worker worker(1);
  Agent first(worker.address(), 2);
  first.ExtendLeases();
  first.Start({1, 0}, kForever);
  CHECK(first.Take().kind == TaskEventKind::kStarted);
  Agent second(worker.address(), 3);
  second.Call([](HttpWorkerClient& client) { client.StopAll(); });
  second.ExtendLeases();
  second.Start({1, 0}, R"({"duration_ms": 0})");
  CHECK(second.Take().kind == TaskEventKind::kStarted);
  CHECK(second.Take().kind == TaskEventKind::kCompleted);
  first.Call([](HttpWorkerClient& client) { client.Checkpoint({1, 0}); });
  const SeenEvent lost = first.Take();
  CHECK(lost.task == TaskId{1, 0});
  CHECK(lost.kind != TaskEventKind::kStarted);
}

}  // namespace
}  // namespace fulmarrock::test
