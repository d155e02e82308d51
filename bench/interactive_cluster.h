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
  /// One-way delay between data centres. Half milliseconds are modelled by a
  /// jitter of 1 ms.
  Millis delay{1};
  Millis jitter{0};
  Millis client_delay{3};
  int targets = 11;
  int slots = 8;
};

/// The two reference deployments.
std::vector<Deployment> AllDeployments();

/// One request of the open-loop load.
struct Arrival {
  Millis time;
  /// Time it occupies a slot of a healthy target.
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

/// Adds a burst of requests of one more customer during the middle third of the
/// duration.
void AddBurst(const Deployment& deployment,
              double load,
              Millis duration,
              int customer,
              uint64_t seed,
              std::vector<Arrival>& arrivals);

/// Faults of a run.
struct Faults {
  int slow_target = -1;         ///< Takes ten times as long.
  int failing_target = -1;      ///< Responds with 500 immediately.
  int partitioned_target = -1;  ///< Cut off from entry 0 in both directions.
  int hanging_target = -1;      ///< Never responds to its first request.
  double failure_share = 0;     ///< Share of responses that are a 500.
};

/// Makes the policies of an entry in place of the default ones.
using PolicyFactory = std::function<EntryPolicies(RandomSource& random)>;

/// Latencies in milliseconds as clients see them, one per arrival in order. A
/// request without a successful response counts as kFailedLatency.
struct RunResult {
  std::vector<int64_t> latencies;
  int64_t requests = 0;
  int64_t attempts = 0;
  double failed_share = 0;
};
inline constexpr int64_t kFailedLatency = 10'000;

/// Runs the arrivals through real entries and agents with simulated targets.
RunResult RunCluster(const Deployment& deployment,
                     const std::vector<Arrival>& arrivals,
                     const Faults& faults = {},
                     const PolicyFactory& policies = {});

/// Runs the arrivals through a single queue that feeds all slots without
/// network delay.
RunResult RunIdeal(const Deployment& deployment,
                   const std::vector<Arrival>& arrivals);

/// Percentile of the latencies of the arrivals that `is_counted` selects.
double Percentile(const std::vector<Arrival>& arrivals,
                  const RunResult& result,
                  double fraction,
                  const std::function<bool(const Arrival&)>& is_counted);

}  // namespace fulmarrock::bench

#endif  // BENCH_INTERACTIVE_CLUSTER_H_
