#ifndef TESTS_SUPPORT_CLUSTER_FAULTS_H_
#define TESTS_SUPPORT_CLUSTER_FAULTS_H_

#include <cstddef>

#include "tests/support/workflow_cluster.h"

namespace fulmarrock::test {

/// Number of different faults; greater numbers stand for no fault.
inline constexpr int kFaultCount = 13;

/// Applies a fault to the agent, worker or member that `index` selects: of
/// workers, agents, links and leaders, changes of a worker's capacity, and
/// suspensions of an instance for some seconds, and deregistrations of workers
/// that run on.
void ApplyFault(WorkflowCluster& cluster, int fault, size_t index);

/// Ends all faults; restarts what is down.
void HealAll(WorkflowCluster& cluster);

}  // namespace fulmarrock::test

#endif  // TESTS_SUPPORT_CLUSTER_FAULTS_H_
