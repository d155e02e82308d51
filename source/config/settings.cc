#include "source/config/settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <utility>

#include <nlohmann/json.hpp>

#include "source/config/json_reader.h"

namespace fulmarrock {
namespace {

constexpr size_t kMaxFileBytes = size_t{1} << 20;
constexpr int64_t kMaxSlots = 1024;
constexpr int64_t kMaxConnections = 4096;
constexpr int64_t kMaxObjectiveMs = 600'000;
constexpr int64_t kMaxShutdownMs = 3'600'000;
constexpr int64_t kMinLeaseMs = 500;
constexpr int64_t kMaxLeaseMs = 600'000;
constexpr int64_t kMaxElectionMs = 600'000;
constexpr int64_t kMaxLimitMib = 1 << 20;
constexpr int64_t kMaxLimitConnections = 1'000'000;
constexpr int64_t kMinLimitMs = 1'000;
constexpr int64_t kMaxLimitMs = 3'600'000;

/// Processes address each other by IP address, so host names are refused.
bool IsIpAndPort(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    return false;
  std::string host = address.substr(0, colon);
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  unsigned char parsed[sizeof(in6_addr)];
  if (inet_pton(AF_INET, host.c_str(), parsed) != 1 &&
      inet_pton(AF_INET6, host.c_str(), parsed) != 1) {
    return false;
  }
  const char* begin = address.data() + colon + 1;
  const char* end = address.data() + address.size();
  int port = -1;
  const auto result = std::from_chars(begin, end, port);
  return result.ec == std::errc() && result.ptr == end && port >= 0 &&
         port <= 65535;
}

std::string ReadAddress(JsonReader& reader,
                        const std::string& name,
                        bool is_required) {
  std::string address =
      is_required ? reader.String(name) : reader.String(name, "");
  if (!address.empty() && !IsIpAndPort(address))
    reader.Report(name, "\"" + address + "\" is not an IP number and port",
                  "write it as \"10.0.0.1:7000\"");
  return address;
}

std::vector<PeerSettings> ReadPeers(JsonReader& reader,
                                    const std::string& name) {
  std::vector<PeerSettings> peers;
  for (JsonReader& item : reader.Objects(name)) {
    PeerSettings peer;
    peer.node = item.String("node");
    peer.peer_address = ReadAddress(item, "peer", true);
    peer.http_address = ReadAddress(item, "http", false);
    item.Finish();
    const bool is_repeated = std::any_of(
        peers.begin(), peers.end(),
        [&peer](const auto& other) { return other.node == peer.node; });
    if (is_repeated)
      item.Report("node", "\"" + peer.node + "\" appears twice",
                  "give each process its own name");
    peers.push_back(std::move(peer));
  }
  return peers;
}

TargetSettings ReadTarget(JsonReader& reader) {
  TargetSettings target;
  target.service = reader.String("service");
  target.address = ReadAddress(reader, "address", true);
  target.slots = reader.Integer("slots", 1, kMaxSlots, target.slots);
  target.connections =
      reader.Integer("connections", 1, kMaxConnections, target.connections);
  target.latency_objective =
      Millis(reader.Integer("latency_objective_ms", 1, kMaxObjectiveMs,
                            target.latency_objective.count()));
  target.affinities = reader.Strings("affinities");
  reader.Finish();
  return target;
}

WorkerSettings ReadWorker(JsonReader& reader) {
  WorkerSettings worker;
  worker.address = ReadAddress(reader, "address", true);
  worker.capacity.cpu_millicores =
      reader.Integer("cpu_millicores", 1, Resources::kMaxAmount);
  worker.capacity.memory_mib =
      reader.Integer("memory_mib", 1, Resources::kMaxAmount);
  worker.capacity.accelerators =
      reader.Integer("accelerators", 0, Resources::kMaxAmount, 0);
  reader.Finish();
  return worker;
}

WorkflowSettings ReadWorkflow(JsonReader& reader) {
  WorkflowSettings workflow;
  workflow.caller_listen = ReadAddress(reader, "caller_listen", false);
  workflow.ready_listen = ReadAddress(reader, "ready_listen", false);
  workflow.operator_listen = ReadAddress(reader, "operator_listen", false);
  workflow.worker_listen = ReadAddress(reader, "worker_listen", false);
  workflow.lease = Millis(reader.Integer("lease_ms", kMinLeaseMs, kMaxLeaseMs,
                                         workflow.lease.count()));
  workflow.max_lease_extension =
      Millis(reader.Integer("longest_lease_step_ms", kMinLeaseMs, kMaxLeaseMs,
                            workflow.max_lease_extension.count()));
  workflow.stop_timeout = Millis(reader.Integer("stop_limit_ms", 0, kMaxLeaseMs,
                                                workflow.stop_timeout.count()));
  workflow.evacuation_limit =
      Millis(reader.Integer("evacuation_limit_ms", 0, kMaxLeaseMs,
                            workflow.evacuation_limit.count()));
  workflow.operator_resend = Millis(reader.Integer(
      "operator_resend_ms", 0, kMaxLeaseMs, workflow.operator_resend.count()));
  workflow.data_centres = reader.Strings("data_centres");
  reader.Finish();
  return workflow;
}

ClientLimitSettings ReadLimits(JsonReader& reader) {
  ClientLimitSettings limits;
  const auto memory = [&reader](const char* name) {
    return reader.Integer(name, 0, kMaxLimitMib, 0);
  };
  const auto connections = [&reader](const char* name) {
    return reader.Integer(name, 0, kMaxLimitConnections, 0);
  };
  const auto time = [&reader](const char* name, Millis fallback) {
    return Millis(
        reader.Integer(name, kMinLimitMs, kMaxLimitMs, fallback.count()));
  };
  limits.process_memory_mib = memory("process_memory_mib");
  limits.process_descriptors = connections("process_descriptors");
  limits.request_memory_mib = memory("request_memory_mib");
  limits.message_memory_mib = memory("message_memory_mib");
  limits.caller_connections = connections("caller_connections");
  limits.http_connections = connections("http_connections");
  limits.service_connections = connections("service_connections");
  limits.peer_connections = connections("peer_connections");
  limits.body_timeout = time("body_timeout_ms", limits.body_timeout);
  limits.message_timeout = time("message_timeout_ms", limits.message_timeout);
  limits.idle_timeout = time("idle_timeout_ms", limits.idle_timeout);
  reader.Finish();
  return limits;
}

ConsensusSettings ReadConsensus(JsonReader& reader) {
  ConsensusSettings consensus;
  consensus.heartbeat = Millis(reader.Integer("heartbeat_ms", 1, kMaxElectionMs,
                                              consensus.heartbeat.count()));
  consensus.election_timeout_min =
      Millis(reader.Integer("election_timeout_min_ms", 2, kMaxElectionMs,
                            consensus.election_timeout_min.count()));
  consensus.election_timeout_max =
      Millis(reader.Integer("election_timeout_max_ms", 3, kMaxElectionMs,
                            consensus.election_timeout_max.count()));
  const bool is_ordered =
      consensus.heartbeat * 2 <= consensus.election_timeout_min &&
      consensus.election_timeout_min < consensus.election_timeout_max;
  if (!is_ordered)
    reader.Report("election_timeout_min_ms",
                  "does not fit heartbeat_ms and election_timeout_max_ms",
                  "set it to at least twice heartbeat_ms and below "
                  "election_timeout_max_ms");
  reader.Finish();
  return consensus;
}

/// Reads the seed nodes: addresses of control members, of which only the IP
/// address is used. It is the member's node name, and the port for messages is
/// that of this process.
void ReadSeeds(JsonReader& reader, Settings& settings) {
  for (const std::string& address : reader.Strings("control_seeds")) {
    if (!IsIpAndPort(address)) {
      reader.Report("control_seeds",
                    "\"" + address + "\" is not an IP number and port",
                    "write it as \"10.0.0.1:7000\"");
      continue;
    }
    PeerSettings peer;
    peer.node = address.substr(0, address.rfind(':'));
    peer.peer_address = peer.node + settings.peer_listen.substr(
                                        settings.peer_listen.rfind(':'));
    settings.discovers_members = true;
    settings.control_members.push_back(std::move(peer));
  }
}

void ReadRoles(JsonReader& reader, Settings& settings) {
  for (const std::string& role : reader.Strings("roles")) {
    if (role == "entry")
      settings.runs_entry = true;
    else if (role == "agent")
      settings.runs_agent = true;
    else if (role == "control")
      settings.runs_control = true;
    else
      reader.Report("roles", "\"" + role + "\" is not a role",
                    "use \"entry\", \"agent\" or \"control\"");
  }
  if (!settings.runs_entry && !settings.runs_agent && !settings.runs_control)
    reader.Report("roles", "names no role",
                  "list one or more of \"entry\", \"agent\", \"control\"");
}

void CheckRoles(const Settings& settings, JsonReader& reader) {
  if (settings.runs_control && settings.data_folder.empty())
    reader.Report("data_folder", "is missing but the control role needs it",
                  "name a folder on a disk of this instance");
  if (settings.control_members.empty())
    reader.Report("control", "names no member",
                  "list the control members with their addresses");
  const bool is_member = std::any_of(
      settings.control_members.begin(), settings.control_members.end(),
      [&settings](const auto& peer) { return peer.node == settings.node; });
  if (settings.runs_control && !settings.control_members.empty() &&
      !is_member && !settings.discovers_members)
    reader.Report("control", "does not list this node",
                  "add \"" + settings.node + "\" or remove the control role");
  if (settings.runs_agent && !settings.target && !settings.worker &&
      !settings.workflow)
    reader.Report("target", "is missing, and so is worker",
                  "describe what runs beside the agent: target, worker or "
                  "both");
  if (settings.target && !settings.runs_agent)
    reader.Report("target", "is set without the agent role",
                  "add \"agent\" to roles or remove target");
  if (settings.worker && !settings.runs_agent)
    reader.Report("worker", "is set without the agent role",
                  "add \"agent\" to roles or remove worker");
  if (settings.target && settings.entries.empty())
    reader.Report("entries", "is empty but the target needs entries",
                  "list the entry processes of this service");
}

void ReadLog(JsonReader& reader, Settings& settings) {
  std::optional<JsonReader> log = reader.Object("log");
  if (!log)
    return;
  settings.log_file = log->String("file", "");
  settings.log_debug = log->Boolean("debug", false);
  log->Finish();
}

}  // namespace

std::vector<NodeId> NodesOf(std::span<const PeerSettings> peers) {
  std::vector<NodeId> nodes;
  for (const PeerSettings& peer : peers)
    nodes.push_back(peer.node);
  return nodes;
}

Result<Settings> ParseSettings(std::string_view text) {
  const Result<nlohmann::json> document = ParseJson(text);
  if (!document)
    return tl::make_unexpected(document.error());
  FieldErrors errors;
  JsonReader reader(*document, "", errors);
  Settings settings;
  settings.node = reader.String("node");
  settings.region = reader.String("region", "");
  settings.data_centre = reader.String("data_centre");
  settings.rack = reader.String("rack", "");
  ReadRoles(reader, settings);
  settings.peer_listen = ReadAddress(reader, "peer_listen", true);
  settings.http_listen = ReadAddress(reader, "http_listen", true);
  settings.data_folder = reader.String("data_folder", "");
  settings.control_members = ReadPeers(reader, "control");
  ReadSeeds(reader, settings);
  settings.bootstraps_group = reader.Boolean("found_group", true);
  settings.entries = ReadPeers(reader, "entries");
  if (std::optional<JsonReader> target = reader.Object("target"))
    settings.target = ReadTarget(*target);
  if (std::optional<JsonReader> worker = reader.Object("worker"))
    settings.worker = ReadWorker(*worker);
  if (std::optional<JsonReader> workflow = reader.Object("workflow"))
    settings.workflow = ReadWorkflow(*workflow);
  if (std::optional<JsonReader> consensus = reader.Object("consensus"))
    settings.consensus = ReadConsensus(*consensus);
  if (std::optional<JsonReader> limits = reader.Object("limits"))
    settings.limits = ReadLimits(*limits);
  ReadLog(reader, settings);
  settings.shutdown_timeout =
      Millis(reader.Integer("shutdown_limit_ms", 0, kMaxShutdownMs,
                            settings.shutdown_timeout.count()));
  CheckRoles(settings, reader);
  reader.Finish();
  if (!errors.empty())
    return errors.ToError();
  return settings;
}

Result<std::string> ReadTextFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "cannot open \"" + path + "\"",
                     "check that the file exists and is readable");
  }
  std::string text(kMaxFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<size_t>(file.gcount()));
  if (text.size() > kMaxFileBytes) {
    return MakeError(ErrorKind::kResourceExhausted,
                     "\"" + path + "\" is larger than 1 MiB",
                     "check that the right file is named");
  }
  return text;
}

}  // namespace fulmarrock
