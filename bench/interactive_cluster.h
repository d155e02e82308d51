#ifndef BENCH_INTERACTIVE_CLUSTER_H_
#define BENCH_INTERACTIVE_CLUSTER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "source/agent/request_server.h"
#include "source/base/seeded_random.h"
#include "source/entry/entry_role.h"
#include "tests/interactive/fake_control.h"
#include "tests/support/fake_network.h"

namespace fulmarrock::bench {

/// Network and size of one deployment.
struct Deployment {
  std::string name;
  int data_centres = 4;
  /// One way between data centres; half milliseconds alternate.
  Millis delay{1};
  Millis jitter{0};
  Millis client_delay{3};
  int executors = 11;
  int slots = 8;
};

/// Hangwell and Brindlecote.
std::vector<Deployment> AllDeployments();

/// One request of the open-loop load.
struct Arrival {
  Millis time;
  /// Time it occupies a slot of a healthy executor.
  Millis service_time;
  int customer = 0;
  int entry = 0;
};

/// Draws Poisson arrivals with lognormal service times. `load` is the share of
/// all slots that the arrivals keep busy.
std::vector<Arrival> DrawArrivals(const Deployment& deployment,
                                  double load,
                                  Millis duration,
                                  int customers,
                                  uint64_t seed);

/// Adds a wave of one more customer within the middle third of the duration.
void AddWave(const Deployment& deployment,
             double load,
             Millis duration,
             int customer,
             uint64_t seed,
             std::vector<Arrival>& arrivals);

/// Faults of a run.
struct Faults {
  int slow_executor = -1;     ///< Takes ten times as long.
  int failing_executor = -1;  ///< Answers 500 at once.
  int silent_executor = -1;   ///< Cut off from entry 0, in both directions.
  int hanging_executor = -1;  ///< One of its connections never answers.
  double failure_share = 0;   ///< Share of answers that are a 500.
};

/// Replaces the selected policies of an entry.
using PolicyFactory = std::function<EntryPolicies(RandomSource& random)>;

/// Latencies in milliseconds as clients see them, one per arrival in order. A
/// request that was not answered with success counts with kFailedLatency.
struct RunResult {
  std::vector<int64_t> latencies;
  int64_t requests = 0;
  int64_t copies = 0;
  double failed_share = 0;
};
inline constexpr int64_t kFailedLatency = 10'000;

/// Runs the arrivals through real entries and agents with fake executors.
RunResult RunCluster(const Deployment& deployment,
                     const std::vector<Arrival>& arrivals,
                     const Faults& faults = {},
                     const PolicyFactory& policies = {});

/// Runs the arrivals through one queue that feeds all slots without delay.
RunResult RunIdeal(const Deployment& deployment,
                   const std::vector<Arrival>& arrivals);

/// Percentile of the latencies of the arrivals that `is_counted` selects.
double Percentile(const std::vector<Arrival>& arrivals,
                  const RunResult& result,
                  double fraction,
                  const std::function<bool(const Arrival&)>& is_counted);

}  // namespace fulmarrock::bench

#endif  // BENCH_INTERACTIVE_CLUSTER_H_
