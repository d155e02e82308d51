#include "tests/support/scenario_cluster.h"

#include <utility>

#include "tests/support/scenario_step.h"

namespace fulmarrock::test {
namespace {

constexpr size_t kMaxEvents = 40;

template <typename Map>
auto& FindNode(Map& nodes, const std::string& name, std::string_view kind) {
  const auto it = nodes.find(name);
  if (it == nodes.end())
    throw ScenarioError("there is no " + std::string(kind) + " " + name);
  return *it->second;
}

/// Whether a message is sent periodically and would clutter the trace.
bool IsPeriodic(const Message& message) {
  return std::holds_alternative<AppendRequest>(message) ||
         std::holds_alternative<AppendReply>(message) ||
         std::holds_alternative<TargetAnnounce>(message) ||
         std::holds_alternative<ConfigPoll>(message) ||
         std::holds_alternative<ConfigDelta>(message) ||
         std::holds_alternative<LeaseRenew>(message) ||
         std::holds_alternative<LeaseRenewReply>(message);
}

}  // namespace

class ScenarioCluster::ReplySink : public CallerSink {
 public:
  ReplySink(ScenarioCluster& cluster, NodeId entry)
      : m_cluster(cluster), m_entry(std::move(entry)) {}

  void Reply(RequestId id, CallerReply reply) override {
    const auto it = m_cluster.m_request_names.find({m_entry, id});
    if (it == m_cluster.m_request_names.end())
      throw ScenarioError("a reply to a request that was never sent");
    CallerRecord& record = m_cluster.m_requests.at(it->second);
    if (record.reply)
      throw ScenarioError("request " + it->second + " is answered twice");
    record.reply = std::move(reply);
  }

 private:
  ScenarioCluster& m_cluster;
  NodeId m_entry;
};

struct ScenarioCluster::ControlNode {
  ConsensusOptions options;
  FakeStorage storage;
  std::unique_ptr<ControlMember> member;
};

struct ScenarioCluster::EntryNode {
  NodeId node;
  std::string data_centre;
  std::unique_ptr<ReplySink> sink;
  std::unique_ptr<EntryRole> role;
};

struct ScenarioCluster::AgentNode {
  AgentNode(AgentDescription described, ManualClock& clock)
      : description(std::move(described)), target(clock), worker(clock) {}

  AgentDescription description;
  FakeTarget target;
  ScenarioWorker worker;
  Counters counters;
  std::unique_ptr<AgentRole> role;
};

ScenarioCluster::ScenarioCluster(uint64_t seed)
    : m_random(seed), m_network(m_clock, m_random) {
  m_network.SetTap(
      [this](const NodeId& from, const NodeId& to, const Message& message) {
        if (!IsPeriodic(message))
          RecordEvent(from + " sends " + std::string(MessageName(message)) +
                      " to " + to);
      });
}

ScenarioCluster::~ScenarioCluster() = default;

void ScenarioCluster::StartControl(const std::vector<NodeId>& members) {
  for (const NodeId& node : members) {
    auto control = std::make_unique<ControlNode>();
    control->options.node = node;
    control->options.initial_members = members;
    OpenMember(*control);
    m_members[node] = std::move(control);
  }
}

void ScenarioCluster::StartNewMember(const NodeId& node) {
  auto control = std::make_unique<ControlNode>();
  control->options.node = node;
  // As the daemon does, passes all members of the settings, including the new
  // one.
  control->options.initial_members = ControlIds();
  control->options.initial_members.push_back(node);
  OpenMember(*control);
  m_members[node] = std::move(control);
}

void ScenarioCluster::StartEntry(const NodeId& node,
                                 const std::string& data_centre) {
  auto entry = std::make_unique<EntryNode>();
  entry->node = node;
  entry->data_centre = data_centre;
  entry->sink = std::make_unique<ReplySink>(*this, node);
  OpenEntry(*entry);
  m_entries[node] = std::move(entry);
}

void ScenarioCluster::StartAgent(const AgentDescription& description) {
  auto agent = std::make_unique<AgentNode>(description, m_clock);
  OpenAgent(*agent);
  m_agents[description.node] = std::move(agent);
}

void ScenarioCluster::OpenMember(ControlNode& node) {
  const NodeId id = node.options.node;
  Result<std::unique_ptr<ControlMember>> member = ControlMember::Open(
      node.options,
      {m_clock, m_network.TransportOf(id), m_random, node.storage});
  if (!member)
    throw ScenarioError(member.error().Describe());
  node.member = std::move(*member);
  ControlMember* role = node.member.get();
  m_network.SetHandler(id, [role](const NodeId& from, const Message& message) {
    role->OnMessage(from, message);
  });
}

void ScenarioCluster::OpenEntry(EntryNode& node) {
  EntryOptions options;
  options.id = node.node;
  options.incarnation = NextIncarnation();
  options.data_centre = node.data_centre;
  options.control_members = ControlIds();
  node.role = std::make_unique<EntryRole>(
      options, m_clock, m_network.TransportOf(node.node), m_random, *node.sink);
  EntryRole* role = node.role.get();
  m_network.SetHandler(node.node,
                       [role](const NodeId& from, const Message& message) {
                         role->OnMessage(from, message);
                       });
}

void ScenarioCluster::OpenAgent(AgentNode& node) {
  const AgentDescription& description = node.description;
  Transport& transport = m_network.TransportOf(description.node);
  node.role = std::make_unique<AgentRole>(node.counters);
  const Incarnation incarnation = NextIncarnation();
  RequestServer* request_server = nullptr;
  if (!description.service.empty()) {
    RequestServerOptions options;
    options.service = description.service;
    options.data_centre = description.data_centre;
    options.incarnation = incarnation;
    options.entries = EntryIds();
    options.slots = description.slots;
    auto server = std::make_unique<RequestServer>(options, m_clock, transport,
                                                  node.target, node.counters);
    server->SetAffinities(description.affinities);
    request_server = server.get();
    node.role->AddPart(std::move(server));
  }
  if (description.capacity.cpu_millicores > 0) {
    TaskRunnerSettings settings;
    settings.control_members = ControlIds();
    settings.data_centre = description.data_centre;
    settings.rack = description.rack;
    settings.capacity = description.capacity;
    settings.incarnation = incarnation;
    auto runner = std::make_unique<TaskRunner>(
        settings, m_clock, transport, m_random, node.worker, node.counters);
    node.worker.SetListener(runner.get());
    if (request_server)
      runner->SetKernelListener(*request_server);
    node.role->AddPart(std::move(runner));
  }
  AgentRole* role = node.role.get();
  m_network.SetHandler(description.node,
                       [role](const NodeId& from, const Message& message) {
                         role->OnMessage(from, message);
                       });
}

void ScenarioCluster::Kill(const NodeId& node) {
  m_network.SetHandler(node, {});
  if (const auto it = m_members.find(node); it != m_members.end()) {
    it->second->member.reset();
  } else if (const auto entry = m_entries.find(node);
             entry != m_entries.end()) {
    entry->second->role.reset();
    for (auto& [name, record] : m_requests)
      record.is_disconnected |= record.entry == node && !record.reply;
  } else {
    AgentNode& agent = FindNode(m_agents, node, "process");
    agent.worker.SetListener(nullptr);
    agent.role.reset();
    agent.target.Disconnect();
  }
}

void ScenarioCluster::Crash(const NodeId& node) {
  Kill(node);
  if (const auto it = m_members.find(node); it != m_members.end())
    it->second->storage.Crash(CrashKind::kTearWrites, m_random);
  if (const auto it = m_agents.find(node); it != m_agents.end()) {
    it->second->worker.Crash();
    it->second->target.Crash();
  }
}

void ScenarioCluster::WipeDisk(const NodeId& node) {
  DiskOf(node).Wipe();
}

void ScenarioCluster::Restart(const NodeId& node) {
  if (const auto it = m_members.find(node); it != m_members.end()) {
    OpenMember(*it->second);
  } else if (const auto entry = m_entries.find(node);
             entry != m_entries.end()) {
    OpenEntry(*entry->second);
  } else {
    AgentNode& agent = FindNode(m_agents, node, "process");
    agent.target.Recover();
    OpenAgent(agent);
  }
}

void ScenarioCluster::BeginShutdown(const NodeId& node) {
  RoleOf(node).BeginShutdown();
}

void ScenarioCluster::Submit(const std::string& name,
                             const NodeId& entry,
                             CallerRequest request) {
  request.body = request.body.empty() ? name : request.body;
  EntryRole& role = EntryAt(entry);
  m_requests[name] = {request, entry, std::nullopt, false};
  const RequestId id = role.Submit(std::move(request));
  m_request_names[{entry, id}] = name;
}

void ScenarioCluster::Advance(Millis duration) {
  for (Millis passed(0); passed < duration; passed += kTickInterval)
    Tick();
}

void ScenarioCluster::Tick() {
  // Messages are delivered at their due times within the tick.
  for (Millis step(0); step < kTickInterval; step += Millis(1)) {
    m_clock.Advance(Millis(1));
    m_network.DeliverDue();
  }
  for (auto& [id, node] : m_members) {
    if (node->member)
      node->member->OnTick();
  }
  for (auto& [id, node] : m_entries) {
    if (node->role)
      node->role->OnTick();
  }
  for (auto& [id, node] : m_agents) {
    node->worker.Step();
    node->target.Step();
    if (node->role)
      node->role->OnTick();
  }
  CheckInvariants();
}

void ScenarioCluster::CheckInvariants() {
  CheckTasks();
  CheckRequests();
  CheckVersions();
}

void ScenarioCluster::CheckTasks() {
  std::map<TaskId, NodeId> holders;
  for (const auto& [id, node] : m_agents) {
    for (const TaskId& task : node->worker.ExecutingTasks()) {
      const auto [it, is_new] = holders.emplace(task, id);
      if (!is_new)
        throw ScenarioError("task " + ToString(task) + " executes on " +
                            it->second + " and on " + id);
    }
    if (!node->worker.Used().FitsIn(node->description.capacity))
      throw ScenarioError("worker " + id + " holds " +
                          node->worker.Used().ToString());
  }
}

void ScenarioCluster::CheckRequests() {
  std::map<std::string, int> executions;
  for (const auto& [id, node] : m_agents) {
    for (const Execution& execution : node->target.executions())
      ++executions[execution.body];
  }
  std::map<std::string, int> not_run;
  for (const auto& [name, record] : m_requests) {
    const std::string& body = record.request.body;
    const int count = executions.contains(body) ? executions[body] : 0;
    if (!record.request.is_idempotent && count > 1)
      throw ScenarioError("request " + name + " ran " + std::to_string(count) +
                          " times");
    if (!record.reply)
      continue;
    const bool claims_not_run = record.reply->outcome == Outcome::kNotRun ||
                                record.reply->outcome == Outcome::kRefused;
    if (claims_not_run && count > 0 && record.request.key.empty())
      throw ScenarioError("request " + name +
                          " is reported as not run but ran");
    if (record.reply->outcome == Outcome::kAnswered &&
        record.reply->status == 200 && record.reply->body != AnswerTo(body))
      throw ScenarioError("request " + name + " got the answer \"" +
                          record.reply->body + "\"");
  }
}

void ScenarioCluster::CheckVersions() {
  for (auto& [id, node] : m_entries) {
    if (!node->role)
      continue;
    const uint64_t version = node->role->ConfigVersion();
    uint64_t& highest = m_versions[id];
    // A restarted entry starts without a configuration, with version zero.
    if (version != 0 && version < highest)
      throw ScenarioError("entry " + id + " went back to version " +
                          std::to_string(version));
    highest = std::max(highest, version);
  }
}

ControlMember* ScenarioCluster::Leader() {
  ControlMember* leader = nullptr;
  for (auto& [id, node] : m_members) {
    if (!node->member || !node->member->consensus().IsLeader())
      continue;
    if (!leader || node->member->consensus().CurrentTerm() >
                       leader->consensus().CurrentTerm())
      leader = node->member.get();
  }
  return leader;
}

ControlMember& ScenarioCluster::MemberAt(const NodeId& node) {
  ControlNode& control = FindNode(m_members, node, "control member");
  if (!control.member)
    throw ScenarioError("control member " + node + " does not run");
  return *control.member;
}

FakeStorage& ScenarioCluster::DiskOf(const NodeId& node) {
  return FindNode(m_members, node, "control member").storage;
}

FakeTarget& ScenarioCluster::TargetOf(const NodeId& node) {
  return FindNode(m_agents, node, "agent").target;
}

ScenarioWorker& ScenarioCluster::WorkerOf(const NodeId& node) {
  return FindNode(m_agents, node, "agent").worker;
}

EntryRole& ScenarioCluster::EntryAt(const NodeId& node) {
  EntryNode& entry = FindNode(m_entries, node, "entry");
  if (!entry.role)
    throw ScenarioError("entry " + node + " does not run");
  return *entry.role;
}

Role& ScenarioCluster::RoleOf(const NodeId& node) {
  if (m_members.contains(node))
    return MemberAt(node);
  if (m_entries.contains(node))
    return EntryAt(node);
  AgentNode& agent = FindNode(m_agents, node, "process");
  if (!agent.role)
    throw ScenarioError("agent " + node + " does not run");
  return *agent.role;
}

bool ScenarioCluster::IsRunning(const NodeId& node) const {
  if (const auto it = m_members.find(node); it != m_members.end())
    return it->second->member && !it->second->member->Failure();
  if (const auto it = m_entries.find(node); it != m_entries.end())
    return it->second->role != nullptr;
  const auto it = m_agents.find(node);
  return it != m_agents.end() && it->second->role != nullptr;
}

const CallerRecord& ScenarioCluster::RequestNamed(
    const std::string& name) const {
  const auto it = m_requests.find(name);
  if (it == m_requests.end())
    throw ScenarioError("there is no request " + name);
  return it->second;
}

int ScenarioCluster::ExecutionsOf(const std::string& request) const {
  const std::string& body = RequestNamed(request).request.body;
  int count = 0;
  for (const auto& [id, node] : m_agents) {
    for (const Execution& execution : node->target.executions())
      count += execution.body == body ? 1 : 0;
  }
  return count;
}

int ScenarioCluster::TaskStarts(TaskId task) const {
  int count = 0;
  for (const auto& [id, node] : m_agents) {
    const auto it = node->worker.starts().find(task);
    count += it == node->worker.starts().end() ? 0 : it->second;
  }
  return count;
}

NodeId ScenarioCluster::ExecutingWorker(TaskId task) const {
  for (const auto& [id, node] : m_agents) {
    if (node->worker.IsExecuting(task))
      return id;
  }
  return "";
}

void ScenarioCluster::RecordEvent(std::string event) {
  m_events.push_back(std::to_string(m_clock.Now().count()) + " " +
                     std::move(event));
  if (m_events.size() > kMaxEvents)
    m_events.pop_front();
}

std::vector<NodeId> ScenarioCluster::ControlIds() const {
  std::vector<NodeId> ids;
  for (const auto& [id, node] : m_members)
    ids.push_back(id);
  return ids;
}

std::vector<NodeId> ScenarioCluster::EntryIds() const {
  std::vector<NodeId> ids;
  for (const auto& [id, node] : m_entries)
    ids.push_back(id);
  return ids;
}

}  // namespace fulmarrock::test
