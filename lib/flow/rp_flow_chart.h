/* The states, events and actions of charts/flow.chart, which describes each
 * of them. */
#ifndef RP_FLOW_CHART_H
#define RP_FLOW_CHART_H

#include "rp_chart.h"

enum rp_flow_state {
    RP_FLOW_NONE, /* the agent has no entry for the flow */
    RP_FLOW_SYN_SENT,
    RP_FLOW_SYN_ANSWERED,
    RP_FLOW_ESTABLISHED,
    RP_FLOW_CALLER_CLOSED,
    RP_FLOW_HOST_CLOSED,
    RP_FLOW_CLOSED,
    RP_FLOW_REDIRECTED,
    RP_FLOW_QUERYING_HOST,
    RP_FLOW_PRESUMED_OWNED,
    RP_FLOW_STATE_COUNT
};

enum rp_flow_event {
    RP_FLOW_EV_REPEATED_SYN,
    RP_FLOW_EV_NEW_SYN,
    RP_FLOW_EV_SYN_SENT_BACK,
    RP_FLOW_EV_MAYBE_OWNED,
    RP_FLOW_EV_DATA,
    RP_FLOW_EV_FIN,
    RP_FLOW_EV_RST,
    RP_FLOW_EV_FOREIGN_ACK,
    RP_FLOW_EV_LATE,
    RP_FLOW_EV_HOST_SYNACK,
    RP_FLOW_EV_HOST_DATA,
    RP_FLOW_EV_HOST_FIN,
    RP_FLOW_EV_HOST_RST,
    RP_FLOW_EV_HOST_RETURNED,
    RP_FLOW_EV_TIMER,
    RP_FLOW_EV_TIMER_NO_HOST,
    RP_FLOW_EV_HOST_RESTARTED,
    RP_FLOW_EVENT_COUNT
};

enum rp_flow_action {
    RP_FLOW_DO_NOTHING,
    RP_FLOW_DO_TO_HOST,
    RP_FLOW_DO_TO_CALLER,
    RP_FLOW_DO_TO_NEXT_AGENT,
    RP_FLOW_DO_TO_HOST_AND_NEXT_AGENT,
    RP_FLOW_DO_DECIDE_ADMISSION,
    RP_FLOW_DO_RESTART_FLOW,
    RP_FLOW_DO_RETRY_SYN,
    RP_FLOW_DO_YIELD_TO_NEXT_AGENT,
    RP_FLOW_DO_RESET_HOST,
    RP_FLOW_DO_QUERY_HOST,
    RP_FLOW_DO_TAKE_OWNERSHIP,
    RP_FLOW_DO_PRESUME_OWNED,
    RP_FLOW_DO_RELEASE_TO_NEXT_AGENT,
    RP_FLOW_DO_CHECK_SILENCE,
    RP_FLOW_DO_EXPIRE,
    RP_FLOW_DO_DROP_LATE,
    RP_FLOW_DO_DROP_STRAY,
    RP_FLOW_DO_RESET_CALLER,
    RP_FLOW_DO_CHECK_WITH_HOST,
    RP_FLOW_ACTION_COUNT
};

/* Parses the flow.chart that is built into the program. On failure `error`
 * lists every line at fault; it may be NULL. */
enum rp_code RpFlowChart_Load(struct rp_chart *chart, struct rp_error *error);

/* The name of an enum rp_flow_state in the chart; "unknown" for other
 * values. */
const char *RpFlowState_Name(uint8_t state);

#endif
