#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace mustardrouter
{

/// Severity of a log line.
enum class log_level { debug, info, warning, error };

/// A named value of a structured log line.
struct log_field {
    std::string_view name;
    std::string value;
};

/// Sets the minimum level: "debug", "info", "warning" or "error"; false for any other text.
bool setLogLevel(std::string_view level);

/// Writes one line: timestamp, level, component, message, then name=value pairs.
void writeLog(log_level level, const char *component, std::string_view message, std::initializer_list<log_field> fields = {});

} // namespace mustardrouter
