/* The chart files of this folder, embedded at build time. */
#ifndef RP_CHART_FILES_H
#define RP_CHART_FILES_H

#include "rp_str.h"

/* The text of a chart file such as "flow.chart"; empty if there is none. */
struct rp_str RpChartFiles_Find(const char *name);

#endif
