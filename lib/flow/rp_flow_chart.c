/* Names of the states, events and actions of charts/flow.chart, in the order
 * of the enums in rp_flow_chart.h. */
#include "rp_flow_chart.h"

#include "rp_chart_files.h"

static const char *const state_names[RP_FLOW_STATE_COUNT + 1] = {
    "none",
    "syn_sent",
    "syn_answered",
    "established",
    "caller_closed",
    "host_closed",
    "closed",
    "redirected",
    "querying_host",
    "presumed_owned",
    NULL};

static const char *const event_names[RP_FLOW_EVENT_COUNT + 1] = {
    "repeated_syn",  "new_syn",        "syn_sent_back",
    "maybe_owned",   "data",           "fin",
    "rst",           "foreign_ack",    "late",
    "host_synack",   "host_data",      "host_fin",
    "host_rst",      "host_returned",  "timer",
    "timer_no_host", "host_restarted", NULL};

static const char *const action_names[RP_FLOW_ACTION_COUNT + 1] = {
    "nothing",
    "to_host",
    "to_caller",
    "to_next_agent",
    "to_host_and_next_agent",
    "decide_admission",
    "restart_flow",
    "retry_syn",
    "yield_to_next_agent",
    "reset_host",
    "query_host",
    "take_ownership",
    "presume_owned",
    "release_to_next_agent",
    "check_silence",
    "expire",
    "drop_late",
    "drop_stray",
    "reset_caller",
    "check_with_host",
    NULL};

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
