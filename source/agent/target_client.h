#ifndef SOURCE_AGENT_TARGET_CLIENT_H_
#define SOURCE_AGENT_TARGET_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>

#include "source/base/ids.h"
#include "source/base/millis.h"

namespace fulmarrock {

/// One request to the target beside the agent.
struct TargetRequest {
  RequestId id;
  std::string customer;
  std::string path;
  std::string body;
  Millis remaining;
};

/// How a request to the target ended.
struct TargetResponse {
  enum class Kind {
    kAnswered,    ///< `status` and `body` are the target's.
    kNotStarted,  ///< The connection was refused; the target never saw it.
    kLost,        ///< The connection broke after sending, or the answer is cut.
  };
  Kind kind = Kind::kLost;
  int32_t status = 0;
  std::string body;
};

/// Access to the target beside the agent.
class TargetClient {
 public:
  using Done = std::function<void(TargetResponse)>;

  virtual ~TargetClient() = default;

  /// Starts a request; `done` is called once, later, on the agent's thread.
  virtual void Submit(const TargetRequest& request, Done done) = 0;

  /// Whether the target answered its last health check.
  virtual bool IsHealthy() const = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_TARGET_CLIENT_H_
