#include "bench/capacity/series.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace mustardrouter::bench
{

namespace
{

constexpr double pictureWidth = 420;
constexpr double pictureHeight = 240;
constexpr double margin = 46;

struct scale {
    double largestSize = 1;
    double largestValue = 1;

    double x(double size) const
    {
        return margin + size / largestSize * (pictureWidth - 2 * margin);
    }
    double y(double value) const
    {
        return pictureHeight - margin - value / largestValue * (pictureHeight - 2 * margin);
    }
};

std::string shortNumber(double value)
{
    std::ostringstream text;
    text.precision(4);
    text << value;
    return text.str();
}

} // namespace

line_fit fitLine(const std::vector<sample> &samples)
{
    const auto count = static_cast<double>(samples.size());
    double sizes = 0;
    double values = 0;
    for (const sample &item : samples) {
        sizes += item.size / count;
        values += item.value / count;
    }
    double above = 0;
    double below = 0;
    for (const sample &item : samples) {
        above += (item.size - sizes) * (item.value - values);
        below += (item.size - sizes) * (item.size - sizes);
    }
    line_fit fit;
    fit.slope = below > 0 ? above / below : 0;
    fit.intercept = values - fit.slope * sizes;
    double squares = 0;
    for (const sample &item : samples) {
        const double distance = item.value - valueAt(fit, item.size);
        squares += distance * distance / count;
    }
    fit.residual = values != 0 ? std::sqrt(squares) / std::abs(values) : 0;
    return fit;
}

double valueAt(const line_fit &fit, double size)
{
    return fit.intercept + fit.slope * size;
}

std::string toSvg(const series &what, const line_fit &fit)
{
    scale shown;
    for (const sample &item : what.samples) {
        shown.largestSize = std::max(shown.largestSize, item.size);
        shown.largestValue = std::max({shown.largestValue, item.value, valueAt(fit, item.size)});
    }
    const double bottom = pictureHeight - margin;
    const double right = pictureWidth - margin;
    std::ostringstream svg;
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << pictureWidth << "\" height=\"" << pictureHeight
        << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << "<text x=\"" << margin << "\" y=\"18\">" << what.name << ", " << what.unit << "</text>\n"
        << "<path d=\"M" << margin << ' ' << margin << " V" << bottom << " H" << right << "\" fill=\"none\" stroke=\"black\"/>\n"
        << "<text x=\"" << right << "\" y=\"" << bottom + 26 << "\" text-anchor=\"end\">" << what.dimension << "</text>\n"
        << "<text x=\"" << right << "\" y=\"" << bottom + 13 << "\" text-anchor=\"end\">" << shortNumber(shown.largestSize) << "</text>\n"
        << "<text x=\"" << margin - 4 << "\" y=\"" << margin << "\" text-anchor=\"end\">" << shortNumber(shown.largestValue) << "</text>\n"
        << "<path d=\"M" << shown.x(0) << ' ' << shown.y(std::max(0.0, fit.intercept)) << " L" << shown.x(shown.largestSize) << ' '
        << shown.y(valueAt(fit, shown.largestSize)) << "\" stroke=\"#888\"/>\n";
    for (const sample &item : what.samples) {
        svg << "<circle cx=\"" << shown.x(item.size) << "\" cy=\"" << shown.y(item.value) << "\" r=\"3\" fill=\"#b8860b\"/>\n";
    }
    svg << "</svg>\n";
    return svg.str();
}

} // namespace mustardrouter::bench
