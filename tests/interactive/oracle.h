#ifndef TESTS_INTERACTIVE_ORACLE_H_
#define TESTS_INTERACTIVE_ORACLE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/interactive/interactive_cluster.h"

namespace fulmarrock::test {

/// Checks everything that happened in a simulated cluster against the
/// guarantees to callers. To be used after all deadlines have passed.
class Oracle {
 public:
  explicit Oracle(InteractiveCluster& cluster) : m_cluster(cluster) {
    for (int i = 0; i < cluster.agent_count(); ++i) {
      for (const Execution& execution : cluster.target(i).executions()) {
        ++m_executions_by_body[execution.body];
        m_executed_ids.insert(execution.id);
      }
    }
  }

  /// Returns the names of the broken rules, each with the request concerned.
  std::vector<std::string> FindViolations() {
    m_violations.clear();
    std::map<std::string, bool> is_any_run_possible;
    for (const Call& call : m_cluster.sink.calls) {
      CheckReplies(call);
      CheckExecutions(call);
      const bool is_not_run = !call.replies.empty() && IsNotRun(call);
      is_any_run_possible[call.request.body] |= !is_not_run;
    }
    // A repeat with the outcome "not run" does not exclude that the first
    // request with its key ran. But if no submission of a body may have run,
    // the body must not have run.
    for (const auto& [body, is_possible] : is_any_run_possible) {
      if (!is_possible && m_executions_by_body.contains(body))
        m_violations.push_back("not-run: " + body);
    }
    if (m_cluster.late_starts() > 0)
      m_violations.push_back("leaving: started late");
    for (int i = 0; i < m_cluster.agent_count(); ++i) {
      if (m_cluster.target(i).max_running() > 8)
        m_violations.push_back("slots: " + InteractiveCluster::AgentName(i));
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
    // An entry detects an expired deadline at its next tick.
    if (call.answered > call.submitted + call.request.deadline + kTickInterval)
      Report("in-time", call);
    const CallerReply& reply = call.replies[0];
    if (reply.outcome == Outcome::kAnswered &&
        reply.body != AnswerTo(call.request.body))
      Report("own-answer", call);
    if (reply.outcome == Outcome::kAnswered &&
        !m_executions_by_body.contains(call.request.body))
      Report("answered-ran", call);
    if (IsNotRun(call) && m_executed_ids.contains(call.id))
      Report("not-run", call);
  }

  void CheckExecutions(const Call& call) {
    const auto it = m_executions_by_body.find(call.request.body);
    if (!call.request.is_idempotent && it != m_executions_by_body.end() &&
        it->second > 1)
      Report("at-most-once", call);
  }

  InteractiveCluster& m_cluster;
  std::map<std::string, int> m_executions_by_body;
  std::set<RequestId> m_executed_ids;
  std::vector<std::string> m_violations;
};

}  // namespace fulmarrock::test

#endif  // TESTS_INTERACTIVE_ORACLE_H_
