#ifndef SOURCE_ENTRY_CALLER_SINK_H_
#define SOURCE_ENTRY_CALLER_SINK_H_

#include <cstdint>
#include <string>

#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/message/request_messages.h"

namespace fulmarrock {

/// A caller's request, parsed from HTTP.
struct CallerRequest {
  std::string customer;
  std::string service;
  RequestClass request_class = RequestClass::kInteractive;
  /// Time the caller waits for the reply, counted from arrival.
  Millis deadline{10'000};
  bool is_idempotent = false;
  std::string key;
  std::string affinity;
  std::string path;
  std::string body;
};

/// The reply to a caller's request.
struct CallerReply {
  Outcome outcome = Outcome::kOutcomeUnknown;
  /// HTTP status of the target's response; zero unless the outcome is
  /// kAnswered.
  int32_t status = 0;
  std::string body;
  /// Reason and remedy, unless the outcome is kAnswered.
  std::string reason;
};

/// Receives the replies to callers: exactly one for each request.
class CallerSink {
 public:
  virtual ~CallerSink() = default;
  virtual void Reply(RequestId id, CallerReply reply) = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_CALLER_SINK_H_
