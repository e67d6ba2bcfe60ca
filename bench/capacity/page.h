#pragma once

#include <string>

namespace mustardrouter::bench
{

/// Replaces the text between "<!-- name -->" and "<!-- end name -->" in a file. Returns false if the markers are missing
/// or the file cannot be written.
bool replaceSection(const std::string &file, const std::string &name, const std::string &text);

} // namespace mustardrouter::bench
