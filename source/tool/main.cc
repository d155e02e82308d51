#include <curl/curl.h>

#include <iostream>
#include <string>
#include <vector>

#include "source/tool/command_line.h"

int main(int argc, char** argv) {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  fulmarrock::tool::CommandLine command_line(std::cout, std::cerr);
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const auto code = command_line.Run(arguments);
  curl_global_cleanup();
  return static_cast<int>(code);
}
