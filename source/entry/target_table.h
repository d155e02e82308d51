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

/// One target as an entry sees it.
struct Target {
  NodeId node;
  std::string service;
  std::string data_centre;
  Incarnation incarnation = 0;
  bool is_draining = false;
  std::vector<std::string> affinities;
  /// Last announcement or reply.
  Millis last_heard;
  /// Last reported load, and the instant it was measured on the local clock.
  TargetLoad load;
  Millis load_time;
  /// Own requests in progress there, now and when the load was measured.
  int32_t own_in_flight = 0;
  int32_t own_at_load = 0;
  /// Own requests in progress after each recent change, oldest first.
  std::deque<std::pair<Millis, int32_t>> own_history;
  /// Incarnations that ended; delayed announcements of them are ignored.
  std::deque<Incarnation> former_incarnations;

  /// Requests of other entries there, from the last report.
  int32_t OthersInFlight() const;
};

/// The targets that announced themselves, in bounded memory.
class TargetTable {
 public:
  struct Options {
    /// A target silent for this long gets no new work: four announcements.
    Millis silence_timeout{2000};
    /// A target silent for this long is forgotten.
    Millis retention{60'000};
    size_t max_targets = 20'000;
  };

  explicit TargetTable(Options options) : m_options(options) {}

  /// Returns whether the target is new or announced a new incarnation.
  bool OnAnnounce(const NodeId& from,
                  const TargetAnnounce& announce,
                  Millis now);

  /// Takes the load that came with a reply of the given incarnation.
  void OnLoad(const NodeId& from,
              Incarnation incarnation,
              const TargetLoad& load,
              Millis now);

  /// Counts an own request as sent or ended.
  void AddInFlight(const NodeId& node, Incarnation incarnation, Millis now);
  void RemoveInFlight(const NodeId& node, Incarnation incarnation, Millis now);

  /// Returns the targets of a service that take new work, ordered by name.
  std::vector<const Target*> FindUsable(std::string_view service,
                                        Millis now) const;

  /// Returns the only usable target that announces the affinity. Returns null
  /// when there is none or, while ownership moves, more than one.
  const Target* FindOwner(std::string_view service,
                          std::string_view affinity,
                          Millis now) const;

  const Target* Find(const NodeId& node) const;

  /// Forgets targets that have been silent for long.
  void ForgetSilent(Millis now);

  /// Tells whether a target takes new work.
  bool IsUsable(const Target& target, Millis now) const;

  /// Grows when a target is added, changes its service or is forgotten.
  uint64_t membership_version() const { return m_membership_version; }

  const std::map<NodeId, Target>& targets() const { return m_targets; }

 private:
  static void ChangeInFlight(Target& target, int32_t change, Millis now);
  void SetAffinities(Target& target, const std::vector<std::string>& names);

  Options m_options;
  std::map<NodeId, Target> m_targets;
  // Targets that announce an affinity name, of any service.
  std::map<std::string, std::set<NodeId>, std::less<>> m_owners;
  uint64_t m_membership_version = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_TARGET_TABLE_H_
