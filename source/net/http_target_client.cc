#include "source/net/http_target_client.h"

#include <algorithm>
#include <utility>

namespace fulmarrock {

HttpTargetClient::HttpTargetClient(EventLoop& loop, HttpTargetOptions options)
    : m_loop(loop),
      m_options(std::move(options)),
      m_requests(loop,
                 m_options.connections > 1 ? m_options.connections - 1 : 1),
      m_health(loop, 1) {
  CheckHealth();
}

HttpTargetClient::~HttpTargetClient() {
  m_loop.CancelTimer(m_health_timer);
}

void HttpTargetClient::Submit(const TargetRequest& request, Done done) {
  HttpClientRequest http;
  http.method = "POST";
  http.url = "http://" + m_options.address +
             (request.path.starts_with('/') ? "" : "/") + request.path;
  http.headers = {
      {"Fulmarrock-Request-Id", ToString(request.id)},
      {"Fulmarrock-Customer", request.customer},
      {"Fulmarrock-Deadline-Ms",
       std::to_string(std::max<int64_t>(request.remaining.count(), 0))},
      {"Content-Type", "application/octet-stream"}};
  http.body = request.body;
  http.timeout =
      std::max(request.remaining, Millis(0)) + m_options.hung_timeout;
  m_requests.Send(std::move(http),
                  [this, done = std::move(done)](HttpClientResponse response) {
                    Finish(std::move(response), done);
                  });
}

void HttpTargetClient::Finish(HttpClientResponse response, const Done& done) {
  TargetResponse result;
  switch (response.kind) {
    case HttpClientResponse::Kind::kAnswered:
      result.kind = TargetResponse::Kind::kAnswered;
      result.status = response.status;
      result.body = std::move(response.body);
      m_counters.Add("target_answered");
      break;
    case HttpClientResponse::Kind::kNotSent:
      result.kind = TargetResponse::Kind::kNotStarted;
      m_counters.Add("target_not_started");
      break;
    case HttpClientResponse::Kind::kLost:
      result.kind = TargetResponse::Kind::kLost;
      m_counters.Add("target_lost");
      break;
  }
  done(std::move(result));
}

void HttpTargetClient::CheckHealth() {
  HttpClientRequest request;
  request.url = "http://" + m_options.address + "/healthz";
  request.timeout = m_options.health_timeout;
  request.max_response_bytes = 64 * 1024;
  m_health.Send(std::move(request), [this](const HttpClientResponse& response) {
    m_is_healthy = response.kind == HttpClientResponse::Kind::kAnswered &&
                   response.status >= 200 && response.status < 300;
    if (!m_is_healthy)
      m_counters.Add("target_failed_health_checks");
    m_health_timer =
        m_loop.AddTimer(m_options.health_interval, [this] { CheckHealth(); });
  });
}

}  // namespace fulmarrock
