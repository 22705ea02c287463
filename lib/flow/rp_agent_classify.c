/* Classification of packets into the events of charts/flow.chart. */
#include "rp_agent_internal.h"

/* Once an end has sent this many bytes, its sequence numbers may have wrapped
 * around, so comparisons with its initial sequence number are not reliable. */
#define MAX_COMPARABLE_SPAN (INT32_C(1) << 30)
/* Sequence numbers that a FIN or a probe may take beyond the bytes counted. */
#define MAX_UNCOUNTED 2

/* Whether a segment is older than the SYN that opened the flow. */
static bool
is_late(const struct rp_flow *flow, const struct rp_packet *packet)
{
    return (flow->flags & RP_FLOW_KNOWS_CALLER_ISN) &&
           RpSeq_Distance(flow->caller_isn, flow->caller_next) <
               MAX_COMPARABLE_SPAN &&
           RpSeq_Distance(flow->caller_isn, packet->seq) < 0;
}

/* Whether the caller acknowledges a SYN-ACK or data that this host did not
 * send: it has connected to another host. */
static bool
acks_other_host(const struct rp_flow *flow, const struct rp_packet *packet)
{
    if (flow->state != RP_FLOW_SYN_ANSWERED ||
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
        return RP_FLOW_EV_NEW_SYN;
    }
    if (packet->seq == flow->caller_isn) {
        bool was_sent_back = forced && flow->state == RP_FLOW_REDIRECTED;
        return was_sent_back ? RP_FLOW_EV_SYN_SENT_BACK
                             : RP_FLOW_EV_REPEATED_SYN;
    }
    return is_late(flow, packet) ? RP_FLOW_EV_LATE : RP_FLOW_EV_NEW_SYN;
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
    if (acks_other_host(flow, packet)) {
        return RP_FLOW_EV_FOREIGN_ACK;
    }
    if (packet->flags & RP_TCP_RST) {
        return RP_FLOW_EV_RST;
    }
    if ((flow->state == RP_FLOW_REDIRECTED ||
         flow->state == RP_FLOW_SYN_SENT) &&
        (flow->flags & RP_FLOW_MAYBE_AT_HOST)) {
        return RP_FLOW_EV_MAYBE_OWNED;
    }
    return packet->flags & RP_TCP_FIN ? RP_FLOW_EV_FIN : RP_FLOW_EV_DATA;
}

enum rp_flow_event
RpAgent_ClassifyHost(const struct rp_packet *packet)
{
    if (packet->returned) {
        return RP_FLOW_EV_HOST_RETURNED;
    }
    if (packet->flags & RP_TCP_RST) {
        return RP_FLOW_EV_HOST_RST;
    }
    if (packet->flags & RP_TCP_SYN) {
        return RP_FLOW_EV_HOST_SYNACK;
    }
    return packet->flags & RP_TCP_FIN ? RP_FLOW_EV_HOST_FIN
                                      : RP_FLOW_EV_HOST_DATA;
}

bool
RpAgent_IsLateHostPacket(const struct rp_flow *flow,
                         const struct rp_packet *packet)
{
    int32_t span = RpSeq_Distance(flow->caller_isn, flow->caller_next);
    int32_t acked = RpSeq_Distance(flow->caller_isn, packet->ack);

    if (!(flow->flags & RP_FLOW_KNOWS_CALLER_ISN) ||
        !(packet->flags & RP_TCP_ACK) || packet->returned || span < 0 ||
        span >= MAX_COMPARABLE_SPAN) {
        return false;
    }
    /* The bytes of a redirected flow are not counted here. */
    return acked <= 0 ||
           (flow->state != RP_FLOW_REDIRECTED && acked > span + MAX_UNCOUNTED);
}

bool
RpAgent_IsForeignSynAck(const struct rp_flow *flow,
                        const struct rp_packet *packet)
{
    /* The packet of a query has an acknowledgement; a SYN is not queried. */
    return flow->state == RP_FLOW_QUERYING_HOST &&
           !(flow->flags & RP_FLOW_KNOWS_CALLER_ISN) &&
           packet->seq + 1 != flow->caller_acked;
}

bool
RpAgent_IsForeignReset(const struct rp_flow *flow,
                       const struct rp_packet *packet)
{
    if (flow->state == RP_FLOW_SYN_SENT) {
        return !(packet->flags & RP_TCP_ACK); /* a refusal has ACK set */
    }
    if (!(flow->flags & RP_FLOW_KNOWS_HOST_ISN) ||
        (packet->flags & RP_TCP_ACK)) {
        return false;
    }
    /* A reset without ACK has the acknowledgement number of the segment that
     * it answers as its sequence number. The segment is of another host's
     * connection if this host has never sent that number. */
    bool has_not_wrapped = RpSeq_Distance(flow->host_isn, flow->host_next) <
                           MAX_COMPARABLE_SPAN;
    return RpSeq_Distance(packet->seq, flow->host_next) < 0 ||
           (has_not_wrapped &&
            RpSeq_Distance(flow->host_isn, packet->seq) < 0);
}
