#include <memory>

#include <boost/program_options.hpp>

#include "source/base/seeded_random.h"
#include "source/standin/standin_program.h"
#include "source/standin/standin_worker.h"

namespace po = boost::program_options;

/// Serves a stand-in worker.
int main(int argc, char** argv) {
  std::unique_ptr<fulmarrock::StandinWorker> worker;
  auto random = fulmarrock::SeededRandom::FromSystemEntropy();
  return fulmarrock::RunStandin(
      argc, argv, po::options_description("standin-worker"),
      [&](fulmarrock::EventLoop& loop, fulmarrock::HttpServer& server,
          const po::variables_map&) {
        worker =
            std::make_unique<fulmarrock::StandinWorker>(loop, server, random);
      });
}
