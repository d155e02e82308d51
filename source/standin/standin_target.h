#ifndef SOURCE_STANDIN_STANDIN_TARGET_H_
#define SOURCE_STANDIN_STANDIN_TARGET_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "source/base/seeded_random.h"
#include "source/net/event_loop.h"
#include "source/net/http_server.h"

namespace fulmarrock {

/// How a stand-in target behaves.
struct TargetBehaviour {
  Millis service_time{10};
  /// Share of requests, from 0 to 1, answered with status 500 at once.
  double failure_rate = 0;
  /// Accepts requests but answers none until this is set to false.
  bool is_frozen = false;
};

/// Stand-in for a target: answers each request after the service time by
/// echoing its body. GET /executions returns the numbers of executions; POST
/// /behaviour changes the behaviour.
class StandinTarget {
 public:
  StandinTarget(EventLoop& loop,
                HttpServer& server,
                const TargetBehaviour& behaviour,
                uint64_t seed);

 private:
  struct PendingRequest {
    std::string body;
    HttpServer::Responder responder;
  };

  void OnRequest(HttpRequest request, const HttpServer::Responder& responder);
  void SendResponse(std::string body, const HttpServer::Responder& responder);
  void SetBehaviour(const HttpRequest& request,
                    const HttpServer::Responder& responder);
  std::string Executions() const;

  EventLoop& m_loop;
  TargetBehaviour m_behaviour;
  SeededRandom m_random;
  std::vector<PendingRequest> m_pending_requests;
  uint64_t m_executions = 0;
  uint64_t m_running = 0;
  // By checksum of the request body, to detect requests that ran twice.
  std::unordered_map<uint64_t, uint64_t> m_executions_by_body;
  uint64_t m_max_executions_per_body = 0;
};

}  // namespace fulmarrock

#endif  // SOURCE_STANDIN_STANDIN_TARGET_H_
