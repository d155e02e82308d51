#ifndef SOURCE_NET_HTTP_TARGET_CLIENT_H_
#define SOURCE_NET_HTTP_TARGET_CLIENT_H_

#include <string>

#include "source/agent/target_client.h"
#include "source/base/counters.h"
#include "source/net/event_loop.h"
#include "source/net/http_client.h"

namespace fulmarrock {

/// Address, connections and timeouts for the target of the agent.
struct HttpTargetOptions {
  /// "ip:port".
  std::string address;
  unsigned connections = 64;
  Millis health_interval{500};
  Millis health_timeout{1'000};
  /// Time after a request's deadline at which its exchange is aborted; the
  /// agent frees the slot earlier.
  Millis hung_timeout{60'000};
};

/// Target client over HTTP/1.1. docs/interfaces/target.md documents what a
/// target must implement.
class HttpTargetClient : public TargetClient {
 public:
  HttpTargetClient(EventLoop& loop, HttpTargetOptions options);
  ~HttpTargetClient() override;

  void Submit(const TargetRequest& request, Done done) override;
  bool IsHealthy() const override { return m_is_healthy; }

  const Counters& counters() const { return m_counters; }

 private:
  void CheckHealth();
  void Finish(HttpClientResponse response, const Done& done);

  EventLoop& m_loop;
  const HttpTargetOptions m_options;
  Counters m_counters;
  HttpClient m_requests;
  // A client of its own, so that health checks do not wait for a connection
  // behind requests.
  HttpClient m_health;
  EventLoop::TimerId m_health_timer = 0;
  bool m_is_healthy = false;
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_HTTP_TARGET_CLIENT_H_
