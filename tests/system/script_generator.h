#ifndef TESTS_SYSTEM_SCRIPT_GENERATOR_H_
#define TESTS_SYSTEM_SCRIPT_GENERATOR_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "source/base/seeded_random.h"

namespace fulmarrock::test {

/// Writes random scenarios over a whole small cluster: work of all kinds while
/// processes, instances, links, targets and workers fail and return. In the end
/// everything is healed, and all work must come to an end.
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
