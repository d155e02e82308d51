#include "source/workflow/step_ordering.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace fulmarrock {
namespace {

/// A workflow that can complete within this many times the span of its
/// objective ranks before one that is even later.
constexpr int64_t kLateFactor = 3;

Millis LongestPath(const WorkflowSpec& spec,
                   const std::function<bool(uint32_t)>& counts) {
  // Steps may be listed in any order, so the end times are relaxed until
  // nothing changes; workflows have few steps.
  std::vector<Millis> ends(spec.steps.size());
  Millis longest;
  for (bool has_changed = true; has_changed;) {
    has_changed = false;
    for (uint32_t i = 0; i < spec.steps.size(); ++i) {
      Millis begin;
      for (const uint32_t other : spec.steps[i].depends_on)
        begin = std::max(begin, ends[other]);
      const Millis end =
          begin + (counts(i) ? spec.steps[i].estimate : Millis(0));
      has_changed |= end > ends[i];
      ends[i] = std::max(ends[i], end);
      longest = std::max(longest, ends[i]);
    }
  }
  return longest;
}

struct Rank {
  int urgency = 0;
  int64_t priority = 0;
  int lateness = 0;
  Millis objective;
  WorkflowKey key = 0;
  uint32_t step = 0;

  auto AsTuple() const {
    return std::make_tuple(urgency, priority, lateness, objective, key, step);
  }
};

Rank RankOf(const ReadyStep& ready, Millis now) {
  const WorkflowRecord& workflow = *ready.workflow;
  Rank rank;
  rank.key = workflow.spec.key;
  rank.step = ready.step;
  rank.urgency = ready.spec().is_long_running ? 0 : 1;
  rank.priority = ready.queue->priority;
  const Millis critical_path = CriticalPath(workflow.spec);
  const Millis span(
      static_cast<int64_t>(static_cast<double>(critical_path.count()) *
                           ready.queue->slack_factor) +
      ready.queue->target_duration.count());
  rank.objective = ready.due_at + span;
  const Millis end =
      now +
      RemainingCriticalPath(workflow, workflow.occurrences[ready.occurrence]);
  if (end > ready.due_at + span * kLateFactor)
    rank.lateness = 2;
  else if (end > rank.objective)
    rank.lateness = 1;
  return rank;
}

}  // namespace

Millis CriticalPath(const WorkflowSpec& spec) {
  return LongestPath(spec, [](uint32_t) { return true; });
}

Millis RemainingCriticalPath(const WorkflowRecord& workflow,
                             const WorkflowOccurrence& occurrence) {
  return LongestPath(workflow.spec, [&](uint32_t step) {
    return !occurrence.steps[step].IsDone();
  });
}

void ArrivalOrdering::Sort(std::vector<ReadyStep>& steps, Millis) const {
  std::sort(steps.begin(), steps.end(),
            [](const ReadyStep& left, const ReadyStep& right) {
              return std::make_tuple(left.due_at, left.workflow->spec.key,
                                     left.step) <
                     std::make_tuple(right.due_at, right.workflow->spec.key,
                                     right.step);
            });
}

void ObjectiveOrdering::Sort(std::vector<ReadyStep>& steps, Millis now) const {
  std::vector<std::pair<Rank, ReadyStep>> ranked;
  ranked.reserve(steps.size());
  for (const ReadyStep& step : steps)
    ranked.emplace_back(RankOf(step, now), step);
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& left, const auto& right) {
              return left.first.AsTuple() < right.first.AsTuple();
            });
  for (size_t i = 0; i < steps.size(); ++i)
    steps[i] = ranked[i].second;
}

}  // namespace fulmarrock
