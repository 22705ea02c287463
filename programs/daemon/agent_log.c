/* Logs an agent's decisions on flows. */
#include "agent.h"
#include "rp_clock.h"

/* Returns the log event for an action, or NULL for ordinary forwarding. Each
 * event has its own limit of lines per second. */
const char *
RpAgentLog_Event(enum rp_counter reason)
{
    switch (reason) {
    case RP_COUNT_FLOW_ADMITTED:
    case RP_COUNT_FLOW_ADMITTED_LAST:
        return "flow_admitted";
    case RP_COUNT_PASS_BUSY:
    case RP_COUNT_PASS_BACK:
    case RP_COUNT_PASS_DRAINING:
    case RP_COUNT_PASS_EVACUATED:
    case RP_COUNT_PASS_FLOW_LIMIT:
    case RP_COUNT_PASS_UNHEALTHY:
    case RP_COUNT_PASS_HOST_UNKNOWN:
    case RP_COUNT_PASS_COLD:
        return "flow_passed_on";
    case RP_COUNT_REFUSED_BUSY:
    case RP_COUNT_REFUSED_ALL:
    case RP_COUNT_REFUSED_COLD:
        return "flow_refused";
    case RP_COUNT_RESET_OWNER_GONE:
    case RP_COUNT_RESET_OWNER_UNREACHABLE:
    case RP_COUNT_RESET_HOST_LOST:
    case RP_COUNT_RESET_SILENT_HOST:
    case RP_COUNT_RESET_SILENT_CALLER:
        return "flow_reset";
    case RP_COUNT_RETRY_HOST_REFUSED:
    case RP_COUNT_RETRY_HOST_SILENT:
        return "flow_retried";
    case RP_COUNT_FLOW_ASKED:
        return "flow_asked";
    case RP_COUNT_DROP_NO_OWNER:
    case RP_COUNT_DROP_COLD:
    case RP_COUNT_SYN_LATE_ANSWER:
        return "flow_dropped";
    default:
        return NULL;
    }
}

/* Appends a flow as "caller>address", from the caller's side. */
static void
format_flow(GString *out, struct rp_flow_key flow)
{
    char text[RP_ENDPOINT_TEXT_MAX];

    g_string_append(out, RpEndpoint_Format(RpFlowKey_Source(flow), text));
    g_string_append_c(out, '>');
    g_string_append(out, RpEndpoint_Format(RpFlowKey_Destination(flow), text));
}

/* Returns the flow that an action concerns, from the caller's side. */
static struct rp_flow_key
find_flow(const struct agent *agent, const struct rp_action *action)
{
    struct rp_packet packet;
    enum rp_counter reason;

    if (!action->data || !agent->codec->ops->parse(action->data, action->len,
                                                   &packet, &reason)) {
        return agent->received_flow;
    }
    return action->kind == RP_ACTION_TO_CALLER ? RpFlowKey_Reverse(packet.key)
                                               : packet.key;
}

/* Logs the decision behind an action, with the state that it is based on. */
void
RpAgentLog_Action(struct agent *agent, const struct rp_action *action)
{
    const char *event = RpAgentLog_Event(action->reason);

    if (!event) {
        return;
    }
    struct rp_agent_load load = RpAgent_Load(agent->flows, RpClock_Now());
    char text[RP_ENDPOINT_TEXT_MAX];
    GString *flow = g_string_new(NULL);
    format_flow(flow, find_flow(agent, action));
    if (action->kind == RP_ACTION_TO_NEXT_AGENT) {
        g_string_append_printf(flow, " next=%s tried=%u/%u",
                               RpEndpoint_Format(action->next, text),
                               action->chain.visited, action->chain.count);
    }
    RpLog_Event(agent->daemon.log, RP_LOG_INFO, event,
                "flow=%s reason=%s busy=%u slots=%u flows=%u host=%s "
                "revision=%" G_GUINT64_FORMAT,
                flow->str, RpCounter_Name(action->reason), load.busy,
                load.slots, load.flows, agent->host.last_report.id.data,
                RpTable_Revision(RpUplink_Table(agent->uplink)));
    g_string_free(flow, TRUE);
}

/* Logs the first packet of a request, with the request id that the caller
 * gave. */
void
RpAgentLog_Request(struct agent *agent, const struct rp_packet *packet)
{
    const struct rp_codec_ops *ops = agent->codec->ops;
    struct rp_str id = ops->request_id ? ops->request_id(packet)
                                       : (struct rp_str){0};
    GString *line = g_string_new("flow=");

    format_flow(line, packet->key);
    g_string_append(line, " id=");
    RpLog_Quote(line, id);
    RpLog_Event(agent->daemon.log, RP_LOG_INFO, "request_received", "%s",
                line->str);
    g_string_free(line, TRUE);
}

/* Logs the first packet of an answer, with the time since the request. */
void
RpAgentLog_Answer(struct agent *agent, const struct rp_packet *packet)
{
    GString *flow = g_string_new(NULL);

    format_flow(flow, RpFlowKey_Reverse(packet->key));
    RpLog_Event(agent->daemon.log, RP_LOG_INFO, "answer_began",
                "flow=%s after_ms=%.1f", flow->str,
                (double)agent->actions.answer_us / (double)RP_US_PER_MS);
    g_string_free(flow, TRUE);
}
