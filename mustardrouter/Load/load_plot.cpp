#include "mustardrouter/Load/load_plot.h"

#include "mustardrouter/Load/load_statistics.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace mustardrouter
{

namespace
{

constexpr double widthPixels = 900;
constexpr double panelPixels = 180;
constexpr double marginPixels = 60;
constexpr double fontPixels = 12;

struct panel {
    double top = 0;
    double maxValue = 1;
    double seconds = 1;
};

std::string formatNumber(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f", value);
    return text.data();
}

std::string escaped(const std::string &text)
{
    std::string safe;
    for (const char character : text) {
        switch (character) {
        case '&':
            safe += "&amp;";
            break;
        case '<':
            safe += "&lt;";
            break;
        case '>':
            safe += "&gt;";
            break;
        default:
            safe += character;
            break;
        }
    }
    return safe;
}

double xOf(const panel &in, double seconds)
{
    return marginPixels + seconds / in.seconds * (widthPixels - 2 * marginPixels);
}

double yOf(const panel &in, double value)
{
    return in.top + panelPixels * (1 - value / in.maxValue);
}

std::string textAt(double x, double y, const std::string &text)
{
    return "<text x=\"" + formatNumber(x) + "\" y=\"" + formatNumber(y) + "\">" + escaped(text) + "</text>\n";
}

template<typename Read>
std::string polyline(const panel &in, const load::run_report &run, const std::string &color, Read read)
{
    std::string points;
    for (const load::slice &slice : run.slices()) {
        points += formatNumber(xOf(in, slice.at_seconds())) + "," + formatNumber(yOf(in, read(slice))) + " ";
    }
    return "<polyline fill=\"none\" stroke=\"" + color + "\" points=\"" + points + "\"/>\n";
}

std::string axes(const panel &in, const std::string &label)
{
    const std::string left = formatNumber(marginPixels);
    const std::string bottom = formatNumber(in.top + panelPixels);
    std::string text = "<path fill=\"none\" stroke=\"black\" d=\"M" + left + " " + formatNumber(in.top) + " V" + bottom + " H"
                       + formatNumber(widthPixels - marginPixels) + "\"/>\n";
    text += textAt(marginPixels, in.top - fontPixels / 2, label);
    text += textAt(fontPixels / 2, in.top + fontPixels, formatNumber(in.maxValue));
    text += textAt(widthPixels - marginPixels, in.top + panelPixels + fontPixels, formatNumber(in.seconds) + " s");
    return text;
}

std::string faultMarks(const panel &first, const panel &last, const load::run_report &run)
{
    std::string text;
    double y = last.top + panelPixels + 2 * fontPixels;
    for (const load::fault_mark &mark : run.faults()) {
        const std::string x = formatNumber(xOf(first, mark.at_seconds()));
        text +=
            "<path stroke=\"gray\" stroke-dasharray=\"4\" d=\"M" + x + " " + formatNumber(first.top) + " V" + formatNumber(y) + "\"/>\n";
        text += textAt(xOf(first, mark.at_seconds()), y, formatNumber(mark.at_seconds()) + " s: " + mark.what());
        y += fontPixels + 2;
    }
    return text;
}

} // namespace

std::string plotRun(const load::run_report &run, const std::string &title)
{
    const double perSecond = 1000.0 / static_cast<double>(sliceLength.count());
    panel rates;
    rates.top = 3 * fontPixels;
    panel latencies;
    latencies.top = rates.top + panelPixels + 4 * fontPixels;
    for (const load::slice &slice : run.slices()) {
        rates.maxValue =
            std::max(rates.maxValue, perSecond * static_cast<double>(std::max({slice.done(), slice.not_run(), slice.unknown()})));
        latencies.maxValue = std::max(latencies.maxValue, slice.p99_ms());
        rates.seconds = std::max(rates.seconds, slice.at_seconds());
    }
    latencies.seconds = rates.seconds;
    const double height = latencies.top + panelPixels + fontPixels * (4 + 2 * run.faults_size());
    std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + formatNumber(widthPixels) + "\" height=\""
                      + formatNumber(height) + "\" font-family=\"sans-serif\" font-size=\"" + formatNumber(fontPixels) + "\">\n";
    svg += textAt(marginPixels, fontPixels, title);
    svg += axes(rates, "statements a second: done (green), not run (orange), unknown (red)");
    svg += polyline(rates, run, "green", [&](const load::slice &slice) {
        return perSecond * static_cast<double>(slice.done());
    });
    svg += polyline(rates, run, "orange", [&](const load::slice &slice) {
        return perSecond * static_cast<double>(slice.not_run());
    });
    svg += polyline(rates, run, "red", [&](const load::slice &slice) {
        return perSecond * static_cast<double>(slice.unknown());
    });
    svg += axes(latencies, "p99 latency of statements done, ms (blue)");
    svg += polyline(latencies, run, "blue", [](const load::slice &slice) {
        return slice.p99_ms();
    });
    svg += faultMarks(rates, latencies, run);
    return svg + "</svg>\n";
}

} // namespace mustardrouter
