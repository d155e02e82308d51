#include "source/config/field_errors.h"

#include <utility>

namespace fulmarrock {

void FieldErrors::Add(std::string path,
                      std::string message,
                      std::string remedy) {
  m_errors.push_back({std::move(path), std::move(message), std::move(remedy)});
}

tl::unexpected<Error> FieldErrors::ToError() const {
  std::string text;
  for (const FieldError& error : m_errors) {
    if (!text.empty())
      text += '\n';
    text += error.path + ": " + error.message;
    if (!error.remedy.empty())
      text += "; " + error.remedy;
  }
  return MakeError(ErrorKind::kInvalidArgument, std::move(text),
                   "correct every field listed");
}

}  // namespace fulmarrock
