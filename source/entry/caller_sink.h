#ifndef SOURCE_ENTRY_CALLER_SINK_H_
#define SOURCE_ENTRY_CALLER_SINK_H_

#include <cstdint>
#include <string>

#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/message/request_messages.h"

namespace fulmarrock {

/// A request of a caller, as its HTTP form was read.
struct CallerRequest {
  std::string customer;
  std::string service;
  RequestClass request_class = RequestClass::kInteractive;
  /// Time the caller waits for the answer, counted from arrival.
  Millis deadline{10'000};
  bool is_idempotent = false;
  std::string key;
  std::string affinity;
  std::string path;
  std::string body;
};

/// The answer to a caller's request.
struct CallerReply {
  Outcome outcome = Outcome::kOutcomeUnknown;
  /// HTTP status of the target; zero unless answered.
  int32_t status = 0;
  std::string body;
  /// Reason and remedy, unless answered.
  std::string reason;
};

/// Takes the answers to callers. Each request is answered exactly once.
class CallerSink {
 public:
  virtual ~CallerSink() = default;
  virtual void Reply(RequestId id, CallerReply reply) = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_CALLER_SINK_H_
