#ifndef SOURCE_ENTRY_TARGET_TABLE_H_
#define SOURCE_ENTRY_TARGET_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/message/request_messages.h"

namespace fulmarrock {

/// The state of one target as known to this entry. "Own" requests are those
/// sent by this entry.
struct Target {
  NodeId node;
  std::string service;
  std::string data_centre;
  Incarnation incarnation = 0;
  bool is_draining = false;
  std::vector<std::string> affinities;
  /// Time of the last announcement or reply.
  Millis last_contact;
  /// Last reported load, and the local time at which it was measured.
  TargetLoad load;
  Millis load_time;
  /// Own requests in progress at the target, now and when the load was
  /// measured.
  int32_t own_in_flight = 0;
  int32_t own_in_flight_at_load = 0;
  /// Own requests in progress after each recent change, oldest first.
  std::deque<std::pair<Millis, int32_t>> own_in_flight_history;
  /// Earlier agent incarnations; delayed announcements of them are ignored.
  std::deque<Incarnation> former_incarnations;

  /// Requests of other entries at the target, from the last report.
  int32_t OthersInFlight() const;
};

/// The targets that have announced themselves, up to a maximum number.
class TargetTable {
 public:
  struct Options {
    /// A target gets no new requests after this time, four announcement
    /// intervals, without an announcement or reply.
    Millis contact_timeout{2000};
    /// A target is removed after this time without an announcement or reply.
    Millis retention{60'000};
    size_t max_targets = 20'000;
  };

  explicit TargetTable(Options options) : m_options(options) {}

  /// Returns whether the target is new or its agent announced a new
  /// incarnation.
  bool OnAnnounce(const NodeId& from,
                  const TargetAnnounce& announce,
                  Millis now);

  /// Stores the load reported with a reply, if it is from the current agent
  /// incarnation.
  void OnLoad(const NodeId& from,
              Incarnation incarnation,
              const TargetLoad& load,
              Millis now);

  /// Counts a request of this entry as sent or ended.
  void AddInFlight(const NodeId& node, Incarnation incarnation, Millis now);
  void RemoveInFlight(const NodeId& node, Incarnation incarnation, Millis now);

  /// Returns the targets of a service that accept new requests, ordered by
  /// name.
  std::vector<const Target*> FindUsable(std::string_view service,
                                        Millis now) const;

  /// Returns the only usable target that announces the affinity. Returns null
  /// when there is none or, while ownership moves between targets, more than
  /// one.
  const Target* FindOwner(std::string_view service,
                          std::string_view affinity,
                          Millis now) const;

  const Target* Find(const NodeId& node) const;

  /// Removes targets without an announcement or reply within the retention
  /// period.
  void RemoveStale(Millis now);

  /// Whether a target accepts new requests.
  bool IsUsable(const Target& target, Millis now) const;

  /// Incremented when a target is added, changes its service or is removed.
  uint64_t membership_version() const { return m_membership_version; }

  const std::map<NodeId, Target>& targets() const { return m_targets; }

 private:
  static void ChangeInFlight(Target& target, int32_t change, Millis now);
  void SetAffinities(Target& target, const std::vector<std::string>& names);

  Options m_options;
  std::map<NodeId, Target> m_targets;
  // Targets by the affinity names that they announce, over all services.
  std::map<std::string, std::set<NodeId>, std::less<>> m_owners;
  uint64_t m_membership_version = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_TARGET_TABLE_H_
