#include "source/net/diagnostics_front_end.h"

#include <map>

#include "source/net/json_response.h"

namespace fulmarrock {

DiagnosticsFrontEnd::DiagnosticsFrontEnd(HttpServer& server) {
  server.Route(
      "GET", "/dump",
      [this](const HttpRequest&, const HttpServer::Responder& responder) {
        responder.Respond(MakeJsonResponse(Dump()));
      });
  server.Route(
      "GET", "/metrics",
      [this](const HttpRequest&, const HttpServer::Responder& responder) {
        HttpResponse response;
        response.content_type = "text/plain; version=0.0.4";
        response.body = Metrics();
        responder.Respond(std::move(response));
      });
  server.Route(
      "GET", "/healthz",
      [this](const HttpRequest&, const HttpServer::Responder& responder) {
        HttpResponse response;
        response.status = m_is_stopping ? 503 : 200;
        response.body = m_is_stopping ? R"({"state":"stopping"})"
                                      : R"({"state":"running"})";
        responder.Respond(std::move(response));
      });
}

void DiagnosticsFrontEnd::AddState(std::string name,
                                   std::function<std::string()> dump) {
  m_states.emplace_back(std::move(name), std::move(dump));
}

void DiagnosticsFrontEnd::AddCounters(std::string part,
                                      const Counters& counters) {
  m_counters.emplace_back(std::move(part), &counters);
}

void DiagnosticsFrontEnd::AddMetrics(
    std::function<void(std::string& text)> append) {
  m_metrics.push_back(std::move(append));
}

std::string DiagnosticsFrontEnd::Dump() const {
  std::string json = "{";
  for (const auto& [name, dump] : m_states) {
    if (json.size() > 1)
      json += ",";
    json += "\"" + name + "\":" + dump();
  }
  return json + "}\n";
}

std::string DiagnosticsFrontEnd::Metrics() const {
  // The format wants all values of one name together.
  std::map<std::string, std::string> lines;
  for (const auto& [part, counters] : m_counters) {
    for (const auto& [name, value] : counters->values()) {
      lines[name] += "fulmarrock_" + name + "{part=\"" + part + "\"} " +
                     std::to_string(value) + "\n";
    }
  }
  std::string text;
  for (const auto& [name, values] : lines)
    text += values;
  for (const auto& append : m_metrics)
    append(text);
  return text;
}

}  // namespace fulmarrock
