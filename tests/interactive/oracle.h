#ifndef TESTS_INTERACTIVE_ORACLE_H_
#define TESTS_INTERACTIVE_ORACLE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/interactive/interactive_world.h"

namespace fulmarrock::test {

/// Checks everything that happened in a world against the promises to callers.
/// Call it once all deadlines have passed.
class Oracle {
 public:
  explicit Oracle(InteractiveWorld& world) : m_world(world) {
    for (int i = 0; i < world.agent_count(); ++i) {
      for (const Execution& execution : world.target(i).executions()) {
        ++m_runs_of_body[execution.body];
        m_executed_ids.insert(execution.id);
      }
    }
  }

  /// Returns the names of the broken rules, each with the call concerned.
  std::vector<std::string> FindViolations() {
    m_violations.clear();
    std::map<std::string, bool> is_any_run_possible;
    for (const Call& call : m_world.sink.calls) {
      CheckReplies(call);
      CheckRuns(call);
      const bool is_not_run = !call.replies.empty() && IsNotRun(call);
      is_any_run_possible[call.request.body] |= !is_not_run;
    }
    // With a key, a repeat that did not run says nothing about the first one;
    // but if no submission may have run, the body must not have run.
    for (const auto& [body, is_possible] : is_any_run_possible) {
      if (!is_possible && m_runs_of_body.contains(body))
        m_violations.push_back("not-run: " + body);
    }
    if (m_world.late_starts() > 0)
      m_violations.push_back("leaving: started late");
    for (int i = 0; i < m_world.agent_count(); ++i) {
      if (m_world.target(i).max_running() > 8)
        m_violations.push_back("slots: " + InteractiveWorld::AgentName(i));
    }
    return m_violations;
  }

 private:
  static bool IsNotRun(const Call& call) {
    return call.replies[0].outcome == Outcome::kNotRun ||
           call.replies[0].outcome == Outcome::kRefused;
  }

  void Report(const std::string& rule, const Call& call) {
    m_violations.push_back(rule + ": " + ToString(call.id) + " " +
                           call.request.body);
  }

  void CheckReplies(const Call& call) {
    if (call.replies.size() > 1 ||
        (call.replies.empty() && !call.is_abandoned)) {
      Report("one-answer", call);
      return;
    }
    if (call.replies.empty())
      return;
    // The deadline is noticed at the next tick.
    if (call.answered > call.submitted + call.request.deadline + kTickInterval)
      Report("in-time", call);
    const CallerReply& reply = call.replies[0];
    if (reply.outcome == Outcome::kAnswered &&
        reply.body != AnswerTo(call.request.body))
      Report("own-answer", call);
    if (reply.outcome == Outcome::kAnswered &&
        !m_runs_of_body.contains(call.request.body))
      Report("answered-ran", call);
    if (IsNotRun(call) && m_executed_ids.contains(call.id))
      Report("not-run", call);
  }

  void CheckRuns(const Call& call) {
    const auto it = m_runs_of_body.find(call.request.body);
    if (!call.request.is_idempotent && it != m_runs_of_body.end() &&
        it->second > 1)
      Report("at-most-once", call);
  }

  InteractiveWorld& m_world;
  std::map<std::string, int> m_runs_of_body;
  std::set<RequestId> m_executed_ids;
  std::vector<std::string> m_violations;
};

}  // namespace fulmarrock::test

#endif  // TESTS_INTERACTIVE_ORACLE_H_
