#include "rp_flow_chart.h"

#include "rp_chart_files.h"

static const char *const state_names[RP_FLOW_STATE_COUNT + 1] = {
    "none",        "opening",   "answered", "established",
    "caller_done", "host_done", "closed",   "redirect",
    "asking",      "presumed",  NULL};

static const char *const event_names[RP_FLOW_EVENT_COUNT + 1] = {
    "syn",  "reuse",  "back",  "unsure", "data", "fin",   "rst",   "alien",
    "late", "synack", "hdata", "hfin",   "hrst", "hback", "timer", NULL};

static const char *const action_names[RP_FLOW_ACTION_COUNT + 1] = {
    "nothing", "to_host",   "to_caller",  "pass",    "to_host_and_pass",
    "decide",  "renew",     "retry",      "yield",   "quash",
    "ask",     "adopt",     "presume",    "release", "check",
    "expire",  "drop_late", "drop_stray", "reset",   NULL};

enum rp_code
RpFlowChart_Load(struct rp_chart *chart, struct rp_error *error)
{
    const struct rp_chart_names names = {
        .states = state_names, .events = event_names, .actions = action_names};

    return RpChart_Parse(chart, &names, RpChartFiles_Find("flow.chart"),
                         "flow.chart", error);
}

const char *
RpFlowState_Name(uint8_t state)
{
    return state < RP_FLOW_STATE_COUNT ? state_names[state] : "unknown";
}
