#include "tests/support/scenario_runner.h"

#include <cstdlib>
#include <memory>
#include <utility>

#include <nlohmann/json.hpp>

#include "source/config/configuration_json.h"
#include "source/config/json_reader.h"
#include "source/config/settings.h"

namespace fulmarrock::test {
namespace {

std::string OutcomeName(const CallerRecord& record) {
  if (!record.reply)
    return record.is_disconnected ? "disconnected" : "open";
  switch (record.reply->outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kOutcomeUnknown:
      return "outcome-unknown";
    case Outcome::kRefused:
      return "refused";
  }
  return "unknown";
}

RequestClass ClassNamed(const std::string& name) {
  if (name == "interactive")
    return RequestClass::kInteractive;
  if (name == "standard")
    return RequestClass::kStandard;
  if (name == "background")
    return RequestClass::kBackground;
  throw ScenarioError("\"" + name + "\" is not a request class");
}

FakeTarget::Fault FaultNamed(const std::string& name) {
  static const std::map<std::string, FakeTarget::Fault> kFaults = {
      {"run-twice", FakeTarget::Fault::kRunTwice},
      {"foreign-answer", FakeTarget::Fault::kForeignAnswer},
      {"cut-answer", FakeTarget::Fault::kCutAnswer},
      {"run-refused", FakeTarget::Fault::kRunRefused}};
  const auto it = kFaults.find(name);
  if (it == kFaults.end())
    throw ScenarioError("\"" + name + "\" is not a fault");
  return it->second;
}

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  size_t begin = 0;
  while (begin < text.size()) {
    const size_t end = std::min(text.find(',', begin), text.size());
    parts.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

Resources ResourcesOf(const ScenarioStep& step, int64_t cpu, int64_t memory) {
  return {step.NumberOption("cpu", cpu), step.NumberOption("mem", memory),
          step.NumberOption("accel", 0)};
}

bool Compare(const std::string& seen,
             const std::string& op,
             const std::string& wanted) {
  if (op == "is")
    return seen == wanted;
  if (op == "not")
    return seen != wanted;
  if (op == "contains")
    return seen.find(wanted) != std::string::npos;
  // Texts such as "no leader" stand for a number that is currently not known.
  if (seen.empty() ||
      seen.find_first_not_of("-0123456789") != std::string::npos)
    return false;
  const int64_t left = std::atoll(seen.c_str());
  const int64_t right = std::atoll(wanted.c_str());
  if (op == "==")
    return left == right;
  if (op == "<=")
    return left <= right;
  if (op == ">=")
    return left >= right;
  throw ScenarioError("\"" + op + "\" is not an operator");
}

}  // namespace

ScenarioRunner::ScenarioRunner(std::string folder, uint64_t seed)
    : m_folder(std::move(folder)), m_cluster(seed) {}

ScenarioRunner::~ScenarioRunner() = default;

ScenarioResult ScenarioRunner::Run(std::string_view script) {
  ScenarioResult result;
  int line_number = 0;
  while (!script.empty()) {
    ++line_number;
    const size_t end = std::min(script.find('\n'), script.size());
    const std::string line(script.substr(0, end));
    script.remove_prefix(std::min(end + 1, script.size()));
    try {
      const Result<ScenarioStep> step = ScenarioStep::Parse(line, line_number);
      if (!step)
        throw ScenarioError(step.error().Describe());
      m_cluster.RecordEvent("line " + std::to_string(line_number) + ": " +
                            line);
      RunStep(*step);
    } catch (const ScenarioError& error) {
      result.failure = "line " + std::to_string(line_number) + ": " + line +
                       "\n  " + error.message() + "\nlast events:\n";
      for (const std::string& event : m_cluster.recent_events())
        result.failure += "  " + event + "\n";
      result.output = m_output;
      return result;
    }
  }
  result.is_success = true;
  result.output = m_output;
  return result;
}

const std::map<std::string, ScenarioRunner::Action, std::less<>>&
ScenarioRunner::Actions() {
  static const std::map<std::string, Action, std::less<>> kActions = {
      {"start", &ScenarioRunner::Start},
      {"kill", &ScenarioRunner::Kill},
      {"crash", &ScenarioRunner::Crash},
      {"restart", &ScenarioRunner::Restart},
      {"stop", &ScenarioRunner::Stop},
      {"apply", &ScenarioRunner::Apply},
      {"submit", &ScenarioRunner::SubmitJob},
      {"cancel", &ScenarioRunner::Cancel},
      {"drain", &ScenarioRunner::Drain},
      {"member", &ScenarioRunner::ChangeMembers},
      {"request", &ScenarioRunner::SendRequest},
      {"target", &ScenarioRunner::SetTarget},
      {"worker", &ScenarioRunner::SetWorker},
      {"disk", &ScenarioRunner::SetDisk},
      {"network", &ScenarioRunner::SetNetwork},
      {"advance", &ScenarioRunner::Advance},
      {"await", &ScenarioRunner::Await},
      {"expect", &ScenarioRunner::Expect},
      {"show", &ScenarioRunner::Show}};
  return kActions;
}

void ScenarioRunner::RunStep(const ScenarioStep& step) {
  if (step.verb().empty())
    return;
  if (step.verb() == "try") {
    Try(step);
    return;
  }
  const auto it = Actions().find(step.verb());
  if (it == Actions().end())
    throw ScenarioError("\"" + step.verb() + "\" is not a verb");
  (this->*it->second)(step);
}

void ScenarioRunner::Try(const ScenarioStep& step) {
  const size_t begin = step.text().find("try") + 3;
  const Result<ScenarioStep> tried =
      ScenarioStep::Parse(step.text().substr(begin), step.line_number());
  if (!tried || tried->verb() == "advance" || tried->verb() == "await")
    throw ScenarioError("try accepts no step that advances the clock");
  try {
    RunStep(*tried);
  } catch (const ScenarioError& error) {
    m_cluster.RecordEvent("not possible now: " + error.message());
  }
}

void ScenarioRunner::Start(const ScenarioStep& step) {
  const std::string& kind = step.Word(0);
  const std::vector<NodeId> nodes(step.words().begin() + 1, step.words().end());
  if (kind == "control")
    m_cluster.StartControl(nodes);
  else if (kind == "member")
    m_cluster.StartNewMember(step.Word(1));
  else if (kind == "entry")
    m_cluster.StartEntry(step.Word(1), step.Option("dc", "dc-a"));
  else if (kind == "agent")
    StartAgent(step);
  else
    throw ScenarioError("\"" + kind + "\" is not a kind of process");
}

void ScenarioRunner::StartAgent(const ScenarioStep& step) {
  for (size_t i = 1; i < step.words().size(); ++i) {
    AgentDescription description;
    description.node = step.Word(i);
    description.data_centre = step.Option("dc", "dc-a");
    description.rack = step.Option("rack", "r1");
    description.service = step.Option("service");
    description.affinities = SplitAtCommas(step.Option("affinity"));
    description.slots = static_cast<int32_t>(step.NumberOption("slots", 8));
    description.capacity = ResourcesOf(step, 0, 0);
    m_cluster.StartAgent(description);
  }
}

void ScenarioRunner::Kill(const ScenarioStep& step) {
  for (const std::string& node : step.words())
    m_cluster.Kill(node);
}

void ScenarioRunner::Crash(const ScenarioStep& step) {
  for (const std::string& node : step.words())
    m_cluster.Crash(node);
}

void ScenarioRunner::Restart(const ScenarioStep& step) {
  for (const std::string& node : step.words())
    m_cluster.Restart(node);
}

void ScenarioRunner::Stop(const ScenarioStep& step) {
  for (const std::string& node : step.words())
    m_cluster.BeginShutdown(node);
}

template <typename T>
OperatorService::Done<T> ScenarioRunner::Record(const std::string& name) {
  m_results[name] = "open";
  return [this, name](const Result<T>& result) {
    if (!result) {
      m_results[name] = std::string(ToString(result.error().kind));
      m_cluster.RecordEvent(name + " failed: " + result.error().Describe());
      return;
    }
    if constexpr (std::is_same_v<T, bool>)
      m_results[name] = "done";
    else
      m_results[name] = std::to_string(*result);
  };
}

ControlRole& ScenarioRunner::ControlFor(const ScenarioStep& step) {
  const std::string at = step.Option("at");
  if (!at.empty())
    return m_cluster.MemberAt(at).role();
  ControlMember* leader = m_cluster.Leader();
  if (!leader)
    throw ScenarioError("there is no leader");
  return leader->role();
}

void ScenarioRunner::Apply(const ScenarioStep& step) {
  const Result<std::string> text = ReadTextFile(m_folder + "/" + step.Word(0));
  if (!text)
    throw ScenarioError(text.error().Describe());
  const Result<nlohmann::json> value = ParseJson(*text);
  if (!value)
    throw ScenarioError(value.error().Describe());
  const Result<Configuration> new_configuration = ConfigurationFromJson(*value);
  if (!new_configuration)
    throw ScenarioError(new_configuration.error().Describe());
  const std::string name = step.Option("as", step.Word(0));
  ControlRole& control = ControlFor(step);
  const auto newest = static_cast<int64_t>(control.GetConfiguration().version);
  ApplyRequest request;
  request.operation_id = step.Option("op", name);
  request.base_version =
      static_cast<uint64_t>(step.NumberOption("base", newest));
  request.configuration = *new_configuration;
  control.ApplyConfiguration(std::move(request), Record<uint64_t>(name));
}

void ScenarioRunner::SubmitJob(const ScenarioStep& step) {
  const std::string& name = step.Word(0);
  SubmitRequest request;
  request.operation_id = step.Option("op", name);
  JobSpec& spec = request.spec;
  spec.name = name;
  spec.customer = step.Option("customer");
  spec.task_count = static_cast<uint32_t>(step.NumberOption("tasks", 1));
  spec.resources = ResourcesOf(step, 1000, 1024);
  spec.payload = step.Option("payload", "1000");
  spec.expected_runtime = Millis(step.NumberOption("expected", 0));
  spec.max_attempts = static_cast<uint32_t>(step.NumberOption("attempts", 3));
  spec.is_urgent = step.HasWord("urgent");
  spec.can_checkpoint = step.HasWord("checkpoint");
  spec.workload = step.Option("workload");
  if (step.HasWord("kernel"))
    spec.kind = TaskKind::kKernel;
  if (step.HasWord("service"))
    spec.kind = TaskKind::kService;
  const std::string result = step.Option("as", name);
  const OperatorService::Done<JobId> record = Record<JobId>(result);
  ControlFor(step).SubmitJob(std::move(request),
                             [this, name, record](Result<JobId> job) {
                               if (job)
                                 m_jobs[name] = *job;
                               record(std::move(job));
                             });
}

void ScenarioRunner::Cancel(const ScenarioStep& step) {
  std::vector<JobId> jobs;
  for (const std::string& name : step.words())
    jobs.push_back(JobNamed(name));
  ControlFor(step).CancelJobs(std::move(jobs),
                              Record<uint64_t>(step.Option("as", "cancel")));
}

void ScenarioRunner::Drain(const ScenarioStep& step) {
  ControlFor(step).SetWorkerDraining(step.Word(0), !step.HasWord("undo"),
                                     Record<bool>(step.Option("as", "drain")));
}

void ScenarioRunner::ChangeMembers(const ScenarioStep& step) {
  const NodeId& node = step.Word(1);
  const std::string name = step.Option("as", "member");
  if (step.Word(0) == "add") {
    const Incarnation incarnation =
        m_cluster.MemberAt(node).consensus().incarnation();
    ControlFor(step).AddMember(node, incarnation, Record<bool>(name));
  } else if (step.Word(0) == "remove") {
    ControlFor(step).RemoveMember(node, Record<bool>(name));
  } else {
    throw ScenarioError("use member add or member remove");
  }
}

void ScenarioRunner::SendRequest(const ScenarioStep& step) {
  CallerRequest request;
  request.customer = step.Option("customer");
  request.service = step.Option("service");
  request.request_class = ClassNamed(step.Option("class", "interactive"));
  request.deadline = Millis(step.NumberOption("deadline", 5000));
  request.is_idempotent = !step.HasWord("unsafe");
  request.key = step.Option("key");
  request.affinity = step.Option("affinity");
  request.body = step.Option("body");
  const int64_t count = step.NumberOption("count", 0);
  if (count == 0) {
    m_cluster.Submit(step.Word(0), step.Option("entry"), request);
    return;
  }
  for (int64_t i = 0; i < count; ++i)
    m_cluster.Submit(step.Word(0) + "." + std::to_string(i),
                     step.Option("entry"), request);
}

void ScenarioRunner::SetTarget(const ScenarioStep& step) {
  FakeTarget& target = m_cluster.TargetOf(step.Word(0));
  if (step.HasWord("crash"))
    target.Crash();
  if (step.HasWord("recover"))
    target.Recover();
  if (step.HasWord("refuse"))
    target.RefuseConnections();
  if (step.HasWord("hang"))
    target.hangs = true;
  if (step.HasWord("answer"))
    target.hangs = false;
  if (!step.Option("fault").empty())
    target.fault = FaultNamed(step.Option("fault"));
  target.service_time =
      Millis(step.NumberOption("time", target.service_time.count()));
  target.status =
      static_cast<int32_t>(step.NumberOption("status", target.status));
}

void ScenarioRunner::SetWorker(const ScenarioStep& step) {
  ScenarioWorker& worker = m_cluster.WorkerOf(step.Word(0));
  if (step.HasWord("fail"))
    worker.FailEverything(true);
  else if (step.HasWord("work"))
    worker.FailEverything(false);
  else if (step.HasWord("ignore-leases"))
    worker.IgnoreLeases();
  else if (step.HasWord("ignore-stops"))
    worker.IgnoreStops();
  else
    throw ScenarioError(
        "use worker NODE fail, work, ignore-leases or ignore-stops");
}

void ScenarioRunner::SetDisk(const ScenarioStep& step) {
  FakeStorage& disk = m_cluster.DiskOf(step.Word(0));
  if (step.HasWord("full"))
    disk.SetCapacity(0);
  else if (step.HasWord("free"))
    disk.SetCapacity(UINT64_MAX);
  else if (step.HasWord("fail-sync"))
    disk.FailSyncAfter(0);
  else if (step.HasWord("wipe"))
    disk.Wipe();
  else
    throw ScenarioError("use disk NODE full, free, fail-sync or wipe");
}

void ScenarioRunner::SetNetwork(const ScenarioStep& step) {
  FakeNetwork& network = m_cluster.network();
  const std::string& action = step.Word(0);
  if (action == "cut") {
    network.Cut(step.Word(1), step.Word(2));
    if (!step.HasWord("one-way"))
      network.Cut(step.Word(2), step.Word(1));
  } else if (action == "heal") {
    network.HealAll();
  } else if (action == "isolate") {
    network.Isolate(step.Word(1));
  } else if (action == "rejoin") {
    network.Rejoin(step.Word(1));
  } else if (action == "delay") {
    network.SetDelay(Millis(step.Number(1)),
                     Millis(step.NumberOption("jitter", 0)));
  } else if (action == "loss") {
    network.SetLoss(static_cast<double>(step.Number(1)) / 100,
                    static_cast<double>(step.NumberOption("dup", 0)) / 100);
  } else {
    throw ScenarioError("\"" + action + "\" is not a network action");
  }
}

void ScenarioRunner::Advance(const ScenarioStep& step) {
  m_cluster.Advance(Millis(step.Number(0)));
}

void ScenarioRunner::Await(const ScenarioStep& step) {
  const Millis limit(step.Number(0));
  std::optional<std::string> mismatch;
  for (Millis passed(0); passed <= limit; passed += kTickInterval) {
    mismatch = FindMismatch(step, 1);
    if (!mismatch)
      return;
    m_cluster.Advance(kTickInterval);
  }
  throw ScenarioError("condition not met in time; actual value: " + *mismatch);
}

void ScenarioRunner::Expect(const ScenarioStep& step) {
  const std::optional<std::string> mismatch = FindMismatch(step, 0);
  if (mismatch)
    throw ScenarioError("condition not met; actual value: " + *mismatch);
}

void ScenarioRunner::Show(const ScenarioStep& step) {
  size_t word = 0;
  const std::string value = Evaluate(step, word);
  for (size_t i = 0; i < word; ++i)
    m_output += (i > 0 ? " " : "") + step.Word(i);
  m_output += ": " + value + "\n";
}

std::optional<std::string> ScenarioRunner::FindMismatch(
    const ScenarioStep& step,
    size_t word) {
  const std::string seen = Evaluate(step, word);
  if (Compare(seen, step.Word(word), step.Word(word + 1)))
    return std::nullopt;
  return seen;
}

std::string ScenarioRunner::Evaluate(const ScenarioStep& step, size_t& word) {
  const std::string& subject = step.Word(word++);
  if (subject == "leader") {
    ControlMember* leader = m_cluster.Leader();
    return leader ? leader->consensus().Leader() : "none";
  }
  const std::string& name = step.Word(word++);
  if (subject == "request")
    return m_cluster.WasSent(name) ? OutcomeName(m_cluster.RequestNamed(name))
                                   : "not sent";
  if (subject == "status") {
    const auto& reply = m_cluster.RequestNamed(name).reply;
    return reply ? std::to_string(reply->status) : "open";
  }
  if (subject == "reason") {
    const auto& reply = m_cluster.RequestNamed(name).reply;
    return reply ? reply->reason : "open";
  }
  if (subject == "executions")
    return std::to_string(m_cluster.ExecutionsOf(name));
  if (subject == "result") {
    const auto it = m_results.find(name);
    return it == m_results.end() ? "none" : it->second;
  }
  if (subject == "starts")
    return std::to_string(m_cluster.TaskStarts(TaskNamed(name)));
  if (subject == "task") {
    const NodeId worker = m_cluster.ExecutingWorker(TaskNamed(name));
    return worker.empty() ? "nowhere" : worker;
  }
  if (subject == "process")
    return m_cluster.IsRunning(name) ? "running" : "stopped";
  if (subject == "drained")
    return m_cluster.RoleOf(name).IsDrained() ? "yes" : "no";
  if (subject == "version")
    return std::to_string(m_cluster.EntryAt(name).ConfigVersion());
  if (subject == "member-version")
    return std::to_string(
        m_cluster.MemberAt(name).role().GetConfiguration().version);
  if (subject == "voters") {
    int voters = 0;
    for (const Member& member : m_cluster.MemberAt(name).consensus().Members())
      voters += member.is_voter ? 1 : 0;
    return std::to_string(voters);
  }
  const std::string& field = step.Word(word++);
  if (subject == "job")
    return EvaluateJob(name, field);
  if (subject == "worker")
    return EvaluateWorker(name, field);
  if (subject == "counter")
    return std::to_string(m_cluster.RoleOf(name).counters().Get(field));
  throw ScenarioError("\"" + subject + "\" is not a subject");
}

std::string ScenarioRunner::EvaluateJob(const std::string& name,
                                        const std::string& field) {
  ControlMember* leader = m_cluster.Leader();
  if (!leader)
    return "no leader";
  if (!m_jobs.contains(name))
    return field == "reason" ? "" : "0";
  const Result<JobView> job = leader->role().ShowJob(JobNamed(name));
  if (!job)
    return job.error().Describe();
  if (field == "pending")
    return std::to_string(job->pending);
  if (field == "running")
    return std::to_string(job->running);
  if (field == "completed")
    return std::to_string(job->completed);
  if (field == "failed")
    return std::to_string(job->failed);
  if (field == "cancelled")
    return std::to_string(job->cancelled);
  if (field == "reason")
    return job->reason;
  if (field == "evictions") {
    uint32_t evictions = 0;
    for (const TaskView& task : job->tasks)
      evictions += task.evictions;
    return std::to_string(evictions);
  }
  throw ScenarioError("\"" + field + "\" is not a field of a job");
}

std::string ScenarioRunner::EvaluateWorker(const std::string& name,
                                           const std::string& field) {
  ControlMember* leader = m_cluster.Leader();
  if (!leader)
    return "no leader";
  for (const WorkerView& worker : leader->role().GetStatus().workers) {
    if (worker.node != name)
      continue;
    if (field == "alive")
      return worker.is_alive ? "yes" : "no";
    if (field == "draining")
      return worker.is_draining ? "yes" : "no";
    if (field == "quarantined")
      return worker.is_quarantined ? "yes" : "no";
    if (field == "tasks")
      return std::to_string(worker.running_tasks);
    throw ScenarioError("\"" + field + "\" is not a field of a worker");
  }
  return "unknown worker";
}

JobId ScenarioRunner::JobNamed(const std::string& name) const {
  const auto it = m_jobs.find(name);
  if (it == m_jobs.end())
    throw ScenarioError("there is no job " + name + " yet");
  return it->second;
}

TaskId ScenarioRunner::TaskNamed(const std::string& name) const {
  const size_t dot = name.rfind('.');
  if (dot == std::string::npos)
    return {JobNamed(name), 0};
  return {JobNamed(name.substr(0, dot)),
          static_cast<uint32_t>(std::atoi(name.c_str() + dot + 1))};
}

}  // namespace fulmarrock::test
