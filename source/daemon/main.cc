#include <malloc.h>

#include <iostream>
#include <string>

#include <boost/program_options.hpp>

#include "source/config/settings.h"
#include "source/daemon/daemon.h"
#include "source/daemon/logging.h"

namespace po = boost::program_options;

namespace {

/// Allocations of this size go back to the system when they are freed. By
/// default the allocator raises the threshold with the largest block that was
/// freed, and then large request bodies fragment the heap.
constexpr int kMappedAllocationBytes = 256 * 1024;

int Fail(const fulmarrock::Error& error) {
  std::cerr << "fulmarrockd: " << error.Describe() << "\n";
  return 2;
}

}  // namespace

/// Exit codes: 0 after a complete graceful shutdown, 1 after a failure, 2 for
/// invalid options or settings.
int main(int argc, char** argv) {
  mallopt(M_MMAP_THRESHOLD, kMappedAllocationBytes);
  po::options_description options("fulmarrockd");
  options.add_options()("help", "print this help and exit")(
      "settings", po::value<std::string>(),
      "file with the settings, in JSON with comments")(
      "check", po::bool_switch(), "check the settings and exit");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
  } catch (const po::error& error) {
    std::cerr << "fulmarrockd: " << error.what() << "\n" << options;
    return 2;
  }
  if (values.count("help") != 0) {
    std::cout << options;
    return 0;
  }
  if (values.count("settings") == 0) {
    return Fail({fulmarrock::ErrorKind::kInvalidArgument,
                 "the settings file is missing", "give it with --settings"});
  }
  const auto text =
      fulmarrock::ReadTextFile(values["settings"].as<std::string>());
  if (!text)
    return Fail(text.error());
  const auto settings = fulmarrock::ParseSettings(*text);
  if (!settings)
    return Fail(settings.error());
  if (values["check"].as<bool>())
    return 0;
  const auto logging =
      fulmarrock::SetUpLogging(settings->log_file, settings->log_debug);
  if (!logging)
    return Fail(logging.error());
  return fulmarrock::Daemon(*settings, values["settings"].as<std::string>())
      .Run();
}
