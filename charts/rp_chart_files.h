/* The chart files of this directory, which the build turns into strings. */
#ifndef RP_CHART_FILES_H
#define RP_CHART_FILES_H

#include "rp_str.h"

/* Returns the text of a chart file such as "flow.chart"; empty if no file has
 * this name. */
struct rp_str RpChartFiles_Find(const char *name);

#endif
