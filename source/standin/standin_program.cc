#include "source/standin/standin_program.h"

#include <cstdint>
#include <iostream>
#include <string>

#include <boost/program_options.hpp>

#include "source/net/signal_watcher.h"

namespace fulmarrock {

namespace po = boost::program_options;

int RunStandin(
    int argc,
    char** argv,
    po::options_description options,
    const std::function<
        void(EventLoop&, HttpServer&, const po::variables_map&)>& setup) {
  options.add_options()("help", "print this help and exit")(
      "listen", po::value<std::string>()->default_value("127.0.0.1:0"),
      "address to serve on, as ip:port; port 0 lets the system choose")(
      "seed", po::value<uint64_t>()->default_value(1),
      "seed of random decisions");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << options;
    return 2;
  }
  if (values.count("help") != 0) {
    std::cout << options;
    return 0;
  }
  EventLoop loop;
  SignalWatcher signals(
      loop, [&loop] { loop.Stop(); }, [] {});
  HttpServerOptions server_options;
  server_options.address = values["listen"].as<std::string>();
  server_options.max_body_bytes = size_t{8} << 20;
  HttpServer server(loop, server_options);
  setup(loop, server, values);
  const Result<void> started = server.Start();
  if (!started) {
    std::cerr << started.error().Describe() << "\n";
    return 1;
  }
  std::cout << "listening on " << server.address() << std::endl;
  loop.Run();
  server.Stop();
  return 0;
}

}  // namespace fulmarrock
