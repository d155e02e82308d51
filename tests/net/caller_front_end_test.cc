#include "source/net/caller_front_end.h"

#include <map>

#include <catch2/catch.hpp>

#include "source/net/diagnostics_front_end.h"
#include "tests/net/net_fixture.h"

namespace fulmarrock::test {
namespace {

/// An HTTP server with the front ends for callers and diagnostics; the test
/// acts as the entry role.
class FrontEnd {
 public:
  FrontEnd() {
    m_thread.RunAndWait([this] {
      HttpServerOptions options;
      options.address = "127.0.0.1:0";
      options.max_body_bytes = 1000;
      m_server.emplace(m_thread.loop(), options);
      m_callers.emplace(m_thread.loop().clock(), *m_server);
      m_diagnostics.emplace(m_thread.loop(), *m_server);
      m_diagnostics->AddMetrics(m_thread.loop(),
                                [this] { return m_callers->Metrics(); });
      m_diagnostics->AddCounters("http", m_thread.loop(), m_server->counters());
      m_callers->SetSubmit([this](const CallerRequest& request) {
        const RequestId id{9, ++m_sequence};
        submitted.Put({id, request});
        return id;
      });
      REQUIRE(m_server->Start());
    });
  }
  ~FrontEnd() {
    m_thread.RunAndWait([this] { m_server.reset(); });
  }

  std::string Url(const std::string& path) {
    return "http://" + m_server->address() + path;
  }
  void Reply(RequestId id, const CallerReply& reply) {
    m_thread.loop().Post([this, id, reply] { m_callers->Reply(id, reply); });
  }

  Mailbox<std::pair<RequestId, CallerRequest>> submitted;

 private:
  LoopThread m_thread;
  uint64_t m_sequence = 0;
  std::optional<HttpServer> m_server;
  std::optional<CallerFrontEnd> m_callers;
  std::optional<DiagnosticsFrontEnd> m_diagnostics;
};

HttpClientRequest MakePost(const std::string& url) {
  HttpClientRequest request;
  request.method = "POST";
  request.url = url;
  request.headers = {{"Fulmarrock-Customer", "north"},
                     {"Fulmarrock-Deadline-Ms", "250"},
                     {"Fulmarrock-Idempotent", "true"},
                     {"Fulmarrock-Key", "k1"}};
  request.body = "hello";
  return request;
}

HttpClientRequest MakeGet(const std::string& url) {
  HttpClientRequest request;
  request.url = url;
  return request;
}

// Guards against a status that contradicts the outcome, such as one for "did
// not run" when the request may have run.
TEST_CASE("each outcome maps to its own HTTP status") {
  FrontEnd front;
  const auto [outcome, reply_status, status] =
      GENERATE(table<Outcome, int, int>({{Outcome::kAnswered, 207, 207},
                                         {Outcome::kNotRun, 0, 503},
                                         {Outcome::kOutcomeUnknown, 0, 504},
                                         {Outcome::kRefused, 0, 422}}));
  LoopThread caller;
  std::optional<HttpClient> client;
  Mailbox<HttpClientResponse> responses;
  caller.RunAndWait([&] {
    client.emplace(caller.loop(), 4);
    client->Send(MakePost(front.Url("/v1/requests/wall/a/b")),
                 [&](HttpClientResponse response) { responses.Put(response); });
  });
  const auto submitted = front.submitted.Take();
  REQUIRE(submitted.has_value());
  const CallerRequest& request = submitted->second;
  CHECK(request.customer == "north");
  CHECK(request.service == "wall");
  CHECK(request.path == "/a/b");
  CHECK(request.deadline == Millis(250));
  CHECK(request.is_idempotent);
  CHECK(request.key == "k1");
  CHECK(request.body == "hello");
  front.Reply(submitted->first, {outcome, reply_status, "body", "why\nnot"});
  const auto response = responses.Take();
  REQUIRE(response.has_value());
  CHECK(response->kind == HttpClientResponse::Kind::kAnswered);
  CHECK(response->status == status);
  CHECK(response->body ==
        (outcome == Outcome::kAnswered ? "body" : "why\nnot\n"));
  caller.RunAndWait([&] { client.reset(); });
}

// Guards against a caller that receives the response of another when the entry
// role replies in another order than it received the requests.
TEST_CASE("replies in reverse order reach their own callers") {
  constexpr size_t kCount = 50;
  FrontEnd front;
  LoopThread caller;
  std::optional<HttpClient> client;
  Mailbox<std::pair<size_t, std::string>> responses;
  caller.RunAndWait([&] {
    client.emplace(caller.loop(), 64);
    for (size_t i = 0; i < kCount; ++i) {
      HttpClientRequest request = MakePost(front.Url("/v1/requests/wall/"));
      request.body = std::to_string(i);
      client->Send(request,
                   [&responses, i](const HttpClientResponse& response) {
                     responses.Put({i, response.body});
                   });
    }
  });
  std::vector<std::pair<RequestId, CallerRequest>> submitted;
  while (submitted.size() < kCount) {
    const auto next = front.submitted.Take();
    REQUIRE(next.has_value());
    submitted.push_back(*next);
  }
  for (auto it = submitted.rbegin(); it != submitted.rend(); ++it) {
    front.Reply(it->first, {Outcome::kAnswered, 200, it->second.body, ""});
    const auto response = responses.Take();
    REQUIRE(response.has_value());
    CHECK(std::to_string(response->first) == response->second);
  }
  CHECK(Fetch(MakeGet(front.Url("/metrics")))
            .body.find("fulmarrock_request_latency_ms_count{class="
                       "\"interactive\"} 50") != std::string::npos);
  caller.RunAndWait([&] { client.reset(); });
}

// Guards against malformed requests that reach the entry role, or whose error
// response does not tell the caller how to correct them.
TEST_CASE("a malformed request is refused with a remedy") {
  FrontEnd front;
  HttpClientRequest request = MakePost(front.Url("/v1/requests/wall/"));
  int expected = 400;
  SECTION("no customer") {
    request.headers.erase(request.headers.begin());
  }
  SECTION("a deadline that is no number") {
    request.headers[1].second = "250ms";
  }
  SECTION("an unknown class") {
    request.headers.emplace_back("Fulmarrock-Class", "vip");
  }
  SECTION("no service") {
    request.url = front.Url("/v1/requests/");
  }
  SECTION("a body above the limit") {
    request.body = std::string(1001, 'x');
    expected = 413;
  }
  SECTION("an unknown path") {
    request.url = front.Url("/v2/requests/wall/");
    expected = 404;
  }
  const HttpClientResponse response = Fetch(request);
  CHECK(response.status == expected);
  CHECK(response.body.find("remedy") != std::string::npos);
}

}  // namespace
}  // namespace fulmarrock::test
