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
    double meanSize = 0;
    double meanValue = 0;
    for (const sample &item : samples) {
        meanSize += item.size / count;
        meanValue += item.value / count;
    }
    double covariance = 0;
    double variance = 0;
    for (const sample &item : samples) {
        covariance += (item.size - meanSize) * (item.value - meanValue);
        variance += (item.size - meanSize) * (item.size - meanSize);
    }
    line_fit fit;
    fit.slope = variance > 0 ? covariance / variance : 0;
    fit.intercept = meanValue - fit.slope * meanSize;
    double meanSquare = 0;
    for (const sample &item : samples) {
        const double distance = item.value - valueAt(fit, item.size);
        meanSquare += distance * distance / count;
    }
    fit.residual = meanValue != 0 ? std::sqrt(meanSquare) / std::abs(meanValue) : 0;
    return fit;
}

double valueAt(const line_fit &fit, double size)
{
    return fit.intercept + fit.slope * size;
}

std::string toSvg(const series &what, const line_fit &fit)
{
    scale axes;
    for (const sample &item : what.samples) {
        axes.largestSize = std::max(axes.largestSize, item.size);
        axes.largestValue = std::max({axes.largestValue, item.value, valueAt(fit, item.size)});
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
        << "<text x=\"" << right << "\" y=\"" << bottom + 13 << "\" text-anchor=\"end\">" << shortNumber(axes.largestSize) << "</text>\n"
        << "<text x=\"" << margin - 4 << "\" y=\"" << margin << "\" text-anchor=\"end\">" << shortNumber(axes.largestValue) << "</text>\n"
        << "<path d=\"M" << axes.x(0) << ' ' << axes.y(std::max(0.0, fit.intercept)) << " L" << axes.x(axes.largestSize) << ' '
        << axes.y(valueAt(fit, axes.largestSize)) << "\" stroke=\"#888\"/>\n";
    for (const sample &item : what.samples) {
        svg << "<circle cx=\"" << axes.x(item.size) << "\" cy=\"" << axes.y(item.value) << "\" r=\"3\" fill=\"#b8860b\"/>\n";
    }
    svg << "</svg>\n";
    return svg.str();
}

} // namespace mustardrouter::bench
