#ifndef TESTS_SYSTEM_SCRIPT_GENERATOR_H_
#define TESTS_SYSTEM_SCRIPT_GENERATOR_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "source/base/seeded_random.h"

namespace fulmarrock::test {

/// Generates random scenarios for a small cluster with all roles: jobs,
/// requests and configuration changes while processes, instances, network
/// links, targets and workers fail and recover. At the end all failures are
/// removed, and all jobs and requests must end.
class ScriptGenerator {
 public:
  explicit ScriptGenerator(uint64_t seed) : m_random(seed) {}

  std::string Generate(int steps);

 private:
  void AddStep();
  void AddWork();
  void AddProcessFailure();
  void AddNetworkFailure();
  void AddTargetOrWorkerFailure();
  void HealAndFinish();
  void RestartOne();
  void Add(const std::string& line);
  std::string Pick(const std::vector<std::string>& names);
  std::string Number(uint64_t low, uint64_t high);

  SeededRandom m_random;
  std::string m_script;
  std::set<std::string> m_down;
  int m_jobs = 0;
  int m_requests = 0;
  int m_changes = 0;
};

}  // namespace fulmarrock::test

#endif  // TESTS_SYSTEM_SCRIPT_GENERATOR_H_
