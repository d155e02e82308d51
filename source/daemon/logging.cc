#include "source/daemon/logging.h"

#include <easylogging++.h>

#include <cstdio>
#include <fstream>

INITIALIZE_EASYLOGGINGPP

namespace fulmarrock {
namespace {

/// Writes log lines to standard error; easylogging itself writes only to
/// standard output and files.
class StandardErrorDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const std::string line = data->logMessage()->logger()->logBuilder()->build(
        data->logMessage(), true);
    std::fputs(line.c_str(), stderr);
  }
};

}  // namespace

Result<void> SetUpLogging(const std::string& file, bool log_debug) {
  if (!file.empty() && !std::ofstream(file, std::ios::app)) {
    return MakeError(ErrorKind::kIo,
                     "cannot write the log file \"" + file + "\"",
                     "create its folder, or remove log.file from the settings");
  }
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  configuration.setGlobally(el::ConfigurationType::ToFile,
                            file.empty() ? "false" : "true");
  if (!file.empty())
    configuration.setGlobally(el::ConfigurationType::Filename, file);
  configuration.set(el::Level::Debug, el::ConfigurationType::Enabled,
                    log_debug ? "true" : "false");
  el::Loggers::reconfigureAllLoggers(configuration);
  if (file.empty()) {
    el::Helpers::installLogDispatchCallback<StandardErrorDispatch>(
        "StandardErrorDispatch");
  }
  return {};
}

}  // namespace fulmarrock
