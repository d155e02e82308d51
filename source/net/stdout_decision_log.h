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

/// Limits of the decision log.
struct DecisionLogLimits {
  /// Average rate; bursts of up to one second's worth of lines are allowed.
  int64_t lines_per_second = 400;
  /// Bytes buffered while standard output would block.
  size_t max_buffered_bytes = size_t{64} << 10;
};

/// Writes each decision as one JSON object on a line of standard output. Never
/// blocks: while the reader is slow, lines are buffered up to a limit and
/// further ones are dropped. The next line written then contains the number
/// dropped so far. May be used from any thread.
class StdoutDecisionLog : public DecisionLog {
 public:
  /// `node` is written into each line. Lines are written to `fd`, which is made
  /// non-blocking.
  StdoutDecisionLog(std::string node, DecisionLogLimits limits, int fd);

  void Write(const DecisionLine& line) override;

  /// Number of lines dropped so far.
  int64_t dropped_lines() const;

 private:
  bool TakeToken();
  std::string Render(const DecisionLine& line);
  void Flush();

  const std::string m_node;
  const DecisionLogLimits m_limits;
  const int m_fd;
  SteadyClock m_clock;
  SystemWallClock m_wall_clock;
  mutable std::mutex m_mutex;
  std::string m_buffered;
  // Token bucket of the rate limit, in thousandths of a line.
  int64_t m_millitokens = 0;
  Millis m_refilled_at;
  int64_t m_dropped = 0;
  int64_t m_reported_dropped = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_STDOUT_DECISION_LOG_H_
