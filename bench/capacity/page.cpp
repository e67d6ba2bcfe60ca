#include "bench/capacity/page.h"

#include <fstream>
#include <iterator>

namespace mustardrouter::bench
{

bool replaceSection(const std::string &file, const std::string &name, const std::string &text)
{
    std::ifstream in(file);
    std::string page{std::istreambuf_iterator<char>(in), {}};
    const std::string from = "<!-- " + name + " -->\n";
    const std::string to = "<!-- end " + name + " -->";
    const std::size_t begin = page.find(from);
    const std::size_t end = page.find(to);
    if (begin == std::string::npos || end == std::string::npos) {
        return false;
    }
    page.replace(begin + from.size(), end - begin - from.size(), text);
    std::ofstream out(file);
    out << page;
    return static_cast<bool>(out);
}

} // namespace mustardrouter::bench
