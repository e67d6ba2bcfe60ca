#pragma once

#include <string>
#include <vector>

namespace mustardrouter::bench
{

/// One measurement: the size of the dimension and the measured value.
struct sample {
    double size = 0;
    double value = 0;
};

/// Samples of one metric over one dimension.
struct series {
    /// For example "bystander.cpu".
    std::string name;
    /// Dimension that is varied, for example "groups".
    std::string dimension;
    /// Unit of the values.
    std::string unit;
    std::vector<sample> samples;
};

/// Least-squares line through samples.
struct line_fit {
    double slope = 0;
    double intercept = 0;
    /// Root mean square deviation from the line, relative to the mean value.
    double residual = 0;
};

/// Fits a line; requires samples of at least two different sizes.
line_fit fitLine(const std::vector<sample> &samples);

/// Value of a fitted line at a size.
double valueAt(const line_fit &fit, double size);

/// Plots the samples and the fitted line as SVG.
std::string toSvg(const series &what, const line_fit &fit);

} // namespace mustardrouter::bench
