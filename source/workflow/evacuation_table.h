#ifndef SOURCE_WORKFLOW_EVACUATION_TABLE_H_
#define SOURCE_WORKFLOW_EVACUATION_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "source/base/millis.h"

namespace fulmarrock {

/// Evacuates a data centre, or finishes its evacuation. `token` identifies the
/// caller that waits for the result at the proposing member.
struct EvacuationCommand {
  uint64_t token = 0;
  std::string data_centre;
  bool is_evacuated = false;
  /// Longest time for which an operator's tool repeats a request.
  Millis resend_limit;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.token, self.data_centre, self.is_evacuated, self.resend_limit);
  }
};

/// What an applied EvacuationCommand did.
enum class EvacuationOutcome {
  kChanged,
  kUnchanged,  ///< The data centre was in that state already.
  kDeferred,   ///< Not applied: it may repeat a command that was superseded.
};

/// Time of a command that was never accepted.
inline constexpr Millis kNoCommand{-1};

/// State of one data centre, in replicated time.
struct EvacuationEntry {
  std::string data_centre;
  bool is_evacuated = false;
  Millis changed_at;
  /// When a command of each kind was last accepted, repetitions included.
  Millis last_start_at = kNoCommand;
  Millis last_finish_at = kNoCommand;

  template <typename Self, typename Visitor>
  static void VisitFields(Self& self, Visitor& visitor) {
    visitor(self.data_centre, self.is_evacuated, self.changed_at,
            self.last_start_at, self.last_finish_at);
  }
};

/// The replicated table of evacuated data centres. No run starts in them.
///
/// Requests have no id, so that a late repetition looks like a new request. A
/// command that would change the state is deferred while one of its kind was
/// accepted less than the resend limit ago: a new request is repeated until it
/// is accepted, a late repetition is not.
class EvacuationTable {
 public:
  /// Part of a snapshot.
  struct Snapshot {
    uint64_t version = 0;
    std::vector<EvacuationEntry> entries;

    template <typename Self, typename Visitor>
    static void VisitFields(Self& self, Visitor& visitor) {
      visitor(self.version, self.entries);
    }
  };

  /// `now` is replicated time.
  EvacuationOutcome Apply(const EvacuationCommand& command, Millis now);

  bool IsEvacuated(std::string_view data_centre) const;

  /// Returns the entry of a data centre, or null.
  const EvacuationEntry* Find(std::string_view data_centre) const;

  /// Increases with every change of the set of evacuated data centres.
  uint64_t version() const { return m_version; }

  /// Data centres with recent commands, by name.
  const std::map<std::string, EvacuationEntry, std::less<>>& entries() const {
    return m_entries;
  }

  /// Removes data centres that are not evacuated and had no command for
  /// long.
  void Prune(Millis now);

  Snapshot Save() const;
  void Restore(Snapshot snapshot);

 private:
  uint64_t m_version = 0;
  std::map<std::string, EvacuationEntry, std::less<>> m_entries;
};

}  // namespace fulmarrock

#endif  // SOURCE_WORKFLOW_EVACUATION_TABLE_H_
