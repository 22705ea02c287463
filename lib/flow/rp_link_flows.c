/* What callers' flows send over the outgoing link. See rp_link_flows.h. */
#include "rp_link_flows.h"

#include <glib.h>
#include <stdbool.h>

/* What is known of the requests to an address. */
struct address {
    uint64_t key; /* RpEndpoint_Key of the address */
    uint64_t mean;
    uint32_t samples; /* at most RP_LINK_SIZE_WINDOW */
};

/* A flow that has sent something lately. */
struct flow {
    struct rp_flow_key key;
    uint32_t priority;
    uint32_t next_seq; /* after the furthest segment */
    bool has_data;
    bool opened; /* its SYN came here and no reset: its size is a sample */
    uint64_t expected;
    uint64_t sent;
    int64_t deadline;
    GList link; /* in `recent` */
};

struct rp_link_flows {
    GHashTable *addresses; /* key -> struct address */
    GHashTable *flows;     /* flow key -> struct flow */
    GQueue recent;         /* of struct flow, by deadline */
    uint64_t outstanding[RP_EGRESS_LOWEST_PRIORITY + 1];
};

struct rp_link_flows *
RpLinkFlows_Create(void)
{
    struct rp_link_flows *flows = g_new0(struct rp_link_flows, 1);

    flows->addresses = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                             g_free);
    flows->flows = g_hash_table_new_full(RpFlowKey_Hash, RpFlowKey_EqualKeys,
                                         NULL, g_free);
    g_queue_init(&flows->recent);
    return flows;
}

void
RpLinkFlows_Free(struct rp_link_flows *flows)
{
    if (flows) {
        g_hash_table_destroy(flows->flows);
        g_hash_table_destroy(flows->addresses);
        g_free(flows);
    }
}

static struct address *
find_address(const struct rp_link_flows *flows, struct rp_endpoint endpoint)
{
    uint64_t key = RpEndpoint_Key(endpoint);

    return g_hash_table_lookup(flows->addresses, &key);
}

static void
learn_size(struct rp_link_flows *flows, const struct flow *flow)
{
    struct rp_endpoint endpoint = RpFlowKey_Destination(flow->key);
    struct address *address = find_address(flows, endpoint);

    if (!address) {
        if (g_hash_table_size(flows->addresses) >= RP_LINK_ADDRESSES_MAX) {
            g_hash_table_remove_all(flows->addresses);
        }
        address = g_new0(struct address, 1);
        address->key = RpEndpoint_Key(endpoint);
        g_hash_table_insert(flows->addresses, &address->key, address);
    }
    address->samples = MIN(address->samples + 1, RP_LINK_SIZE_WINDOW);
    address->mean = (address->mean * (address->samples - 1) + flow->sent) /
                    address->samples;
}

/* What the flow will still send, if it sends as much as expected. */
static uint64_t
remainder_of(const struct flow *flow)
{
    return flow->expected > flow->sent ? flow->expected - flow->sent : 0;
}

/* Changes what a flow has sent and is expected to send. */
static void
set_progress(struct rp_link_flows *flows, struct flow *flow, uint64_t expected,
             uint64_t sent)
{
    flows->outstanding[flow->priority] -= remainder_of(flow);
    flow->expected = expected;
    flow->sent = sent;
    flows->outstanding[flow->priority] += remainder_of(flow);
}

static void
end_flow(struct rp_link_flows *flows, struct flow *flow)
{
    if (flow->opened && flow->has_data) {
        learn_size(flows, flow);
    }
    set_progress(flows, flow, 0, 0);
    g_queue_unlink(&flows->recent, &flow->link);
    g_hash_table_remove(flows->flows, &flow->key);
}

/* Ends the flows that have sent nothing for a while. */
static void
end_idle_flows(struct rp_link_flows *flows, int64_t now)
{
    struct flow *flow;

    while ((flow = g_queue_peek_head(&flows->recent)) &&
           flow->deadline <= now) {
        end_flow(flows, flow);
    }
}

static struct flow *
add_flow(struct rp_link_flows *flows, const struct rp_packet *packet,
         uint32_t priority)
{
    if (flows->recent.length >= RP_LINK_FLOWS_MAX) {
        end_flow(flows, g_queue_peek_head(&flows->recent));
    }
    struct flow *flow = g_new0(struct flow, 1);
    flow->key = packet->key;
    flow->priority = MIN(priority, RP_EGRESS_LOWEST_PRIORITY);
    flow->next_seq = packet->seq + (RpPacket_Opens(packet) ? 1 : 0);
    flow->link.data = flow;
    g_hash_table_insert(flows->flows, &flow->key, flow);
    g_queue_push_tail_link(&flows->recent, &flow->link);
    if (RpPacket_Opens(packet)) {
        flow->opened = true;
        set_progress(
            flows, flow,
            RpLinkFlows_MeanSize(flows, RpFlowKey_Destination(packet->key)),
            0);
    }
    return flow;
}

/* Adds a packet to what the flow has sent. Segments may arrive in any order,
 * and more than once: one that is further than all before counts for those in
 * between, too. */
static void
add_progress(struct rp_link_flows *flows, struct flow *flow,
             const struct rp_packet *packet, size_t bytes)
{
    uint32_t end = packet->seq + packet->payload_len;
    int32_t ahead = RpSeq_Distance(flow->next_seq, end);

    if (packet->payload_len > 0) {
        flow->has_data = true;
        if (ahead <= 0) {
            return;
        }
        flow->next_seq = end;
        if (ahead < RP_LINK_FLOW_AHEAD_MAX) {
            bytes = bytes * (size_t)ahead / packet->payload_len;
        }
    }
    set_progress(flows, flow, flow->expected, flow->sent + bytes);
}

enum rp_egress_class
RpLinkFlows_Count(struct rp_link_flows *flows, int64_t now,
                  const struct rp_packet *packet, uint32_t priority,
                  size_t bytes)
{
    bool has_payload = packet->payload_len > 0;

    end_idle_flows(flows, now);
    struct flow *flow = g_hash_table_lookup(flows->flows, &packet->key);
    if (!flow && (has_payload || RpPacket_Opens(packet))) {
        flow = add_flow(flows, packet, priority);
    }
    if (!flow) {
        return RP_EGRESS_URGENT;
    }
    add_progress(flows, flow, packet, bytes);
    bool is_bulk = flow->expected > RP_LINK_SHORT_BYTES ||
                   flow->sent > RP_LINK_SHORT_BYTES ||
                   RpLinkFlows_MeanSize(flows,
                                        RpFlowKey_Destination(packet->key)) >
                       RP_LINK_SHORT_BYTES;
    if (packet->flags & (RP_TCP_RST | RP_TCP_FIN)) {
        flow->opened = flow->opened && !(packet->flags & RP_TCP_RST);
        end_flow(flows, flow);
    }
    else {
        flow->deadline = now + RP_LINK_FLOW_IDLE_US;
        g_queue_unlink(&flows->recent, &flow->link);
        g_queue_push_tail_link(&flows->recent, &flow->link);
    }
    return !has_payload ? RP_EGRESS_URGENT
           : is_bulk    ? RP_EGRESS_BULK
                        : RP_EGRESS_SHORT;
}

uint64_t
RpLinkFlows_MeanSize(const struct rp_link_flows *flows,
                     struct rp_endpoint address)
{
    const struct address *known = find_address(flows, address);

    return known ? known->mean : 0;
}

uint64_t
RpLinkFlows_Outstanding(struct rp_link_flows *flows, int64_t now,
                        uint32_t priority)
{
    uint64_t bytes = 0;

    end_idle_flows(flows, now);
    for (size_t i = 0; i <= MIN(priority, RP_EGRESS_LOWEST_PRIORITY); i++) {
        bytes += flows->outstanding[i];
    }
    return bytes;
}
