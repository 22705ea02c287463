/* The service table: updates from control, and the ranking of members by
 * weighted rendezvous hashing. See rp_table.h. */
#include "rp_table.h"

#include <assert.h>
#include <math.h>
#include <sodium.h>
#include <string.h>

#include "rp_bytes.h"
#include "rp_zones.h"

#define LOG_TABLE_BITS 8
#define LOG_TABLE_SIZE (1u << LOG_TABLE_BITS)
#define LOG_FRACTION_BITS 20 /* fraction bits of the fixed-point logarithm */
#define INVERSE_SCALE (UINT64_C(1) << 32)

struct rp_table {
    uint64_t revision;
    uint8_t hash_key[RP_HASH_KEY_SIZE];
    GHashTable *by_address; /* address key -> struct rp_service */
    GHashTable *by_id;      /* service id -> struct rp_service, owns it */
    GHashTable *vips;       /* address key -> struct rp_vip */
    struct rp_name preferred_zone;
    uint32_t zone_weight;  /* factor for members in the preferred zone */
    bool may_lack_members; /* the sender has just started */
    bool was_complete;     /* an update did not set `may_lack_members` */
    bool cut_off;          /* the sender may be stale */
    /* Names of members that were dropped at the end of `may_lack_members`. */
    GHashTable *unaccounted;
    uint64_t additions;    /* members that updates have added */
    struct rp_zones zones; /* of the members, and the evacuated ones */
};

/* Entry i is log2(1 + i / LOG_TABLE_SIZE) in fixed point. */
static uint32_t log_table[LOG_TABLE_SIZE + 1];

static void
fill_log_table(void)
{
    for (unsigned i = 0; i <= LOG_TABLE_SIZE; i++) {
        double value = log2(1.0 + (double)i / LOG_TABLE_SIZE);
        log_table[i] = (uint32_t)lround(ldexp(value, LOG_FRACTION_BITS));
    }
}

static void
free_service(gpointer data)
{
    struct rp_service *service = data;

    g_free(service->members);
    g_free(service);
}

static void
free_vip(gpointer data)
{
    struct rp_vip *vip = data;

    g_free(vip->targets);
    g_free(vip);
}

struct rp_table *
RpTable_Create(void)
{
    struct rp_table *table = g_new0(struct rp_table, 1);

    if (log_table[LOG_TABLE_SIZE] == 0) {
        fill_log_table();
    }
    table->by_address = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                              g_free, NULL);
    table->by_id = g_hash_table_new_full(NULL, NULL, NULL, free_service);
    table->vips = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                        free_vip);
    table->unaccounted = g_hash_table_new_full(RpName_Hash, RpName_EqualKeys,
                                               g_free, NULL);
    RpZones_Init(&table->zones);
    table->zone_weight = 1;
    return table;
}

void
RpTable_PreferZone(struct rp_table *table, const struct rp_name *zone,
                   uint32_t weight)
{
    table->preferred_zone = *zone;
    table->zone_weight = MAX(weight, 1);
}

void
RpTable_Free(struct rp_table *table)
{
    if (table) {
        g_hash_table_destroy(table->by_address);
        g_hash_table_destroy(table->by_id);
        g_hash_table_destroy(table->vips);
        g_hash_table_destroy(table->unaccounted);
        RpZones_Clear(&table->zones);
        g_free(table);
    }
}

bool
RpTable_IsEvacuated(const struct rp_table *table, const struct rp_name *zone)
{
    return RpZones_IsEvacuated(&table->zones, zone);
}

static void
init_member(struct rp_table *table, struct rp_member *member,
            const struct rp_msg_member *from)
{
    /* A constant key: all instances must rank members alike. */
    static const uint8_t name_hash_key[crypto_shorthash_KEYBYTES] =
        "member-seed-v1";
    uint8_t digest[crypto_shorthash_BYTES];

    member->name = from->upstream;
    member->agent = (struct rp_endpoint){.ip = from->agent_ip,
                                         .port = from->agent_port};
    member->slots = MAX(from->slots, 1);
    uint64_t weight = member->slots;
    if (RpName_Equal(&table->preferred_zone, &from->zone)) {
        weight *= table->zone_weight;
        member->in_preferred_zone = true;
    }
    member->inverse_weight = (uint32_t)MIN(INVERSE_SCALE / weight, UINT32_MAX);
    member->state = (enum rp_upstream_state)from->state;
    member->zone = RpZones_Index(&table->zones, &from->zone);
    member->evacuated = RpTable_IsEvacuated(table, &from->zone);
    crypto_shorthash(digest, (const uint8_t *)from->upstream.data,
                     from->upstream.len, name_hash_key);
    member->name_hash = RpBytes_Get64(digest);
}

static bool
has_member(const struct rp_service *service, const struct rp_name *name)
{
    for (size_t i = 0; i < service->count; i++) {
        if (RpName_Equal(&service->members[i].name, name)) {
            return true;
        }
    }
    return false;
}

/* Adds the members of `old` that `service` does not have. */
static void
add_missing_members(struct rp_service *service, const struct rp_service *old)
{
    for (size_t i = 0; i < old->count; i++) {
        if (!has_member(service, &old->members[i].name)) {
            service->members = g_renew(struct rp_member, service->members,
                                       service->count + 1);
            service->members[service->count++] = old->members[i];
        }
    }
}

static struct rp_service *
create_service(struct rp_table *table, const struct rp_msg_service *from)
{
    struct rp_service *service = g_new0(struct rp_service, 1);

    service->name = from->name;
    service->address = (struct rp_endpoint){.ip = from->address,
                                            .port = from->port};
    service->tag = (struct rp_service_tag){.service_id = from->id,
                                           .incarnation = from->incarnation,
                                           .generation = from->generation};
    service->flows_per_upstream = from->flows_per_upstream;
    service->retries_percent = from->retries_percent;
    service->silence_ms = from->silence_ms;
    service->long_slots_percent = from->long_slots_percent;
    service->warmup_ms = from->warmup_ms;
    service->cold_per_1000_s = from->cold_per_1000_s;
    service->count = from->members->len;
    service->members = g_new0(struct rp_member, service->count);
    for (size_t i = 0; i < service->count; i++) {
        init_member(table, &service->members[i],
                    &g_array_index(from->members, struct rp_msg_member, i));
    }
    return service;
}

static void
remove_service(struct rp_table *table, uint32_t id)
{
    const struct rp_service *service = g_hash_table_lookup(
        table->by_id, GUINT_TO_POINTER(id));

    if (!service) {
        return;
    }
    guint64 key = RpEndpoint_Key(service->address);
    if (g_hash_table_lookup(table->by_address, &key) == service) {
        g_hash_table_remove(table->by_address, &key);
    }
    g_hash_table_remove(table->by_id, GUINT_TO_POINTER(id));
}

/* Records the members of `old` that `service` lacks because the replica that
 * sends it never heard of them: it has not been told that they are gone. */
static void
record_unaccounted(struct rp_table *table, const struct rp_service *service,
                   const struct rp_service *old)
{
    for (size_t i = 0; i < old->count; i++) {
        const struct rp_name *name = &old->members[i].name;
        if (!has_member(service, name)) {
            g_hash_table_add(table->unaccounted,
                             g_memdup2(name, sizeof *name));
        }
    }
}

/* `had_gathered` says that the table may have lacked members until this
 * update, which does not. */
static void
put_service(struct rp_table *table, const struct rp_msg_service *from,
            bool had_gathered)
{
    struct rp_service *service = create_service(table, from);
    guint64 key = RpEndpoint_Key(service->address);
    const struct rp_service *old = g_hash_table_lookup(
        table->by_id, GUINT_TO_POINTER(from->id));

    if (old && table->may_lack_members) {
        add_missing_members(service, old);
    }
    if (old && had_gathered) {
        record_unaccounted(table, service, old);
    }
    for (size_t i = 0; i < service->count; i++) {
        const struct rp_name *name = &service->members[i].name;
        g_hash_table_remove(table->unaccounted, name);
        table->additions += !old || !has_member(old, name);
    }
    remove_service(table, from->id);
    g_hash_table_insert(table->by_id, GUINT_TO_POINTER(from->id), service);
    if (service->address.port != 0) {
        g_hash_table_replace(table->by_address, g_memdup2(&key, sizeof key),
                             service);
    }
}

static void
remove_vip(struct rp_table *table, struct rp_endpoint address)
{
    guint64 key = RpEndpoint_Key(address);

    g_hash_table_remove(table->vips, &key);
}

static void
put_vip(struct rp_table *table, const struct rp_msg_vip *from)
{
    struct rp_vip *vip = g_new0(struct rp_vip, 1);

    *vip = (struct rp_vip){
        .address = {.ip = from->address, .port = from->port},
        .kind = (enum rp_request_kind)from->kind,
        .priority = from->priority,
        .timeout_ms = from->timeout_ms,
        .target_ms = from->target_ms,
        .count = from->targets->len,
        .targets = g_memdup2(from->targets->data,
                             from->targets->len *
                                 sizeof(struct rp_msg_target))};
    for (size_t i = 0; i < vip->count; i++) {
        vip->weight_sum += vip->targets[i].weight;
    }
    guint64 key = RpEndpoint_Key(vip->address);
    g_hash_table_replace(table->vips, g_memdup2(&key, sizeof key), vip);
}

static void
apply_vips(struct rp_table *table, const struct rp_msg_table *update)
{
    for (guint i = 0; update->removed_vips && i < update->removed_vips->len;
         i++) {
        const struct rp_msg_removed_vip *removed = &g_array_index(
            update->removed_vips, struct rp_msg_removed_vip, i);
        remove_vip(table, (struct rp_endpoint){.ip = removed->address,
                                               .port = removed->port});
    }
    for (guint i = 0; update->vips && i < update->vips->len; i++) {
        put_vip(table, &g_array_index(update->vips, struct rp_msg_vip, i));
    }
}

/* Removes all virtual addresses, and the services that a whole table does not
 * list. Listed services stay until put_service replaces them, since it may
 * have to keep their members. */
static void
remove_unlisted(struct rp_table *table, const struct rp_msg_table *update)
{
    GHashTable *listed = g_hash_table_new(NULL, NULL);
    GHashTableIter iter;
    gpointer id;

    for (guint i = 0; update->services && i < update->services->len; i++) {
        g_hash_table_add(
            listed,
            GUINT_TO_POINTER(
                g_array_index(update->services, struct rp_msg_service, i).id));
    }
    g_hash_table_remove_all(table->by_address);
    g_hash_table_remove_all(table->vips);
    g_hash_table_iter_init(&iter, table->by_id);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        if (!g_hash_table_contains(listed, id)) {
            g_hash_table_iter_remove(&iter);
        }
    }
    g_hash_table_destroy(listed);
}

/* Replaces the evacuated data centres and marks the members in them. */
static void
apply_evacuated(struct rp_table *table, const GArray *evacuated)
{
    const GArray *names = table->zones.names;
    GHashTableIter iter;
    gpointer value;

    if (!evacuated || !RpZones_Replace(&table->zones, evacuated)) {
        return;
    }
    g_hash_table_iter_init(&iter, table->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rp_service *service = value;
        for (size_t i = 0; i < service->count; i++) {
            struct rp_member *member = &service->members[i];
            member->evacuated = RpTable_IsEvacuated(
                table, &g_array_index(names, struct rp_name, member->zone));
        }
    }
}

const GArray *
RpTable_Evacuated(const struct rp_table *table)
{
    return table->zones.evacuated;
}

uint64_t
RpTable_CountEvacuationChanges(const struct rp_table *table)
{
    return table->zones.changes;
}

bool
RpTable_MayLackMembers(const struct rp_table *table)
{
    return table->may_lack_members;
}

bool
RpTable_IsFirst(const struct rp_table *table)
{
    return table->revision > 0 && table->may_lack_members &&
           !table->was_complete && !table->cut_off;
}

uint64_t
RpTable_CountAdditions(const struct rp_table *table)
{
    return table->additions;
}

bool
RpTable_IsAuthoritative(const struct rp_table *table)
{
    return table->revision > 0 && !table->may_lack_members &&
           !table->cut_off && g_hash_table_size(table->unaccounted) == 0;
}

enum rp_code
RpTable_Apply(struct rp_table *table, const struct rp_msg_table *update)
{
    if (update->revision < table->revision) {
        return RP_ERR_CONFLICT;
    }
    bool had_gathered = table->may_lack_members && !update->gathering;
    table->may_lack_members = update->gathering;
    table->was_complete |= !update->gathering;
    table->cut_off = update->cut_off;
    apply_evacuated(table, update->evacuated);
    if (update->complete) {
        remove_unlisted(table, update);
    }
    for (guint i = 0; update->removed && i < update->removed->len; i++) {
        remove_service(
            table,
            g_array_index(update->removed, struct rp_msg_removed, i).id);
    }
    for (guint i = 0; update->services && i < update->services->len; i++) {
        put_service(table,
                    &g_array_index(update->services, struct rp_msg_service, i),
                    had_gathered);
    }
    apply_vips(table, update);
    memcpy(table->hash_key, update->hash_key, RP_HASH_KEY_SIZE);
    table->revision = update->revision;
    return RP_OK;
}

uint64_t
RpTable_Revision(const struct rp_table *table)
{
    return table->revision;
}

size_t
RpTable_CountServices(const struct rp_table *table)
{
    return g_hash_table_size(table->by_id);
}

const struct rp_service *
RpTable_FindByAddress(const struct rp_table *table, struct rp_endpoint address)
{
    guint64 key = RpEndpoint_Key(address);

    return g_hash_table_lookup(table->by_address, &key);
}

const struct rp_vip *
RpTable_FindVip(const struct rp_table *table, struct rp_endpoint address)
{
    guint64 key = RpEndpoint_Key(address);

    return g_hash_table_lookup(table->vips, &key);
}

const struct rp_service *
RpTable_FindById(const struct rp_table *table, uint32_t id)
{
    return g_hash_table_lookup(table->by_id, GUINT_TO_POINTER(id));
}

const struct rp_service *
RpTable_FindByName(const struct rp_table *table, const struct rp_name *name)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, table->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rp_service *service = value;
        if (RpName_Equal(&service->name, name)) {
            return service;
        }
    }
    return NULL;
}

uint64_t
RpTable_HashFlow(const struct rp_table *table, struct rp_flow_key key)
{
    uint8_t bytes[12];
    uint8_t digest[crypto_shorthash_BYTES];

    RpBytes_Put32(bytes, key.src_ip);
    RpBytes_Put32(bytes + 4, key.dst_ip);
    RpBytes_Put16(bytes + 8, key.src_port);
    RpBytes_Put16(bytes + 10, key.dst_port);
    crypto_shorthash(digest, bytes, sizeof bytes, table->hash_key);
    return RpBytes_Get64(digest);
}

/* The 64-bit finaliser of MurmurHash3: every input bit affects every output
 * bit. */
static uint64_t
mix_bits(uint64_t x)
{
    x ^= x >> 33;
    x *= UINT64_C(0xff51afd7ed558ccd);
    x ^= x >> 33;
    x *= UINT64_C(0xc4ceb9fe1a85ec53);
    x ^= x >> 33;
    return x;
}

/* Returns -log2(h / 2^64) in fixed point. `h` is taken as uniformly
 * distributed. The table is interpolated linearly. */
static uint32_t
negative_log2(uint64_t h)
{
    h |= 1;
    int zeros = __builtin_clzll(h);
    uint64_t mantissa = h << zeros << 1; /* without the leading 1 bit */
    uint32_t index = (uint32_t)(mantissa >> (64 - LOG_TABLE_BITS));
    uint64_t fraction = mantissa << LOG_TABLE_BITS >> 32;
    uint32_t step = log_table[index + 1] - log_table[index];
    uint32_t log = log_table[index] + (uint32_t)(step * fraction >> 32);

    return ((uint32_t)(zeros + 1) << LOG_FRACTION_BITS) - log;
}

/* The negative logarithm of a uniform value is exponentially distributed, so
 * dividing it by the weight gives each member a share of the flows in
 * proportion to its weight. */
uint64_t
RpMember_Score(const struct rp_member *member, uint64_t flow_hash)
{
    uint32_t draw = negative_log2(mix_bits(flow_hash ^ member->name_hash));

    return (uint64_t)draw * member->inverse_weight;
}

const struct rp_service *
RpTable_SelectService(const struct rp_table *table, struct rp_endpoint address,
                      uint64_t flow_hash)
{
    const struct rp_vip *vip = RpTable_FindVip(table, address);

    if (!vip || vip->weight_sum == 0) {
        return RpTable_FindByAddress(table, address);
    }
    uint64_t draw = mix_bits(flow_hash) % vip->weight_sum;
    size_t i = 0;
    while (draw >= vip->targets[i].weight) {
        draw -= vip->targets[i++].weight;
    }
    return g_hash_table_lookup(table->by_id,
                               GUINT_TO_POINTER(vip->targets[i].service_id));
}

const struct rp_member *
RpService_FindMember(const struct rp_service *service,
                     struct rp_endpoint agent)
{
    for (size_t i = 0; i < service->count; i++) {
        if (RpEndpoint_Equal(service->members[i].agent, agent)) {
            return &service->members[i];
        }
    }
    return NULL;
}

bool
RpService_IsEvacuated(const struct rp_service *service)
{
    bool has_ready = false;

    for (size_t i = 0; i < service->count; i++) {
        const struct rp_member *member = &service->members[i];
        if (member->state != RP_UPSTREAM_READY) {
            continue;
        }
        if (!member->evacuated) {
            return false;
        }
        has_ready = true;
    }
    return has_ready;
}

size_t
RpService_RankMembers(const struct rp_service *service, uint64_t flow_hash,
                      unsigned states, const struct rp_member **out,
                      size_t max)
{
    uint64_t scores[RP_MAX_CHAIN];
    size_t count = 0;

    assert(max <= RP_MAX_CHAIN);
    for (size_t i = 0; i < service->count; i++) {
        const struct rp_member *member = &service->members[i];
        if (!(states >> member->state & 1) ||
            (member->evacuated && !(states & RP_MEMBERS_EVACUATED))) {
            continue;
        }
        uint64_t score = RpMember_Score(member, flow_hash);
        size_t rank = count;
        while (rank > 0 && score < scores[rank - 1]) {
            rank--;
        }
        if (rank >= max) {
            continue;
        }
        count = MIN(count + 1, max);
        for (size_t j = count - 1; j > rank; j--) {
            scores[j] = scores[j - 1];
            out[j] = out[j - 1];
        }
        scores[rank] = score;
        out[rank] = member;
    }
    return count;
}
