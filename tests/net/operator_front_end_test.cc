#include "source/net/operator_front_end.h"

#include <catch2/catch.hpp>

#include "tests/net/net_fixture.h"

namespace fulmarrock::test {
namespace {

/// Records the arguments of its calls, and replies at once.
class FakeOperatorService : public OperatorService {
 public:
  void ApplyConfiguration(ApplyRequest request, Done<uint64_t> done) override {
    applied = std::move(request);
    if (failure)
      return done(tl::make_unexpected(*failure));
    done(8);
  }
  void SubmitJob(SubmitRequest request, Done<JobId> done) override {
    submitted = std::move(request);
    done(41);
  }
  void CancelJobs(std::vector<JobId> jobs, Done<uint64_t> done) override {
    done(jobs.size());
  }
  void SetWorkerDraining(NodeId worker,
                         bool is_draining,
                         Done<bool> done) override {
    drained = {std::move(worker), is_draining};
    done(true);
  }
  void AddMember(NodeId node,
                 Incarnation incarnation,
                 Done<bool> done) override {
    member = {std::move(node), incarnation, true};
    done(true);
  }
  void RemoveMember(NodeId node, Done<bool> done) override {
    member.node = std::move(node);
    done(true);
  }
  ConfigSnapshot GetConfiguration() const override { return {7, {}}; }
  Result<JobView> ShowJob(JobId job) const override {
    if (job != 41)
      return MakeError(ErrorKind::kNotFound, "no such job", "list the jobs");
    JobView view;
    view.id = job;
    view.tasks.resize(1);
    return view;
  }
  std::vector<JobView> ListJobs(std::string_view customer) const override {
    return std::vector<JobView>(customer == "north" ? 1 : 2);
  }
  void SetQueueConfiguration(QueueConfiguration, Done<bool> done) override {
    done(true);
  }
  Result<QueueConfiguration> GetQueueConfiguration() const override {
    return QueueConfiguration();
  }
  void SetEvacuation(EvacuationRequest request, Done<bool> done) override {
    evacuation = std::move(request);
    done(true);
  }
  Result<std::vector<DataCentreView>> ListDataCentres() const override {
    DataCentreView view;
    view.name = "dc1";
    return std::vector<DataCentreView>{view};
  }
  NodeId LeaderNode() const override { return "c1"; }
  ClusterStatus GetStatus() const override {
    ClusterStatus status;
    status.leader = "c2";
    return status;
  }

  ApplyRequest applied;
  SubmitRequest submitted;
  std::pair<NodeId, bool> drained;
  Member member;
  EvacuationRequest evacuation;
  std::optional<Error> failure;
};

/// The front end with its server on one loop and the service on another.
class OperatorServer {
 public:
  OperatorServer() {
    m_thread.RunAndWait([this] {
      HttpServerOptions options;
      options.address = "127.0.0.1:0";
      m_server.emplace(m_thread.loop(), options);
      m_front_end.emplace(service, m_service_thread.loop(),
                          std::map<NodeId, std::string>{{"c2", "10.0.0.2:80"}},
                          *m_server);
      REQUIRE(m_server->Start());
    });
  }
  ~OperatorServer() {
    m_thread.RunAndWait([this] { m_server.reset(); });
  }

  HttpClientResponse Call(const std::string& method,
                          const std::string& path,
                          const std::string& body = "") {
    HttpClientRequest request;
    request.method = method;
    request.url = "http://" + m_server->address() + path;
    request.body = body;
    return Fetch(request);
  }

  FakeOperatorService service;

 private:
  LoopThread m_thread;
  std::optional<HttpServer> m_server;
  std::optional<OperatorFrontEnd> m_front_end;
  LoopThread m_service_thread;
};

constexpr const char* kApplyBody = R"({"operation_id": "op-1",
  "base_version": 7, "configuration": {
  "plans": [{"name": "gold", "max_concurrent_requests": 1,
             "max_pending_tasks": 2,
             "quota": {"cpu_millicores": 3, "memory_mib": 4}}],
  "customers": [{"name": "north", "plan": "gold"}]}})";
constexpr const char* kJob = R"({"name": "hang", "customer": "north",
  "resources": {"cpu_millicores": 500, "memory_mib": 64}})";

// Guards against fields that are lost between the HTTP body and the service.
TEST_CASE("each operator path reaches its call with all fields") {
  OperatorServer server;
  FakeOperatorService& service = server.service;
  CHECK(server.Call("POST", "/v1/configuration", kApplyBody).body ==
        R"({"version":8})");
  CHECK(service.applied.operation_id == "op-1");
  CHECK(service.applied.base_version == 7);
  CHECK(service.applied.configuration.FindPlanOfCustomer("north"));
  const std::string job =
      std::string(R"({"operation_id": "op-2", "job": )") + kJob + "}";
  CHECK(server.Call("POST", "/v1/jobs", job).body == R"({"job":41})");
  CHECK(service.submitted.spec.resources.cpu_millicores == 500);
  CHECK(server
            .Call("POST", "/v1/data-centres/dc1/evacuation",
                  R"({"evacuated": false})")
            .body == R"({"done":true})");
  CHECK(service.evacuation.data_centre == "dc1");
  CHECK_FALSE(service.evacuation.is_evacuated);
  CHECK(server.Call("GET", "/v1/data-centres").body.find(R"("name":"dc1")") !=
        std::string::npos);
  CHECK(server.Call("POST", "/v1/jobs/cancel", R"({"jobs": [41, 42]})").body ==
        R"({"cancelled":2})");
  CHECK(server.Call("GET", "/v1/jobs/41").body.find(R"("id":41)") !=
        std::string::npos);
  CHECK(server.Call("GET", "/v1/jobs/42").status == 404);
  const std::string all = server.Call("GET", "/v1/jobs").body;
  const std::string some = server.Call("GET", "/v1/jobs?customer=north").body;
  CHECK(some.size() < all.size());
  CHECK(server.Call("GET", "/v1/configuration").body.find(R"("version":7)") !=
        std::string::npos);
  CHECK(server.Call("GET", "/v1/status").body.find(R"("leader":"c2")") !=
        std::string::npos);
  CHECK(server.Call("POST", "/v1/workers/w1/drain", R"({"draining": false})")
            .status == 200);
  CHECK(service.drained == std::pair<NodeId, bool>{"w1", false});
  CHECK(server
            .Call("POST", "/v1/members",
                  R"({"node": "c4", "incarnation": 18446744073709551615})")
            .status == 200);
  CHECK(service.member.incarnation == UINT64_MAX);
  CHECK(server.Call("DELETE", "/v1/members/c9").status == 200);
  CHECK(service.member.node == "c9");
}

// Guards against an error of a follower from which the operator cannot tell
// which member is the leader and where to reach it.
TEST_CASE("a follower names the leader and its address") {
  OperatorServer server;
  server.service.failure = Error{ErrorKind::kNotLeader, "not the leader", "c2"};
  const HttpClientResponse response =
      server.Call("POST", "/v1/configuration", kApplyBody);
  CHECK(response.status == 421);
  CHECK(response.body.find(R"("leader":"c2")") != std::string::npos);
  CHECK(response.body.find(R"("leader_address":"10.0.0.2:80")") !=
        std::string::npos);
}

// Guards against malformed bodies that crash the process, reach the service, or
// are rejected without a remedy.
TEST_CASE("a malformed body is an error with a remedy") {
  OperatorServer server;
  const auto [path, body] = GENERATE(table<std::string, std::string>({
      {"/v1/configuration", "{"},
      {"/v1/configuration", "[]"},
      {"/v1/configuration", "\xff\xfe"},
      {"/v1/configuration", R"({"operation_id": "a", "base_version": 1e400})"},
      {"/v1/configuration", R"({"operation_id": "a", "base_version": 1})"},
      {"/v1/configuration",
       R"({"operation_id": 4, "base_version": -1, "configuration": {}})"},
      {"/v1/configuration",
       R"({"operation_id": "a", "base_version": 1, "configuration": 7})"},
      {"/v1/jobs", R"({"operation_id": "a", "job": {"name": "x"}})"},
      {"/v1/jobs", R"({"operation_id": "a", "job": {}, "more": 1})"},
      {"/v1/jobs/cancel", R"({"jobs": []})"},
      {"/v1/jobs/cancel", R"({"jobs": ["1"]})"},
      {"/v1/jobs/cancel", R"({"jobs": [-1]})"},
      {"/v1/workers/w1/drain", R"({"draining": "yes"})"},
      {"/v1/members", R"({"node": "c4"})"},
      {"/v1/members", R"({"node": "c4", "incarnation": 1.5})"},
  }));
  const HttpClientResponse response = server.Call("POST", path, body);
  CAPTURE(path, body, response.body);
  CHECK(response.status == 400);
  CHECK(response.body.find(R"("kind":"invalid_argument")") !=
        std::string::npos);
  CHECK(response.body.find(R"("remedy":"")") == std::string::npos);
}

}  // namespace
}  // namespace fulmarrock::test
