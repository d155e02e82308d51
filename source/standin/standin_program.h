#ifndef SOURCE_STANDIN_STANDIN_PROGRAM_H_
#define SOURCE_STANDIN_STANDIN_PROGRAM_H_

#include <functional>

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include "source/net/event_loop.h"
#include "source/net/http_server.h"

namespace fulmarrock {

/// Runs a stand-in, a test program that takes the place of a target or worker:
/// reads the options (with --listen, --seed and --help added), starts an HTTP
/// server with the routes that `setup` adds, prints the address and serves
/// until SIGTERM or SIGINT. Returns the exit code of the program.
int RunStandin(
    int argc,
    char** argv,
    boost::program_options::options_description options,
    const std::function<void(EventLoop&,
                             HttpServer&,
                             const boost::program_options::variables_map&)>&
        setup);

}  // namespace fulmarrock

#endif  // SOURCE_STANDIN_STANDIN_PROGRAM_H_
