#include "source/net/operator_json.h"

#include <limits>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "source/config/configuration_json.h"
#include "source/config/json_reader.h"

namespace fulmarrock {
namespace {

using nlohmann::json;

constexpr int64_t kMaxInteger = std::numeric_limits<int64_t>::max();
constexpr size_t kMaxCancelledJobs = 200'000;

json ToJson(const Resources& resources) {
  return {{"cpu_millicores", resources.cpu_millicores},
          {"memory_mib", resources.memory_mib},
          {"accelerators", resources.accelerators}};
}

json ToJson(const WorkerView& worker) {
  return {{"node", worker.node},
          {"data_centre", worker.data_centre},
          {"rack", worker.rack},
          {"capacity", ToJson(worker.capacity)},
          {"used", ToJson(worker.used)},
          {"running_tasks", worker.running_tasks},
          {"draining", worker.is_draining},
          {"quarantined", worker.is_quarantined},
          {"alive", worker.is_alive}};
}

json ToJson(const TaskView& task) {
  return {{"index", task.index},
          {"state", ToString(task.state)},
          {"epoch", task.epoch},
          {"worker", task.worker},
          {"failed_attempts", task.failed_attempts},
          {"evictions", task.evictions},
          {"detail", task.detail}};
}

/// Moves a field out of a document and leaves an empty object in its place.
json TakeField(json& document, const std::string& name) {
  if (!document.is_object() || !document.contains(name))
    return {};
  json value = std::move(document[name]);
  document[name] = json::object();
  return value;
}

/// Reads a body with one flag, which is set by default.
Result<bool> ReadFlag(std::string_view body, const char* name) {
  const Result<json> document = ParseJson(body);
  if (!document)
    return tl::make_unexpected(document.error());
  FieldErrors errors;
  JsonReader reader(*document, "", errors);
  const bool is_set = reader.Boolean(name, true);
  reader.Finish();
  if (!errors.empty())
    return errors.ToError();
  return is_set;
}

}  // namespace

Result<ApplyRequest> ReadApplyRequest(std::string_view body) {
  Result<json> document = ParseJson(body);
  if (!document)
    return tl::make_unexpected(document.error());
  const json configuration_json = TakeField(*document, "configuration");
  FieldErrors errors;
  JsonReader reader(*document, "", errors);
  ApplyRequest request;
  request.operation_id = reader.String("operation_id");
  request.base_version =
      static_cast<uint64_t>(reader.Integer("base_version", 0, kMaxInteger));
  if (!reader.Object("configuration"))
    reader.Report("configuration", "is missing", "add the plans and customers");
  reader.Finish();
  if (!errors.empty())
    return errors.ToError();
  Result<Configuration> configuration =
      ConfigurationFromJson(configuration_json);
  if (!configuration)
    return tl::make_unexpected(configuration.error());
  request.configuration = std::move(*configuration);
  return request;
}

Result<SubmitRequest> ReadSubmitRequest(std::string_view body) {
  Result<json> document = ParseJson(body);
  if (!document)
    return tl::make_unexpected(document.error());
  const json job = TakeField(*document, "job");
  FieldErrors errors;
  JsonReader reader(*document, "", errors);
  SubmitRequest request;
  request.operation_id = reader.String("operation_id");
  if (!reader.Object("job"))
    reader.Report("job", "is missing", "add the description of the job");
  reader.Finish();
  if (!errors.empty())
    return errors.ToError();
  Result<JobSpec> spec = JobSpecFromJson(job);
  if (!spec)
    return tl::make_unexpected(spec.error());
  request.spec = std::move(*spec);
  return request;
}

Result<std::vector<JobId>> ReadCancelRequest(std::string_view body) {
  Result<json> document = ParseJson(body);
  if (!document)
    return tl::make_unexpected(document.error());
  const json jobs = TakeField(*document, "jobs");
  FieldErrors errors;
  JsonReader reader(*document, "", errors);
  std::vector<JobId> ids;
  if (!reader.Object("jobs") || !jobs.is_array() || jobs.empty() ||
      jobs.size() > kMaxCancelledJobs) {
    reader.Report("jobs", "must be an array of 1 to 200000 job numbers",
                  "write it as [ 1, 2 ]");
  } else {
    for (const json& job : jobs) {
      if (job.is_number_unsigned() && job.get<uint64_t>() > 0)
        ids.push_back(job.get<uint64_t>());
      else
        reader.Report("jobs", "has an element that is not a job number",
                      "use numbers from the list of jobs");
    }
  }
  reader.Finish();
  if (!errors.empty())
    return errors.ToError();
  return ids;
}

Result<bool> ReadDrainRequest(std::string_view body) {
  return ReadFlag(body, "draining");
}

Result<bool> ReadEvacuationRequest(std::string_view body) {
  return ReadFlag(body, "evacuated");
}

Result<Member> ReadMemberRequest(std::string_view body) {
  Result<json> document = ParseJson(body);
  if (!document)
    return tl::make_unexpected(document.error());
  // Incarnations use all 64 bits, but JsonReader's integers are signed.
  const json incarnation = TakeField(*document, "incarnation");
  FieldErrors errors;
  JsonReader reader(*document, "", errors);
  Member member;
  member.node = reader.String("node");
  if (!reader.Object("incarnation") || !incarnation.is_number_unsigned()) {
    reader.Report("incarnation", "must be a number of 0 to 2^64-1",
                  "take it from the state dump of the new member");
  } else {
    member.incarnation = incarnation.get<uint64_t>();
  }
  reader.Finish();
  if (!errors.empty())
    return errors.ToError();
  return member;
}

json ToJson(const ConfigSnapshot& snapshot) {
  return {{"version", snapshot.version},
          {"configuration", ConfigurationToJson(snapshot.configuration)}};
}

json ToJson(const JobView& job) {
  json value = {{"id", job.id},
                {"spec", JobSpecToJson(job.spec)},
                {"pending", job.pending},
                {"running", job.running},
                {"completed", job.completed},
                {"failed", job.failed},
                {"cancelled", job.cancelled},
                {"reason", job.reason}};
  if (job.tasks.empty())
    return value;
  json& tasks = value["tasks"] = json::array();
  for (const TaskView& task : job.tasks)
    tasks.push_back(ToJson(task));
  return value;
}

json ToJson(const DataCentreView& data_centre) {
  return {{"name", data_centre.name},
          {"evacuated", data_centre.is_evacuated},
          {"since_ms_ago", data_centre.evacuated_for.count()},
          {"workers", data_centre.workers},
          {"active_tasks", data_centre.active_tasks},
          {"active_long_running", data_centre.active_long_running},
          {"active_best_effort", data_centre.active_best_effort}};
}

json ToJson(const ClusterStatus& status) {
  json members = json::array();
  for (const Member& member : status.members) {
    members.push_back({{"node", member.node},
                       {"incarnation", member.incarnation},
                       {"voter", member.is_voter}});
  }
  json processes = json::array();
  for (const ProcessVersion& process : status.processes) {
    processes.push_back({{"node", process.node},
                         {"version", process.version},
                         {"age_ms", process.age.count()}});
  }
  json workers = json::array();
  for (const WorkerView& worker : status.workers)
    workers.push_back(ToJson(worker));
  return {{"member", status.member},
          {"leader", status.leader},
          {"term", status.term},
          {"commit_index", status.commit_index},
          {"members", std::move(members)},
          {"configuration_version", status.configuration_version},
          {"processes", std::move(processes)},
          {"workers", std::move(workers)},
          {"pending_tasks", status.pending_tasks},
          {"running_tasks", status.running_tasks}};
}

}  // namespace fulmarrock
