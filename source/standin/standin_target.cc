#include "source/standin/standin_target.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "source/base/checksum.h"
#include "source/config/json_reader.h"
#include "source/net/json_response.h"

namespace fulmarrock {
namespace {

// Limits the memory of the counts by request body in long tests.
constexpr size_t kMaxCountedBodies = 1'000'000;
constexpr int64_t kMaxServiceMs = 3'600'000;

HttpResponse MakeEcho(std::string body) {
  HttpResponse response;
  response.content_type = "application/octet-stream";
  response.body = std::move(body);
  return response;
}

}  // namespace

StandinTarget::StandinTarget(EventLoop& loop,
                             HttpServer& server,
                             const TargetBehaviour& behaviour,
                             uint64_t seed)
    : m_loop(loop), m_behaviour(behaviour), m_random(seed) {
  server.Route("POST", "/",
               [this](HttpRequest request, HttpServer::Responder responder) {
                 OnRequest(std::move(request), responder);
               });
  server.Route("POST", "/behaviour",
               [this](const HttpRequest& request,
                      const HttpServer::Responder& responder) {
                 SetBehaviour(request, responder);
               });
  server.Route("GET", "/executions",
               [this](const HttpRequest&, const HttpServer::Responder& caller) {
                 caller.Respond(MakeJsonResponse(Executions()));
               });
  server.Route("GET", "/healthz",
               [this](const HttpRequest&, const HttpServer::Responder& caller) {
                 // A frozen program does not answer health checks either.
                 if (!m_behaviour.is_frozen)
                   caller.Respond(MakeJsonResponse("{}"));
               });
}

void StandinTarget::OnRequest(HttpRequest request,
                              const HttpServer::Responder& responder) {
  ++m_executions;
  if (m_executions_by_body.size() < kMaxCountedBodies) {
    const uint64_t executions = ++m_executions_by_body[Checksum(request.body)];
    m_max_executions_per_body = std::max(m_max_executions_per_body, executions);
  }
  if (m_random.Fraction() < m_behaviour.failure_rate) {
    HttpResponse response = MakeEcho(std::move(request.body));
    response.status = 500;
    responder.Respond(std::move(response));
    return;
  }
  ++m_running;
  if (m_behaviour.is_frozen) {
    m_pending_requests.push_back({std::move(request.body), responder});
    return;
  }
  if (m_behaviour.service_time == Millis()) {
    SendResponse(std::move(request.body), responder);
    return;
  }
  m_loop.AddTimer(
      m_behaviour.service_time,
      [this, responder, body = std::move(request.body)]() mutable {
        if (m_behaviour.is_frozen)
          m_pending_requests.push_back({std::move(body), responder});
        else
          SendResponse(std::move(body), responder);
      });
}

void StandinTarget::SendResponse(std::string body,
                                 const HttpServer::Responder& responder) {
  --m_running;
  responder.Respond(MakeEcho(std::move(body)));
}

void StandinTarget::SetBehaviour(const HttpRequest& request,
                                 const HttpServer::Responder& responder) {
  const Result<nlohmann::json> document = ParseJson(request.body);
  if (!document)
    return responder.Respond(MakeErrorResponse(document.error()));
  FieldErrors errors;
  JsonReader reader(*document, "", errors);
  TargetBehaviour behaviour;
  behaviour.service_time = Millis(reader.Integer(
      "service_ms", 0, kMaxServiceMs, m_behaviour.service_time.count()));
  behaviour.failure_rate =
      static_cast<double>(reader.Integer(
          "failure_percent", 0, 100,
          static_cast<int64_t>(m_behaviour.failure_rate * 100))) /
      100;
  behaviour.is_frozen = reader.Boolean("frozen", m_behaviour.is_frozen);
  reader.Finish();
  if (!errors.empty())
    return responder.Respond(MakeErrorResponse(errors.ToError().value()));
  m_behaviour = behaviour;
  if (!m_behaviour.is_frozen) {
    for (PendingRequest& pending : std::exchange(m_pending_requests, {}))
      SendResponse(std::move(pending.body), pending.responder);
  }
  responder.Respond(MakeJsonResponse(Executions()));
}

std::string StandinTarget::Executions() const {
  return nlohmann::json({{"executions", m_executions},
                         {"running", m_running},
                         {"largest_repeat", m_max_executions_per_body}})
      .dump();
}

}  // namespace fulmarrock
