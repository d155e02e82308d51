#ifndef SOURCE_MESSAGE_REQUEST_MESSAGES_H_
#define SOURCE_MESSAGE_REQUEST_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"

namespace fulmarrock {

/// Priority of a request; a lower value is served first.
enum class RequestClass : uint8_t { kInteractive, kStandard, kBackground };
constexpr RequestClass MaxValue(RequestClass) {
  return RequestClass::kBackground;
}

/// What a caller may conclude about its request.
enum class Outcome : uint8_t {
  kAnswered,        ///< The target ran it; status and body are the target's.
  kNotRun,          ///< It did not run and never will; it may be sent again.
  kOutcomeUnknown,  ///< It may or may not have run.
  kRefused,         ///< It did not run; sending it again unchanged is useless.
};
constexpr Outcome MaxValue(Outcome) {
  return Outcome::kRefused;
}

/// Load of one target as seen by its agent.
struct TargetLoad {
  int32_t slots = 0;
  int32_t running = 0;
  int32_t queued = 0;
  /// Smoothed time a request occupies a slot.
  Millis service_time;
  /// Time between the measurement and the sending of this message.
  Millis age;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.slots, self.running, self.queued, self.service_time, self.age);
  }
};

/// Agent to entry: this target exists and accepts requests, unless draining.
struct TargetAnnounce {
  std::string service;
  std::string data_centre;
  Incarnation incarnation = 0;
  bool is_draining = false;
  TargetLoad load;
  /// Affinity names (for example kernels) that only this target serves.
  std::vector<std::string> affinities;
  /// Address at which the agent accepts messages, as "ip:port".
  std::string address;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.service, self.data_centre, self.incarnation, self.is_draining,
            self.load, self.affinities, self.address);
  }
};

/// Entry to agent: run this request on the target.
struct RequestForward {
  RequestId id;
  std::string customer;
  std::string service;
  RequestClass request_class = RequestClass::kStandard;
  /// Time left until the caller's deadline, counted from arrival.
  Millis remaining;
  bool is_idempotent = false;
  /// Idempotency key of the caller, or empty.
  std::string key;
  /// Affinity name the request is bound to, or empty.
  std::string affinity;
  /// Incarnation of the agent that this attempt is meant for.
  Incarnation target_incarnation = 0;
  std::string path;
  std::string body;
  uint64_t body_checksum = 0;
  /// Weight of the customer's plan, for fair sharing in the queue.
  int64_t weight = 1;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.id, self.customer, self.service, self.request_class,
            self.remaining, self.is_idempotent, self.key, self.affinity,
            self.target_incarnation, self.path, self.body, self.body_checksum,
            self.weight);
  }
};

/// Agent to entry: the final outcome of one attempt of a request.
struct RequestReply {
  RequestId id;
  Outcome outcome = Outcome::kOutcomeUnknown;
  /// HTTP status of the target; zero unless answered.
  int32_t status = 0;
  std::string body;
  uint64_t body_length = 0;
  uint64_t body_checksum = 0;
  /// Reason and remedy for the caller, unless answered.
  std::string reason;
  Incarnation target_incarnation = 0;
  TargetLoad load;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.id, self.outcome, self.status, self.body, self.body_length,
            self.body_checksum, self.reason, self.target_incarnation,
            self.load);
  }
};

/// Entry to agent: drop the request if it has not started.
struct RequestCancel {
  RequestId id;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.id);
  }
};

/// Entry to agent: was this request started? An agent that has not received it
/// records that it refuses the request, in case it still arrives.
struct RequestQuery {
  RequestId id;
  Incarnation target_incarnation = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.id, self.target_incarnation);
  }
};

/// State of a request at the agent.
enum class RequestProgress : uint8_t {
  kNeverStarted,  ///< It did not start, and is refused if it still arrives.
  kQueued,
  kRunning,
  kFinished,  ///< The reply is sent again.
  kUnknown,   ///< The agent restarted since the request was sent.
};
constexpr RequestProgress MaxValue(RequestProgress) {
  return RequestProgress::kUnknown;
}

/// Agent to entry: answers a RequestQuery.
struct RequestQueryReply {
  RequestId id;
  RequestProgress progress = RequestProgress::kUnknown;
  Incarnation target_incarnation = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.id, self.progress, self.target_incarnation);
  }
};

/// Entry to control: record that this entry runs the request with an
/// idempotency key. The first committed claim for a customer and key wins.
struct ClaimRequest {
  RequestId id;
  std::string customer;
  std::string key;
  /// Hash of service, path and body; distinguishes a repeated request from
  /// another one that reuses the key.
  uint64_t fingerprint = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.id, self.customer, self.key, self.fingerprint);
  }
};

/// Result of a claim.
enum class ClaimStatus : uint8_t {
  kGranted,      ///< The sender runs the request.
  kInProgress,   ///< Another request holds the claim and has not finished.
  kFinished,     ///< Another request held the claim and finished.
  kMismatch,     ///< The key was used for a different request.
  kUnavailable,  ///< No claim was recorded; the request must not run.
};
constexpr ClaimStatus MaxValue(ClaimStatus) {
  return ClaimStatus::kUnavailable;
}

/// Control to entry: answers a ClaimRequest.
struct ClaimReply {
  RequestId id;
  ClaimStatus status = ClaimStatus::kUnavailable;
  /// The request that holds the claim, and the entry that owns it.
  RequestId holder;
  NodeId holder_entry;
  Outcome outcome = Outcome::kOutcomeUnknown;
  int32_t response_status = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.id, self.status, self.holder, self.holder_entry, self.outcome,
            self.response_status);
  }
};

/// Entry to control: the outcome of a claimed request. After the outcome "not
/// run" the claim is released, so that a repeated request may run.
struct ClaimOutcome {
  RequestId id;
  std::string customer;
  std::string key;
  Outcome outcome = Outcome::kOutcomeUnknown;
  int32_t response_status = 0;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.id, self.customer, self.key, self.outcome,
            self.response_status);
  }
};

/// Control to entry: the claim outcome is committed and need not be resent.
struct ClaimOutcomeAck {
  RequestId id;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.id);
  }
};

/// Entry to entry: send the response of the request that holds a claim, once it
/// is available.
struct ResponseFetch {
  RequestId id;
  RequestId holder;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.id, self.holder);
  }
};

/// Entry to entry: answers a ResponseFetch. `is_known` is false when the owner
/// no longer holds the response.
struct ResponseFetchReply {
  RequestId id;
  bool is_known = false;
  RequestReply reply;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.id, self.is_known, self.reply);
  }
};

}  // namespace fulmarrock

#endif  // SOURCE_MESSAGE_REQUEST_MESSAGES_H_
