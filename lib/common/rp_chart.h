/* State charts: transition tables of state machines, parsed from text.
 *
 * A chart file has one transition on each line:
 *
 *     state event next-state action
 *
 * '#' starts a comment; blank lines are ignored. The code declares the valid
 * names in a `struct rp_chart_names`. An unknown name, a second transition for
 * the same state and event, and a line without exactly four words are errors.
 * An event without a line for the current state keeps the state and has
 * action 0.
 */
#ifndef RP_CHART_H
#define RP_CHART_H

#include <stdint.h>

#include "rp_error.h"
#include "rp_str.h"

#define RP_CHART_MAX_STATES 16
#define RP_CHART_MAX_EVENTS 24

/* The valid names in a chart; the number of a state, event or action is its
 * index. Each array ends with NULL. Action 0 must be the one that does
 * nothing. */
struct rp_chart_names {
    const char *const *states;
    const char *const *events;
    const char *const *actions;
};

/* A transition: the result of an event in a state. */
struct rp_chart_step {
    uint8_t next;
    uint8_t action;
    uint8_t listed; /* 1 if the chart file has a line for it */
};

/* A parsed chart, by state and event. It owns no memory. */
struct rp_chart {
    struct rp_chart_step steps[RP_CHART_MAX_STATES][RP_CHART_MAX_EVENTS];
};

/* Parses the text of a chart. `file` names it in errors. Returns RP_OK, or
 * RP_ERR_FORMAT with one finding in `error` for each invalid line. */
enum rp_code RpChart_Parse(struct rp_chart *chart,
                           const struct rp_chart_names *names,
                           struct rp_str text, const char *file,
                           struct rp_error *error);

/* Returns the transition for `event` in `state`. */
struct rp_chart_step RpChart_Step(const struct rp_chart *chart, uint8_t state,
                                  uint8_t event);

#endif
