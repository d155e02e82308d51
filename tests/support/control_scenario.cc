#include "tests/support/control_scenario.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace fulmarrock::test {
namespace {

Millis ToMillis(const std::string& word) {
  return Millis(std::stoll(word));
}

}  // namespace

/// Passes calls to the fake worker of one agent, except those that the injected
/// fault suppresses, and reports starts to the scenario.
class ControlScenario::ObservedWorker : public WorkerClient {
 public:
  ObservedWorker(ControlScenario& scenario, size_t agent)
      : m_scenario(scenario), m_agent(agent) {}

  void Attach(FakeWorker& worker) { m_worker = &worker; }

  void StopAll() override { worker().StopAll(); }
  void ExtendLeases(Millis remaining) override {
    worker().ExtendLeases(remaining);
  }
  void Start(const TaskGrant& grant) override {
    m_scenario.OnStart(m_agent, grant);
    if (m_scenario.m_injected_fault == InjectedFault::kWorkerStartsTwice)
      m_scenario.OnStart(m_agent, grant);
    worker().Start(grant);
  }
  void Checkpoint(TaskId task) override { worker().Checkpoint(task); }
  void Stop(TaskId task) override { worker().Stop(task); }
  void Suspend(TaskId task) override {
    if (m_scenario.m_injected_fault != InjectedFault::kWorkerIgnoresSuspend)
      worker().Suspend(task);
  }
  void Resume(TaskId task) override { worker().Resume(task); }
  void ThrottleBatch(int) override {}

 private:
  FakeWorker& worker() { return *m_worker; }
  ControlScenario& m_scenario;
  size_t m_agent;
  FakeWorker* m_worker = nullptr;
};

ControlScenario::ControlScenario(uint64_t seed, InjectedFault injected_fault)
    : m_injected_fault(injected_fault) {
  for (size_t i = 0; i < 3; ++i)
    m_workers.push_back(std::make_unique<ObservedWorker>(*this, i));
  m_cluster = std::make_unique<ControlCluster>(
      3, 3, seed, [this](size_t agent, FakeWorker& worker) -> WorkerClient& {
        m_workers[agent]->Attach(worker);
        return *m_workers[agent];
      });
  m_cluster->ApplyDefaultConfiguration();
  m_kept_commands = m_cluster->log.committed_count();
  m_acknowledged_version = 1;
}

ControlScenario::~ControlScenario() = default;

std::string ControlScenario::Run(std::string_view script) {
  std::istringstream lines{std::string(script)};
  std::string line;
  while (m_violation.empty() && std::getline(lines, line)) {
    std::istringstream stream(line);
    Words words;
    for (std::string word; stream >> word;)
      words.push_back(word);
    if (words.empty())
      continue;
    Execute(words);
    if (m_violation.empty())
      Check();
    if (!m_violation.empty())
      m_violation += " (at: " + line + ")";
  }
  return m_violation;
}

void ControlScenario::Execute(const Words& words) {
  if (words[0] == "run")
    Advance(ToMillis(words[1]));
  else if (words[0] == "settle")
    Settle();
  else if (words[0] == "expect" || words[0] == "expect-executing")
    Expect(words);
  else if (!ExecuteOnJobs(words) && !ExecuteOnProcesses(words) &&
           !ExecuteOnNetwork(words))
    throw std::logic_error("unknown command " + words[0]);
}

bool ControlScenario::ExecuteOnJobs(const Words& words) {
  const std::string& name = words[0];
  if (name == "submit") {
    Submit(words[1], static_cast<uint32_t>(std::stoul(words[2])), words[3]);
  } else if (name == "cancel") {
    Cancel(words[1]);
  } else if (name == "apply") {
    Apply(std::stoll(words[1]));
  } else if (name == "repeat") {
    if (!m_operations.empty())
      Send(m_operations[std::stoul(words[1]) % m_operations.size()]);
  } else if (name == "finish") {
    EndExecuting(std::stoul(words[1]), TaskEventKind::kCompleted);
  } else if (name == "fail") {
    EndExecuting(std::stoul(words[1]), TaskEventKind::kFailed);
  } else if (name == "evict") {
    const auto executing = Executing();
    if (HasLeader() && !executing.empty()) {
      m_cluster->leader().scheduler.to_evict.push_back(
          executing[std::stoul(words[1]) % executing.size()].first);
    }
  } else {
    return false;
  }
  return true;
}

bool ControlScenario::ExecuteOnProcesses(const Words& words) {
  const std::string& name = words[0];
  const size_t index = words.size() > 1 && name != "cut" && name != "isolate"
                           ? static_cast<size_t>(std::stoul(words[1])) % 3
                           : 0;
  auto& agents = m_cluster->agents;
  auto& members = m_cluster->members;
  if (name == "leader") {
    ChangeLeader(index, ToMillis(words[2]), std::stoul(words[3]));
  } else if (name == "crash-member") {
    if (members[index]->role)
      m_cluster->CrashMember(index);
  } else if (name == "start-member") {
    if (!members[index]->role)
      m_cluster->StartMember(index);
  } else if (name == "compact") {
    if (m_injected_fault == InjectedFault::kLogLosesCommands)
      DropCommands();
    else
      m_cluster->log.Compact();
  } else if (name == "crash-agent") {
    if (agents[index]->runner)
      m_cluster->CrashAgent(index, words[2] == "instance");
  } else if (name == "start-agent") {
    if (!agents[index]->runner)
      m_cluster->StartAgent(index);
  } else if (name == "stop-agent") {
    if (agents[index]->runner)
      agents[index]->runner->BeginShutdown();
  } else {
    return false;
  }
  return true;
}

bool ControlScenario::ExecuteOnNetwork(const Words& words) {
  FakeNetwork& network = m_cluster->network;
  const std::string& name = words[0];
  if (name == "isolate") {
    network.Isolate(words[1]);
  } else if (name == "cut") {
    network.Cut(words[1], words[2]);
  } else if (name == "heal") {
    network.HealAll();
  } else if (name == "delay") {
    network.SetDelay(ToMillis(words[1]), ToMillis(words[2]));
  } else if (name == "loss") {
    network.SetLoss(std::stod(words[1]) / 100, std::stod(words[2]) / 100);
  } else if (name == "commit") {
    m_cluster->log.SetDelay(ToMillis(words[1]), ToMillis(words[1]));
  } else {
    return false;
  }
  return true;
}

void ControlScenario::Expect(const Words& words) {
  if (words[0] == "expect-executing") {
    const size_t count = Executing().size();
    if (count != std::stoul(words[1]))
      Fail(std::to_string(count) + " tasks are executing");
    return;
  }
  const JobRecord* job = m_cluster->state().jobs().Find(FindJob(words[1]));
  for (int i = 0; i <= static_cast<int>(MaxValue(TaskState{})); ++i) {
    const auto state = static_cast<TaskState>(i);
    if (ToString(state) != words[2])
      continue;
    const uint32_t count = job ? job->Count(state) : 0;
    if (count != std::stoul(words[3]))
      Fail(std::to_string(count) + " tasks are " + words[2]);
    return;
  }
  throw std::logic_error("unknown state " + words[2]);
}

void ControlScenario::Submit(const std::string& name,
                             uint32_t tasks,
                             const std::string& kind) {
  auto operation = std::make_shared<Operation>();
  operation->is_submit = true;
  operation->submit.operation_id = "submit-" + name;
  operation->submit.spec = MakeSpec(tasks);
  operation->submit.spec.name = name;
  operation->submit.spec.can_checkpoint = kind != "fixed";
  if (kind == "kernel")
    operation->submit.spec.kind = TaskKind::kKernel;
  m_operations.push_back(operation);
  Send(operation);
}

void ControlScenario::Cancel(const std::string& name) {
  const JobId job = FindJob(name);
  if (!HasLeader() || job == 0)
    return;
  m_cluster->leader().role->CancelJobs({job}, [this, job](const auto& result) {
    if (result)
      m_cancelled.insert(job);
  });
}

void ControlScenario::Apply(int64_t weight) {
  if (!HasLeader())
    return;
  const ConfigSnapshot snapshot = m_cluster->leader().role->GetConfiguration();
  auto operation = std::make_shared<Operation>();
  operation->apply.operation_id =
      "apply-" + std::to_string(m_operations.size());
  operation->apply.base_version = snapshot.version;
  operation->apply.configuration = snapshot.configuration;
  operation->apply.configuration.plans[0].weight = weight + 1;
  m_operations.push_back(operation);
  Send(operation);
}

void ControlScenario::Send(const std::shared_ptr<Operation>& operation) {
  if (!HasLeader())
    return;
  const auto done = [this, operation](const Result<uint64_t>& result) {
    OnResult(*operation, result);
  };
  if (operation->is_submit)
    m_cluster->leader().role->SubmitJob(operation->submit, done);
  else
    m_cluster->leader().role->ApplyConfiguration(operation->apply, done);
}

void ControlScenario::OnResult(Operation& operation,
                               const Result<uint64_t>& result) {
  const bool is_final =
      result || (result.error().kind != ErrorKind::kUnavailable &&
                 result.error().kind != ErrorKind::kNotLeader);
  if (!is_final)
    return;
  if (operation.result &&
      (operation.result->has_value() != result.has_value() ||
       (result && **operation.result != *result)))
    Fail("a repeated operation got a different result");
  operation.result = result;
  if (result && !operation.is_submit)
    m_acknowledged_version = std::max(m_acknowledged_version, *result);
}

void ControlScenario::EndExecuting(size_t position, TaskEventKind kind) {
  const auto executing = Executing();
  if (executing.empty())
    return;
  const auto& [task, agent] = executing[position % executing.size()];
  m_cluster->agents[agent]->worker.Finish(task, kind, "by the test");
}

void ControlScenario::ChangeLeader(size_t member, Millis overlap, size_t kept) {
  if (m_cluster->members[member]->role)
    m_cluster->log.ChangeLeader(m_cluster->members[member]->node, overlap,
                                kept);
}

void ControlScenario::DropCommands() {
  // Restarts all members without the newest commands.
  for (size_t i = 0; i < 3; ++i)
    m_cluster->CrashMember(i);
  m_cluster->log.KeepOnly(m_kept_commands);
  for (size_t i = 0; i < 3; ++i)
    m_cluster->StartMember(i);
  m_cluster->log.ChangeLeader(m_cluster->members[0]->node);
}

void ControlScenario::Settle() {
  ExecuteOnNetwork({"heal"});
  ExecuteOnNetwork({"loss", "0", "0"});
  ExecuteOnNetwork({"delay", "1", "0"});
  ExecuteOnNetwork({"commit", "2"});
  for (size_t i = 0; i < 3; ++i) {
    ExecuteOnProcesses({"start-member", std::to_string(i)});
  }
  RestartDrained();
  if (!HasLeader())
    ChangeLeader(0, Millis(0), SIZE_MAX);
  // Both periods together exceed two lease durations and the grace period of
  // suspended tasks.
  Advance(Millis(22'000));
  RestartDrained();
  Advance(Millis(23'000));
  const JobTable& jobs = m_cluster->state().jobs();
  for (int i = 0; i < 3'000 && jobs.OpenCount() > 0; ++i) {
    EndExecuting(0, TaskEventKind::kCompleted);
    Advance(Millis(20));
  }
  if (m_violation.empty() && jobs.OpenCount() > 0)
    Fail(std::to_string(jobs.OpenCount()) + " tasks did not end");
}

void ControlScenario::RestartDrained() {
  for (size_t i = 0; i < 3; ++i) {
    const auto& runner = m_cluster->agents[i]->runner;
    if (runner && runner->IsDrained())
      m_cluster->CrashAgent(i, /*with_worker=*/true);
    ExecuteOnProcesses({"start-agent", std::to_string(i)});
  }
}

void ControlScenario::Advance(Millis duration) {
  const Millis end = m_cluster->clock.Now() + duration;
  while (m_violation.empty() && m_cluster->clock.Now() < end)
    m_cluster->Run(kTickInterval, [this] { Check(); });
}

void ControlScenario::OnStart(size_t agent, const TaskGrant& grant) {
  if (m_completed.contains(grant.task))
    Fail("completed task " + ToString(grant.task) + " starts again");
  if (!m_started.insert({grant.task, grant.epoch}).second)
    Fail("a grant of task " + ToString(grant.task) + " starts twice, now at " +
         m_cluster->agents[agent]->node);
  Epoch& newest = m_newest_start[grant.task];
  if (grant.epoch < newest)
    Fail("task " + ToString(grant.task) + " starts under an old epoch");
  newest = grant.epoch;
}

void ControlScenario::Check() {
  CheckWorkers();
  if (!HasLeader())
    return;
  CheckTasks();
  CheckConfigurations();
  CheckOperations();
}

void ControlScenario::CheckWorkers() {
  std::set<TaskId> executing;
  for (const auto& [task, agent] : Executing()) {
    if (!executing.insert(task).second)
      Fail("task " + ToString(task) + " executes on two workers");
  }
  Resources capacity = m_cluster->worker_capacity;
  if (m_injected_fault == InjectedFault::kWorkerIsSmaller)
    capacity.cpu_millicores /= 2;
  for (const auto& agent : m_cluster->agents) {
    if (!agent->worker.Used().FitsIn(capacity))
      Fail(agent->node + " holds more than its capacity");
    if (agent->worker.duplicate_starts > 0)
      Fail(agent->node + " was told to start a task that it holds");
  }
}

void ControlScenario::CheckTasks() {
  const JobTable& jobs = m_cluster->state().jobs();
  for (const auto& [id, job] : jobs.jobs()) {
    uint32_t completed = 0;
    for (uint32_t i = 0; i < job.tasks.size(); ++i) {
      const bool is_completed = job.tasks[i].state == TaskState::kCompleted;
      completed += is_completed ? 1 : 0;
      if (is_completed)
        m_completed.insert({id, i});
    }
    if (completed != job.Count(TaskState::kCompleted))
      Fail("completions of job " + std::to_string(id) + " are miscounted");
  }
  for (const TaskId task : m_completed) {
    const TaskRecord* record = jobs.FindTask(task);
    if (!record || record->state != TaskState::kCompleted)
      Fail("the completion of task " + ToString(task) + " is lost");
  }
}

void ControlScenario::CheckConfigurations() {
  const auto& newest = m_cluster->state().config();
  if (newest.version() < m_acknowledged_version)
    Fail("the configuration went back to version " +
         std::to_string(newest.version()));
  for (const auto& member : m_cluster->members) {
    if (!member->role)
      continue;
    const ConfigSnapshot snapshot = member->role->GetConfiguration();
    const auto [it, is_new] =
        m_configurations.emplace(snapshot.version, snapshot.configuration);
    if (!is_new && !(it->second == snapshot.configuration))
      Fail("version " + std::to_string(snapshot.version) +
           " has two different contents");
  }
}

void ControlScenario::CheckOperations() {
  const JobTable& jobs = m_cluster->state().jobs();
  for (const auto& operation : m_operations) {
    const bool is_job = operation->is_submit && operation->result &&
                        operation->result->has_value();
    if (!is_job)
      continue;
    const JobRecord* job = jobs.Find(**operation->result);
    if (!job || job->spec.name != operation->submit.spec.name)
      Fail("job " + operation->submit.spec.name + " is lost");
  }
  for (const JobId id : m_cancelled) {
    const JobRecord* job = jobs.Find(id);
    if (!job || job->Count(TaskState::kPending) > 0 ||
        job->Count(TaskState::kRunning) > 0)
      Fail("the cancellation of job " + std::to_string(id) + " is lost");
  }
}

void ControlScenario::Fail(const std::string& violation) {
  if (m_violation.empty())
    m_violation = violation;
}

std::vector<std::pair<TaskId, size_t>> ControlScenario::Executing() const {
  std::vector<std::pair<TaskId, size_t>> executing;
  for (size_t i = 0; i < m_cluster->agents.size(); ++i) {
    for (const auto& [id, task] : m_cluster->agents[i]->worker.tasks()) {
      if (!task.is_suspended)
        executing.emplace_back(id, i);
    }
  }
  std::sort(executing.begin(), executing.end());
  return executing;
}

JobId ControlScenario::FindJob(const std::string& name) const {
  for (const auto& operation : m_operations) {
    if (operation->is_submit && operation->submit.spec.name == name &&
        operation->result && operation->result->has_value())
      return **operation->result;
  }
  return 0;
}

}  // namespace fulmarrock::test
