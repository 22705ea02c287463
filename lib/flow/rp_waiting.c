/* A bounded FIFO queue of packets. See rp_waiting.h. */
#include "rp_waiting.h"

#include <glib.h>
#include <string.h>

struct rp_waiting {
    GQueue packets;    /* of struct rp_waiting_packet, oldest first */
    GHashTable *opens; /* flow key -> link in `packets` of its SYN */
    size_t bytes;
};

struct rp_waiting *
RpWaiting_Create(void)
{
    struct rp_waiting *waiting = g_new0(struct rp_waiting, 1);

    g_queue_init(&waiting->packets);
    waiting->opens = g_hash_table_new(RpFlowKey_Hash, RpFlowKey_EqualKeys);
    return waiting;
}

void
RpWaiting_Free(struct rp_waiting *waiting)
{
    if (waiting) {
        g_hash_table_destroy(waiting->opens);
        g_queue_clear_full(&waiting->packets, g_free);
        g_free(waiting);
    }
}

/* Removes a packet from the queue and returns it. */
static struct rp_waiting_packet *
take_link(struct rp_waiting *waiting, GList *link)
{
    struct rp_waiting_packet *packet = link->data;

    if (packet->opens) {
        g_hash_table_remove(waiting->opens, &packet->key);
    }
    waiting->bytes -= packet->len;
    g_queue_delete_link(&waiting->packets, link);
    return packet;
}

struct rp_waiting_packet *
RpWaiting_Take(struct rp_waiting *waiting)
{
    return waiting->packets.head ? take_link(waiting, waiting->packets.head)
                                 : NULL;
}

void
RpWaiting_Return(struct rp_waiting *waiting, struct rp_waiting_packet *packet)
{
    g_queue_push_tail(&waiting->packets, packet);
    if (packet->opens) {
        g_hash_table_insert(waiting->opens, &packet->key,
                            waiting->packets.tail);
    }
    waiting->bytes += packet->len;
}

size_t
RpWaiting_Put(struct rp_waiting *waiting, int64_t now,
              const struct rp_packet *packet, struct rp_endpoint from)
{
    size_t dropped = 0;

    if (packet->len > RP_WAITING_MAX_BYTES) {
        return 1;
    }
    struct rp_waiting_packet *copy = g_malloc(sizeof *copy + packet->len);
    *copy = (struct rp_waiting_packet){.key = packet->key,
                                       .from = from,
                                       .opens = RpPacket_Opens(packet),
                                       .deadline = now +
                                                   RP_WAITING_LIFETIME_US,
                                       .len = packet->len};
    memcpy(copy->data, packet->data, packet->len);
    if (copy->opens) {
        GList *earlier = g_hash_table_lookup(waiting->opens, &copy->key);
        if (earlier) {
            g_free(take_link(waiting, earlier));
        }
    }
    while (waiting->packets.length >= RP_WAITING_MAX_PACKETS ||
           waiting->bytes + copy->len > RP_WAITING_MAX_BYTES) {
        g_free(RpWaiting_Take(waiting));
        dropped++;
    }
    RpWaiting_Return(waiting, copy);
    return dropped;
}

size_t
RpWaiting_Expire(struct rp_waiting *waiting, int64_t now)
{
    size_t expired = 0;

    /* All packets wait equally long, so they are in the order of their
     * deadlines. */
    while (
        waiting->packets.head &&
        ((struct rp_waiting_packet *)waiting->packets.head->data)->deadline <=
            now) {
        g_free(RpWaiting_Take(waiting));
        expired++;
    }
    return expired;
}

size_t
RpWaiting_Count(const struct rp_waiting *waiting)
{
    return waiting->packets.length;
}
