#ifndef SOURCE_NET_STDOUT_DECISION_LOG_H_
#define SOURCE_NET_STDOUT_DECISION_LOG_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

#include "source/base/decision_log.h"
#include "source/base/steady_clock.h"
#include "source/base/wall_clock.h"

namespace fulmarrock {

/// Bounds of the decision log.
struct DecisionLogLimits {
  /// Lines per second on average; a second's worth may come at once.
  int64_t lines_per_second = 400;
  /// Bytes that wait while standard output takes none.
  size_t max_waiting_bytes = size_t{64} << 10;
};

/// Writes each decision as one JSON object on a line of standard output. Never
/// blocks: while the reader is slow, lines wait within a limit, and further
/// ones are dropped. The next line that is written tells how many. May be used
/// from any thread.
class StdoutDecisionLog : public DecisionLog {
 public:
  /// `node` is written into each line. `fd` takes the lines.
  StdoutDecisionLog(std::string node, DecisionLogLimits limits, int fd);

  void Write(const DecisionLine& line) override;

  /// Lines that were dropped so far.
  int64_t dropped_lines() const;

 private:
  bool TakeBudget();
  std::string Render(const DecisionLine& line);
  void Flush();

  const std::string m_node;
  const DecisionLogLimits m_limits;
  const int m_fd;
  SteadyClock m_clock;
  SystemWallClock m_wall_clock;
  mutable std::mutex m_mutex;
  std::string m_waiting;
  // Thousandths of a line.
  int64_t m_budget = 0;
  Millis m_budget_at;
  int64_t m_dropped = 0;
  int64_t m_reported_dropped = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_STDOUT_DECISION_LOG_H_
