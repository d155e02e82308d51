#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "bench/benchmark.h"
#include "bench/thread_cpu_time.h"
#include "source/agent/task_runner.h"
#include "source/base/seeded_random.h"
#include "source/control/control_role.h"
#include "source/entry/config_client.h"
#include "source/message/frame_codec.h"
#include "source/message/lease.h"
#include "source/placement/fair_scheduler.h"
#include "tests/support/fake_log.h"
#include "tests/support/fake_network.h"
#include "tests/support/fake_worker.h"

namespace fulmarrock::bench {
namespace {

using test::FakeLog;
using test::FakeNetwork;
using test::FakeWorker;
using test::ManualClock;

constexpr uint64_t kSeed = 20261204;
constexpr int kCustomers = 110;
constexpr size_t kWorkers = 5'300;
constexpr size_t kTasks = 141'000;
constexpr uint32_t kTasksPerJob = 10;
constexpr double kStartsPerSecond = 1'100;

double ToMillis(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

Configuration MakeConfiguration(int64_t weight) {
  Configuration configuration;
  for (int i = 0; i < kCustomers; ++i) {
    Plan plan;
    plan.name = "plan" + std::to_string(1000 + i);
    plan.weight = weight + i % 4;
    plan.max_pending_tasks = 1'000'000;
    plan.quota = {Resources::kMaxAmount, Resources::kMaxAmount,
                  Resources::kMaxAmount};
    configuration.plans.push_back(plan);
    configuration.customers.push_back(
        {"team" + std::to_string(1000 + i), plan.name});
  }
  return configuration;
}

NodeId WorkerName(size_t index) {
  return "worker" + std::to_string(10'000 + index);
}

/// Encodes the messages of a role as frames, as the network does; counts their
/// bytes and records the grants.
class RecordingTransport : public Transport {
 public:
  void Send(const NodeId& to, const Message& message) override {
    const std::string frame = EncodeFrame(message);
    bytes += frame.size();
    if (const auto* grants = std::get_if<GrantBatch>(&message)) {
      for (const TaskGrant& grant : grants->grants)
        granted.emplace_back(to, HeldLease{grant.task, grant.epoch});
    }
  }
  void LearnAddress(const NodeId&, std::string_view) override {}

  uint64_t bytes = 0;
  std::deque<std::pair<NodeId, HeldLease>> granted;
};

/// One leader with the production scheduler and an in-memory log, and agents
/// that exist only as the frames they send. Only the leader's CPU time is
/// counted, without the consensus protocol and the sockets.
class LeaderLoad {
 public:
  LeaderLoad(size_t workers, size_t tasks)
      : m_worker_count(workers),
        m_random(kSeed),
        m_log(m_clock),
        m_role(std::make_unique<ControlRole>("control0",
                                             m_clock,
                                             m_transport,
                                             m_random,
                                             m_scheduler)) {
    m_log.SetDelay(Millis(2));
    m_role->AttachLog(m_log.Connect("control0", *m_role));
    m_log.ChangeLeader("control0");
    m_role->ApplyConfiguration({"lists", 0, MakeConfiguration(1)},
                               [](const auto&) {});
    m_agents.resize(workers);
    for (size_t i = 0; i < workers; ++i) {
      WorkerAnnounce announce;
      announce.data_centre = "dc" + std::to_string(i % 7);
      announce.rack = "rack" + std::to_string(i / 40);
      announce.capacity = {64'000, 512'000, 8};
      announce.incarnation = i + 1;
      announce.address = "10.0.0.1:4000";
      m_role->OnMessage(WorkerName(i), announce);
      if (i % 500 == 499)
        Tick();
    }
    Tick();
    while (m_unfinished < tasks)
      SubmitTasks(2'000);
    RunUntilAllStarted();
  }

  ControlRole& role() { return *m_role; }
  ManualClock& clock() { return m_clock; }
  uint64_t wire_bytes() const { return m_transport.bytes + m_received_bytes; }
  uint64_t log_bytes() const { return m_log.committed_bytes(); }
  double cpu_micros() const { return m_cpu_micros; }

  /// Runs the design load of 1,100 starts per second for 5,300 workers, scaled
  /// to the number of workers, with a constant number of running tasks. Returns
  /// the number of starts.
  size_t RunConstantLoad(size_t ticks) {
    const double per_tick =
        kStartsPerSecond / 100 * static_cast<double>(m_worker_count) / kWorkers;
    const size_t starts_before = m_starts;
    double unsubmitted = 0;
    for (size_t tick = 0; tick < ticks; ++tick) {
      unsubmitted += per_tick;
      if (unsubmitted >= kTasksPerJob) {
        const auto jobs = static_cast<size_t>(unsubmitted / kTasksPerJob);
        unsubmitted -= static_cast<double>(jobs * kTasksPerJob);
        SubmitTasks(jobs * kTasksPerJob);
        CompleteOldest(jobs * kTasksPerJob);
      } else {
        Tick();
      }
    }
    return m_starts - starts_before;
  }

 private:
  struct Agent {
    uint64_t next_sequence = 1;
    uint64_t digest = 0;
    uint32_t leases = 0;
  };

  /// Submits tasks and runs one tick.
  void SubmitTasks(size_t count) {
    const double begin = ThreadCpuMicros();
    for (size_t i = 0; i < count; i += kTasksPerJob) {
      JobSpec spec;
      spec.name = "night-plan";
      spec.customer = "team" + std::to_string(1000 + m_jobs % kCustomers);
      spec.task_count = kTasksPerJob;
      spec.resources = {1'000, 4'000, 0};
      spec.can_checkpoint = true;
      spec.payload = "plan=" + std::to_string(m_jobs);
      m_role->SubmitJob({"job" + std::to_string(m_jobs++), spec},
                        [](const auto&) {});
    }
    m_cpu_micros += ThreadCpuMicros() - begin;
    m_unfinished += count;
    Tick();
  }

  void Tick() {
    Renew();
    ReportStarted();
    const double begin = ThreadCpuMicros();
    m_role->OnTick();
    m_clock.Advance(kTickInterval);
    m_log.Advance();
    m_cpu_micros += ThreadCpuMicros() - begin;
  }

  /// Runs until no task is pending and every worker has renewed its leases,
  /// since grants are only sent to workers that have.
  void RunUntilAllStarted() {
    while (m_role->state().jobs().CountTasks(TaskState::kPending) > 0)
      Tick();
    for (Millis t; t < kRenewalInterval * 2; t += kTickInterval)
      Tick();
  }

  /// Every worker renews its leases every four seconds.
  void Renew() {
    m_due_renewals += static_cast<double>(m_worker_count) *
                      static_cast<double>(kTickInterval.count()) /
                      static_cast<double>(kRenewalInterval.count());
    for (; m_due_renewals >= 1; m_due_renewals -= 1) {
      const size_t index = m_next_renewal++ % m_worker_count;
      LeaseRenew renew;
      renew.incarnation = index + 1;
      renew.digest = m_agents[index].digest;
      renew.lease_count = m_agents[index].leases;
      renew.sent_at = m_clock.Now();
      renew.answered_at = m_clock.Now() - Millis(1);
      Receive(index, renew);
    }
  }

  void ReportStarted() {
    while (!m_transport.granted.empty()) {
      const auto [node, lease] = m_transport.granted.front();
      m_transport.granted.pop_front();
      const size_t index = std::stoul(node.substr(6)) - 10'000;
      m_agents[index].digest += LeaseDigest(lease.task, lease.epoch);
      ++m_agents[index].leases;
      m_running.emplace_back(index, lease);
      ++m_starts;
      SendEvent(index, lease, TaskEventKind::kStarted);
    }
  }

  void CompleteOldest(size_t count) {
    for (size_t i = 0; i < count && !m_running.empty(); ++i) {
      const auto [index, lease] = m_running.front();
      m_running.pop_front();
      m_agents[index].digest -= LeaseDigest(lease.task, lease.epoch);
      --m_agents[index].leases;
      SendEvent(index, lease, TaskEventKind::kCompleted);
      --m_unfinished;
    }
  }

  void SendEvent(size_t index, const HeldLease& lease, TaskEventKind kind) {
    TaskEvents events;
    events.incarnation = index + 1;
    events.first_sequence = m_agents[index].next_sequence++;
    events.events.push_back(
        {lease.task, lease.epoch, kind, "", Millis(60'000)});
    Receive(index, events);
  }

  void Receive(size_t index, const Message& message) {
    const std::string frame = EncodeFrame(message);
    const NodeId from = WorkerName(index);
    m_received_bytes += frame.size();
    const double begin = ThreadCpuMicros();
    m_role->OnMessage(from, *DecodeFrame(frame));
    m_cpu_micros += ThreadCpuMicros() - begin;
  }

  size_t m_worker_count;
  ManualClock m_clock;
  SeededRandom m_random;
  RecordingTransport m_transport;
  FairScheduler m_scheduler;
  FakeLog m_log;
  std::unique_ptr<ControlRole> m_role;
  std::vector<Agent> m_agents;
  std::deque<std::pair<size_t, HeldLease>> m_running;
  uint64_t m_received_bytes = 0;
  size_t m_jobs = 0;
  size_t m_unfinished = 0;
  size_t m_starts = 0;
  size_t m_next_renewal = 0;
  double m_due_renewals = 0;
  double m_cpu_micros = 0;
};

/// Measures how long a member takes to restore its state from a snapshot and to
/// become leader, as after a restart.
void BenchRecovery() {
  std::string snapshot;
  {
    LeaderLoad load(kWorkers, kTasks);
    const auto begin = std::chrono::steady_clock::now();
    snapshot = load.role().SaveSnapshot();
    ReportFigure("control_snapshot_save_ms",
                 ToMillis(std::chrono::steady_clock::now() - begin), "ms");
  }
  ManualClock clock;
  SeededRandom random(kSeed);
  RecordingTransport transport;
  FairScheduler scheduler;
  FakeLog log(clock);
  const size_t heap_before = HeapBytes();
  ControlRole role("control0", clock, transport, random, scheduler);
  role.AttachLog(log.Connect("control0", role));
  const auto begin = std::chrono::steady_clock::now();
  const bool is_restored = role.RestoreSnapshot(snapshot).has_value();
  const auto restored = std::chrono::steady_clock::now();
  const size_t heap_restored = HeapBytes();
  log.ChangeLeader("control0");
  const auto leading = std::chrono::steady_clock::now();
  const size_t heap_leading = HeapBytes();
  const size_t tasks = role.state().jobs().CountTasks(TaskState::kRunning) *
                       (is_restored ? 1 : 0);
  ReportFigure("recovery_tasks", static_cast<double>(tasks), "tasks");
  ReportFigure("recovery_ms", ToMillis(leading - begin), "ms");
  ReportFigure("recovery_restore_ms", ToMillis(restored - begin), "ms");
  const auto per_task = [tasks](size_t bytes) {
    return static_cast<double>(bytes) / static_cast<double>(tasks);
  };
  ReportFigure("control_bytes_per_task_snapshot", per_task(snapshot.size()),
               "bytes");
  ReportFigure("control_bytes_per_task_state",
               per_task(heap_restored - heap_before), "bytes");
  ReportFigure("control_bytes_per_task_resident",
               per_task(heap_leading - heap_before), "bytes");
  ReportFigure("control_resident_mb",
               static_cast<double>(heap_leading - heap_before) / 1e6, "MB");
}

void BenchCpuPerStart() {
  double first = 0;
  for (const size_t scale : {1, 4, 16}) {
    LeaderLoad load(kWorkers * scale / 16, kTasks * scale / 16);
    const double cpu_before = load.cpu_micros();
    const uint64_t wire_before = load.wire_bytes();
    const uint64_t log_before = load.log_bytes();
    // The number of starts is the same at each scale, so that the measurements
    // are equally stable.
    const size_t ticks = 8'000 / scale;
    const auto starts = static_cast<double>(load.RunConstantLoad(ticks));
    const double cpu = (load.cpu_micros() - cpu_before) / starts;
    const std::string suffix = "_" + std::to_string(scale) + "x";
    ReportFigure("control_cpu_us_per_start" + suffix, cpu, "us");
    ReportFigure("control_starts" + suffix, starts, "starts");
    if (scale == 1)
      first = cpu;
    if (scale == 16) {
      ReportFigure("control_cpu_per_start_slope", cpu / first, "ratio");
      ReportFigure(
          "control_bytes_per_task_wire",
          static_cast<double>(load.wire_bytes() - wire_before) / starts,
          "bytes");
      ReportFigure("control_bytes_per_task_log",
                   static_cast<double>(load.log_bytes() - log_before) / starts,
                   "bytes");
    }
  }
}

/// Measures how long a configuration change takes to reach all processes. They
/// poll three members over links of 1 ms; 5 percent of them restart when the
/// change is made.
void BenchConfigurationPropagation() {
  ManualClock clock;
  SeededRandom random(kSeed);
  FakeNetwork network(clock, random);
  network.SetDelay(Millis(1));
  FakeLog log(clock);
  log.SetDelay(Millis(4), Millis(2));
  const std::vector<NodeId> names = {"control0", "control1", "control2"};
  std::vector<std::unique_ptr<FairScheduler>> schedulers;
  std::vector<std::unique_ptr<ControlRole>> members;
  for (const NodeId& name : names) {
    schedulers.push_back(std::make_unique<FairScheduler>());
    members.push_back(std::make_unique<ControlRole>(
        name, clock, network.TransportOf(name), random, *schedulers.back()));
    ControlRole& role = *members.back();
    role.AttachLog(log.Connect(name, role));
    network.SetHandler(name, [&role](const NodeId& from, const Message& m) {
      role.OnMessage(from, m);
    });
  }
  log.ChangeLeader(names[0]);

  Counters counters;
  std::vector<std::unique_ptr<ConfigClient>> clients(kWorkers);
  const auto start_client = [&](size_t i) {
    ConfigClient::Options options;
    options.members = names;
    std::rotate(options.members.begin(), options.members.begin() + i % 3,
                options.members.end());
    const NodeId node = WorkerName(i);
    clients[i] = std::make_unique<ConfigClient>(
        options, clock, network.TransportOf(node), counters);
    ConfigClient& client = *clients[i];
    network.SetHandler(node, [&client](const NodeId& from, const Message& m) {
      if (const auto* delta = std::get_if<ConfigDelta>(&m))
        client.OnDelta(from, *delta);
      else if (const auto* configuration_snapshot =
                   std::get_if<ConfigSnapshot>(&m))
        client.OnSnapshot(from, *configuration_snapshot);
    });
  };
  const auto run = [&](Millis duration) {
    const Millis end = clock.Now() + duration;
    while (clock.Now() < end) {
      clock.Advance(Millis(1));
      network.DeliverDue();
      log.Advance();
      if (clock.Now().count() % kTickInterval.count() != 0)
        continue;
      for (const auto& member : members)
        member->OnTick();
      for (const auto& client : clients)
        client->OnTick();
    }
  };
  const auto count_at = [&](uint64_t version) {
    return std::count_if(clients.begin(), clients.end(), [&](const auto& c) {
      return c->version() >= version;
    });
  };

  for (size_t i = 0; i < kWorkers; ++i)
    start_client(i);
  members[0]->ApplyConfiguration({"first", 0, MakeConfiguration(1)},
                                 [](const auto&) {});
  run(Millis(6'000));
  if (count_at(1) != static_cast<ptrdiff_t>(kWorkers))
    return;
  for (size_t i = 0; i < kWorkers; i += 20)
    start_client(i);
  Configuration changed = MakeConfiguration(1);
  changed.plans[7].weight = 50;
  const Millis begin = clock.Now();
  const uint64_t bytes_before = network.sent_bytes();
  members[0]->ApplyConfiguration({"second", 1, changed}, [](const auto&) {});
  while (count_at(2) != static_cast<ptrdiff_t>(kWorkers) &&
         clock.Now() < begin + Millis(60'000))
    run(Millis(10));
  ReportFigure("config_everywhere_ms",
               static_cast<double>((clock.Now() - begin).count()), "ms");
  ReportFigure("config_everywhere_bytes_per_process",
               static_cast<double>(network.sent_bytes() - bytes_before) /
                   static_cast<double>(kWorkers),
               "bytes");
}

/// Measures the traffic of production agents that only renew their leases.
void BenchRenewals() {
  ManualClock clock;
  SeededRandom random(kSeed);
  FakeNetwork network(clock, random);
  FakeLog log(clock);
  FairScheduler scheduler;
  ControlRole role("control0", clock, network.TransportOf("control0"), random,
                   scheduler);
  role.AttachLog(log.Connect("control0", role));
  log.ChangeLeader("control0");
  network.SetHandler("control0", [&](const NodeId& from, const Message& m) {
    role.OnMessage(from, m);
  });
  Counters counters;
  std::vector<std::unique_ptr<FakeWorker>> workers;
  std::vector<std::unique_ptr<TaskRunner>> runners;
  for (size_t i = 0; i < kWorkers; ++i) {
    TaskRunnerSettings settings;
    settings.control_members = {"control0"};
    settings.capacity = {64'000, 512'000, 8};
    settings.incarnation = random.Next() | 1;
    workers.push_back(std::make_unique<FakeWorker>(clock));
    runners.push_back(std::make_unique<TaskRunner>(
        settings, clock, network.TransportOf(WorkerName(i)), random,
        *workers.back(), counters));
    TaskRunner& runner = *runners.back();
    network.SetHandler(WorkerName(i),
                       [&runner](const NodeId& from, const Message& m) {
                         runner.OnMessage(from, m);
                       });
  }
  const auto run = [&](Millis duration) {
    const Millis end = clock.Now() + duration;
    while (clock.Now() < end) {
      clock.Advance(kTickInterval);
      network.DeliverDue();
      log.Advance();
      role.OnTick();
      for (const auto& runner : runners)
        runner->OnTick();
    }
  };
  run(Millis(2'000));
  const uint64_t bytes_before = network.sent_bytes();
  const uint64_t count_before = network.sent_count();
  run(Millis(8'000));
  ReportFigure("renewal_bytes_per_s",
               static_cast<double>(network.sent_bytes() - bytes_before) / 8,
               "bytes/s");
  ReportFigure("renewal_messages_per_s",
               static_cast<double>(network.sent_count() - count_before) / 8,
               "messages/s");
}

const BenchmarkRegistration kRecovery("control_recovery", BenchRecovery);
const BenchmarkRegistration kCpu("control_cpu_per_start", BenchCpuPerStart);
const BenchmarkRegistration kConfig("control_config_everywhere",
                                    BenchConfigurationPropagation);
const BenchmarkRegistration kRenewals("control_renewals", BenchRenewals);

}  // namespace
}  // namespace fulmarrock::bench
