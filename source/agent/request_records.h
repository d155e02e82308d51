#ifndef SOURCE_AGENT_REQUEST_RECORDS_H_
#define SOURCE_AGENT_REQUEST_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>

#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/message/request_messages.h"

namespace fulmarrock {

/// Records of the requests that one agent incarnation has received, in bounded
/// memory. When an old record is dropped, the highest dropped sequence number
/// is kept per entry incarnation. A request with an id at or below it may have
/// been received before, so that duplicates of it never run.
class RequestRecords {
 public:
  enum class State {
    kQueued,
    kRunning,
    kFinished,  ///< `reply` is the outcome of a request that was started.
    kRefused,   ///< `reply` says "not run"; late duplicates get it again.
  };
  struct Record {
    State state = State::kQueued;
    RequestReply reply;
  };
  struct Limits {
    /// Records kept of ended requests, and bytes of their response bodies.
    size_t max_ended = 8192;
    size_t max_bytes = 16 << 20;
    /// Entry incarnations for which dropped sequence numbers are kept.
    size_t max_entries = 4096;
    /// Time after which the sequence number of an entry incarnation without
    /// traffic is removed. No message is delayed for that long.
    Millis entry_retention = Millis::FromSeconds(24 * 3600);
  };

  explicit RequestRecords(Limits limits) : m_limits(limits) {}

  /// Returns the record of a request, or null. Valid until the next End().
  Record* Find(RequestId id);

  /// Adds a record for a request in state kQueued.
  void Add(RequestId id);

  /// Records the end of a request, with or without an earlier record. `state`
  /// is kFinished or kRefused.
  void End(Millis now, State state, RequestReply reply);

  /// Whether a request without a record may have had one that was dropped.
  bool MayHaveBeenDropped(RequestId id) const;

  size_t size() const { return m_records.size(); }

 private:
  struct Dropped {
    uint64_t highest_sequence = 0;
    Millis time;
  };

  void DropOldest(Millis now);
  void RemoveExpiredEntries(Millis now);

  Limits m_limits;
  std::unordered_map<RequestId, Record> m_records;
  std::deque<RequestId> m_ended;
  size_t m_bytes = 0;
  std::map<uint64_t, Dropped> m_dropped;
  // Set when a record was dropped whose sequence number could not be kept,
  // because `m_dropped` was full.
  bool m_has_overflowed = false;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_REQUEST_RECORDS_H_
