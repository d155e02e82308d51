#include "tests/support/fake_run_worker.h"

#include <algorithm>
#include <utility>

namespace fulmarrock::test {
namespace {

constexpr Millis kMaxLeaseExtension{6'000};
constexpr int64_t kClockPercent = 98;
constexpr Millis kFailAfter{20};
constexpr Millis kResponseDelay{1};
constexpr Millis kTimeout{800};

}  // namespace

FakeRunWorker::FakeRunWorker(const Clock& clock, std::string name)
    : m_clock(clock), m_name(std::move(name)) {
  Restart();
}

void FakeRunWorker::Restart() {
  EndAll(RunEndKind::kLapsed, false);
  ++m_incarnation_number;
  m_highest_ended.clear();
  m_ended.clear();
  m_polls.clear();
  m_end_count = 0;
  stored_ends = 0;
  speed_limits.clear();
  m_lease_deadline = Millis(0);
  m_started_at = m_clock.Now();
  life.id = m_name;
  life.born_unix_ms = m_clock.Now().count();
}

Millis FakeRunWorker::WorkerClock() const {
  return (m_clock.Now() - m_started_at) * kClockPercent / 100;
}

void FakeRunWorker::SetWorker(const WorkerLife&, const std::string&) {}

void FakeRunWorker::LoseAgent() {
  m_responses.clear();
  m_polls.clear();
}

void FakeRunWorker::Respond(Millis delay, std::function<void()> response) {
  m_responses.push_back({m_clock.Now() + delay, std::move(response)});
}

void FakeRunWorker::Start(const StartRequest& request, StartDone done) {
  ++m_start_calls;
  const uint64_t number = m_incarnation_number;
  if (mode == Mode::kDown) {
    Respond(kResponseDelay, [done] { done({StartVerdict::kDeclined, {}}); });
    return;
  }
  if (mode == Mode::kDelayedStart) {
    m_delayed_starts.push_back(
        {m_clock.Now() + start_delay, [this, request, number] {
           if (number == m_incarnation_number)
             Begin(request);
         }});
  }
  if (mode == Mode::kNoResponses)
    Begin(request);
  if (mode == Mode::kDelayedStart || mode == Mode::kNoResponses) {
    Respond(kTimeout, [done] { done(StartAnswer()); });
    return;
  }
  const StartAnswer response = Begin(request);
  Respond(kResponseDelay, [done, response] { done(response); });
}

StartAnswer FakeRunWorker::Begin(const StartRequest& request) {
  StartAnswer response;
  response.worker_clock = WorkerClock();
  const auto running = m_running.find(request.task);
  if (running != m_running.end() && running->second.run == request.run) {
    response.verdict = StartVerdict::kStarted;
    return response;
  }
  const auto ended = m_highest_ended.find(request.task);
  const bool is_old =
      ended != m_highest_ended.end() && request.run <= ended->second;
  if (is_old || request.run_until <= WorkerClock()) {
    response.verdict = StartVerdict::kOutdated;
    return response;
  }
  m_lease_deadline =
      std::max(m_lease_deadline,
               std::min(request.run_until, WorkerClock() + kMaxLeaseExtension));
  Execution execution;
  execution.task = request.task;
  execution.run = request.run;
  execution.worker = m_name;
  execution.begin = m_clock.Now();
  m_running[request.task] = {request.run, m_clock.Now(), executions.size(), {}};
  executions.push_back(std::move(execution));
  response.verdict = StartVerdict::kStarted;
  return response;
}

void FakeRunWorker::Stop(const TaskName& task,
                         RunNumber run,
                         uint64_t,
                         StopDone done) {
  if (mode == Mode::kDown || mode == Mode::kNoResponses) {
    Respond(kTimeout, [done] { done(false); });
    return;
  }
  RunNumber& highest = m_highest_ended[task];
  highest = std::max(highest, run);
  const auto it = m_running.find(task);
  const bool is_running = it != m_running.end() && it->second.run <= run;
  if (is_running && !it->second.stop_at)
    it->second.stop_at = m_clock.Now() + stop_time;
  Respond(kResponseDelay, [done] { done(true); });
}

void FakeRunWorker::Look(const LookRequest& request, LookDone done) {
  if (mode == Mode::kDown || mode == Mode::kNoResponses) {
    Respond(request.wait + kTimeout, [done] { done(std::nullopt); });
    return;
  }
  if (request.run_until) {
    m_lease_deadline = std::max(
        m_lease_deadline,
        std::min(*request.run_until, WorkerClock() + kMaxLeaseExtension));
  }
  stored_ends = std::max(stored_ends, request.stored_ends);
  std::erase_if(
      m_ended, [this](const EndRow& row) { return row.number <= stored_ends; });
  m_polls.push_back(
      {m_clock.Now() + request.wait, m_incarnation_number, std::move(done)});
}

void FakeRunWorker::SetPace(const TaskName& task,
                            RunNumber,
                            int64_t percent,
                            uint64_t,
                            StopDone done) {
  speed_limits[task] = percent;
  Respond(kResponseDelay, [done] { done(true); });
}

void FakeRunWorker::Step() {
  const Millis now = m_clock.Now();
  if (mode == Mode::kDown)
    EndAll(RunEndKind::kLapsed, false);
  if (!m_running.empty() && WorkerClock() >= m_lease_deadline)
    EndAll(RunEndKind::kLapsed, true);
  std::vector<std::pair<TaskName, RunEndKind>> finished;
  for (const auto& [task, running] : m_running) {
    const Millis age = now - running.since;
    if (running.stop_at && now >= *running.stop_at)
      finished.emplace_back(task, RunEndKind::kStopped);
    else if (mode == Mode::kFailing && age >= kFailAfter)
      finished.emplace_back(task, RunEndKind::kFailed);
    else if (mode != Mode::kHanging && !never_completes && age >= duration)
      finished.emplace_back(task, RunEndKind::kDone);
  }
  for (const auto& [task, kind] : finished)
    End(task, kind);
  std::vector<Delayed> due;
  for (std::vector<Delayed>* queue : {&m_delayed_starts, &m_responses}) {
    std::erase_if(*queue, [&](const Delayed& delayed) {
      if (delayed.due > now)
        return false;
      due.push_back(delayed);
      return true;
    });
  }
  std::vector<PendingPoll> due_polls;
  std::erase_if(m_polls, [&](const PendingPoll& poll) {
    if (poll.respond_at > now && m_ended.empty())
      return false;
    due_polls.push_back(poll);
    return true;
  });
  for (const Delayed& delayed : due)
    delayed.action();
  for (const PendingPoll& poll : due_polls)
    poll.done(MakeResponse());
}

LookAnswer FakeRunWorker::MakeResponse() const {
  LookAnswer response;
  response.worker_clock = WorkerClock();
  response.born_unix_ms = life.born_unix_ms;
  for (const auto& [task, running] : m_running) {
    RunRow row;
    row.task = task;
    row.run = running.run;
    if (mode != Mode::kHanging) {
      row.percent =
          std::min<int64_t>(100, (m_clock.Now() - running.since).count() * 100 /
                                     std::max<int64_t>(duration.count(), 1));
    }
    response.running.push_back(std::move(row));
  }
  response.ended = m_ended;
  return response;
}

void FakeRunWorker::End(const TaskName& task, RunEndKind kind) {
  const Running running = m_running.at(task);
  m_running.erase(task);
  RunNumber& highest = m_highest_ended[task];
  highest = std::max(highest, running.run);
  EndRow row;
  row.number = ++m_end_count;
  row.task = task;
  row.run = running.run;
  row.kind = kind;
  if (kind == RunEndKind::kStopped)
    row.checkpoint = "progress of run " + std::to_string(running.run);
  m_ended.push_back(std::move(row));
  Execution& execution = executions[running.execution];
  execution.end = m_clock.Now();
  execution.has_ended = true;
  execution.kind = kind;
}

void FakeRunWorker::EndAll(RunEndKind kind, bool is_listed) {
  std::vector<TaskName> tasks;
  for (const auto& [task, running] : m_running)
    tasks.push_back(task);
  for (const TaskName& task : tasks)
    End(task, kind);
  if (!is_listed)
    m_ended.clear();
}

}  // namespace fulmarrock::test
