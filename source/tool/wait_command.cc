#include "source/tool/wait_command.h"

#include <chrono>
#include <ostream>
#include <thread>

#include <nlohmann/json.hpp>

#include "source/base/steady_clock.h"
#include "source/tool/job_text.h"

namespace fulmarrock::tool {
namespace {

constexpr std::chrono::milliseconds kPollInterval{200};

ExitCode ReportEnd(const CommandContext& context, const nlohmann::json& job) {
  if (context.prints_json)
    context.out << job.dump(2) << '\n';
  const bool is_complete = job.value("failed", uint64_t{0}) == 0 &&
                           job.value("cancelled", uint64_t{0}) == 0;
  return is_complete ? ExitCode::kSuccess : ExitCode::kFailed;
}

}  // namespace

void WaitCommand::AddOptions(po::options_description& options) const {
  options.add_options()("limit-s", po::value<int64_t>()->default_value(3600),
                        "seconds after which to stop waiting");
}

ExitCode WaitCommand::Run(const CommandContext& context,
                          const po::variables_map& options) const {
  const Result<std::string> argument = OneArgument(options);
  if (!argument)
    return context.Fail(argument.error());
  const Result<uint64_t> id = ParseJobId(*argument);
  if (!id)
    return context.Fail(id.error());
  const SteadyClock clock;
  const Millis deadline =
      clock.Now() + Millis::FromSeconds(options["limit-s"].as<int64_t>());
  std::string last_progress;
  while (true) {
    const Result<nlohmann::json> job =
        context.client.Get("/v1/jobs/" + std::to_string(*id));
    if (!job)
      return context.Fail(job.error());
    const std::string progress = FormatJobLine(*job);
    if (!context.prints_json && progress != last_progress)
      context.out << progress << std::endl;
    last_progress = progress;
    if (HasEnded(*job))
      return ReportEnd(context, *job);
    if (clock.Now() >= deadline) {
      return context.Fail({ErrorKind::kTimeout, "the job has not ended yet",
                           "wait again with a larger --limit-s"});
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace fulmarrock::tool
