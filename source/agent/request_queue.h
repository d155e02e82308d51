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

/// A request that is queued for a slot of the target.
struct QueuedRequest {
  NodeId entry;
  RequestForward forward;
  Millis arrival;
  Millis deadline;
};

/// Bounded queue with strict priority between request classes. Within a class,
/// the customer with the fewest queued requests relative to its weight is
/// served first, and within a customer the request with the earliest deadline.
/// A burst of one customer thus delays its own requests, not those of others.
class RequestQueue {
 public:
  explicit RequestQueue(size_t capacity) : m_capacity(capacity) {}

  /// Adds a request. If the queue was full, removes and returns a request,
  /// which may be the new one: the one with the latest deadline of the customer
  /// with the most queued requests relative to its weight, in the lowest class
  /// present.
  std::optional<QueuedRequest> Push(QueuedRequest request);

  /// Removes and returns the request to serve next.
  std::optional<QueuedRequest> Pop();

  /// Removes and returns a request, if it is queued.
  std::optional<QueuedRequest> Remove(RequestId id);

  /// Removes and returns every request whose deadline is not after `now`.
  std::vector<QueuedRequest> TakeExpired(Millis now);

  /// Removes and returns all requests.
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
  QueuedRequest TakeVictim();
  static double QueuedPerWeight(const Flow& flow);

  size_t m_capacity;
  size_t m_size = 0;
  std::array<Band, kBandCount> m_bands;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_REQUEST_QUEUE_H_
