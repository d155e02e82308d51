#ifndef TESTS_SUPPORT_SCENARIO_RUNNER_H_
#define TESTS_SUPPORT_SCENARIO_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tests/support/scenario_cluster.h"
#include "tests/support/scenario_step.h"

namespace fulmarrock::test {

/// Result of a scenario.
struct ScenarioResult {
  bool is_success = false;
  /// What the "show" lines printed.
  std::string output;
  /// The line, what was expected and seen, and the last events.
  std::string failure;
};

/// Runs a scenario script; tests/scenario/LANGUAGE.md describes the language.
class ScenarioRunner {
 public:
  /// Files named in the script are read from `folder`.
  ScenarioRunner(std::string folder, uint64_t seed);
  ~ScenarioRunner();

  ScenarioResult Run(std::string_view script);

  ScenarioCluster& cluster() { return m_cluster; }

 private:
  using Action = void (ScenarioRunner::*)(const ScenarioStep&);

  void RunStep(const ScenarioStep& step);
  /// Runs a step that may be impossible now, for example without a leader.
  void Try(const ScenarioStep& step);
  void Start(const ScenarioStep& step);
  void StartAgent(const ScenarioStep& step);
  void Kill(const ScenarioStep& step);
  void Crash(const ScenarioStep& step);
  void Restart(const ScenarioStep& step);
  void Stop(const ScenarioStep& step);
  void Apply(const ScenarioStep& step);
  void SubmitJob(const ScenarioStep& step);
  void Cancel(const ScenarioStep& step);
  void Drain(const ScenarioStep& step);
  void ChangeMembers(const ScenarioStep& step);
  void SendRequest(const ScenarioStep& step);
  void SetTarget(const ScenarioStep& step);
  void SetWorker(const ScenarioStep& step);
  void SetDisk(const ScenarioStep& step);
  void SetNetwork(const ScenarioStep& step);
  void Advance(const ScenarioStep& step);
  void Await(const ScenarioStep& step);
  void Expect(const ScenarioStep& step);
  void Show(const ScenarioStep& step);

  /// The member that a step names with "at=", or the leader.
  ControlRole& ControlFor(const ScenarioStep& step);
  JobId JobNamed(const std::string& name) const;
  TaskId TaskNamed(const std::string& name) const;

  /// Evaluates the subject that begins at a word; sets the word after it.
  std::string Evaluate(const ScenarioStep& step, size_t& word);
  std::string EvaluateJob(const std::string& name, const std::string& field);
  std::string EvaluateWorker(const std::string& name, const std::string& field);

  /// Checks the condition that begins at a word. Returns nothing when it holds,
  /// or what was seen instead.
  std::optional<std::string> FindMismatch(const ScenarioStep& step,
                                          size_t word);

  template <typename T>
  OperatorService::Done<T> Record(const std::string& name);

  static const std::map<std::string, Action, std::less<>>& Actions();

  std::string m_folder;
  ScenarioCluster m_cluster;
  std::map<std::string, JobId> m_jobs;
  std::map<std::string, std::string> m_results;
  std::string m_output;
};

}  // namespace fulmarrock::test

#endif  // TESTS_SUPPORT_SCENARIO_RUNNER_H_
