#ifndef SOURCE_CONFIG_SETTINGS_H_
#define SOURCE_CONFIG_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "source/base/error.h"
#include "source/base/ids.h"
#include "source/base/millis.h"
#include "source/base/resources.h"

namespace fulmarrock {

/// Address of another process of the system.
struct PeerSettings {
  NodeId node;
  /// Where it accepts messages, as "ip:port".
  std::string peer_address;
  /// Where it serves HTTP, as "ip:port"; empty when not needed.
  std::string http_address;
};

/// Returns the nodes of the peers, in the same order.
std::vector<NodeId> NodesOf(std::span<const PeerSettings> peers);

/// The target beside an agent.
struct TargetSettings {
  std::string service;
  /// Where the target serves HTTP, as "ip:port".
  std::string address;
  int64_t slots = 8;
  int64_t connections = 64;
  /// Objective for the p99 latency of the service; colocated batch tasks are
  /// throttled beyond it.
  Millis latency_objective{200};
  /// Affinity names that only this target serves.
  std::vector<std::string> affinities;
};

/// The worker beside an agent.
struct WorkerSettings {
  /// Where the worker serves its API, as "ip:port".
  std::string address;
  Resources capacity;
};

/// Addresses of the workflow interfaces of a process, and times for its worker.
/// Addresses are written as "ip:port" and empty for an interface that is not
/// served.
struct WorkflowSettings {
  /// HTTP interface of an entry for callers.
  std::string caller_listen;
  /// Readiness check of an entry for load balancers.
  std::string ready_listen;
  /// HTTP interface of a control member for operators.
  std::string operator_listen;
  /// HTTP interface of an agent for the worker beside it.
  std::string worker_listen;
  /// Lease duration: time for which an agent may keep its worker running
  /// without contact with control.
  Millis lease{15'000};
  /// Maximum extension of its lease that a worker accepts.
  Millis max_lease_extension{6'000};
  /// Maximum time from a stop to the end of the run.
  Millis stop_timeout{400};
  /// Time within which the evacuation of a data centre has to take effect; zero
  /// if there is no such limit.
  Millis evacuation_limit;
  /// Maximum time for which an operator's tool repeats an evacuation request.
  Millis operator_resend{5'000};
  /// Names of all data centres; empty if they are not known.
  std::vector<std::string> data_centres;
};

/// What the clients of a process may use of it. Zero derives a memory size or a
/// number of connections from the limits of the process.
struct ClientLimitSettings {
  /// Memory and descriptors that the process may use; zero if only the limits
  /// of the operating system apply.
  int64_t process_memory_mib = 0;
  int64_t process_descriptors = 0;
  int64_t request_memory_mib = 0;
  int64_t message_memory_mib = 0;
  int64_t caller_connections = 0;
  int64_t http_connections = 0;
  int64_t service_connections = 0;
  int64_t peer_connections = 0;
  Millis body_timeout{30'000};
  Millis message_timeout{60'000};
  Millis idle_timeout{120'000};
};

/// Consensus timing of the control members; must be equal at all of them.
struct ConsensusSettings {
  Millis heartbeat{100};
  Millis election_timeout_min{300};
  Millis election_timeout_max{600};
};

/// Settings of one daemon.
struct Settings {
  NodeId node;
  std::string region;
  std::string data_centre;
  std::string rack;
  bool runs_entry = false;
  bool runs_agent = false;
  bool runs_control = false;
  /// Where this process accepts messages of other processes, as "ip:port".
  std::string peer_listen;
  /// Where this process serves HTTP, as "ip:port".
  std::string http_listen;
  /// Folder of the durable state; required for control.
  std::string data_folder;
  std::vector<PeerSettings> control_members;
  std::vector<PeerSettings> entries;
  std::optional<TargetSettings> target;
  std::optional<WorkerSettings> worker;
  std::optional<WorkflowSettings> workflow;
  ConsensusSettings consensus;
  ClientLimitSettings limits;
  /// Whether control members are discovered through seed nodes, and admit each
  /// other. Nodes are then named by their IP address, and all use the port of
  /// `peer_listen`.
  bool discovers_members = false;
  /// Whether the control members of the settings bootstrap the group when their
  /// data folders are empty.
  bool bootstraps_group = true;
  /// Log file; empty means standard error.
  std::string log_file;
  bool log_debug = false;
  /// Maximum time for a graceful shutdown; then the process exits anyway.
  Millis shutdown_timeout{30'000};
};

/// Reads settings from JSON with comments. One kInvalidArgument error lists
/// every wrong, missing or unknown field with its location and remedy.
Result<Settings> ParseSettings(std::string_view text);

/// Reads a whole file of at most 1 MiB. Fails with kInvalidArgument if it
/// cannot be opened, and kResourceExhausted if it is larger.
Result<std::string> ReadTextFile(const std::string& path);

}  // namespace fulmarrock

#endif  // SOURCE_CONFIG_SETTINGS_H_
