/* The flow table: open addressing with linear probing. See rp_flow_table.h. */
#include "rp_flow_table.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#define SHARD_MIN_BUCKETS 16 /* a power of two */

struct shard {
    struct rp_flow *buckets;
    size_t mask; /* number of buckets - 1 */
    size_t used;
};

struct rp_flow_table {
    struct shard shards[RP_FLOW_SHARDS];
    uint64_t seed;
    size_t count;
    /* Where the next RpFlowTable_CollectExpired continues. */
    size_t sweep_shard;
    size_t sweep_bucket;
};

struct rp_flow_table *
RpFlowTable_Create(uint64_t seed)
{
    struct rp_flow_table *table = g_new0(struct rp_flow_table, 1);

    table->seed = seed;
    for (size_t i = 0; i < RP_FLOW_SHARDS; i++) {
        table->shards[i].buckets = g_new0(struct rp_flow, SHARD_MIN_BUCKETS);
        table->shards[i].mask = SHARD_MIN_BUCKETS - 1;
    }
    return table;
}

void
RpFlowTable_Free(struct rp_flow_table *table)
{
    if (!table) {
        return;
    }
    for (size_t i = 0; i < RP_FLOW_SHARDS; i++) {
        g_free(table->shards[i].buckets);
    }
    g_free(table);
}

static uint64_t
hash_key(const struct rp_flow_table *table, struct rp_flow_key caller)
{
    uint64_t x = (uint64_t)caller.src_ip << 16 | caller.src_port;

    x ^= ((uint64_t)caller.dst_ip << 16 | caller.dst_port) << 17;
    x ^= table->seed;
    x *= UINT64_C(0x9e3779b97f4a7c15);
    x ^= x >> 32;
    x *= UINT64_C(0xd6e8feb86659fd93);
    x ^= x >> 32;
    return x;
}

/* The highest bits of the hash select the shard, the lowest the bucket. */
static struct shard *
select_shard(struct rp_flow_table *table, uint64_t hash)
{
    return &table->shards[hash >> 58 & (RP_FLOW_SHARDS - 1)];
}

/* Returns the entry of `caller`, or the free bucket where it would go. */
static struct rp_flow *
find_bucket(const struct shard *shard, uint64_t hash,
            struct rp_flow_key caller)
{
    size_t bucket = hash & shard->mask;

    while (shard->buckets[bucket].state != 0 &&
           !RpFlowKey_Equal(shard->buckets[bucket].caller, caller)) {
        bucket = (bucket + 1) & shard->mask;
    }
    return &shard->buckets[bucket];
}

struct rp_flow *
RpFlowTable_Find(struct rp_flow_table *table, struct rp_flow_key caller)
{
    uint64_t hash = hash_key(table, caller);
    struct rp_flow *flow = find_bucket(select_shard(table, hash), hash,
                                       caller);

    return flow->state != 0 ? flow : NULL;
}

static void
grow_shard(struct rp_flow_table *table, struct shard *shard)
{
    struct shard bigger = {.mask = shard->mask * 2 + 1, .used = shard->used};

    bigger.buckets = g_new0(struct rp_flow, bigger.mask + 1);
    for (size_t i = 0; i <= shard->mask; i++) {
        const struct rp_flow *flow = &shard->buckets[i];
        if (flow->state != 0) {
            *find_bucket(&bigger, hash_key(table, flow->caller),
                         flow->caller) = *flow;
        }
    }
    g_free(shard->buckets);
    *shard = bigger;
}

struct rp_flow *
RpFlowTable_Insert(struct rp_flow_table *table, struct rp_flow_key caller)
{
    uint64_t hash = hash_key(table, caller);
    struct shard *shard = select_shard(table, hash);

    /* At most three quarters of the buckets are in use. */
    if ((shard->used + 1) * 4 > (shard->mask + 1) * 3) {
        grow_shard(table, shard);
    }
    struct rp_flow *flow = find_bucket(shard, hash, caller);
    assert(flow->state == 0);
    memset(flow, 0, sizeof *flow);
    flow->caller = caller;
    flow->state = UINT8_MAX;
    shard->used++;
    table->count++;
    return flow;
}

void
RpFlowTable_Remove(struct rp_flow_table *table, struct rp_flow *flow)
{
    struct shard *shard = select_shard(table, hash_key(table, flow->caller));
    size_t hole = (size_t)(flow - shard->buckets);
    size_t bucket = hole;

    assert(hole <= shard->mask && flow->state != 0);
    for (;;) {
        bucket = (bucket + 1) & shard->mask;
        struct rp_flow *next = &shard->buckets[bucket];
        if (next->state == 0) {
            break;
        }
        size_t home = hash_key(table, next->caller) & shard->mask;
        /* The entry may fill the hole unless its home bucket, where probing
         * for it begins, comes after the hole. */
        if (((bucket - home) & shard->mask) >=
            ((bucket - hole) & shard->mask)) {
            shard->buckets[hole] = *next;
            hole = bucket;
        }
    }
    shard->buckets[hole].state = 0;
    shard->used--;
    table->count--;
}

size_t
RpFlowTable_Count(const struct rp_flow_table *table)
{
    return table->count;
}

size_t
RpFlowTable_CountBuckets(const struct rp_flow_table *table)
{
    size_t bucket_count = 0;

    for (size_t i = 0; i < RP_FLOW_SHARDS; i++) {
        bucket_count += table->shards[i].mask + 1;
    }
    return bucket_count;
}

size_t
RpFlowTable_Bytes(const struct rp_flow_table *table)
{
    return sizeof *table +
           RpFlowTable_CountBuckets(table) * sizeof(struct rp_flow);
}

void
RpFlowTable_CollectFlagged(const struct rp_flow_table *table, uint16_t flags,
                           GArray *out)
{
    for (size_t i = 0; i < RP_FLOW_SHARDS; i++) {
        const struct shard *shard = &table->shards[i];
        for (size_t j = 0; j <= shard->mask; j++) {
            const struct rp_flow *flow = &shard->buckets[j];
            if (flow->state != 0 && (flow->flags & flags)) {
                g_array_append_val(out, flow->caller);
            }
        }
    }
}

size_t
RpFlowTable_CollectExpired(struct rp_flow_table *table, int64_t now,
                           size_t budget, struct rp_flow_key *out, size_t max)
{
    size_t found = 0;

    while (budget-- > 0 && found < max) {
        const struct shard *shard = &table->shards[table->sweep_shard];
        if (table->sweep_bucket > shard->mask) {
            table->sweep_bucket = 0;
            table->sweep_shard = (table->sweep_shard + 1) % RP_FLOW_SHARDS;
            continue;
        }
        const struct rp_flow *flow = &shard->buckets[table->sweep_bucket++];
        if (flow->state != 0 && flow->deadline <= now) {
            out[found++] = flow->caller;
        }
    }
    return found;
}
