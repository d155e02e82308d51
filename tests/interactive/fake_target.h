#ifndef TESTS_INTERACTIVE_FAKE_TARGET_H_
#define TESTS_INTERACTIVE_FAKE_TARGET_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "source/agent/target_client.h"
#include "tests/support/manual_clock.h"

namespace fulmarrock::test {

/// One execution of a request at a fake target.
struct Execution {
  RequestId id;
  std::string body;
  Millis time;
};

/// The response body of a correct target to a request body.
inline std::string AnswerTo(const std::string& body) {
  return "answer to " + body + std::string(body.size() % 7, '.');
}

/// Target with a configured service time that records every execution. Each
/// fault breaks one rule of the oracle, to test that the oracle detects it.
class FakeTarget : public TargetClient {
 public:
  enum class Fault {
    kNone,
    kRunTwice,        ///< Each request is executed two times.
    kForeignAnswer,   ///< The response is that of another request.
    kCutAnswer,       ///< The end of the response is missing.
    kRunRefused,      ///< Executes requests that it reports as not started.
    kNoRun,           ///< Answers without executing.
    kCountTwice,      ///< Each request occupies two slots.
    kRunWhenLeaving,  ///< RunLastAgain() executes the last request again.
  };

  explicit FakeTarget(ManualClock& clock) : m_clock(clock) {}

  void Submit(const TargetRequest& request, Done done) override {
    if (m_refuses) {
      if (fault == Fault::kRunRefused)
        Log(request);
      m_pending.push_back({m_clock.Now(), std::move(done), {}, false});
      m_pending.back().response.kind = TargetResponse::Kind::kNotStarted;
      return;
    }
    if (fault != Fault::kNoRun)
      Log(request);
    if (fault == Fault::kRunTwice)
      Log(request);
    TargetResponse response;
    response.kind = TargetResponse::Kind::kAnswered;
    response.status = status;
    response.body =
        AnswerTo(fault == Fault::kForeignAnswer ? "other" : request.body);
    if (fault == Fault::kCutAnswer)
      response.body.pop_back();
    m_pending.push_back({m_clock.Now() + service_time, std::move(done),
                         std::move(response), !hangs});
    if (hangs)
      m_pending.back().due = Millis::Max();
    m_max_running = std::max(m_max_running, CountRunning());
  }

  bool IsHealthy() const override { return m_is_healthy; }

  /// Completes the requests that are due.
  void Step() {
    std::vector<Pending> due;
    std::erase_if(m_pending, [&](Pending& item) {
      if (item.due > m_clock.Now())
        return false;
      due.push_back(std::move(item));
      return true;
    });
    for (Pending& item : due)
      item.done(std::move(item.response));
  }

  /// Breaks all connections, and refuses new ones until Recover().
  void Crash() {
    m_is_healthy = false;
    m_refuses = true;
    for (Pending& item : m_pending) {
      item.due = m_clock.Now();
      item.response = {};
      item.is_running = false;
    }
  }
  void Recover() {
    m_is_healthy = true;
    m_refuses = false;
  }

  /// Refuses connections while the health check still succeeds.
  void RefuseConnections() { m_refuses = true; }

  /// Closes all connections, as when the agent process ends.
  void Disconnect() { m_pending.clear(); }

  void RunLastAgain() {
    if (fault == Fault::kRunWhenLeaving && !m_executions.empty()) {
      m_executions.push_back(m_executions.back());
      m_executions.back().time = m_clock.Now();
    }
  }

  int CountRunning() const {
    const auto count =
        std::count_if(m_pending.begin(), m_pending.end(),
                      [](const Pending& item) { return item.is_running; });
    return static_cast<int>(count) * (fault == Fault::kCountTwice ? 2 : 1);
  }
  int max_running() const { return m_max_running; }
  const std::vector<Execution>& executions() const { return m_executions; }

  Millis service_time{20};
  int32_t status = 200;
  /// New requests start, but never get a response.
  bool hangs = false;
  Fault fault = Fault::kNone;

 private:
  struct Pending {
    Millis due;
    Done done;
    TargetResponse response;
    bool is_running = false;
  };

  void Log(const TargetRequest& request) {
    m_executions.push_back({request.id, request.body, m_clock.Now()});
  }

  ManualClock& m_clock;
  bool m_is_healthy = true;
  bool m_refuses = false;
  int m_max_running = 0;
  std::vector<Pending> m_pending;
  std::vector<Execution> m_executions;
};

}  // namespace fulmarrock::test

#endif  // TESTS_INTERACTIVE_FAKE_TARGET_H_
