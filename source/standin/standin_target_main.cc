#include <memory>

#include <boost/program_options.hpp>

#include "source/standin/standin_program.h"
#include "source/standin/standin_target.h"

namespace po = boost::program_options;

/// Serves a stand-in target.
int main(int argc, char** argv) {
  po::options_description options("standin-target");
  options.add_options()("service-ms", po::value<int64_t>()->default_value(10),
                        "time from request to response")(
      "failure-percent", po::value<int>()->default_value(0),
      "share of requests answered with status 500");
  std::unique_ptr<fulmarrock::StandinTarget> target;
  return fulmarrock::RunStandin(
      argc, argv, options,
      [&target](fulmarrock::EventLoop& loop, fulmarrock::HttpServer& server,
                const po::variables_map& values) {
        fulmarrock::TargetBehaviour behaviour;
        behaviour.service_time =
            fulmarrock::Millis(values["service-ms"].as<int64_t>());
        behaviour.failure_rate = values["failure-percent"].as<int>() / 100.0;
        target = std::make_unique<fulmarrock::StandinTarget>(
            loop, server, behaviour, values["seed"].as<uint64_t>());
      });
}
