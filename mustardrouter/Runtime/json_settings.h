#pragma once

#include "mustardrouter/Runtime/error.h"

#include <google/protobuf/message.h>

#include <string>

namespace mustardrouter
{

/// Reads a file as the JSON form of `message`. Unknown fields and invalid values are rejected with
/// failure::invalidSettings; the error names the file and contains the parser's message.
result_of<void> readJsonFile(const std::string &path, google::protobuf::Message &message);

/// Parses JSON text; errors name it as `source`.
result_of<void> readJson(const std::string &text, const std::string &source, google::protobuf::Message &message);

/// Writes the JSON form with proto field names in lowerCamelCase, on one line unless `indented`.
std::string writeJson(const google::protobuf::Message &message, bool indented = false);

/// Reads a whole file; failure::ioError when it cannot be opened or read.
result_of<std::string> readFile(const std::string &path);

} // namespace mustardrouter
