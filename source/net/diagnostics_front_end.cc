#include "source/net/diagnostics_front_end.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <utility>

#include "source/net/json_response.h"

namespace fulmarrock {
namespace {

/// Joins metrics and groups their lines by metric name, as the text exposition
/// format requires; several parts may use the same counter name.
std::string GroupByName(const std::vector<std::string>& texts) {
  std::map<std::string, std::string> lines_by_name;
  for (const std::string& text : texts) {
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
      lines_by_name[line.substr(0, line.find('{'))] += line + "\n";
  }
  std::string joined;
  for (const auto& [name, lines] : lines_by_name)
    joined += lines;
  return joined;
}

}  // namespace

DiagnosticsFrontEnd::DiagnosticsFrontEnd(EventLoop& loop, HttpServer& server)
    : m_loop(loop) {
  using Respond = HttpServer::Responder;
  server.Route(
      "GET", "/dump", [this](const HttpRequest&, const Respond& responder) {
        CollectTexts(m_states, [this, responder](const auto& texts) {
          std::string json = "{";
          for (size_t i = 0; i < texts.size(); ++i) {
            json +=
                (i > 0 ? ",\"" : "\"") + m_states[i].name + "\":" + texts[i];
          }
          responder.Respond(MakeJsonResponse(json + "}\n"));
        });
      });
  server.Route("GET", "/metrics",
               [this](const HttpRequest&, const Respond& responder) {
                 CollectTexts(m_metrics, [responder](const auto& texts) {
                   HttpResponse response;
                   response.content_type = "text/plain; version=0.0.4";
                   response.body = GroupByName(texts);
                   responder.Respond(std::move(response));
                 });
               });
  server.Route("GET", "/healthz",
               [this](const HttpRequest&, const Respond& responder) {
                 HttpResponse response;
                 response.status = m_is_stopping || !IsReady() ? 503 : 200;
                 response.body = R"({"state":"running"})";
                 if (!IsReady())
                   response.body = R"({"state":"not ready"})";
                 if (m_is_stopping)
                   response.body = R"({"state":"stopping"})";
                 responder.Respond(std::move(response));
               });
}

void DiagnosticsFrontEnd::AddState(std::string name,
                                   EventLoop& loop,
                                   TextFunction dump) {
  m_states.push_back({std::move(name), &loop, std::move(dump)});
}

void DiagnosticsFrontEnd::AddMetrics(EventLoop& loop, TextFunction text) {
  m_metrics.push_back({"", &loop, std::move(text)});
}

void DiagnosticsFrontEnd::AddCounters(std::string part,
                                      EventLoop& loop,
                                      const Counters& counters) {
  AddCounters(std::move(part), loop, [&counters] { return &counters; });
}

void DiagnosticsFrontEnd::AddCounters(std::string part,
                                      EventLoop& loop,
                                      CountersFunction counters) {
  AddMetrics(loop, [part = std::move(part), read = std::move(counters)] {
    std::string text;
    const Counters* const current = read();
    if (!current)
      return text;
    for (const auto& [name, value] : current->values()) {
      text += "fulmarrock_" + name + "{part=\"" + part + "\"} " +
              std::to_string(value) + "\n";
    }
    return text;
  });
}

void DiagnosticsFrontEnd::AddReadiness(ReadyFunction is_ready) {
  m_readiness.push_back(std::move(is_ready));
}

bool DiagnosticsFrontEnd::IsReady() const {
  return std::all_of(m_readiness.begin(), m_readiness.end(),
                     [](const ReadyFunction& is_ready) { return is_ready(); });
}

void DiagnosticsFrontEnd::CollectTexts(const std::vector<Part>& parts,
                                       Finish finish) {
  auto collection = std::make_shared<PendingCollection>();
  collection->texts.resize(parts.size());
  collection->pending_count = parts.size();
  for (size_t i = 0; i < parts.size(); ++i) {
    const auto deliver = [collection, finish, i](std::string text) {
      collection->texts[i] = std::move(text);
      if (--collection->pending_count == 0)
        finish(collection->texts);
    };
    const Part& part = parts[i];
    if (part.loop == &m_loop) {
      deliver(part.text());
      continue;
    }
    part.loop->Post([&loop = m_loop, deliver, text = part.text] {
      loop.Post([deliver, result = text()] { deliver(result); });
    });
  }
}

}  // namespace fulmarrock
