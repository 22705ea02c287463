/* Hints about owners of flows, in buckets by the flow's hash. See
 * rp_owner_hints.h. */
#include "rp_owner_hints.h"

#include <glib.h>

#define BUCKETS (RP_OWNER_HINTS_MAX / RP_OWNER_HINTS_BUCKET)

struct entry {
    struct rp_flow_key flow;
    uint32_t seq;     /* of the flow's last packet, or further on */
    int64_t deadline; /* 0: the entry is free */
    struct rp_owner owner;
};

struct rp_owner_hints {
    struct entry bucket[BUCKETS][RP_OWNER_HINTS_BUCKET];
    struct rp_owner found; /* the last result */
};

struct rp_owner_hints *
RpOwnerHints_Create(void)
{
    return g_new0(struct rp_owner_hints, 1);
}

void
RpOwnerHints_Free(struct rp_owner_hints *hints)
{
    g_free(hints);
}

/* Returns the flow's entry, or NULL. */
static struct entry *
find_entry(struct rp_owner_hints *hints, uint64_t hash,
           struct rp_flow_key flow)
{
    struct entry *bucket = hints->bucket[hash % BUCKETS];

    for (size_t i = 0; i < RP_OWNER_HINTS_BUCKET; i++) {
        if (bucket[i].deadline != 0 && RpFlowKey_Equal(bucket[i].flow, flow)) {
            return &bucket[i];
        }
    }
    return NULL;
}

/* Returns a free entry for the flow, or the one that was not used for the
 * longest time. */
static struct entry *
find_oldest(struct rp_owner_hints *hints, uint64_t hash)
{
    struct entry *bucket = hints->bucket[hash % BUCKETS];
    struct entry *oldest = &bucket[0];

    for (size_t i = 1; i < RP_OWNER_HINTS_BUCKET; i++) {
        if (bucket[i].deadline < oldest->deadline) {
            oldest = &bucket[i];
        }
    }
    return oldest;
}

void
RpOwnerHints_Put(struct rp_owner_hints *hints, int64_t now, uint64_t hash,
                 const struct rp_owner_hint *hint, struct rp_endpoint agent)
{
    struct entry *entry = find_entry(hints, hash, hint->flow);

    if (!entry) {
        entry = find_oldest(hints, hash);
    }
    *entry = (struct entry){
        .flow = hint->flow,
        .seq = hint->seq,
        .deadline = now + RP_OWNER_HINT_LIFETIME_US,
        .owner = {.agent = agent, .service_id = hint->service_id}};
}

const struct rp_owner *
RpOwnerHints_Find(struct rp_owner_hints *hints, int64_t now, uint64_t hash,
                  const struct rp_packet *packet)
{
    struct entry *entry = find_entry(hints, hash, packet->key);

    if (!entry) {
        return NULL;
    }
    int32_t distance = RpSeq_Distance(entry->seq, packet->seq);
    if (RpPacket_Opens(packet) || now >= entry->deadline ||
        distance > RP_OWNER_HINT_SEQ_SPAN ||
        distance < -RP_OWNER_HINT_SEQ_SPAN) {
        entry->deadline = 0;
        return NULL;
    }
    hints->found = entry->owner;
    if (packet->flags & RP_TCP_RST) {
        entry->deadline = 0;
    }
    else {
        entry->deadline = now + RP_OWNER_HINT_LIFETIME_US;
        entry->seq = distance > 0 ? packet->seq : entry->seq;
    }
    return &hints->found;
}
