#pragma once

#include <string>
#include <vector>

namespace mustardrouter::bench
{

/// One run: the size of the dimension and what was measured at it.
struct sample {
    double size = 0;
    double value = 0;
};

/// Samples of one figure over one dimension.
struct series {
    /// As in "engine.bystander.cpu".
    std::string name;
    /// What grows, as in "groups".
    std::string dimension;
    /// Unit of a value.
    std::string unit;
    std::vector<sample> samples;
};

/// Line through samples by least squares.
struct line_fit {
    double slope = 0;
    double intercept = 0;
    /// Root of the mean square distance to the line, as a share of the mean value.
    double residual = 0;
};

/// Fits a line; needs two different sizes.
line_fit fitLine(const std::vector<sample> &samples);

/// Value of a fitted line at a size.
double valueAt(const line_fit &fit, double size);

/// The samples and their line as an SVG picture.
std::string toSvg(const series &what, const line_fit &fit);

} // namespace mustardrouter::bench
