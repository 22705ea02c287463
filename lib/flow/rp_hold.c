/* A hash table of kept packets. See rp_hold.h. */
#include "rp_hold.h"

#include <glib.h>
#include <string.h>

struct rp_hold {
    GHashTable *packets; /* caller key -> struct rp_held_packet */
};

struct rp_hold *
RpHold_Create(void)
{
    struct rp_hold *hold = g_new0(struct rp_hold, 1);

    hold->packets = g_hash_table_new_full(RpFlowKey_Hash, RpFlowKey_EqualKeys,
                                          g_free, g_free);
    return hold;
}

void
RpHold_Free(struct rp_hold *hold)
{
    if (hold) {
        g_hash_table_destroy(hold->packets);
        g_free(hold);
    }
}

bool
RpHold_Put(struct rp_hold *hold, struct rp_flow_key caller,
           const struct rp_chain *chain, const uint8_t *data, size_t len)
{
    if (len > RP_HOLD_MAX_PACKET_SIZE ||
        (g_hash_table_size(hold->packets) >= RP_HOLD_MAX_PACKETS &&
         !g_hash_table_contains(hold->packets, &caller))) {
        return false;
    }
    struct rp_held_packet *held = g_malloc(sizeof *held + len);
    held->chain = *chain;
    held->len = len;
    memcpy(held->data, data, len);
    g_hash_table_replace(hold->packets, g_memdup2(&caller, sizeof caller),
                         held);
    return true;
}

const struct rp_held_packet *
RpHold_Get(const struct rp_hold *hold, struct rp_flow_key caller)
{
    return g_hash_table_lookup(hold->packets, &caller);
}

void
RpHold_Drop(struct rp_hold *hold, struct rp_flow_key caller)
{
    g_hash_table_remove(hold->packets, &caller);
}

struct rp_held_packet *
RpHold_Take(struct rp_hold *hold, struct rp_flow_key caller)
{
    gpointer stored_key;
    gpointer held;

    if (!g_hash_table_steal_extended(hold->packets, &caller, &stored_key,
                                     &held)) {
        return NULL;
    }
    g_free(stored_key);
    return held;
}
