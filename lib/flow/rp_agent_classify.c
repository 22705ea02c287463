/* Which event of charts/flow.chart a packet is. */
#include "rp_agent_internal.h"

/* A sequence number this far past the first one may have wrapped around. */
#define LATE_CHECK_SPAN (INT32_C(1) << 30)

/* Whether a segment is older than the SYN that opened the flow. */
static bool
is_late(const struct rp_flow *flow, const struct rp_packet *packet)
{
    return (flow->flags & RP_FLOW_KNOWS_CALLER_ISN) &&
           RpSeq_Distance(flow->caller_isn, flow->caller_next) <
               LATE_CHECK_SPAN &&
           RpSeq_Distance(flow->caller_isn, packet->seq) < 0;
}

/* Whether the caller acknowledges something that this host did not send. */
static bool
is_alien(const struct rp_flow *flow, const struct rp_packet *packet)
{
    if (flow->state != RP_FLOW_ANSWERED ||
        !(flow->flags & RP_FLOW_KNOWS_HOST_ISN) ||
        !(packet->flags & RP_TCP_ACK)) {
        return false;
    }
    return RpSeq_Distance(flow->host_isn + 1, packet->ack) < 0 ||
           RpSeq_Distance(packet->ack, flow->host_next) < 0;
}

static enum rp_flow_event
classify_syn(const struct rp_flow *flow, const struct rp_packet *packet,
             bool forced)
{
    if (!(flow->flags & RP_FLOW_KNOWS_CALLER_ISN)) {
        return RP_FLOW_EV_REUSE;
    }
    if (packet->seq == flow->caller_isn) {
        bool back = forced && flow->state == RP_FLOW_REDIRECT;
        return back ? RP_FLOW_EV_BACK : RP_FLOW_EV_SYN;
    }
    return is_late(flow, packet) ? RP_FLOW_EV_LATE : RP_FLOW_EV_REUSE;
}

enum rp_flow_event
RpAgent_ClassifyCaller(const struct rp_flow *flow,
                       const struct rp_packet *packet, bool forced)
{
    if (RpPacket_Opens(packet)) {
        return classify_syn(flow, packet, forced);
    }
    if (is_late(flow, packet)) {
        return RP_FLOW_EV_LATE;
    }
    if (is_alien(flow, packet)) {
        return RP_FLOW_EV_ALIEN;
    }
    if (packet->flags & RP_TCP_RST) {
        return RP_FLOW_EV_RST;
    }
    if (flow->state == RP_FLOW_REDIRECT && (flow->flags & RP_FLOW_UNSURE)) {
        return RP_FLOW_EV_UNSURE;
    }
    return packet->flags & RP_TCP_FIN ? RP_FLOW_EV_FIN : RP_FLOW_EV_DATA;
}

enum rp_flow_event
RpAgent_ClassifyHost(const struct rp_packet *packet)
{
    if (packet->returned) {
        return RP_FLOW_EV_HBACK;
    }
    if (packet->flags & RP_TCP_RST) {
        return RP_FLOW_EV_HRST;
    }
    if (packet->flags & RP_TCP_SYN) {
        return RP_FLOW_EV_SYNACK;
    }
    return packet->flags & RP_TCP_FIN ? RP_FLOW_EV_HFIN : RP_FLOW_EV_HDATA;
}

/* Whether a host's reset answers a segment of another host's flow that was
 * shown to it, and not the flow that it has itself. */
bool
RpAgent_IsForeignReset(const struct rp_flow *flow,
                       const struct rp_packet *packet)
{
    if (flow->state == RP_FLOW_OPENING) {
        return !(packet->flags & RP_TCP_ACK);
    }
    if (!(flow->flags & RP_FLOW_KNOWS_HOST_ISN) ||
        (packet->flags & RP_TCP_ACK)) {
        return false;
    }
    bool young = RpSeq_Distance(flow->host_isn, flow->host_next) <
                 LATE_CHECK_SPAN;
    return RpSeq_Distance(packet->seq, flow->host_next) < 0 ||
           (young && RpSeq_Distance(flow->host_isn, packet->seq) < 0);
}
