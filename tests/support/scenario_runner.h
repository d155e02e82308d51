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
  /// Output of the "show" steps.
  std::string output;
  /// The failed line, the reason, and the last events.
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
  /// Runs a step that may not be possible now, for example without a leader.
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

  /// The control role of the member in the option "at=", or of the leader.
  ControlRole& ControlFor(const ScenarioStep& step);
  JobId JobNamed(const std::string& name) const;
  TaskId TaskNamed(const std::string& name) const;

  /// Evaluates the subject that starts at index `word`, and sets `word` to the
  /// index after it.
  std::string Evaluate(const ScenarioStep& step, size_t& word);
  std::string EvaluateJob(const std::string& name, const std::string& field);
  std::string EvaluateWorker(const std::string& name, const std::string& field);

  /// Checks the condition that starts at index `word`. Returns nothing when it
  /// holds, otherwise the actual value.
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
