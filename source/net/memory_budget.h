#ifndef SOURCE_NET_MEMORY_BUDGET_H_
#define SOURCE_NET_MEMORY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "source/base/counters.h"
#include "source/base/millis.h"

namespace fulmarrock {

/// Limits of a memory budget.
struct MemoryBudgetOptions {
  /// Bytes that all holders may hold together.
  size_t limit = size_t{64} << 20;
  /// Bytes of each holder that do not count, so that small requests are
  /// received while the budget is used up. The number of holders is bounded by
  /// the limits on connections.
  size_t free_bytes = 16 << 10;
  /// A holder that has held bytes for less than this time is not aborted: it
  /// may belong to a client that sends at full speed.
  Millis min_age{1'000};
};

/// Memory that the connections of a process may hold for requests that are not
/// answered. When it is used up, the reception that began first is aborted,
/// since clients that send at full speed have completed theirs. Used on one
/// thread.
class MemoryBudget {
 public:
  /// Something that is being received.
  class Holder {
   public:
    virtual ~Holder() = default;

    /// Gives the reception up: frees its bytes and releases its charge. Must
    /// not destroy the holder of the charge that is being raised.
    virtual void AbortReception() = 0;

    /// Whether the client has closed its side of the connection, so that the
    /// reception cannot be completed.
    virtual bool HasClientClosed() const { return false; }
  };

  /// The bytes that one holder holds; releases them when it is destroyed.
  class Charge {
   public:
    /// The references outlive the charge.
    Charge(MemoryBudget& budget, Holder& holder)
        : m_budget(budget), m_holder(holder) {}
    ~Charge() { Release(); }
    Charge(const Charge&) = delete;
    Charge& operator=(const Charge&) = delete;

    /// Adds bytes before they are allocated. Returns false, and adds nothing,
    /// if the budget does not allow it.
    bool Add(size_t bytes, Millis now);
    /// Removes bytes of a part that was received completely. The rest counts as
    /// a reception that begins now, since the client makes progress.
    void Subtract(size_t bytes, Millis now);
    /// The reception is complete. The bytes stay charged, and the holder is not
    /// aborted any more.
    void OnComplete();
    void Release();
    size_t bytes() const { return m_bytes; }

   private:
    friend class MemoryBudget;

    /// Makes this the reception that began last.
    void Begin(Millis now);

    MemoryBudget& m_budget;
    Holder& m_holder;
    size_t m_bytes = 0;
    // Position among the receptions; zero if it is not one of them.
    uint64_t m_number = 0;
    Millis m_since;
  };

  explicit MemoryBudget(const MemoryBudgetOptions& options)
      : m_options(options) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// Whether a new holder may hold so many bytes now, if older receptions
  /// are aborted. Aborts none: the client may have announced the bytes only.
  bool CanFit(size_t bytes, Millis now);

  /// Aborts receptions that began more than `timeout` ago.
  void AbortOlderThan(Millis timeout, Millis now);

  /// Aborts receptions whose client has closed the connection, except those
  /// that have just begun.
  void AbortClosed(Millis now);

  /// Bytes that count against the limit.
  size_t used() const { return m_used; }
  size_t reception_count() const { return m_receptions.size(); }
  const MemoryBudgetOptions& options() const { return m_options; }
  const Counters& counters() const { return m_counters; }

 private:
  size_t CountedBytes(size_t bytes) const {
    return bytes > m_options.free_bytes ? bytes - m_options.free_bytes : 0;
  }
  /// Aborts receptions, the oldest first, until `bytes` more fit.
  bool AbortUntilFits(size_t bytes, const Charge* except, Millis now);
  void Abort(Charge& charge);

  const MemoryBudgetOptions m_options;
  size_t m_used = 0;
  uint64_t m_last_number = 0;
  // Receptions that are not complete, in the order of their begin.
  std::map<uint64_t, Charge*> m_receptions;
  Counters m_counters;
};

/// Returns the capacity to reserve so that a body of `size` bytes fits into
/// `body`. It doubles, so that a body that arrives in small pieces is not
/// copied for each of them.
size_t NextBodyCapacity(const std::string& body, size_t size);

}  // namespace fulmarrock

#endif  // SOURCE_NET_MEMORY_BUDGET_H_
