#include "tests/support/control_cluster.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace fulmarrock::test {

ControlCluster::ControlCluster(size_t member_count,
                               size_t agent_count,
                               uint64_t seed,
                               WorkerWrapper wrapper)
    : random(seed),
      network(clock, random),
      log(clock),
      wrap_worker(std::move(wrapper)) {
  for (size_t i = 0; i < member_count; ++i) {
    members.push_back(std::make_unique<ControlNode>());
    members[i]->node = "control" + std::to_string(i);
    StartMember(i);
  }
  log.ChangeLeader(members[0]->node);
  for (size_t i = 0; i < agent_count; ++i)
    AddAgent();
}

ControlCluster::~ControlCluster() = default;

void ControlCluster::Run(Millis duration, const std::function<void()>& check) {
  const Millis end = clock.Now() + duration;
  while (clock.Now() < end) {
    Step();
    if (check)
      check();
  }
}

bool ControlCluster::RunUntil(const std::function<bool()>& condition,
                              Millis limit) {
  const Millis end = clock.Now() + limit;
  while (!condition()) {
    if (clock.Now() >= end)
      return false;
    Step();
  }
  return true;
}

void ControlCluster::Step() {
  const Millis end = clock.Now() + kTickInterval;
  for (;;) {
    const Millis due = std::min(network.NextDue(), log.NextDue());
    if (due > end)
      break;
    clock.Set(std::max(due, clock.Now()));
    network.DeliverDue();
    log.Advance();
  }
  clock.Set(end);
  log.Advance();
  for (auto& member : members) {
    if (member->role)
      member->role->OnTick();
  }
  for (auto& agent : agents) {
    agent->worker.Step();
    if (agent->runner)
      agent->runner->OnTick();
  }
}

void ControlCluster::CrashMember(size_t index) {
  ControlNode& member = *members[index];
  network.SetHandler(member.node, nullptr);
  log.Disconnect(member.node);
  member.role.reset();
}

void ControlCluster::StartMember(size_t index) {
  ControlNode& member = *members[index];
  member.role = std::make_unique<ControlRole>(member.node, clock,
                                              network.TransportOf(member.node),
                                              random, member.scheduler);
  member.role->AttachLog(log.Connect(member.node, *member.role));
  network.SetHandler(member.node,
                     [&member](const NodeId& from, const Message& message) {
                       member.role->OnMessage(from, message);
                     });
}

void ControlCluster::CrashAgent(size_t index, bool with_worker) {
  AgentNode& agent = *agents[index];
  network.SetHandler(agent.node, nullptr);
  agent.worker.DisconnectAgent();
  if (with_worker)
    agent.worker.StopAll();
  agent.runner.reset();
}

void ControlCluster::AddAgent() {
  const size_t index = agents.size();
  const auto drift = static_cast<int64_t>(random.Below(41)) - 20;
  agents.push_back(std::make_unique<AgentNode>(
      clock, Millis(static_cast<int64_t>(random.Below(10'000'000))), drift));
  agents[index]->node = "agent" + std::to_string(index);
  StartAgent(index);
}

void ControlCluster::StartAgent(size_t index) {
  AgentNode& agent = *agents[index];
  agent.incarnation = random.Next() | 1;
  TaskRunnerSettings settings;
  for (const auto& member : members)
    settings.control_members.push_back(member->node);
  settings.data_centre = "dc1";
  settings.rack = "rack" + std::to_string(index / 3);
  settings.address = "127.0.0.1:1";
  settings.capacity = worker_capacity;
  settings.incarnation = agent.incarnation;
  WorkerClient& worker =
      wrap_worker ? wrap_worker(index, agent.worker) : agent.worker;
  agent.runner = std::make_unique<TaskRunner>(settings, clock,
                                              network.TransportOf(agent.node),
                                              random, worker, agent.counters);
  agent.worker.SetListener(agent.runner.get());
  network.SetHandler(agent.node,
                     [&agent](const NodeId& from, const Message& message) {
                       agent.runner->OnMessage(from, message);
                     });
}

ControlCluster::ControlNode& ControlCluster::leader() {
  for (auto& member : members) {
    if (member->node == log.leader())
      return *member;
  }
  throw std::logic_error("there is no leader");
}

void ControlCluster::ApplyDefaultConfiguration() {
  ApplyRequest request;
  request.operation_id = "lists";
  Plan plan;
  plan.name = "gold";
  plan.max_pending_tasks = 100'000;
  plan.quota = {1'000'000, 1'000'000, 100};
  plan.allows_urgent = true;
  request.configuration.plans = {plan};
  request.configuration.customers = {{"acme", "gold"}};
  if (!Apply(request))
    throw std::logic_error("the default configuration is refused");
}

template <typename T>
Result<T> ControlCluster::Await(std::optional<Result<T>>& result) {
  if (!RunUntil([&] { return result.has_value(); }))
    return MakeError(ErrorKind::kTimeout, "no answer", "");
  return *result;
}

Result<JobId> ControlCluster::Submit(const JobSpec& spec,
                                     const std::string& operation_id) {
  auto result = std::make_shared<std::optional<Result<JobId>>>();
  leader().role->SubmitJob({operation_id, spec},
                           [result](Result<JobId> job) { *result = job; });
  return Await(*result);
}

Result<uint64_t> ControlCluster::Apply(const ApplyRequest& request) {
  auto result = std::make_shared<std::optional<Result<uint64_t>>>();
  leader().role->ApplyConfiguration(
      request, [result](Result<uint64_t> version) { *result = version; });
  return Await(*result);
}

Result<uint64_t> ControlCluster::Cancel(const std::vector<JobId>& jobs) {
  auto result = std::make_shared<std::optional<Result<uint64_t>>>();
  leader().role->CancelJobs(
      jobs, [result](Result<uint64_t> count) { *result = count; });
  return Await(*result);
}

std::vector<size_t> ControlCluster::Holders(TaskId task) const {
  std::vector<size_t> holders;
  for (size_t i = 0; i < agents.size(); ++i) {
    if (agents[i]->worker.tasks().contains(task))
      holders.push_back(i);
  }
  return holders;
}

std::vector<size_t> ControlCluster::Executing(TaskId task) const {
  std::vector<size_t> executing = Holders(task);
  std::erase_if(executing, [&](size_t i) {
    return agents[i]->worker.tasks().at(task).is_suspended;
  });
  return executing;
}

JobSpec MakeSpec(uint32_t task_count) {
  JobSpec spec;
  spec.name = "plan";
  spec.customer = "acme";
  spec.task_count = task_count;
  spec.resources = {1000, 1024, 0};
  spec.can_checkpoint = true;
  return spec;
}

}  // namespace fulmarrock::test
