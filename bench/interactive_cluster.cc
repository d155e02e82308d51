#include "bench/interactive_cluster.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <queue>
#include <utility>

namespace fulmarrock::bench {
namespace {

// Lognormal service times: median 25 ms, mean 41 ms, p99 256 ms.
constexpr double kMedianService = 25;
constexpr double kSigma = 1;

// Delay of load reports in addition to the network delay.
constexpr Millis kReportLag{50};

double DrawNormal(RandomSource& random) {
  return std::sqrt(-2 * std::log(1 - random.Fraction())) *
         std::cos(2 * M_PI * random.Fraction());
}

void AppendArrivals(const Deployment& deployment,
                    double load,
                    Millis begin,
                    Millis end,
                    RandomSource& random,
                    const std::function<int()>& pick_customer,
                    std::vector<Arrival>& arrivals) {
  const double mean_service = kMedianService * std::exp(kSigma * kSigma / 2);
  const double rate =
      load * deployment.targets * deployment.slots / mean_service;
  double time = static_cast<double>(begin.count());
  while (true) {
    time += -std::log(1 - random.Fraction()) / rate;
    if (time >= static_cast<double>(end.count()))
      return;
    Arrival arrival;
    arrival.time = Millis(static_cast<int64_t>(time));
    arrival.service_time = Millis(std::max<int64_t>(
        1,
        std::llround(kMedianService * std::exp(kSigma * DrawNormal(random)))));
    arrival.customer = pick_customer();
    arrival.entry = static_cast<int>(
        random.Below(static_cast<uint64_t>(deployment.data_centres)));
    arrivals.push_back(arrival);
  }
}

/// Target that responds to each request after the service time drawn for it.
class SimulatedTarget : public TargetClient {
 public:
  SimulatedTarget(const test::ManualClock& clock,
                  const std::vector<Arrival>& arrivals,
                  RandomSource& random)
      : m_clock(clock), m_arrivals(arrivals), m_random(random) {}

  void Submit(const TargetRequest& request, Done done) override {
    if (hangs_once) {
      hangs_once = false;
      return;
    }
    const Arrival& arrival = m_arrivals[std::stoul(request.body)];
    PendingRequest pending;
    pending.done = std::move(done);
    pending.due = m_clock.Now() + arrival.service_time * slowdown;
    pending.status = m_random.Fraction() < failure_share ? 500 : 200;
    if (fails_at_once) {
      pending.due = m_clock.Now();
      pending.status = 500;
    }
    pending.sequence = m_sequence++;
    m_pending.push(std::move(pending));
  }

  bool IsHealthy() const override { return true; }

  void Step() {
    while (!m_pending.empty() && m_pending.top().due <= m_clock.Now()) {
      const PendingRequest pending = m_pending.top();
      m_pending.pop();
      pending.done({TargetResponse::Kind::kAnswered, pending.status, "done"});
    }
  }

  int64_t slowdown = 1;
  bool fails_at_once = false;
  bool hangs_once = false;
  double failure_share = 0;

 private:
  struct PendingRequest {
    Millis due;
    uint64_t sequence = 0;
    int32_t status = 200;
    Done done;
    bool operator<(const PendingRequest& other) const {
      return std::pair(due, sequence) > std::pair(other.due, other.sequence);
    }
  };

  const test::ManualClock& m_clock;
  const std::vector<Arrival>& m_arrivals;
  RandomSource& m_random;
  std::priority_queue<PendingRequest> m_pending;
  uint64_t m_sequence = 0;
};

/// Replaces the load in each message by one measured kReportLag earlier.
class StaleLoadTransport : public Transport {
 public:
  StaleLoadTransport(const test::ManualClock& clock, Transport& transport)
      : m_clock(clock), m_transport(transport) {}

  void Send(const NodeId& to, const Message& message) override {
    Message stale = message;
    if (auto* reply = std::get_if<RequestReply>(&stale))
      reply->load = DelayLoad(reply->load);
    else if (auto* announce = std::get_if<TargetAnnounce>(&stale))
      announce->load = DelayLoad(announce->load);
    m_transport.Send(to, stale);
  }
  void LearnAddress(const NodeId&, std::string_view) override {}

 private:
  TargetLoad DelayLoad(const TargetLoad& load) {
    const Millis now = m_clock.Now();
    m_loads.emplace_back(now, load);
    while (m_loads.size() > 1 && m_loads[1].first + kReportLag <= now)
      m_loads.pop_front();
    TargetLoad delayed = m_loads.front().second;
    delayed.age = now - m_loads.front().first;
    return delayed;
  }

  const test::ManualClock& m_clock;
  Transport& m_transport;
  std::deque<std::pair<Millis, TargetLoad>> m_loads;
};

/// Simulates the whole deployment in one process.
class Cluster : public CallerSink {
 public:
  Cluster(const Deployment& deployment,
          const std::vector<Arrival>& arrivals,
          const Faults& faults,
          const PolicyFactory& policies)
      : m_deployment(deployment),
        m_arrivals(arrivals),
        m_random(7),
        m_network(m_clock, m_random),
        m_control(m_network.TransportOf("control-1")) {
    m_network.SetDelay(deployment.delay, deployment.jitter);
    AddControl();
    for (int i = 0; i < deployment.data_centres; ++i)
      AddEntry(i, policies);
    for (int i = 0; i < deployment.targets; ++i)
      AddAgent(i, faults);
    SetLocalDelays();
    Advance(Millis(100));
    if (faults.partitioned_target >= 0) {
      m_network.Cut(EntryName(0), AgentName(faults.partitioned_target));
      m_network.Cut(AgentName(faults.partitioned_target), EntryName(0));
    }
  }

  RunResult Run() {
    m_start = m_clock.Now();
    m_result.latencies.assign(m_arrivals.size(), kFailedLatency);
    size_t next = 0;
    while (next < m_arrivals.size()) {
      const Millis now = m_clock.Now() - m_start;
      while (next < m_arrivals.size() &&
             m_arrivals[next].time + m_deployment.client_delay <= now)
        SubmitArrival(next++);
      Advance(Millis(1));
    }
    Advance(Millis(kFailedLatency));
    for (const auto& entry : m_entries) {
      m_result.requests += entry->counters().Get("requests");
      m_result.attempts += entry->counters().Get("copies_sent");
    }
    const auto failed = std::count(m_result.latencies.begin(),
                                   m_result.latencies.end(), kFailedLatency);
    m_result.failed_share =
        static_cast<double>(failed) / static_cast<double>(m_arrivals.size());
    return m_result;
  }

  void Reply(RequestId id, CallerReply reply) override {
    const auto it = m_open.find(id);
    const size_t index = it->second;
    m_open.erase(it);
    if (reply.outcome != Outcome::kAnswered || reply.status != 200)
      return;
    const Millis end = m_clock.Now() - m_start + m_deployment.client_delay;
    m_result.latencies[index] = (end - m_arrivals[index].time).count();
  }

 private:
  static NodeId EntryName(int i) { return "entry-" + std::to_string(i); }
  static NodeId AgentName(int i) { return "agent-" + std::to_string(i); }
  std::string DataCentreOf(int i) const {
    return "dc-" + std::to_string(i % m_deployment.data_centres);
  }

  void AddControl() {
    m_control.version = 1;
    Plan plan;
    plan.name = "standard";
    plan.max_concurrent_requests = 24;
    m_control.configuration.plans = {plan};
    for (int i = 0; i < 10; ++i)
      m_control.configuration.customers.push_back(
          {"customer-" + std::to_string(i), "standard"});
    m_network.SetHandler("control-1",
                         [this](const NodeId& from, const Message& message) {
                           m_control.OnMessage(from, message);
                         });
  }

  void AddEntry(int i, const PolicyFactory& policies) {
    EntryOptions options;
    options.id = EntryName(i);
    options.incarnation = 1000 + static_cast<Incarnation>(i);
    options.data_centre = DataCentreOf(i);
    options.control_members = {"control-1"};
    m_entries.push_back(std::make_unique<EntryRole>(
        options, m_clock, m_network.TransportOf(options.id), m_random, *this,
        policies ? policies(m_random) : EntryPolicies{}));
    m_network.SetHandler(
        options.id, [role = m_entries.back().get()](const NodeId& from,
                                                    const Message& message) {
          role->OnMessage(from, message);
        });
  }

  void AddAgent(int i, const Faults& faults) {
    RequestServerOptions options;
    options.service = "previews";
    options.data_centre = DataCentreOf(i);
    options.incarnation = 2000 + static_cast<Incarnation>(i);
    options.slots = m_deployment.slots;
    for (int j = 0; j < m_deployment.data_centres; ++j)
      options.entries.push_back(EntryName(j));
    m_targets.push_back(
        std::make_unique<SimulatedTarget>(m_clock, m_arrivals, m_random));
    SimulatedTarget& target = *m_targets.back();
    target.slowdown = i == faults.slow_target ? 10 : 1;
    target.fails_at_once = i == faults.failing_target;
    target.hangs_once = i == faults.hanging_target;
    target.failure_share = faults.failure_share;
    m_transports.push_back(std::make_unique<StaleLoadTransport>(
        m_clock, m_network.TransportOf(AgentName(i))));
    m_agents.push_back(std::make_unique<RequestServer>(
        options, m_clock, *m_transports.back(), target, m_counters));
    m_network.SetHandler(
        AgentName(i), [server = m_agents.back().get()](const NodeId& from,
                                                       const Message& message) {
          server->OnMessage(from, message);
        });
  }

  void SetLocalDelays() {
    for (int i = 0; i < m_deployment.data_centres; ++i) {
      for (int j = 0; j < m_deployment.targets; ++j) {
        if (DataCentreOf(i) != DataCentreOf(j))
          continue;
        m_network.SetLinkDelay(EntryName(i), AgentName(j), Millis(0));
        m_network.SetLinkDelay(AgentName(j), EntryName(i), Millis(0));
      }
    }
  }

  void SubmitArrival(size_t index) {
    const Arrival& arrival = m_arrivals[index];
    CallerRequest request;
    request.customer = "customer-" + std::to_string(arrival.customer);
    request.service = "previews";
    request.is_idempotent = true;
    request.deadline = Millis(kFailedLatency - 100);
    request.body = std::to_string(index);
    const RequestId id =
        m_entries[static_cast<size_t>(arrival.entry)]->Submit(request);
    m_open[id] = index;
  }

  void Advance(Millis duration) {
    for (const Millis end = m_clock.Now() + duration; m_clock.Now() < end;) {
      m_network.DeliverDue();
      for (const auto& target : m_targets)
        target->Step();
      m_network.DeliverDue();
      if (m_clock.Now().count() % kTickInterval.count() == 0) {
        for (const auto& entry : m_entries)
          entry->OnTick();
        for (const auto& agent : m_agents)
          agent->OnTick();
      }
      m_clock.Advance(Millis(1));
    }
  }

  const Deployment& m_deployment;
  const std::vector<Arrival>& m_arrivals;
  test::ManualClock m_clock;
  SeededRandom m_random;
  test::FakeNetwork m_network;
  test::FakeControl m_control;
  Counters m_counters;
  std::vector<std::unique_ptr<EntryRole>> m_entries;
  std::vector<std::unique_ptr<SimulatedTarget>> m_targets;
  std::vector<std::unique_ptr<StaleLoadTransport>> m_transports;
  std::vector<std::unique_ptr<RequestServer>> m_agents;
  std::map<RequestId, size_t> m_open;
  Millis m_start;
  RunResult m_result;
};

}  // namespace

std::vector<Deployment> AllDeployments() {
  Deployment hangwell;
  hangwell.name = "hangwell";
  Deployment brindlecote;
  brindlecote.name = "brindlecote";
  brindlecote.data_centres = 3;
  brindlecote.jitter = Millis(1);
  return {hangwell, brindlecote};
}

std::vector<Arrival> DrawArrivals(const Deployment& deployment,
                                  double load,
                                  Millis duration,
                                  int customers,
                                  uint64_t seed) {
  SeededRandom random(seed);
  std::vector<Arrival> arrivals;
  AppendArrivals(
      deployment, load, Millis(0), duration, random,
      [&] {
        return static_cast<int>(random.Below(static_cast<uint64_t>(customers)));
      },
      arrivals);
  return arrivals;
}

void AddBurst(const Deployment& deployment,
              double load,
              Millis duration,
              int customer,
              uint64_t seed,
              std::vector<Arrival>& arrivals) {
  SeededRandom random(seed);
  AppendArrivals(
      deployment, load, duration / 3, duration * 2 / 3, random,
      [&] { return customer; }, arrivals);
  std::stable_sort(
      arrivals.begin(), arrivals.end(),
      [](const Arrival& a, const Arrival& b) { return a.time < b.time; });
}

RunResult RunCluster(const Deployment& deployment,
                     const std::vector<Arrival>& arrivals,
                     const Faults& faults,
                     const PolicyFactory& policies) {
  return Cluster(deployment, arrivals, faults, policies).Run();
}

RunResult RunIdeal(const Deployment& deployment,
                   const std::vector<Arrival>& arrivals) {
  std::priority_queue<int64_t, std::vector<int64_t>, std::greater<>> free_at;
  for (int i = 0; i < deployment.targets * deployment.slots; ++i)
    free_at.push(0);
  RunResult result;
  for (const Arrival& arrival : arrivals) {
    const int64_t start = std::max(free_at.top(), arrival.time.count());
    free_at.pop();
    const int64_t end = start + arrival.service_time.count();
    free_at.push(end);
    result.latencies.push_back(end - arrival.time.count() +
                               2 * deployment.client_delay.count());
  }
  return result;
}

double Percentile(const std::vector<Arrival>& arrivals,
                  const RunResult& result,
                  double fraction,
                  const std::function<bool(const Arrival&)>& is_counted) {
  std::vector<int64_t> latencies;
  for (size_t i = 0; i < arrivals.size(); ++i) {
    if (is_counted(arrivals[i]))
      latencies.push_back(result.latencies[i]);
  }
  const auto nth =
      latencies.begin() +
      static_cast<ptrdiff_t>(fraction * static_cast<double>(latencies.size()));
  std::nth_element(latencies.begin(), nth, latencies.end());
  return static_cast<double>(*nth);
}

}  // namespace fulmarrock::bench
