/* The packets of requests in the request queue (rp_request_queue.h). They are
 * queued in order and go to the host together when their request starts; later
 * segments of the same flow do not overtake them. */
#include <assert.h>
#include <string.h>

#include "rp_agent_internal.h"

#define MAX_QUEUED_PACKETS 64       /* packets of one flow */
#define MAX_QUEUED_BYTES (16 << 20) /* bytes of all flows */
#define ALL_PERCENT 100

static void
free_packets(gpointer data)
{
    g_queue_free_full(data, g_free);
}

void
RpAgent_CreateRequestQueue(struct rp_agent *agent)
{
    agent->request_queue = RpRequestQueue_Create(UINT32_MAX, UINT32_MAX);
    agent->queued_packets = g_hash_table_new_full(
        RpFlowKey_Hash, RpFlowKey_EqualKeys, g_free, free_packets);
    g_queue_init(&agent->released_packets);
}

void
RpAgent_FreeRequestQueue(struct rp_agent *agent)
{
    RpRequestQueue_Free(agent->request_queue);
    g_hash_table_destroy(agent->queued_packets);
    g_queue_clear_full(&agent->released_packets, g_free);
}

void
RpAgent_ConfigureRequestQueue(struct rp_agent *agent)
{
    uint32_t percent = agent->service ? agent->service->long_slots_percent
                                      : ALL_PERCENT;
    uint32_t slots = agent->config.slots;

    if (percent >= ALL_PERCENT) {
        RpRequestQueue_SetSlots(agent->request_queue, UINT32_MAX, UINT32_MAX);
        return;
    }
    RpRequestQueue_SetSlots(agent->request_queue, slots,
                            slots * percent / ALL_PERCENT);
}

static struct rp_held_packet *
copy_packet(const struct rp_packet *packet)
{
    struct rp_held_packet *copy = g_malloc0(sizeof *copy + packet->len);

    copy->len = packet->len;
    memcpy(copy->data, packet->data, packet->len);
    return copy;
}

/* Appends a copy of a packet to the queue of its flow; false if either limit
 * is reached. */
static bool
queue_packet(struct rp_agent *agent, const struct rp_flow *flow,
             const struct rp_packet *packet)
{
    GQueue *packets = g_hash_table_lookup(agent->queued_packets,
                                          &flow->caller);

    if (!packets) {
        packets = g_queue_new();
        g_hash_table_insert(agent->queued_packets,
                            g_memdup2(&flow->caller, sizeof flow->caller),
                            packets);
    }
    if (packets->length >= MAX_QUEUED_PACKETS ||
        agent->queued_bytes + packet->len > MAX_QUEUED_BYTES) {
        return false;
    }
    g_queue_push_tail(packets, copy_packet(packet));
    agent->queued_bytes += packet->len;
    return true;
}

/* Marks that the flow's request has started. Its service time counts from now,
 * without the time in the queue. */
static void
mark_started(struct rp_flow *flow, bool is_long, int64_t now)
{
    flow->flags &= (uint16_t)~RP_FLOW_QUEUED;
    flow->flags |= RP_FLOW_STARTED;
    flow->flags |= is_long ? RP_FLOW_STARTED_LONG : 0;
    flow->request_since = now;
}

/* Moves a flow's queued packets to the list of packets that go to the host
 * next. */
static void
release_packets(struct rp_agent *agent, struct rp_flow *flow)
{
    GQueue *packets = g_hash_table_lookup(agent->queued_packets,
                                          &flow->caller);
    struct rp_held_packet *packet;

    while (packets && (packet = g_queue_pop_head(packets)) != NULL) {
        agent->queued_bytes -= packet->len;
        g_queue_push_tail(&agent->released_packets, packet);
    }
    g_hash_table_remove(agent->queued_packets, &flow->caller);
}

bool
RpAgent_DeferPacket(struct rp_agent *agent, int64_t now, struct rp_flow *flow,
                    const struct rp_packet *packet)
{
    bool is_long = flow->flags & RP_FLOW_EXPECT_LONG;

    if (flow->flags & RP_FLOW_QUEUED) {
        if (queue_packet(agent, flow, packet)) {
            return true;
        }
        /* The queue is full: release the queued packets without a slot. This
         * packet is dropped, as it must not overtake them, and the caller
         * sends it again. */
        RpRequestQueue_Cancel(agent->request_queue, flow->caller);
        flow->flags &= (uint16_t)~RP_FLOW_QUEUED;
        release_packets(agent, flow);
        return true;
    }
    if (packet->payload_len == 0 || (flow->flags & RP_FLOW_STARTED) ||
        !(flow->flags & RP_FLOW_OWNED)) {
        return false;
    }
    if (RpRequestQueue_StartOrEnqueue(agent->request_queue, now, flow->caller,
                                      is_long)) {
        mark_started(flow, is_long, now);
        return false;
    }
    RpCounters_Add(agent->counters, RP_COUNT_REQUEST_HELD);
    flow->flags |= RP_FLOW_QUEUED;
    queue_packet(agent, flow, packet);
    return true;
}

void
RpAgent_EndRequest(struct rp_agent *agent, struct rp_flow *flow)
{
    if (flow->flags & RP_FLOW_STARTED) {
        RpRequestQueue_Finish(agent->request_queue,
                              flow->flags & RP_FLOW_STARTED_LONG);
    }
    if (flow->flags & RP_FLOW_QUEUED) {
        RpRequestQueue_Cancel(agent->request_queue, flow->caller);
        release_packets(agent, flow);
    }
    flow->flags &= (uint16_t) ~(RP_FLOW_STARTED | RP_FLOW_STARTED_LONG |
                                RP_FLOW_QUEUED);
}

void
RpAgent_RecordAnswerTime(struct rp_flow *flow, int64_t now)
{
    if (!(flow->flags & RP_FLOW_STARTED)) {
        return;
    }
    flow->flags &= (uint16_t)~RP_FLOW_EXPECT_LONG;
    if (now - flow->request_since >= RP_LONG_REQUEST_US) {
        flow->flags |= RP_FLOW_EXPECT_LONG;
    }
}

/* Starts the next request that gets a slot or has waited for
 * RP_REQUEST_MAX_WAIT_US, and releases its packets. Returns false if there is
 * none. */
static bool
start_next_request(struct rp_agent *agent, int64_t now)
{
    struct rp_flow_key caller;
    bool is_long;

    if (!RpRequestQueue_StartNext(agent->request_queue, now, &caller,
                                  &is_long)) {
        return false;
    }
    struct rp_flow *flow = RpFlowTable_Find(agent->flows, caller);
    assert(flow && (flow->flags & RP_FLOW_QUEUED));
    RpCounters_AddDuration(agent->counters, RP_HISTOGRAM_REQUEST_KEPT,
                           now - flow->request_since);
    mark_started(flow, is_long, now);
    release_packets(agent, flow);
    return true;
}

bool
RpAgent_SendReleasedPacket(struct rp_agent *agent, int64_t now,
                           struct rp_actions *actions)
{
    while (agent->released_packets.length == 0 &&
           start_next_request(agent, now)) {
    }
    agent->action_packet = g_queue_pop_head(&agent->released_packets);
    if (!agent->action_packet) {
        return false;
    }
    RpAgent_AddSendAction(agent, actions, RP_ACTION_TO_HOST,
                          RP_COUNT_PACKETS_OUT, agent->action_packet->data,
                          agent->action_packet->len);
    return true;
}
