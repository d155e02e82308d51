#ifndef SOURCE_CONFIG_CONFIGURATION_JSON_H_
#define SOURCE_CONFIG_CONFIGURATION_JSON_H_

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "source/base/error.h"
#include "source/message/configuration.h"
#include "source/message/task_messages.h"

namespace fulmarrock {

/// Reads the configuration from a JSON object with the fields "plans" and
/// "customers". All wrong fields are reported in one kInvalidArgument error.
Result<Configuration> ConfigurationFromJson(const nlohmann::json& value);

/// Checks names, references and amounts, also of a configuration that did not
/// come from JSON.
Result<void> ValidateConfiguration(const Configuration& configuration);

nlohmann::json ConfigurationToJson(const Configuration& configuration);

/// Reads a job from JSON. All wrong fields are reported in one error.
Result<JobSpec> JobSpecFromJson(const nlohmann::json& value);
nlohmann::json JobSpecToJson(const JobSpec& spec);

/// Checks a job, also one that did not come from JSON.
Result<void> ValidateJobSpec(const JobSpec& spec);

/// Returns the name of a kind in JSON: "batch", "kernel" or "service".
std::string_view TaskKindName(TaskKind kind);

}  // namespace fulmarrock

#endif  // SOURCE_CONFIG_CONFIGURATION_JSON_H_
