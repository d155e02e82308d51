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

/// What one incarnation of an agent knows about the requests it has seen, in
/// bounded memory. When an old record is dropped, the highest sequence number
/// dropped is kept per entry incarnation: an id at or below it may have been
/// seen, so that its copies never run, whatever was forgotten.
class RequestRecords {
 public:
  enum class State {
    kQueued,
    kRunning,
    kFinished,  ///< `reply` is the outcome of a request that was started.
    kRefused,   ///< `reply` says "not run"; late copies get it again.
  };
  struct Record {
    State state = State::kQueued;
    RequestReply reply;
  };
  struct Limits {
    /// Ended requests remembered, and the bytes of their bodies.
    size_t max_ended = 8192;
    size_t max_bytes = 16 << 20;
    /// Entry incarnations for which dropped sequence numbers are kept.
    size_t max_entries = 4096;
    /// Time after which an entry incarnation without traffic is forgotten. No
    /// message is delayed for as long.
    Millis entry_retention = Millis::FromSeconds(24 * 3600);
  };

  explicit RequestRecords(Limits limits) : m_limits(limits) {}

  /// Returns the record of a request, or null. Valid until the next End().
  Record* Find(RequestId id);

  /// Adds a record for a request in state kQueued.
  void Add(RequestId id);

  /// Ends a request, known or not. The reply has the state it ended in.
  void End(Millis now, State state, RequestReply reply);

  /// Tells whether a request without a record may have had one.
  bool MayBeForgotten(RequestId id) const;

  size_t size() const { return m_records.size(); }

 private:
  struct Dropped {
    uint64_t highest_sequence = 0;
    Millis time;
  };

  void DropOldest(Millis now);
  void MakeRoomForEntry(Millis now);

  Limits m_limits;
  std::unordered_map<RequestId, Record> m_records;
  std::deque<RequestId> m_ended;
  size_t m_bytes = 0;
  std::map<uint64_t, Dropped> m_dropped;
  // Set when a record of an entry had to be dropped with no room to note it.
  bool m_is_overflown = false;
};

}  // namespace fulmarrock

#endif  // SOURCE_AGENT_REQUEST_RECORDS_H_
