#ifndef SOURCE_ENTRY_OUTLIER_DETECTOR_H_
#define SOURCE_ENTRY_OUTLIER_DETECTOR_H_

#include <cstddef>
#include <map>
#include <vector>

#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/entry/target_table.h"

namespace fulmarrock {

/// Keeps requests away from targets that fail or are much slower than their
/// peers. A quarantined target gets single requests as probes.
class OutlierDetector {
 public:
  struct Options {
    int max_consecutive_failures = 5;
    /// A target is quarantined above this smoothed share of failures, once it
    /// has the given number of results. Above this share, failing requests cost
    /// more than the loss of the target's capacity.
    double max_failure_share = 0.5;
    int min_results = 10;
    /// A target whose service time exceeds this multiple of the median is slow.
    double slow_factor = 4;
    Millis first_quarantine{1000};
    Millis max_quarantine{30'000};
    /// Maximum share of a service's targets that is excluded at once.
    double max_share = 0.5;
    /// Number of consecutive successful probes that end a quarantine.
    int probes_to_release = 3;
  };

  explicit OutlierDetector(Options options) : m_options(options) {}

  void OnSuccess(const NodeId& node, Millis now);
  void OnFailure(const NodeId& node, Millis now);

  /// Quarantines a target that does not answer queries.
  void OnUnresponsive(const NodeId& node, Millis now);

  /// Quarantines targets whose reported service time is far above the median.
  void DetectSlowTargets(const std::vector<const Target*>& targets, Millis now);

  /// Returns the targets that may get a request. When more than `max_share` of
  /// them are quarantined, some quarantined targets are returned as well.
  std::vector<const Target*> Filter(const std::vector<const Target*>& targets,
                                    Millis now) const;

  /// Returns a quarantined target that is due for a probe, or null, and
  /// schedules its next probe.
  const Target* TakeProbe(const std::vector<const Target*>& targets,
                          Millis now);

  bool IsQuarantined(const NodeId& node) const;

  /// Removes the records of targets that are no longer in the table.
  void RemoveMissing(const TargetTable& table);

  size_t CountQuarantined() const;

 private:
  struct Record {
    int consecutive_failures = 0;
    int results = 0;
    double failure_share = 0;
    bool is_quarantined = false;
    bool is_slow = false;
    Millis next_probe;
    Millis quarantine;
    int successful_probes = 0;
  };

  void AddResult(Record& record, bool is_failure);
  void Quarantine(Record& record, Millis now);

  Options m_options;
  std::map<NodeId, Record> m_records;
};

}  // namespace fulmarrock

#endif  // SOURCE_ENTRY_OUTLIER_DETECTOR_H_
