#include "source/tool/command.h"

#include <ostream>
#include <vector>

#include <nlohmann/json.hpp>

namespace fulmarrock::tool {

ExitCode CommandContext::Fail(const Error& error) const {
  if (prints_json) {
    const nlohmann::json value = {{"error",
                                   {{"kind", ToString(error.kind)},
                                    {"message", error.message},
                                    {"remedy", error.remedy}}}};
    out << value.dump(2) << '\n';
  } else {
    err << "fulmarrock: " << error.Describe() << '\n';
  }
  return ExitCodeOf(error);
}

void Command::AddOptions(po::options_description&) const {}

Result<std::string> Command::OneArgument(
    const po::variables_map& options) const {
  if (options.count("argument") != 0) {
    const auto& values = options["argument"].as<std::vector<std::string>>();
    if (values.size() == 1)
      return values[0];
  }
  return MakeError(
      ErrorKind::kInvalidArgument,
      std::string(Name()) + " takes exactly one " + std::string(ArgumentName()),
      "see 'fulmarrock help " + std::string(Name()) + "'");
}

}  // namespace fulmarrock::tool
