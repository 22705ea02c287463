/* The states, events and actions of charts/flow.chart, which describes each
 * of them. */
#ifndef RP_FLOW_CHART_H
#define RP_FLOW_CHART_H

#include "rp_chart.h"

enum rp_flow_state {
    RP_FLOW_NONE, /* the agent has no entry for the flow */
    RP_FLOW_OPENING,
    RP_FLOW_ANSWERED,
    RP_FLOW_ESTABLISHED,
    RP_FLOW_CALLER_DONE,
    RP_FLOW_HOST_DONE,
    RP_FLOW_CLOSED,
    RP_FLOW_REDIRECT,
    RP_FLOW_ASKING,
    RP_FLOW_PRESUMED,
    RP_FLOW_STATE_COUNT
};

enum rp_flow_event {
    RP_FLOW_EV_SYN,
    RP_FLOW_EV_REUSE,
    RP_FLOW_EV_BACK,
    RP_FLOW_EV_UNSURE,
    RP_FLOW_EV_DATA,
    RP_FLOW_EV_FIN,
    RP_FLOW_EV_RST,
    RP_FLOW_EV_ALIEN,
    RP_FLOW_EV_LATE,
    RP_FLOW_EV_SYNACK,
    RP_FLOW_EV_HDATA,
    RP_FLOW_EV_HFIN,
    RP_FLOW_EV_HRST,
    RP_FLOW_EV_HBACK,
    RP_FLOW_EV_TIMER,
    RP_FLOW_EVENT_COUNT
};

enum rp_flow_action {
    RP_FLOW_DO_NOTHING,
    RP_FLOW_DO_TO_HOST,
    RP_FLOW_DO_TO_CALLER,
    RP_FLOW_DO_PASS,
    RP_FLOW_DO_TO_HOST_AND_PASS,
    RP_FLOW_DO_DECIDE,
    RP_FLOW_DO_RENEW,
    RP_FLOW_DO_RETRY,
    RP_FLOW_DO_YIELD,
    RP_FLOW_DO_QUASH,
    RP_FLOW_DO_ASK,
    RP_FLOW_DO_ADOPT,
    RP_FLOW_DO_PRESUME,
    RP_FLOW_DO_RELEASE,
    RP_FLOW_DO_CHECK,
    RP_FLOW_DO_EXPIRE,
    RP_FLOW_DO_DROP_LATE,
    RP_FLOW_DO_DROP_STRAY,
    RP_FLOW_DO_RESET,
    RP_FLOW_ACTION_COUNT
};

/* Parses the flow.chart that is built into the program. On failure `error`
 * lists every line at fault; it may be NULL. */
enum rp_code RpFlowChart_Load(struct rp_chart *chart, struct rp_error *error);

/* The name of an enum rp_flow_state in the chart; "unknown" for other
 * values. */
const char *RpFlowState_Name(uint8_t state);

#endif
