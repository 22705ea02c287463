/* State charts: tables of transitions read from text and interpreted.
 *
 * A chart file has one transition a line,
 *
 *     state event next-state action
 *
 * with '#' comments and blank lines between. The names are those that the
 * code declares in a `struct rp_chart_names`; an unknown name, a transition
 * given twice or a line with other than four words is a finding. An event
 * for which a state has no line leaves the state as it is with action 0.
 */
#ifndef RP_CHART_H
#define RP_CHART_H

#include <stdint.h>

#include "rp_error.h"
#include "rp_str.h"

#define RP_CHART_MAX_STATES 16
#define RP_CHART_MAX_EVENTS 24

/* The vocabulary of a chart; each array ends in NULL. Action 0 must be the
 * one that does nothing. */
struct rp_chart_names {
    const char *const *states;
    const char *const *events;
    const char *const *actions;
};

/* Where an event leads from a state. */
struct rp_chart_step {
    uint8_t next;
    uint8_t action;
    uint8_t listed; /* 1 if the file has a line for it */
};

struct rp_chart {
    struct rp_chart_step steps[RP_CHART_MAX_STATES][RP_CHART_MAX_EVENTS];
};

/* Reads a chart. On failure `error` holds every finding with its line. */
enum rp_code RpChart_Parse(struct rp_chart *chart,
                           const struct rp_chart_names *names,
                           struct rp_str text, const char *file,
                           struct rp_error *error);

/* The transition for `event` in `state`. */
struct rp_chart_step RpChart_Step(const struct rp_chart *chart, uint8_t state,
                                  uint8_t event);

#endif
