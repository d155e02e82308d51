#include <catch2/catch.hpp>

#include "platform/queue_codec.h"
#include "platform/task_name_codec.h"
#include "platform/worker_codec.h"
#include "platform/workflow_codec.h"

// Bodies that the platform sends: valid ones are decoded into typed messages,
// malformed ones are errors.

namespace fulmarrock::platform {
namespace {

constexpr const char* kAnnouncement =
    R"({"service":"svc","address":"10.0.0.9:8080","zone":"mid-a","version":"v1",
"slots":8,"state":"ready","cold_remaining_ms":0,"born":1700000000000,
"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],
"clock_ms":482113,"sequence":4})";

HttpRequest MakeRequest(std::string method, std::string path) {
  HttpRequest request;
  request.method = std::move(method);
  request.path = std::move(path);
  request.headers["host"] = "nony24.example";
  return request;
}

}  // namespace

TEST_CASE("A submission becomes a call with its key split off the path") {
  HttpRequest request = MakeRequest("POST", "/lohu930/5c0e7a21d94b36f8");
  request.headers["x-deadline-ms"] = "2500";
  request.body =
      R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,
"estimate_ms":900,"data_rack":"r1-3"},{"count":20,"cpu":2000,"mem_mb":1024,
"estimate_ms":7000,"depends_on":[0],"checkpointing":true,"fills":true,
"image":"i1","long_running":true,"target_ms":18}]})";
  const Result<TimedCall> timed = DecodeCall(request);
  REQUIRE(timed);
  CHECK(timed->deadline == Millis(2'500));
  CHECK(timed->call.path == "/lohu930/");
  CHECK(timed->call.key == 0x5c0e7a21d94b36f8u);
  const WorkflowSpec& spec = timed->call.spec;
  REQUIRE(spec.steps.size() == 2);
  CHECK(spec.steps[0].data_rack == "r1-3");
  CHECK(spec.steps[1].depends_on == std::vector<uint32_t>{0});
  CHECK(spec.steps[1].is_best_effort);
  CHECK(spec.steps[1].is_long_running);
  CHECK(spec.steps[1].has_checkpoints);
  CHECK(spec.steps[1].latency_target == Millis(18));
}

TEST_CASE("Reads, cancellations and counts are told apart by method and path") {
  CHECK(DecodeCall(MakeRequest("GET", "/q/5c0e7a21d94b36f8"))->call.kind ==
        WorkflowCallKind::kShow);
  CHECK(DecodeCall(MakeRequest("DELETE", "/q/5c0e7a21d94b36f8"))->call.kind ==
        WorkflowCallKind::kCancel);
  CHECK(DecodeCall(MakeRequest("GET", "/q/"))->call.kind ==
        WorkflowCallKind::kCountPending);
  CHECK_FALSE(DecodeCall(MakeRequest("POST", "/q/")));
}

TEST_CASE("A malformed submission is an error") {
  HttpRequest request = MakeRequest("POST", "/q/5c0e7a21d94b36f8");
  for (const char* body :
       {"", "{", "[]", R"({"steps":3})", R"({"steps":[{"count":"four"}]})",
        R"({"steps":[{"depends_on":[-1]}]})"}) {
    request.body = body;
    CHECK_FALSE(DecodeCall(request));
  }
}

TEST_CASE("Only a call that was certainly not accepted gets status 503") {
  CallResult answer;
  answer.retry_after = Millis(1'200);
  answer.outcome = CallOutcome::kNotAccepted;
  const HttpResponse refused = EncodeCallResult(answer);
  CHECK(refused.status == 503);
  REQUIRE(refused.headers.size() == 1);
  CHECK(refused.headers[0].second == "2");
  answer.outcome = CallOutcome::kUnknownResult;
  CHECK(EncodeCallResult(answer).status == 504);
  answer.outcome = CallOutcome::kAnswered;
  answer.reply.kind = WorkflowReplyKind::kWorkflowNotFound;
  CHECK(EncodeCallResult(answer).status == 410);
  answer.reply.kind = WorkflowReplyKind::kQueueNotFound;
  CHECK(EncodeCallResult(answer).status == 404);
}

TEST_CASE("The queue configuration keeps the document that the operator sent") {
  const std::string body =
      R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",
"kind":"non_idempotent","timeout_ms":3000,"target_duration_ms":250,
"priority":0,"service":"svc","max_attempts":3,"slack_factor":1.5}],
"services":[{"name":"svc","admission_control":false}],"limits":{}})";
  const Result<QueueConfiguration> queue_configuration =
      DecodeQueueConfiguration(body);
  REQUIRE(queue_configuration);
  CHECK(queue_configuration->version == 7);
  CHECK(queue_configuration->document == body);
  CHECK(queue_configuration->queues[0].slack_factor == 1.5);
  CHECK_FALSE(queue_configuration->services[0].has_admission_control);
  CHECK_FALSE(DecodeQueueConfiguration(body.substr(0, body.size() - 9)));
  CHECK_FALSE(DecodeQueueConfiguration(R"({"version":"7"})"));
}

TEST_CASE("A worker's heartbeat is decoded into an announcement") {
  const Result<WorkerAnnouncement> announcement =
      DecodeAnnouncement(kAnnouncement, "i-1");
  REQUIRE(announcement);
  CHECK(announcement->worker_incarnation.id == "i-1");
  CHECK(announcement->worker_incarnation.start_time_unix_ms ==
        1'700'000'000'000);
  CHECK(announcement->attributes.rack == "r1-3");
  CHECK(announcement->attributes.cpu_millicores == 16'000);
  CHECK(announcement->sequence == 4);
  CHECK_FALSE(announcement->is_draining);
}

TEST_CASE("A malformed heartbeat is an error") {
  for (const char* body :
       {"", "\xff\xfe", "{}", R"({"service":3,"address":"a","state":"ready"})",
        R"({"service":"svc","address":"10.0.0.1:1","state":"asleep"})",
        R"({"service":"svc","address":"10.0.0.1:1","state":"ready",
"capacity":{"cpu":"many"}})"}) {
    CHECK_FALSE(DecodeAnnouncement(body, "i-1"));
  }
}

// Guards against a worker that gets no work, because an address at which
// nothing can be called was taken for its own.
TEST_CASE("A heartbeat with an address that cannot be called is an error") {
  for (const char* address :
       {"", "10.0.0.9", "10.0.0.9:", "10.0.0.9:0", "10.0.0.9:70000",
        "10.0.0.9:-5", "10.0.0.9:80x", "10.0.0.9:8080\\n", ":8080", "words",
        "host.example:80", "10.0.0.9:1e400", "10.0.0.9\\u0000:80",
        "user@10.0.0.9:80", "10.0.0.9:80/path", "999.0.0.1:80"}) {
    INFO(address);
    std::string body = kAnnouncement;
    body.replace(body.find("10.0.0.9:8080"), 13, address);
    CHECK_FALSE(DecodeAnnouncement(body, "i-1"));
  }
}

// Guards against header lines that the id in a heartbeat's path adds to the
// calls of the worker.
TEST_CASE("A heartbeat of an id that cannot be sent in a header is an error") {
  for (const std::string& id :
       {std::string(), std::string("i 1"), std::string("i-1\r\nX: y"),
        std::string("i\0", 2), std::string("\xff"), std::string(300, 'i')}) {
    CHECK_FALSE(DecodeAnnouncement(kAnnouncement, id));
  }
}

// Guards against a worker that seems to have no capacity because another
// program announced it without any.
TEST_CASE("A heartbeat without a capacity is an error") {
  for (const char* capacity :
       {"", R"(,"capacity":{})", R"(,"capacity":{"cpu":16000})",
        R"(,"capacity":{"mem_mb":32768})", R"(,"capacity":7)"}) {
    const std::string body =
        R"({"service":"svc","address":"10.0.0.1:1","state":"ready")" +
        std::string(capacity) + "}";
    INFO(body);
    CHECK_FALSE(DecodeAnnouncement(body, "i-1"));
  }
}

// Guards against a delayed deregistration that is applied to a later
// incarnation of the worker, because its start time was not read.
TEST_CASE(
    "A deregistration tells which incarnation sent it, if it has a body") {
  const Result<WorkerDeregistration> whole =
      DecodeDeregistration(kAnnouncement, "i-1");
  REQUIRE(whole);
  CHECK(whole->id == "i-1");
  CHECK(whole->start_time_unix_ms == 1'700'000'000'000);
  const Result<WorkerDeregistration> empty = DecodeDeregistration("", "i-1");
  REQUIRE(empty);
  CHECK_FALSE(empty->start_time_unix_ms.has_value());
  for (const char* body : {"{", "[]", R"({"born":"x"})", R"({"born":-1})"}) {
    INFO(body);
    CHECK_FALSE(DecodeDeregistration(body, "i-1"));
  }
}

TEST_CASE("The response to a poll lists running and ended runs") {
  const Result<PollResponse> answer = DecodePoll(
      R"({"clock_ms":482113,"born":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,
"00000bb8",41,18]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})");
  REQUIRE(answer);
  CHECK(answer->worker_clock == Millis(482'113));
  CHECK(answer->running[0].task == TaskName{0x5c0e7a21d94b36f8u, 0, 1, 17});
  CHECK(answer->running[0].measurement == 18);
  CHECK(answer->ended[0].kind == RunOutcome::kDone);
  CHECK_FALSE(DecodePoll("{}"));
}

// Guards against a worker that is out of service for as long as it lists one
// row of a run that another program started.
TEST_CASE("Rows that name no task leave the other rows of a list valid") {
  const Result<PollResponse> response = DecodePoll(
      R"({"clock_ms":1,"running":[[1],7,["x",1,"",0],[],
["5c0e7a21d94b36f8.0.1.17",2,"",41]],
"finished":[[57,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[58,"x",1,"done",""]]})");
  REQUIRE(response);
  REQUIRE(response->running.size() == 1);
  CHECK(response->running[0].run == 2);
  REQUIRE(response->ended.size() == 1);
  CHECK(response->ended[0].number == 57);
  CHECK(response->last_listed_end == 58);
}

// Guards against the loss of a run or of its end: a row of a task that cannot
// be read must not be taken for absent.
TEST_CASE("A list with a malformed row of a task is an error") {
  const std::string task = R"("5c0e7a21d94b36f8.0.1.9")";
  for (const char* run : {"0", "-1", "4294967296", "1e300", "null", "\"1\""}) {
    INFO(run);
    CHECK_FALSE(DecodePoll(R"({"clock_ms":1,"finished":[],"running":[[)" +
                           task + "," + run + R"(,"",0]]})"));
    CHECK_FALSE(DecodePoll(R"({"clock_ms":1,"running":[],"finished":[[1,)" +
                           task + "," + run + R"(,"done",""]]})"));
  }
  for (const char* end :
       {R"([0,TASK,1,"done",""])", R"(["1",TASK,1,"done",""])",
        R"([1,TASK,1,"vanished",""])", R"([1,TASK,1])"}) {
    std::string row = end;
    row.replace(row.find("TASK"), 4, task);
    INFO(row);
    CHECK_FALSE(
        DecodePoll(R"({"clock_ms":1,"running":[],"finished":[)" + row + "]}"));
  }
  CHECK_FALSE(DecodePoll(R"({"clock_ms":1,"running":[]})"));
}

// Guards against a worker that is adopted although another incarnation, or
// another program, is found at its address.
TEST_CASE("The response to a poll tells which incarnation sent it") {
  const char* lists = R"({"clock_ms":4,"born":9,"running":[],"finished":[]})";
  CHECK(DecodeIdentity(200, lists, 9) == WorkerIdentity::kConfirmed);
  CHECK(DecodeIdentity(200, lists, 8) == WorkerIdentity::kOther);
  CHECK(DecodeIdentity(421, lists, 9) == WorkerIdentity::kOther);
  CHECK(DecodeIdentity(409, R"({"clock_ms":4,"reason":"fence"})", 9) ==
        WorkerIdentity::kIdOnly);
  CHECK(DecodeIdentity(503, lists, 9) == WorkerIdentity::kNoResponse);
  for (const char* body : {"", "{}", "[]", "1", "<html>", R"({"born":9})"})
    CHECK(DecodeIdentity(200, body, 9) == WorkerIdentity::kNoResponse);
}

// Guards against completed tasks that run again because their ends were missing
// from a list that was cut off.
TEST_CASE("A list of 500 ends may lack some") {
  std::string rows;
  for (int number = 1; number <= 500; ++number) {
    if (number == 500)
      CHECK(
          DecodePoll(R"({"clock_ms":1,"running":[],"finished":[)" + rows + "]}")
              ->has_all_ends);
    rows += (number > 1 ? ",[" : "[") + std::to_string(number) +
            R"(,"5c0e7a21d94b36f8.0.1.9",1,"done",""])";
  }
  const Result<PollResponse> response =
      DecodePoll(R"({"clock_ms":1,"running":[],"finished":[)" + rows + "]}");
  REQUIRE(response);
  CHECK(response->ended.size() == 500);
  CHECK_FALSE(response->has_all_ends);
}

TEST_CASE("The response to a start tells whether the run may have started") {
  CHECK(DecodeStart(200, R"({"clock_ms":4})").result == StartResult::kStarted);
  CHECK(DecodeStart(409, R"({"clock_ms":4,"reason":"room"})").result ==
        StartResult::kNoCapacity);
  CHECK(DecodeStart(409, R"({"clock_ms":4,"reason":"old"})").result ==
        StartResult::kStale);
  CHECK(DecodeStart(421, "").result == StartResult::kStale);
  CHECK(DecodeStart(200, R"({"clock_ms":4,"born":9})").start_time_unix_ms == 9);
  CHECK(DecodeStart(200, R"({"clock_ms":4})").start_time_unix_ms == 0);
  CHECK(DecodeStart(503, "").result == StartResult::kDeclined);
  CHECK(DecodeStart(500, "").result == StartResult::kUnknown);
}

TEST_CASE("A task name is the same after formatting and parsing") {
  const TaskName name{0x0000000000abcdefu, 3, 2, 17};
  CHECK(FormatTask(name) == "0000000000abcdef.3.2.17");
  CHECK(ParseTask(FormatTask(name)) == name);
  for (const char* text : {"", "x", "0000000000abcdef", "0000000000abcdef.1.2",
                           "0000000000abcdef.1.2.3x", "0000000000ABCDEF.1.2.3"})
    CHECK_FALSE(ParseTask(text).has_value());
}

}  // namespace fulmarrock::platform
