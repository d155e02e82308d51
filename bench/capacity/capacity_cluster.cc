#include "bench/capacity/capacity_cluster.h"

#include <utility>

#include "bench/thread_cpu_time.h"
#include "source/message/frame_codec.h"

namespace fulmarrock::bench {
namespace {

constexpr int64_t kWorkerMillicores = 64'000;
constexpr int64_t kWorkerMemoryMib = 256'000;

}  // namespace

RoleUsage RoleUsage::operator-(const RoleUsage& other) const {
  return {cpu_us - other.cpu_us, sent_bytes - other.sent_bytes,
          received_bytes - other.received_bytes, messages - other.messages};
}

ClusterUsage ClusterUsage::operator-(const ClusterUsage& other) const {
  return {leader - other.leader, followers - other.followers,
          agents - other.agents, starts - other.starts};
}

struct CapacityCluster::MemberNode {
  ConsensusOptions options;
  test::FakeStorage storage;
  std::unique_ptr<ControlMember> member;
  RoleUsage usage;
};

struct CapacityCluster::AgentNode {
  explicit AgentNode(test::ManualClock& clock) : worker(clock) {}

  NodeId node;
  test::ScenarioWorker worker;
  Counters counters;
  std::unique_ptr<TaskRunner> runner;
  RoleUsage usage;
};

CapacityCluster::CapacityCluster(int workers) : m_network(m_clock, m_random) {
  m_network.SetTap(
      [this](const NodeId& from, const NodeId& to, const Message& message) {
        const auto bytes = static_cast<double>(EncodeFrame(message).size());
        RoleUsage& sender = *m_usage_by_node[from];
        sender.sent_bytes += bytes;
        ++sender.messages;
        m_usage_by_node[to]->received_bytes += bytes;
        ++m_usage_by_node[to]->messages;
      });
  StartMembers();
  for (int i = 0; i < workers; ++i)
    StartAgent(i);
  while (!leader().consensus().IsLeader()) {
    Advance(Millis(1000));
    for (size_t i = 0; i < m_members.size(); ++i) {
      if (m_members[i]->member->consensus().IsLeader())
        m_leader = i;
    }
  }
  ChangeConfiguration();
  Advance(Millis::FromSeconds(10));
}

CapacityCluster::~CapacityCluster() = default;

template <typename Call>
void CapacityCluster::Measure(RoleUsage& usage, Call call) {
  const double begin = ThreadCpuMicros();
  call();
  usage.cpu_us += ThreadCpuMicros() - begin;
}

void CapacityCluster::StartMembers() {
  const std::vector<NodeId> nodes = {"c1", "c2", "c3"};
  for (const NodeId& node : nodes) {
    auto member = std::make_unique<MemberNode>();
    member->options.node = node;
    member->options.initial_members = nodes;
    member->member = std::move(*ControlMember::Open(
        member->options,
        {m_clock, m_network.TransportOf(node), m_random, member->storage}));
    m_usage_by_node[node] = &member->usage;
    MemberNode* receiver = member.get();
    m_network.SetHandler(
        node, [this, receiver](const NodeId& from, const Message& message) {
          Measure(receiver->usage,
                  [&] { receiver->member->OnMessage(from, message); });
        });
    m_members.push_back(std::move(member));
  }
}

void CapacityCluster::StartAgent(int index) {
  auto agent = std::make_unique<AgentNode>(m_clock);
  agent->node = "worker-" + std::to_string(index);
  TaskRunnerSettings settings;
  settings.control_members = {"c1", "c2", "c3"};
  settings.data_centre = "dc-" + std::to_string(index % 3);
  settings.rack = "rack-" + std::to_string(index / 3);
  settings.address = "10.0.0.1:7000";
  settings.capacity = {kWorkerMillicores, kWorkerMemoryMib, 2};
  settings.incarnation = static_cast<Incarnation>(index) + 1;
  agent->runner = std::make_unique<TaskRunner>(
      settings, m_clock, m_network.TransportOf(agent->node), m_random,
      agent->worker, agent->counters);
  agent->worker.SetListener(agent->runner.get());
  m_usage_by_node[agent->node] = &agent->usage;
  AgentNode* receiver = agent.get();
  m_network.SetHandler(agent->node, [this, receiver](const NodeId& from,
                                                     const Message& message) {
    Measure(receiver->usage,
            [&] { receiver->runner->OnMessage(from, message); });
  });
  m_agents.push_back(std::move(agent));
}

void CapacityCluster::Advance(Millis duration) {
  for (Millis passed(0); passed < duration; passed += kTickInterval) {
    m_clock.Advance(kTickInterval);
    m_network.DeliverDue();
    for (auto& member : m_members)
      Measure(member->usage, [&] { member->member->OnTick(); });
    for (auto& agent : m_agents) {
      agent->worker.Step();
      Measure(agent->usage, [&] { agent->runner->OnTick(); });
    }
  }
}

void CapacityCluster::Submit(uint32_t tasks,
                             int64_t cpu_millicores,
                             Millis runtime) {
  SubmitRequest request;
  request.operation_id = "operation-" + std::to_string(++m_operations);
  request.spec.name = "job";
  request.spec.customer = "customer";
  request.spec.task_count = tasks;
  request.spec.resources = {cpu_millicores, 1024, 0};
  request.spec.payload = std::to_string(runtime.count());
  bool is_done = false;
  leader().role().SubmitJob(std::move(request),
                            [&is_done](auto) { is_done = true; });
  while (!is_done)
    Advance(kTickInterval);
}

void CapacityCluster::ChangeConfiguration() {
  ApplyRequest request;
  request.operation_id = "operation-" + std::to_string(++m_operations);
  request.base_version = leader().role().GetConfiguration().version;
  Plan plan;
  plan.name = "plan";
  plan.weight = 1 + m_operations % 100;
  plan.max_pending_tasks = 1'000'000;
  plan.quota = {int64_t{1} << 39, int64_t{1} << 39, 100'000};
  request.configuration.plans = {plan};
  request.configuration.customers = {{"customer", "plan"}};
  bool is_done = false;
  leader().role().ApplyConfiguration(std::move(request),
                                     [&is_done](auto) { is_done = true; });
  while (!is_done)
    Advance(kTickInterval);
}

ClusterUsage CapacityCluster::Usage() const {
  ClusterUsage usage;
  const auto add = [](RoleUsage& sum, const RoleUsage& part) {
    sum.cpu_us += part.cpu_us;
    sum.sent_bytes += part.sent_bytes;
    sum.received_bytes += part.received_bytes;
    sum.messages += part.messages;
  };
  for (size_t i = 0; i < m_members.size(); ++i)
    add(i == m_leader ? usage.leader : usage.followers, m_members[i]->usage);
  for (const auto& agent : m_agents) {
    add(usage.agents, agent->usage);
    usage.starts +=
        static_cast<double>(agent->counters.Get("agent_tasks_started"));
  }
  return usage;
}

ControlMember& CapacityCluster::leader() {
  return *m_members[m_leader]->member;
}

uint64_t CapacityCluster::RunningTasks() {
  return leader().role().GetStatus().running_tasks;
}

}  // namespace fulmarrock::bench
