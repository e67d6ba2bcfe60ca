#pragma once

#include <string>

namespace mustardrouter::bench
{

/// Replaces the text between "<!-- name -->" and "<!-- end name -->" in a page; false when the page
/// lacks the marks or cannot be written.
bool replaceSection(const std::string &file, const std::string &name, const std::string &text);

} // namespace mustardrouter::bench
