#ifndef SOURCE_AGENT_REQUEST_QUEUE_H_
#define SOURCE_AGENT_REQUEST_QUEUE_H_

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/message/request_messages.h"

namespace fulmarrock {

/// A request that waits for a slot of the target.
struct QueuedRequest {
  NodeId entry;
  RequestForward forward;
  Millis arrival;
  Millis deadline;
};

/// Bounded queue. Serves the classes in strict order; within a class, the
/// customer with the fewest waiting requests for its weight, and within a
/// customer the earliest deadline. A customer in a burst thus waits behind its
/// own requests, not in front of others'.
class RequestQueue {
 public:
  explicit RequestQueue(size_t capacity) : m_capacity(capacity) {}

  /// Adds a request. Returns the one that had to give way if the queue was
  /// full, which may be the new one: the latest of the customer with the most
  /// waiting for its weight, in the lowest class present.
  std::optional<QueuedRequest> Push(QueuedRequest request);

  /// Takes the request to serve next.
  std::optional<QueuedRequest> Pop();

  /// Takes a given request, if it waits here.
  std::optional<QueuedRequest> Remove(RequestId id);

  /// Takes every request whose deadline is not after `now`.
  std::vector<QueuedRequest> TakeExpired(Millis now);

  /// Takes everything.
  std::vector<QueuedRequest> TakeAll();

  /// Estimates how many requests would be served before a new one.
  size_t CountAhead(const RequestForward& request) const;

  size_t size() const { return m_size; }

 private:
  struct Flow {
    double weight = 1;
    std::multimap<Millis, QueuedRequest> requests;
  };
  using Band = std::map<std::string, Flow, std::less<>>;
  static constexpr size_t kBandCount = 3;

  template <typename Predicate>
  std::vector<QueuedRequest> TakeIf(Predicate predicate);
  QueuedRequest TakeWorst();
  static double WaitingPerWeight(const Flow& flow);

  size_t m_capacity;
  size_t m_size = 0;
  std::array<Band, kBandCount> m_bands;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_REQUEST_QUEUE_H_
