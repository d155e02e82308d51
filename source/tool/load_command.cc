#include "source/tool/load_command.h"

#include <iomanip>
#include <ostream>

#include <nlohmann/json.hpp>

#include "source/tool/request_load.h"

namespace fulmarrock::tool {
namespace {

struct NamedQuantile {
  const char* name;
  double fraction;
};

constexpr NamedQuantile kQuantiles[] = {{"p50", 0.5},
                                        {"p90", 0.9},
                                        {"p99", 0.99},
                                        {"p99.9", 0.999},
                                        {"max", 1}};

void PrintText(const LoadReport& report, std::ostream& out) {
  out << report.sent << " requests";
  for (const auto& [outcome, count] : report.outcomes)
    out << ", " << count << ' ' << outcome;
  out << '\n';
  for (const NamedQuantile& quantile : kQuantiles) {
    out << std::left << std::setw(6) << quantile.name << std::fixed
        << std::setprecision(2) << report.latency.Quantile(quantile.fraction)
        << " ms\n";
  }
}

void PrintJson(const LoadReport& report, std::ostream& out) {
  nlohmann::json value = {{"sent", report.sent},
                          {"outcomes", report.outcomes},
                          {"latency_ms", nlohmann::json::object()}};
  for (const NamedQuantile& quantile : kQuantiles)
    value["latency_ms"][quantile.name] =
        report.latency.Quantile(quantile.fraction);
  out << value.dump(2) << '\n';
}

}  // namespace

void LoadCommand::AddOptions(po::options_description& options) const {
  options.add_options()("entry", po::value<std::string>()->required(),
                        "HTTP address of the entry, as ip:port")(
      "customer", po::value<std::string>()->required(),
      "customer the requests belong to")(
      "path", po::value<std::string>()->default_value(""),
      "path below the service")(
      "class", po::value<std::string>()->default_value("interactive"),
      "interactive, standard or background")(
      "rate", po::value<double>()->default_value(100),
      "mean requests per second")("duration-s",
                                  po::value<int64_t>()->default_value(10),
                                  "seconds to send for")(
      "deadline-ms", po::value<int64_t>()->default_value(10'000),
      "deadline of each request")("unsafe", po::bool_switch(),
                                  "mark the requests as not idempotent")(
      "body", po::value<std::string>()->default_value(""), "request body")(
      "seed", po::value<uint64_t>()->default_value(1),
      "seed of the arrival times");
}

ExitCode LoadCommand::Run(const CommandContext& context,
                          const po::variables_map& options) const {
  const Result<std::string> service = OneArgument(options);
  if (!service)
    return context.Fail(service.error());
  LoadOptions load;
  load.requests_per_second = options["rate"].as<double>();
  const int64_t seconds = options["duration-s"].as<int64_t>();
  const int64_t deadline_ms = options["deadline-ms"].as<int64_t>();
  if (load.requests_per_second <= 0 || load.requests_per_second > 1e6 ||
      seconds <= 0 || deadline_ms <= 0) {
    return context.Fail({ErrorKind::kInvalidArgument,
                         "rate, duration and deadline must be positive",
                         "use a rate of at most 1000000"});
  }
  load.duration = Millis::FromSeconds(seconds);
  // The entry replies by the deadline; the extra second is for the transfer.
  load.timeout = Millis(deadline_ms + 1000);
  load.seed = options["seed"].as<uint64_t>();
  load.body = options["body"].as<std::string>();
  load.url = "http://" + options["entry"].as<std::string>() + "/v1/requests/" +
             *service + "/" + options["path"].as<std::string>();
  load.headers = {
      "Fulmarrock-Customer: " + options["customer"].as<std::string>(),
      "Fulmarrock-Class: " + options["class"].as<std::string>(),
      "Fulmarrock-Deadline-Ms: " + std::to_string(deadline_ms),
      std::string("Fulmarrock-Idempotent: ") +
          (options["unsafe"].as<bool>() ? "false" : "true")};
  const LoadReport report = RequestLoad(load).Run();
  if (context.prints_json)
    PrintJson(report, context.out);
  else
    PrintText(report, context.out);
  return ExitCode::kSuccess;
}

}  // namespace fulmarrock::tool
