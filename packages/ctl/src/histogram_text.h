// Metrics as text for people.
#ifndef SYCAMOREHINGE_CTL_HISTOGRAM_TEXT_H_
#define SYCAMOREHINGE_CTL_HISTOGRAM_TEXT_H_

#include <string>

#include "exposition.h"

namespace sycamorehinge {

// Name, labels, count, mean and quantiles, then one bar for each bucket in use.
std::string HistogramText(const metric_histogram& histogram);

// All histograms, then the other samples as a table.
std::string MetricsText(const metric_groups& groups);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CTL_HISTOGRAM_TEXT_H_
