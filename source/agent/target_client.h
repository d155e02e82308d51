#ifndef SOURCE_AGENT_TARGET_CLIENT_H_
#define SOURCE_AGENT_TARGET_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>

#include "source/base/ids.h"
#include "source/base/millis.h"

namespace fulmarrock {

/// A request to the target beside the agent.
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
    kNotStarted,  ///< The connection was refused; the target got no request.
    kLost,        ///< The connection broke after sending, or the response is
                  ///< truncated.
  };
  Kind kind = Kind::kLost;
  int32_t status = 0;
  std::string body;
};

/// Client of the target beside the agent.
class TargetClient {
 public:
  using Done = std::function<void(TargetResponse)>;

  virtual ~TargetClient() = default;

  /// Starts a request; `done` is called once, later, on the agent's thread.
  virtual void Submit(const TargetRequest& request, Done done) = 0;

  /// Whether the last health check of the target succeeded.
  virtual bool IsHealthy() const = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_TARGET_CLIENT_H_
