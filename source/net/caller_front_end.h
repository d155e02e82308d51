#ifndef SOURCE_NET_CALLER_FRONT_END_H_
#define SOURCE_NET_CALLER_FRONT_END_H_

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "source/base/clock.h"
#include "source/base/latency_histogram.h"
#include "source/entry/caller_sink.h"
#include "source/net/http_server.h"

namespace fulmarrock {

/// HTTP interface for callers: passes their requests to the entry role and
/// returns its replies. docs/interfaces/caller.md documents the headers and
/// statuses.
class CallerFrontEnd : public CallerSink {
 public:
  /// Passes a request to the entry role, which calls Reply() only after this
  /// function has returned.
  using Submit = std::function<RequestId(CallerRequest)>;

  CallerFrontEnd(const Clock& clock, HttpServer& server);

  /// Sets where requests go; must be called before the server starts.
  void SetSubmit(Submit submit) { m_submit = std::move(submit); }

  void Reply(RequestId id, CallerReply reply) override;

  /// Requests passed to the entry role that have no reply yet.
  size_t pending_count() const { return m_pending.size(); }

  /// Returns the latency of completed requests by class and the counts by
  /// outcome, in the text exposition format.
  std::string Metrics() const;

 private:
  struct PendingRequest {
    HttpServer::Responder responder;
    RequestClass request_class;
    Millis since;
  };

  void OnRequest(HttpRequest request, const HttpServer::Responder& responder);

  const Clock& m_clock;
  Submit m_submit;
  std::unordered_map<RequestId, PendingRequest> m_pending;
  std::map<RequestClass, LatencyHistogram> m_latency;
  std::map<Outcome, int64_t> m_outcomes;
};

/// Reads a caller's request from its HTTP form.
Result<CallerRequest> ParseCallerRequest(HttpRequest request);

}  // namespace fulmarrock

#endif  // SOURCE_NET_CALLER_FRONT_END_H_
