/* Datagrams that wait for room on the outgoing link. See rp_egress.h. */
#include "rp_egress.h"

#include <glib.h>
#include <string.h>

#define PRIORITIES (RP_EGRESS_LOWEST_PRIORITY + 1)
#define BANDS (RP_EGRESS_CLASSES * PRIORITIES)

/* The waiting packets of one flow. */
struct flow_queue {
    struct rp_flow_key key;
    unsigned band;
    GQueue packets; /* of struct rp_egress_packet, oldest first */
};

/* Flows of one rank and priority, in the order of their turns. */
struct band {
    GQueue flows; /* of struct flow_queue */
    size_t bytes;
};

struct rp_egress {
    struct rp_link *link;
    struct rp_counters *counters;
    struct band band[BANDS];
    GHashTable *flows; /* flow key -> struct flow_queue */
    size_t count;
    size_t bytes;
};

struct rp_egress *
RpEgress_Create(struct rp_link *link, struct rp_counters *counters)
{
    struct rp_egress *egress = g_new0(struct rp_egress, 1);

    egress->link = link;
    egress->counters = counters;
    egress->flows = g_hash_table_new(RpFlowKey_Hash, RpFlowKey_EqualKeys);
    for (size_t i = 0; i < BANDS; i++) {
        g_queue_init(&egress->band[i].flows);
    }
    return egress;
}

static unsigned
find_band(enum rp_egress_class rank, uint32_t priority)
{
    return (unsigned)rank * PRIORITIES +
           MIN(priority, RP_EGRESS_LOWEST_PRIORITY);
}

/* The bytes that a packet takes on the link. */
static size_t
bytes_on_link(const struct rp_egress_packet *packet)
{
    return packet->len + RP_LINK_OVERHEAD;
}

/* Removes a packet from its flow, and the flow if it was the last one. */
static struct rp_egress_packet *
take_packet(struct rp_egress *egress, struct flow_queue *flow, GList *link)
{
    struct rp_egress_packet *packet = link->data;
    struct band *band = &egress->band[flow->band];

    g_queue_delete_link(&flow->packets, link);
    egress->count--;
    egress->bytes -= bytes_on_link(packet);
    band->bytes -= bytes_on_link(packet);
    if (g_queue_is_empty(&flow->packets)) {
        g_hash_table_remove(egress->flows, &flow->key);
        g_queue_remove(&band->flows, flow);
        g_free(flow);
    }
    return packet;
}

static void
drop_packet(struct rp_egress *egress, struct flow_queue *flow, GList *link,
            enum rp_counter reason)
{
    g_free(take_packet(egress, flow, link));
    RpCounters_Add(egress->counters, reason);
}

static void
drop_flow(struct rp_egress *egress, const struct rp_flow_key *key,
          enum rp_counter reason)
{
    struct flow_queue *flow;

    /* The last packet takes the flow along. */
    while ((flow = g_hash_table_lookup(egress->flows, key))) {
        drop_packet(egress, flow, flow->packets.head, reason);
    }
}

void
RpEgress_Free(struct rp_egress *egress)
{
    if (!egress) {
        return;
    }
    for (size_t i = 0; i < BANDS; i++) {
        struct flow_queue *flow;
        while ((flow = g_queue_pop_head(&egress->band[i].flows))) {
            g_queue_clear_full(&flow->packets, g_free);
            g_free(flow);
        }
    }
    g_hash_table_destroy(egress->flows);
    g_free(egress);
}

/* Whether a copy of the packet waits. A pure acknowledgement has no copy: it
 * may be repeated to report a loss. */
static bool
is_copy(const struct flow_queue *flow, const struct rp_packet *packet)
{
    if (packet->payload_len == 0 &&
        !(packet->flags & (RP_TCP_SYN | RP_TCP_FIN))) {
        return false;
    }
    for (const GList *link = flow->packets.head; link; link = link->next) {
        const struct rp_egress_packet *waiting = link->data;
        if (waiting->seq == packet->seq &&
            waiting->payload_len == packet->payload_len &&
            waiting->flags == packet->flags) {
            return true;
        }
    }
    return false;
}

/* Drops the last packets of lower bands than `band` until there is room for
 * `bytes` more. Returns false if there is none. */
static bool
make_room(struct rp_egress *egress, unsigned band, size_t bytes)
{
    for (unsigned lowest = BANDS - 1;
         egress->count >= RP_EGRESS_MAX_PACKETS ||
         egress->bytes + bytes > RP_EGRESS_MAX_BYTES;) {
        struct flow_queue *flow = egress->band[lowest].flows.tail
                                      ? egress->band[lowest].flows.tail->data
                                      : NULL;
        if (lowest <= band) {
            return false;
        }
        if (flow) {
            drop_packet(egress, flow, flow->packets.tail,
                        RP_COUNT_DROP_EGRESS_FULL);
        }
        else {
            lowest--;
        }
    }
    return true;
}

static void
keep_packet(struct rp_egress *egress, struct flow_queue *flow, unsigned band,
            int64_t now, const struct rp_egress_offer *offer)
{
    const struct rp_packet *packet = offer->packet;
    size_t len = offer->header_len + packet->len;
    struct rp_egress_packet *copy = g_malloc(sizeof *copy + len);

    *copy = (struct rp_egress_packet){
        .key = packet->key,
        .to = offer->to,
        .seq = packet->seq,
        .payload_len = packet->payload_len,
        .flags = packet->flags,
        .urgent = offer->rank != RP_EGRESS_BULK,
        .deadline = now + (RpPacket_Opens(packet) ? RP_EGRESS_SYN_LIFETIME_US
                                                  : RP_EGRESS_LIFETIME_US),
        .len = len};
    memcpy(copy->data, offer->header, offer->header_len);
    memcpy(copy->data + offer->header_len, packet->data, packet->len);
    if (!flow) {
        flow = g_new0(struct flow_queue, 1);
        flow->key = packet->key;
        flow->band = band;
        g_queue_init(&flow->packets);
        g_hash_table_insert(egress->flows, &flow->key, flow);
        g_queue_push_tail(&egress->band[band].flows, flow);
    }
    g_queue_push_tail(&flow->packets, copy);
    egress->count++;
    egress->bytes += bytes_on_link(copy);
    egress->band[flow->band].bytes += bytes_on_link(copy);
    RpCounters_Add(egress->counters, RP_COUNT_EGRESS_WAITED);
}

/* Whether a packet of this band may go out before all that waits. */
static bool
is_first(const struct rp_egress *egress, unsigned band)
{
    for (unsigned i = 0; i <= band; i++) {
        if (egress->band[i].flows.length > 0) {
            return false;
        }
    }
    return true;
}

enum rp_egress_verdict
RpEgress_Offer(struct rp_egress *egress, int64_t now,
               const struct rp_egress_offer *offer)
{
    const struct rp_packet *packet = offer->packet;
    size_t len = offer->header_len + packet->len;
    unsigned band = find_band(offer->rank, offer->priority);
    struct flow_queue *flow = g_hash_table_lookup(egress->flows, &packet->key);

    if (flow && packet->flags & RP_TCP_RST) {
        drop_flow(egress, &packet->key, RP_COUNT_DROP_EGRESS_RESET);
        flow = NULL;
    }
    if (flow && is_copy(flow, packet)) {
        RpCounters_Add(egress->counters, RP_COUNT_DROP_EGRESS_COPY);
        return RP_EGRESS_DROPPED;
    }
    if (!flow && is_first(egress, band) &&
        RpLink_Backlog(egress->link, now) < RP_EGRESS_FULL_US) {
        RpLink_Send(egress->link, now, len, offer->rank != RP_EGRESS_BULK);
        return RP_EGRESS_SEND;
    }
    if (!make_room(egress, flow ? flow->band : band, len + RP_LINK_OVERHEAD)) {
        RpCounters_Add(egress->counters, RP_COUNT_DROP_EGRESS_FULL);
        return RP_EGRESS_DROPPED;
    }
    keep_packet(egress, flow, band, now, offer);
    return RP_EGRESS_KEPT;
}

/* Removes the next packet that is not too old. */
static struct rp_egress_packet *
take_next(struct rp_egress *egress, int64_t now)
{
    for (unsigned i = 0; i < BANDS; i++) {
        struct flow_queue *flow;
        while ((flow = g_queue_peek_head(&egress->band[i].flows))) {
            struct rp_egress_packet *packet = flow->packets.head->data;
            if (packet->deadline <= now) {
                drop_packet(egress, flow, flow->packets.head,
                            RP_COUNT_DROP_EGRESS_LATE);
                continue;
            }
            /* Move the flow behind the others before the packet is taken,
             * which may free the flow. */
            g_queue_push_tail_link(
                &egress->band[i].flows,
                g_queue_pop_head_link(&egress->band[i].flows));
            return take_packet(egress, flow, flow->packets.head);
        }
    }
    return NULL;
}

struct rp_egress_packet *
RpEgress_TakeAny(struct rp_egress *egress, int64_t now)
{
    struct rp_egress_packet *packet = take_next(egress, now);

    if (packet) {
        RpLink_Send(egress->link, now, packet->len, packet->urgent);
    }
    return packet;
}

struct rp_egress_packet *
RpEgress_Take(struct rp_egress *egress, int64_t now)
{
    return RpLink_Backlog(egress->link, now) < RP_EGRESS_FULL_US
               ? RpEgress_TakeAny(egress, now)
               : NULL;
}

int64_t
RpEgress_NextRefill(const struct rp_egress *egress)
{
    return egress->count > 0 ? egress->link->free_at - RP_EGRESS_REFILL_US
                             : RP_NEVER;
}

size_t
RpEgress_Count(const struct rp_egress *egress)
{
    return egress->count;
}

size_t
RpEgress_Bytes(const struct rp_egress *egress)
{
    return egress->bytes;
}

size_t
RpEgress_BytesBefore(const struct rp_egress *egress, uint32_t priority)
{
    size_t bytes = 0;

    for (unsigned i = 0; i <= find_band(RP_EGRESS_BULK, priority); i++) {
        bytes += egress->band[i].bytes;
    }
    return bytes;
}
