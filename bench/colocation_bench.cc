#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bench/benchmark.h"
#include "bench/unlimited_plan.h"
#include "source/agent/latency_window.h"
#include "source/agent/throttle_controller.h"
#include "source/base/seeded_random.h"
#include "source/placement/fair_scheduler.h"
#include "source/placement/packing_placement.h"
#include "tests/support/manual_clock.h"

namespace fulmarrock::bench {
namespace {

constexpr uint64_t kSeed = 20261204;
constexpr size_t kWorkers = 11;
constexpr size_t kSlots = 8;
constexpr int64_t kServiceCores = 8;
constexpr Millis kStep{100};
constexpr int kSteps = 7'200;
// Latency objective, relative to the p99 without batch tasks.
constexpr double kObjectiveRatio = 1.2;

// Window over which the agent computes latency percentiles.
constexpr Millis kWindow = Millis::FromSeconds(10);

// Service times: a Pareto distribution with exponent 2, cut off at two seconds.
constexpr double kShortestMs = 20;
constexpr double kLongestMs = 2'000;
constexpr double kMeanMs = 2 * kShortestMs;

constexpr const char* kServices[] = {"wallwright", "kernel-svc"};
constexpr const char* kWorkloads[] = {"study", "plan", "scan"};

/// Slowdown added to each service if the whole worker ran one workload.
constexpr double kAddedSlowdown[2][3] = {{0.03, 0.15, 1.2}, {0.03, 1.0, 0.1}};

/// Share of the service's slots in use without interference.
double LoadAt(int step) {
  const int phase = step * 4 / kSteps;
  constexpr double kLoads[] = {0.45, 0.65, 0.7, 0.35};
  return kLoads[phase];
}

/// Share of scans among the submitted batch tasks; it is high in the middle
/// quarter of the run.
double ScanShareAt(int step) {
  const int eighth = step * 8 / kSteps;
  return eighth == 3 || eighth == 4 ? 0.5 : 0.1;
}

/// Simulated service with eight slots and a FIFO queue.
class SimulatedService {
 public:
  explicit SimulatedService(uint64_t seed) : m_random(seed) {}

  /// Serves the requests of one step.
  void Run(double start_ms, double load, double slowdown) {
    const double interval = kMeanMs / (load * kSlots);
    const double end = start_ms + static_cast<double>(kStep.count());
    m_next = std::max(m_next, start_ms);
    for (; m_next < end; m_next -= interval * std::log1p(-m_random.Fraction()))
      Serve(m_next, slowdown);
  }

  /// Latencies of the requests that finished by `now`, as the agent sees them.
  LatencyWindow& WindowAt(Millis now) {
    while (!m_unfinished.empty() &&
           m_unfinished.begin()->first <= static_cast<double>(now.count())) {
      const auto& [finish, latency] = *m_unfinished.begin();
      m_window.Add(Millis(static_cast<int64_t>(finish)),
                   Millis(static_cast<int64_t>(latency)));
      m_unfinished.erase(m_unfinished.begin());
    }
    return m_window;
  }

  const std::vector<double>& latencies() const { return m_latencies; }

 private:
  void Serve(double arrival, double slowdown) {
    const auto slot = std::min_element(m_free_at.begin(), m_free_at.end());
    const double service =
        std::min(kShortestMs / std::sqrt(1 - m_random.Fraction()), kLongestMs);
    const double finish = std::max(arrival, *slot) + service * slowdown;
    *slot = finish;
    m_latencies.push_back(finish - arrival);
    m_unfinished.emplace(finish, finish - arrival);
  }

  SeededRandom m_random;
  double m_next = 0;
  std::array<double, kSlots> m_free_at{};
  std::vector<double> m_latencies;
  std::multimap<double, double> m_unfinished;
  LatencyWindow m_window{1'024, kWindow};
};

double P99(std::vector<double> values) {
  const auto nth =
      values.begin() + static_cast<ptrdiff_t>(values.size() * 99 / 100);
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

/// Returns the p99 over the services of all workers at a constant slowdown.
double P99AtSlowdown(double slowdown) {
  std::vector<double> all;
  for (size_t i = 0; i < kWorkers; ++i) {
    SimulatedService simulated_service(kSeed + i);
    for (int step = 0; step < kSteps; ++step)
      simulated_service.Run(static_cast<double>(step * kStep.count()),
                            LoadAt(step), slowdown);
    all.insert(all.end(), simulated_service.latencies().begin(),
               simulated_service.latencies().end());
  }
  return P99(std::move(all));
}

/// Largest constant slowdown that keeps the p99 within the objective.
double LargestSlowdown(double p99_without_batch) {
  double low = 1;
  double high = kObjectiveRatio;
  for (int i = 0; i < 7; ++i) {
    const double middle = (low + high) / 2;
    (P99AtSlowdown(middle) <= kObjectiveRatio * p99_without_batch ? low
                                                                  : high) =
        middle;
  }
  return low;
}

/// Returns the latest sample that has arrived; Measure() delays and drops them.
class DelayedProbe : public LatencyProbe {
 public:
  std::optional<LatencySample> Read() const override { return m_sample; }
  void Set(const LatencySample& sample) { m_sample = sample; }

 private:
  std::optional<LatencySample> m_sample;
};

/// Records the throttle of the batch tasks and ignores the tasks.
class ThrottleRecorder : public WorkerClient {
 public:
  void Start(const TaskGrant&) override {}
  void Checkpoint(TaskId) override {}
  void Stop(TaskId) override {}
  void Suspend(TaskId) override {}
  void Resume(TaskId) override {}
  void StopAll() override {}
  void ExtendLeases(Millis) override {}
  void ThrottleBatch(int percent) override { share = percent / 100.0; }

  /// Fraction of full speed at which batch tasks run.
  double share = 1;
};

/// Simulates eleven workers with one service each, batch tasks placed by the
/// scheduler, and the agent's throttle on each worker.
class ColocationSimulation {
 public:
  using ThrottleFactory = std::function<std::unique_ptr<ThrottlePolicy>()>;

  struct Result {
    double p99 = 0;
    double batch_work = 0;
    /// Batch work possible if each worker ran at the best constant throttle.
    double max_batch_work = 0;
    double evictions = 0;
  };

  ColocationSimulation(FairScheduler::PolicyFactory policies,
                       const ThrottleFactory& make_throttle,
                       const Resources& capacity,
                       size_t service_count,
                       double batch_demand,
                       double objective_ms,
                       double largest_slowdown)
      : m_random(kSeed),
        m_scheduler(std::move(policies)),
        m_capacity(capacity),
        m_service_count(service_count),
        m_batch_demand(batch_demand),
        m_objective_ms(objective_ms),
        m_largest_slowdown(largest_slowdown) {
    m_clock.Set(Millis::FromSeconds(1'000));
    m_start = m_clock.Now();
    m_scheduler.SetConfiguration(MakeUnlimitedConfiguration({"c"}));
    for (size_t i = 0; i < m_services.size(); ++i) {
      m_services[i].name = kServices[i];
      m_services[i].customer = "c";
      m_services[i].kind = TaskKind::kService;
      m_services[i].resources = {kServiceCores * 1'000, 16'000, 0};
    }
    for (size_t i = 0; i < kWorkers; ++i)
      AddWorker(i, make_throttle);
  }

  Result Run() {
    for (int step = 0; step < kSteps; ++step) {
      m_clock.Advance(kStep);
      SubmitBatch(step);
      Place();
      for (size_t i = 0; i < kWorkers; ++i)
        RunWorker(i, step);
      if (step % 50 == 49)
        ReportServices();
    }
    std::vector<double> all;
    for (const auto& node : m_nodes)
      all.insert(all.end(), node->simulated_service.latencies().begin(),
                 node->simulated_service.latencies().end());
    m_result.p99 = P99(std::move(all));
    return m_result;
  }

 private:
  struct BatchTask {
    TaskId id;
    size_t workload = 0;
    double cores = 0;
    double work_left = 0;
  };
  struct Node {
    explicit Node(uint64_t seed) : simulated_service(seed) {}

    NodeId name;
    size_t service = 0;
    SimulatedService simulated_service;
    DelayedProbe probe;
    ThrottleRecorder worker;
    std::unique_ptr<ThrottleController> throttle;
    std::vector<BatchTask> tasks;
    std::deque<std::pair<Millis, LatencySample>> measurements;
  };

  void AddWorker(size_t index, const ThrottleFactory& make_throttle) {
    auto node = std::make_unique<Node>(kSeed + index);
    node->name = "w" + std::to_string(index);
    node->service = index % m_service_count;
    node->throttle = std::make_unique<ThrottleController>(
        m_clock, node->probe, node->worker, m_counters, make_throttle());
    m_scheduler.UpsertWorker({node->name, "d" + std::to_string(index % 4),
                              "r" + std::to_string(index / 3), m_capacity,
                              true});
    m_scheduler.AddRunning({{1, static_cast<uint32_t>(index)},
                            &m_services[node->service],
                            m_clock.Now()},
                           node->name, m_clock.Now());
    m_nodes.push_back(std::move(node));
  }

  // Keeps up to 12 tasks pending, so that no worker is idle for lack of work,
  // unless the unfinished tasks have reached the batch demand.
  void SubmitBatch(int step) {
    const double cores =
        static_cast<double>(kWorkers) *
        (static_cast<double>(m_capacity.cpu_millicores) / 1'000 -
         kServiceCores);
    while (m_scheduler.pending_count() < 12 &&
           m_unfinished_cores < m_batch_demand * cores) {
      const double kind = m_random.Fraction();
      const double scan = ScanShareAt(step);
      const size_t workload = kind < scan ? 2 : kind < scan + 0.4 ? 1 : 0;
      JobSpec& spec = m_specs.emplace_back();
      spec.customer = "c";
      spec.name = kWorkloads[workload];
      spec.can_checkpoint = true;
      const auto cores_needed = static_cast<int64_t>(1 + m_random.Below(2));
      spec.resources = {cores_needed * 1'000, cores_needed * 2'000, 0};
      spec.expected_runtime = Millis::FromSeconds(40);
      m_unfinished_cores += static_cast<double>(cores_needed);
      const TaskId id{++m_next_job + 1, 0};
      m_pending[id] = {
          id, workload, static_cast<double>(cores_needed),
          (20 + 40 * m_random.Fraction()) * static_cast<double>(cores_needed)};
      m_scheduler.Enqueue({id, &spec, m_clock.Now()});
    }
  }

  void Place() {
    for (const Placement& placement :
         m_scheduler.Schedule(100, m_clock.Now())) {
      for (const auto& node : m_nodes) {
        if (node->name == placement.worker)
          node->tasks.push_back(m_pending[placement.task]);
      }
    }
    for (const Eviction& eviction : m_scheduler.ChooseEvictions(m_clock.Now()))
      Evict(eviction.task);
  }

  void Evict(TaskId id) {
    ++m_result.evictions;
    for (const auto& node : m_nodes) {
      const auto it =
          std::find_if(node->tasks.begin(), node->tasks.end(),
                       [&](const BatchTask& task) { return task.id == id; });
      if (it == node->tasks.end())
        continue;
      m_pending[id] = *it;
      node->tasks.erase(it);
      m_scheduler.Release(id, AttemptResult::kStopped, Millis(0));
      m_scheduler.Enqueue({id, &m_specs[id.job - 2], m_clock.Now()});
      return;
    }
  }

  void RunWorker(size_t index, int step) {
    Node& node = *m_nodes[index];
    const double load = LoadAt(step);
    const double worker_cores =
        static_cast<double>(m_capacity.cpu_millicores) / 1'000;
    double added_slowdown = 0;
    for (const BatchTask& task : node.tasks)
      added_slowdown += kAddedSlowdown[node.service][task.workload] *
                        task.cores / worker_cores;
    added_slowdown *= 0.5 + load;
    const double share = node.worker.share;
    node.simulated_service.Run(ElapsedMs() - static_cast<double>(kStep.count()),
                               load, 1 + added_slowdown * share);
    const double seconds = static_cast<double>(kStep.count()) / 1'000;
    const double best_share =
        added_slowdown <= 0
            ? 1
            : std::min(1.0, (m_largest_slowdown - 1) / added_slowdown);
    m_result.max_batch_work +=
        (worker_cores - kServiceCores) * best_share * seconds;
    for (BatchTask& task : node.tasks) {
      const double work =
          std::min(task.cores * share * seconds, task.work_left);
      task.work_left -= work;
      m_result.batch_work += work;
    }
    std::erase_if(node.tasks, [&](const BatchTask& task) {
      if (task.work_left > 0)
        return false;
      m_unfinished_cores -= task.cores;
      m_scheduler.Release(task.id, AttemptResult::kCompleted,
                          Millis::FromSeconds(40));
      return true;
    });
    Measure(index, step);
    node.throttle->OnTick();
  }

  // Takes a sample every 500 ms, which arrives 500 ms later. 2 % of the samples
  // are missing, and one worker has none for 30 s.
  void Measure(size_t index, int step) {
    Node& node = *m_nodes[index];
    const bool has_outage = index == 3 && step / 300 == 8;
    if (step % 5 == 4 && !has_outage && m_random.Fraction() > 0.02) {
      const Millis elapsed(static_cast<int64_t>(ElapsedMs()));
      const LatencyWindow& window = node.simulated_service.WindowAt(elapsed);
      node.measurements.emplace_back(
          m_clock.Now() + Millis(500),
          LatencySample{
              window.P99(elapsed), Millis(static_cast<int64_t>(m_objective_ms)),
              m_clock.Now(), static_cast<int64_t>(window.CountAt(elapsed)),
              window.Percentile(elapsed, 0.9)});
    }
    while (!node.measurements.empty() &&
           node.measurements.front().first <= m_clock.Now()) {
      node.probe.Set(node.measurements.front().second);
      node.measurements.pop_front();
    }
  }

  // Control receives a sample two seconds after it was taken.
  void ReportServices() {
    for (const auto& node : m_nodes) {
      const std::optional<LatencySample> sample = node->probe.Read();
      if (!sample)
        continue;
      ServiceLatency latency{
          kServices[node->service], sample->p99, sample->objective, {}};
      for (const BatchTask& task : node->tasks)
        latency.colocated_workloads.emplace_back(kWorkloads[task.workload]);
      UsageReport report;
      report.services.push_back(latency);
      report.age = Millis(2'000);
      m_scheduler.OnUsage(node->name, report, m_clock.Now());
    }
  }

  double ElapsedMs() const {
    return static_cast<double>((m_clock.Now() - m_start).count());
  }

  SeededRandom m_random;
  test::ManualClock m_clock;
  Millis m_start;
  Counters m_counters;
  FairScheduler m_scheduler;
  Resources m_capacity;
  size_t m_service_count;
  // Cores that unfinished batch tasks may request, relative to the cores that
  // the services leave free.
  double m_batch_demand;
  double m_unfinished_cores = 0;
  double m_objective_ms;
  double m_largest_slowdown;
  std::array<JobSpec, 2> m_services;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::deque<JobSpec> m_specs;
  std::unordered_map<TaskId, BatchTask> m_pending;
  JobId m_next_job = 0;
  Result m_result;
};

/// Default policies, except for the baseline of the interference model.
SchedulerPolicies WithoutInterference() {
  SchedulerPolicies policies = MakeDefaultPolicies();
  policies.interference = std::make_unique<NoInterferenceModel>();
  policies.placement = std::make_unique<PackingPlacement>(
      *policies.interference, *policies.failure_attribution);
  return policies;
}

void BenchColocation() {
  const double p99_without_batch = P99AtSlowdown(1);
  const double largest_acceptable = LargestSlowdown(p99_without_batch);
  const double objective = kObjectiveRatio * p99_without_batch;
  ReportFigure("colocation_largest_slowdown", largest_acceptable, "ratio");
  const auto run = [&](FairScheduler::PolicyFactory policies,
                       const ColocationSimulation::ThrottleFactory& throttle,
                       const Resources& capacity, size_t service_count,
                       double batch_demand) {
    return ColocationSimulation(std::move(policies), throttle, capacity,
                                service_count, batch_demand, objective,
                                largest_acceptable)
        .Run();
  };
  const auto throttle = [] {
    return std::make_unique<MultiplicativeThrottle>();
  };
  const auto no_throttle = [] { return std::make_unique<NoThrottle>(); };
  const Resources worker_16_cores{16'000, 60'000, 0};
  const Resources worker_32_cores{32'000, 125'000, 0};
  for (const auto& [name, capacity] :
       {std::pair("_16_cores", worker_16_cores),
        std::pair("_32_cores", worker_32_cores)}) {
    const auto report = [&](const std::string& suffix,
                            const ColocationSimulation::Result& result) {
      ReportFigure("batch_throughput_vs_bound" + suffix,
                   result.batch_work / result.max_batch_work, "ratio");
      ReportFigure("guarded_p99_vs_alone" + suffix,
                   result.p99 / p99_without_batch, "ratio");
      ReportFigure("colocation_evictions" + suffix, result.evictions,
                   "evictions");
    };
    const std::string suffix = name;
    report(suffix, run(MakeDefaultPolicies, throttle, capacity, 1, 2));
    report(suffix + "_no_throttle",
           run(MakeDefaultPolicies, no_throttle, capacity, 1, 2));
    constexpr double kBatchDemand = 0.7;
    // With two services that are sensitive to different workloads, the
    // placement can avoid interference.
    const auto defaults =
        run(MakeDefaultPolicies, throttle, capacity, 2, kBatchDemand);
    const auto baseline =
        run(WithoutInterference, throttle, capacity, 2, kBatchDemand);
    ReportFigure("two_services_batch_vs_baseline" + suffix,
                 defaults.batch_work / baseline.batch_work, "ratio");
    ReportFigure("two_services_p99_vs_alone" + suffix,
                 defaults.p99 / p99_without_batch, "ratio");
    ReportFigure("two_services_p99_vs_alone" + suffix + "_baseline",
                 baseline.p99 / p99_without_batch, "ratio");
  }
}

const BenchmarkRegistration kColocation("colocation", BenchColocation);

}  // namespace
}  // namespace fulmarrock::bench
