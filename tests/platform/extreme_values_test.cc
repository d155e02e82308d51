#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "platform/queue_codec.h"
#include "platform/worker_codec.h"
#include "platform/workflow_codec.h"

// Each field of each body from outside in turn is missing or has an extreme
// value. The body is an error, or what was decoded is within its limits.

namespace fulmarrock::platform {
namespace {

using nlohmann::json;

constexpr const char* kHeartbeat =
    R"({"service":"svc","address":"10.0.0.9:8080","zone":"mid-a","version":"v1",
"slots":8,"state":"ready","cold_remaining_ms":0,"born":1700000000000,
"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],
"clock_ms":482113,"sequence":4})";

constexpr const char* kSubmission =
    R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"gpu":1,
"estimate_ms":900,"depends_on":[0],"checkpointing":true,"gang":true,
"rack_bound":true,"required_label":"l","data_rack":"r1-3","max_per_server":2,
"speculative":true,"long_running":true,"image":"i","target_ms":18,"fills":true,
"max_unavailable":1}],"repeat_count":2,"first_ms":1700000000000,
"interval_ms":1000})";

constexpr const char* kConfiguration =
    R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",
"kind":"non_idempotent","timeout_ms":3000,"target_duration_ms":250,
"priority":0,"service":"svc","max_attempts":3,"slack_factor":1.5}],
"services":[{"name":"svc","health_path":"/","max_connections":64,
"protocol":"h1","tls":false,"admission_control":false,"standby":false}],
"limits":{"max_body_bytes":262144}})";

constexpr const char* kPollResponse =
    R"({"clock_ms":482113,"born":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,
"00000bb8",41,18]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";

/// Texts of JSON values, some of which the library cannot represent.
std::vector<std::string> ExtremeValues() {
  std::vector<std::string> values = {"null",
                                     "true",
                                     "0",
                                     "-1",
                                     "1.5",
                                     "-0.0",
                                     "127",
                                     "128",
                                     "255",
                                     "256",
                                     "2147483647",
                                     "2147483648",
                                     "-2147483649",
                                     "4294967295",
                                     "4294967296",
                                     "9007199254740993",
                                     "9223372036854775807",
                                     "9223372036854775808",
                                     "-9223372036854775808",
                                     "-9223372036854775809",
                                     "18446744073709551615",
                                     "18446744073709551616",
                                     "1e18",
                                     "1e19",
                                     "9.3e18",
                                     "-9.3e18",
                                     "1e300",
                                     "-1e300",
                                     "1e400",
                                     "-1e400",
                                     "1e-400",
                                     "1234567890123456789012345678901234567890",
                                     "\"\"",
                                     "\"x\"",
                                     "\"0\"",
                                     "\"\\u0000\"",
                                     "\"\xff\"",
                                     "\"\\ud800\"",
                                     "[]",
                                     "[0]",
                                     "[null]",
                                     "[[]]",
                                     "{}",
                                     "{\"a\":1}"};
  values.push_back("\"" + std::string(1 << 16, 'x') + "\"");
  values.push_back(std::string(20, '[') + std::string(20, ']'));
  values.push_back(std::string(1'000, '[') + std::string(1'000, ']'));
  return values;
}

/// Calls `check` with copies of a body in each of which one value was replaced
/// or removed.
template <typename Check>
void ForEachVariant(const char* body, Check check) {
  constexpr const char* kMark = "@replaced@";
  const std::vector<std::string> values = ExtremeValues();
  const json document = json::parse(body);
  const json flat = document.flatten();
  for (const auto& [path, value] : flat.items()) {
    // Each value, and each object or array around it.
    for (json::json_pointer pointer(path); !pointer.empty();
         pointer.pop_back()) {
      json marked = document;
      marked[pointer] = kMark;
      const std::string text = marked.dump();
      const std::string quoted = std::string("\"") + kMark + "\"";
      for (const std::string& extreme : values) {
        std::string variant = text;
        variant.replace(variant.find(quoted), quoted.size(), extreme);
        INFO(pointer.to_string() << " = " << extreme.substr(0, 40));
        check(variant);
      }
      const json parent = document[pointer.parent_pointer()];
      if (!parent.is_object())
        continue;
      json removed = document;
      removed[pointer.parent_pointer()].erase(pointer.back());
      INFO(pointer.to_string() << " is missing");
      check(removed.dump());
    }
  }
}

/// Checks a decoded integer against its limits.
void CheckRange(int64_t value, int64_t minimum, int64_t maximum) {
  const bool is_in_range = value >= minimum && value <= maximum;
  CHECK(is_in_range);
}

constexpr int64_t kMaxTimeMs = int64_t{1} << 50;

}  // namespace

// Guards against a process that ends, or a worker that is misread, because of
// one odd field in a heartbeat or a deregistration.
TEST_CASE("A heartbeat with an extreme value is an error or within limits") {
  ForEachVariant(kHeartbeat, [](const std::string& body) {
    (void)DecodeDeregistration(body, "i-1");
    const Result<WorkerAnnouncement> decoded = DecodeAnnouncement(body, "i-1");
    if (!decoded) {
      CHECK(decoded.error().kind == ErrorKind::kInvalidArgument);
      return;
    }
    CheckRange(decoded->worker_incarnation.start_time_unix_ms, 0, kMaxTimeMs);
    CheckRange(decoded->attributes.cpu_millicores, 0, Resources::kMaxAmount);
    CheckRange(decoded->attributes.memory_mib, 0, Resources::kMaxAmount);
    CheckRange(decoded->attributes.accelerators, 0, Resources::kMaxAmount);
    if (decoded->worker_clock)
      CheckRange(decoded->worker_clock->count(), 0, kMaxTimeMs);
    CHECK_FALSE(decoded->address.empty());
  });
}

TEST_CASE("A submission with an extreme value is an error or within limits") {
  ForEachVariant(kSubmission, [](const std::string& body) {
    const Result<WorkflowSpec> decoded = DecodeWorkflow(body, 7);
    if (!decoded) {
      CHECK(decoded.error().kind == ErrorKind::kInvalidArgument);
      return;
    }
    CheckRange(decoded->interval.count(), 0, kMaxTimeMs);
    for (const StepSpec& step : decoded->steps) {
      CheckRange(step.cpu_millicores, 0, Resources::kMaxAmount);
      CheckRange(step.estimate.count(), 0, kMaxTimeMs);
      CheckRange(step.max_unavailable, -1, 1'000'000);
    }
  });
}

TEST_CASE("A configuration with an extreme value is an error or in limits") {
  ForEachVariant(kConfiguration, [](const std::string& body) {
    const Result<QueueConfiguration> decoded = DecodeQueueConfiguration(body);
    if (!decoded) {
      CHECK(decoded.error().kind == ErrorKind::kInvalidArgument);
      return;
    }
    for (const QueueSettings& queue : decoded->queues) {
      CheckRange(queue.timeout.count(), 0, kMaxTimeMs);
      CHECK(queue.slack_factor >= 0.0);
      CHECK(queue.slack_factor <= 1e6);
    }
  });
}

TEST_CASE("A worker's response with an extreme value is read within limits") {
  ForEachVariant(kPollResponse, [](const std::string& body) {
    for (const int status : {200, 400, 409, 421, 503}) {
      const StartResponse start = DecodeStart(status, body);
      if (start.worker_clock)
        CheckRange(start.worker_clock->count(), 0, kMaxTimeMs);
      (void)DecodeIdentity(status, body, 5);
    }
    const Result<PollResponse> decoded = DecodePoll(body);
    if (!decoded)
      return;
    CheckRange(decoded->worker_clock.count(), 0, kMaxTimeMs);
    for (const RunStatus& row : decoded->running) {
      CheckRange(row.run, 1, UINT32_MAX);
      CheckRange(row.percent, 0, 100);
      CheckRange(row.measurement, -1, kMaxTimeMs);
    }
    for (const EndedRun& row : decoded->ended) {
      CheckRange(row.run, 1, UINT32_MAX);
      CheckRange(static_cast<int64_t>(row.number), 1, int64_t{1} << 62);
    }
  });
}

}  // namespace fulmarrock::platform
