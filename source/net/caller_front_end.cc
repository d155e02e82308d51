#include "source/net/caller_front_end.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <string_view>
#include <utility>

#include "source/net/exposition.h"
#include "source/net/json_response.h"

namespace fulmarrock {
namespace {

constexpr std::string_view kPrefix = "/v1/requests/";
constexpr size_t kMaxNameBytes = 256;
constexpr int64_t kMaxDeadlineMs = 600'000;

std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kOutcomeUnknown:
      return "outcome_unknown";
    case Outcome::kRefused:
      return "refused";
  }
  return "outcome_unknown";
}

std::string_view ToString(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kInteractive:
      return "interactive";
    case RequestClass::kStandard:
      return "standard";
    case RequestClass::kBackground:
      return "background";
  }
  return "standard";
}

Error BadHeader(std::string_view name, std::string remedy) {
  return {ErrorKind::kInvalidArgument,
          "the header " + std::string(name) + " is missing or invalid",
          std::move(remedy)};
}

Result<std::string> ReadName(const HttpRequest& request,
                             std::string_view header,
                             bool is_required) {
  const std::string_view value = request.Header(header);
  if (value.size() > kMaxNameBytes || (is_required && value.empty())) {
    return tl::make_unexpected(
        BadHeader(header, "send a text of 1 to 256 bytes"));
  }
  return std::string(value);
}

Result<RequestClass> ReadClass(const HttpRequest& request) {
  const std::string_view value = request.Header("fulmarrock-class");
  if (value.empty())
    return RequestClass::kInteractive;
  for (const RequestClass candidate :
       {RequestClass::kInteractive, RequestClass::kStandard,
        RequestClass::kBackground}) {
    if (value == ToString(candidate))
      return candidate;
  }
  return tl::make_unexpected(BadHeader(
      "fulmarrock-class", "send interactive, standard or background"));
}

Result<Millis> ReadDeadline(const HttpRequest& request) {
  const std::string_view value = request.Header("fulmarrock-deadline-ms");
  if (value.empty())
    return CallerRequest{}.deadline;
  int64_t count = 0;
  const char* end = value.data() + value.size();
  const auto parsed = std::from_chars(value.data(), end, count);
  if (parsed.ec != std::errc() || parsed.ptr != end || count < 1 ||
      count > kMaxDeadlineMs) {
    return tl::make_unexpected(
        BadHeader("fulmarrock-deadline-ms",
                  "send a whole number of milliseconds from 1 to 600000"));
  }
  return Millis(count);
}

Result<bool> ReadIdempotent(const HttpRequest& request) {
  const std::string_view value = request.Header("fulmarrock-idempotent");
  // Without the header the request is never sent to a second target.
  if (value.empty() || value == "false")
    return false;
  if (value == "true")
    return true;
  return tl::make_unexpected(
      BadHeader("fulmarrock-idempotent", "send true or false"));
}

HttpResponse MakeRefusal(const Error& error) {
  HttpResponse response = MakeErrorResponse(error);
  response.headers.emplace_back("Fulmarrock-Outcome", "refused");
  response.headers.emplace_back("Fulmarrock-Reason", error.Describe());
  return response;
}

int StatusOf(const CallerReply& reply) {
  switch (reply.outcome) {
    case Outcome::kAnswered:
      return reply.status >= 200 && reply.status <= 599 ? reply.status : 502;
    case Outcome::kNotRun:
      return 503;
    case Outcome::kOutcomeUnknown:
      return 504;
    case Outcome::kRefused:
      return 422;
  }
  return 504;
}

}  // namespace

Result<CallerRequest> ParseCallerRequest(HttpRequest request) {
  CallerRequest parsed;
  if (!request.target.starts_with(kPrefix)) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "the path prefix /v1/requests/ is percent-encoded",
                     "send POST /v1/requests/SERVICE/PATH");
  }
  // The target receives the rest of the path and the query exactly as sent.
  const std::string_view rest =
      std::string_view(request.target).substr(kPrefix.size());
  const size_t end = std::min(rest.find_first_of("/?"), rest.size());
  parsed.service = rest.substr(0, end);
  parsed.path = rest.substr(end);
  if (!parsed.path.starts_with('/'))
    parsed.path.insert(0, "/");
  if (parsed.service.empty() || parsed.service.size() > kMaxNameBytes) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "the path contains no valid service name",
                     "send POST /v1/requests/SERVICE/PATH");
  }
  auto customer = ReadName(request, "fulmarrock-customer", true);
  auto key = ReadName(request, "fulmarrock-key", false);
  auto affinity = ReadName(request, "fulmarrock-affinity", false);
  for (const auto* name : {&customer, &key, &affinity}) {
    if (!*name)
      return tl::make_unexpected(name->error());
  }
  const Result<RequestClass> request_class = ReadClass(request);
  if (!request_class)
    return tl::make_unexpected(request_class.error());
  const Result<Millis> deadline = ReadDeadline(request);
  if (!deadline)
    return tl::make_unexpected(deadline.error());
  const Result<bool> is_idempotent = ReadIdempotent(request);
  if (!is_idempotent)
    return tl::make_unexpected(is_idempotent.error());
  parsed.customer = std::move(*customer);
  parsed.key = std::move(*key);
  parsed.affinity = std::move(*affinity);
  parsed.request_class = *request_class;
  parsed.deadline = *deadline;
  parsed.is_idempotent = *is_idempotent;
  parsed.body = std::move(request.body);
  return parsed;
}

CallerFrontEnd::CallerFrontEnd(const Clock& clock, HttpServer& server)
    : m_clock(clock) {
  server.Route("POST", std::string(kPrefix),
               [this](HttpRequest request, HttpServer::Responder responder) {
                 OnRequest(std::move(request), responder);
               });
}

void CallerFrontEnd::OnRequest(HttpRequest request,
                               const HttpServer::Responder& responder) {
  Result<CallerRequest> parsed = ParseCallerRequest(std::move(request));
  if (!parsed) {
    ++m_outcomes[Outcome::kRefused];
    responder.Respond(MakeRefusal(parsed.error()));
    return;
  }
  const PendingRequest pending{responder, parsed->request_class, m_clock.Now()};
  m_pending.emplace(m_submit(std::move(*parsed)), pending);
}

void CallerFrontEnd::Reply(RequestId id, CallerReply reply) {
  auto node = m_pending.extract(id);
  if (node.empty())
    return;
  const PendingRequest& pending = node.mapped();
  ++m_outcomes[reply.outcome];
  m_latency[pending.request_class].Add(
      static_cast<double>((m_clock.Now() - pending.since).count()));
  HttpResponse response;
  response.status = StatusOf(reply);
  response.content_type = "application/octet-stream";
  response.body = std::move(reply.body);
  response.headers.emplace_back("Fulmarrock-Outcome",
                                std::string(ToString(reply.outcome)));
  response.headers.emplace_back("Fulmarrock-Request-Id",
                                fulmarrock::ToString(id));
  if (reply.outcome != Outcome::kAnswered) {
    response.content_type = "text/plain";
    response.body = reply.reason + "\n";
    response.headers.emplace_back("Fulmarrock-Reason", std::move(reply.reason));
  }
  pending.responder.Respond(std::move(response));
}

std::string CallerFrontEnd::Metrics() const {
  std::string text;
  for (const auto& [outcome, count] : m_outcomes) {
    text += "fulmarrock_caller_replies{outcome=\"" +
            std::string(ToString(outcome)) + "\"} " + std::to_string(count) +
            "\n";
  }
  for (const auto& [request_class, histogram] : m_latency) {
    AppendHistogramText(
        "fulmarrock_request_latency_ms",
        "class=\"" + std::string(ToString(request_class)) + "\"", histogram,
        text);
  }
  return text;
}

}  // namespace fulmarrock
