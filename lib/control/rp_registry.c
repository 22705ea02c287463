/* Merging of announcements, and expiry of leases. */
#include "rp_registry.h"

#include <string.h>

struct rp_registry {
    GHashTable *upstreams;  /* name -> struct rp_upstream */
    GHashTable *by_service; /* name -> GPtrArray of struct rp_upstream */
    GHashTable *replicas;   /* name -> int64_t, time of its last message */
    int64_t next_deadline;  /* no upstream expires before this */
    bool cut_off;
};

static void
free_list(gpointer data)
{
    g_ptr_array_unref(data);
}

struct rp_registry *
RpRegistry_Create(void)
{
    struct rp_registry *registry = g_new0(struct rp_registry, 1);

    registry->upstreams = g_hash_table_new_full(RpName_Hash, RpName_EqualKeys,
                                                NULL, g_free);
    registry->by_service = g_hash_table_new_full(RpName_Hash, RpName_EqualKeys,
                                                 g_free, free_list);
    registry->replicas = g_hash_table_new_full(RpName_Hash, RpName_EqualKeys,
                                               g_free, g_free);
    registry->next_deadline = RP_NEVER;
    return registry;
}

void
RpRegistry_Free(struct rp_registry *registry)
{
    if (registry) {
        g_hash_table_destroy(registry->by_service);
        g_hash_table_destroy(registry->upstreams);
        g_hash_table_destroy(registry->replicas);
        g_free(registry);
    }
}

static int
compare_u64(uint64_t a, uint64_t b)
{
    return (a > b) - (a < b);
}

static int
compare_names(const struct rp_name *a, const struct rp_name *b)
{
    return memcmp(a->data, b->data, sizeof a->data);
}

int
RpAnnounce_Compare(const struct rp_msg_announce *a,
                   const struct rp_msg_announce *b)
{
    const int order[] = {
        compare_u64(a->incarnation, b->incarnation),
        compare_u64(a->sequence, b->sequence),
        compare_u64(a->state, b->state),
        compare_u64(a->agent_ip, b->agent_ip),
        compare_u64(a->agent_port, b->agent_port),
        compare_u64(a->slots, b->slots),
        compare_u64(a->lease_ms, b->lease_ms),
        compare_u64(a->flows, b->flows),
        compare_u64(a->busy, b->busy),
        compare_names(&a->service, &b->service),
        compare_names(&a->zone, &b->zone),
    };

    for (size_t i = 0; i < G_N_ELEMENTS(order); i++) {
        if (order[i] != 0) {
            return order[i];
        }
    }
    return 0;
}

/* Returns whether an announcement's members are in range. Only a replica may
 * report that an upstream is lost. */
static bool
is_valid(const struct rp_msg_announce *announce, bool from_replica)
{
    return RpName_IsLabel(RpName_View(&announce->upstream)) &&
           RpName_IsLabel(RpName_View(&announce->service)) &&
           announce->agent_port != 0 && announce->slots != 0 &&
           (announce->state == RP_UPSTREAM_READY ||
            announce->state == RP_UPSTREAM_DRAINING ||
            (announce->state == RP_UPSTREAM_LOST && from_replica) ||
            announce->state == RP_UPSTREAM_GONE) &&
           announce->lease_ms >= RP_LEASE_MIN_MS &&
           announce->lease_ms <= RP_LEASE_MAX_MS;
}

/* Returns whether the announcement changes the upstream's state, address,
 * slots or service, so that tables must be updated. */
static bool
changes_table(const struct rp_upstream *known,
              const struct rp_msg_announce *announce)
{
    const struct rp_msg_announce *last = &known->last_announce;

    return known->state != (enum rp_upstream_state)announce->state ||
           last->agent_ip != announce->agent_ip ||
           last->agent_port != announce->agent_port ||
           last->slots != announce->slots ||
           !RpName_Equal(&last->service, &announce->service);
}

static void
index_upstream(struct rp_registry *registry, struct rp_upstream *upstream)
{
    const struct rp_name *service = &upstream->last_announce.service;
    GPtrArray *list = g_hash_table_lookup(registry->by_service, service);

    if (!list) {
        list = g_ptr_array_new();
        g_hash_table_insert(registry->by_service,
                            g_memdup2(service, sizeof *service), list);
    }
    g_ptr_array_add(list, upstream);
}

static void
unindex_upstream(struct rp_registry *registry, struct rp_upstream *upstream)
{
    const struct rp_name *service = &upstream->last_announce.service;
    GPtrArray *list = g_hash_table_lookup(registry->by_service, service);

    g_ptr_array_remove_fast(list, upstream);
    if (list->len == 0) {
        g_hash_table_remove(registry->by_service, service);
    }
}

/* Replaces the upstream's announcement and updates the service index. */
static void
store_announce(struct rp_registry *registry, struct rp_upstream *upstream,
               const struct rp_msg_announce *announce)
{
    bool service_changed = upstream->last_announce.service.len == 0 ||
                           !RpName_Equal(&upstream->last_announce.service,
                                         &announce->service);

    if (service_changed && upstream->last_announce.service.len) {
        unindex_upstream(registry, upstream);
    }
    upstream->last_announce = *announce;
    if (service_changed) {
        index_upstream(registry, upstream);
    }
}

static struct rp_upstream *
add_upstream(struct rp_registry *registry,
             const struct rp_msg_announce *announce)
{
    struct rp_upstream *upstream = g_new0(struct rp_upstream, 1);

    store_announce(registry, upstream, announce);
    g_hash_table_insert(registry->upstreams, &upstream->last_announce.upstream,
                        upstream);
    return upstream;
}

static bool
has_lease(const struct rp_upstream *upstream)
{
    return upstream->state == RP_UPSTREAM_READY ||
           upstream->state == RP_UPSTREAM_DRAINING;
}

/* Returns when the upstream must be marked LOST, or be removed if it is LOST
 * or GONE. */
static int64_t
upstream_deadline(const struct rp_registry *registry,
                  const struct rp_upstream *upstream)
{
    if (!has_lease(upstream)) {
        return upstream->removal_deadline;
    }
    if (upstream->source_replica.len == 0) {
        return upstream->lease_deadline;
    }
    if (registry->cut_off) {
        return RP_NEVER;
    }
    const int64_t *last_message = g_hash_table_lookup(
        registry->replicas, &upstream->source_replica);
    return (last_message ? *last_message : 0) + RP_REGISTRY_RECONNECT_US;
}

bool
RpRegistry_ResolveUnheard(const struct rp_registry *registry,
                          const struct rp_msg_announce *announce,
                          struct rp_msg_announce *resolved)
{
    const struct rp_upstream *known = RpRegistry_Find(registry,
                                                      &announce->upstream);

    if (!known || known->state == RP_UPSTREAM_GONE ||
        known->last_announce.agent_ip != announce->agent_ip ||
        known->last_announce.agent_port != announce->agent_port ||
        !RpName_Equal(&known->last_announce.service, &announce->service)) {
        return false;
    }
    *resolved = *announce;
    resolved->state = RP_UPSTREAM_DRAINING;
    /* A table must not change only because the new agent does not know the
     * host's slots yet. */
    resolved->slots = known->last_announce.slots;
    return true;
}

enum rp_registry_change
RpRegistry_Merge(struct rp_registry *registry, int64_t now,
                 const struct rp_msg_announce *announce,
                 const struct rp_name *source_replica)
{
    struct rp_upstream *known = g_hash_table_lookup(registry->upstreams,
                                                    &announce->upstream);
    bool changed = true;

    if (!is_valid(announce, source_replica != NULL)) {
        return RP_REGISTRY_REFUSED;
    }
    if (!known && g_hash_table_size(registry->upstreams) >= RP_REGISTRY_MAX) {
        return RP_REGISTRY_REFUSED;
    }
    if (known) {
        if (RpAnnounce_Compare(announce, &known->last_announce) <= 0) {
            return RP_REGISTRY_STALE;
        }
        /* If another replica forwarded the upstream before, all replicas must
         * learn that its agent is now connected to this one. */
        changed = changes_table(known, announce) ||
                  (!source_replica && known->source_replica.len > 0);
        store_announce(registry, known, announce);
    }
    else {
        known = add_upstream(registry, announce);
    }
    known->state = (enum rp_upstream_state)announce->state;
    known->source_replica = source_replica ? *source_replica
                                           : (struct rp_name){0};
    known->lease_deadline = now + announce->lease_ms * RP_US_PER_MS;
    known->removal_deadline = RP_NEVER;
    if (known->state == RP_UPSTREAM_GONE) {
        known->removal_deadline = known->lease_deadline;
    }
    if (known->state == RP_UPSTREAM_LOST) {
        known->removal_deadline = now + RP_REGISTRY_LOST_RETENTION_US;
    }
    if (source_replica) {
        RpRegistry_RecordReplicaMessage(registry, now, source_replica);
    }
    registry->next_deadline = MIN(registry->next_deadline,
                                  upstream_deadline(registry, known));
    return changed ? RP_REGISTRY_CHANGED : RP_REGISTRY_RENEWED;
}

void
RpRegistry_RecordReplicaMessage(struct rp_registry *registry, int64_t now,
                                const struct rp_name *replica)
{
    int64_t *last_message = g_hash_table_lookup(registry->replicas, replica);

    if (!last_message) {
        last_message = g_new(int64_t, 1);
        g_hash_table_insert(registry->replicas,
                            g_memdup2(replica, sizeof *replica), last_message);
    }
    *last_message = now;
}

void
RpRegistry_SetCutOff(struct rp_registry *registry, int64_t now, bool cut_off)
{
    GHashTableIter iter;
    gpointer value;

    if (registry->cut_off == cut_off) {
        return;
    }
    registry->cut_off = cut_off;
    registry->next_deadline = now;
    g_hash_table_iter_init(&iter, registry->replicas);
    while (!cut_off && g_hash_table_iter_next(&iter, NULL, &value)) {
        /* After the partition, each replica gets RP_REGISTRY_RECONNECT_US to
         * send a message before its upstreams expire. */
        *(int64_t *)value = now;
    }
}

void
RpRegistry_RecordPause(struct rp_registry *registry, int64_t now,
                       int64_t pause)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, registry->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rp_upstream *upstream = value;
        if (has_lease(upstream)) {
            upstream->lease_deadline += pause;
        }
    }
    g_hash_table_iter_init(&iter, registry->replicas);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        *(int64_t *)value = MIN(*(int64_t *)value + pause, now);
    }
    registry->next_deadline = now;
}

static void
remove_upstream(struct rp_registry *registry, struct rp_upstream *upstream,
                GHashTableIter *iter)
{
    unindex_upstream(registry, upstream);
    g_hash_table_iter_remove(iter);
}

bool
RpRegistry_Expire(struct rp_registry *registry, int64_t now,
                  struct rp_msg_announce *expired)
{
    GHashTableIter iter;
    gpointer value;
    int64_t next = RP_NEVER;

    if (now < registry->next_deadline) {
        return false;
    }
    g_hash_table_iter_init(&iter, registry->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rp_upstream *upstream = value;
        int64_t deadline = upstream_deadline(registry, upstream);
        if (deadline > now) {
            next = MIN(next, deadline);
            continue;
        }
        *expired = upstream->last_announce;
        if (!has_lease(upstream)) {
            expired->state = RP_UPSTREAM_GONE;
            remove_upstream(registry, upstream, &iter);
            return true;
        }
        expired->state = RP_UPSTREAM_LOST;
        upstream->last_announce.state = RP_UPSTREAM_LOST;
        upstream->state = RP_UPSTREAM_LOST;
        upstream->removal_deadline = now + RP_REGISTRY_LOST_RETENTION_US;
        return true;
    }
    registry->next_deadline = next;
    return false;
}

const struct rp_upstream *
RpRegistry_Find(const struct rp_registry *registry,
                const struct rp_name *upstream)
{
    return g_hash_table_lookup(registry->upstreams, upstream);
}

static gint
compare_upstreams(gconstpointer a, gconstpointer b)
{
    const struct rp_upstream *left = *(const struct rp_upstream *const *)a;
    const struct rp_upstream *right = *(const struct rp_upstream *const *)b;

    return strcmp(left->last_announce.upstream.data,
                  right->last_announce.upstream.data);
}

GPtrArray *
RpRegistry_List(const struct rp_registry *registry,
                const struct rp_name *service)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    if (service) {
        GPtrArray *known = g_hash_table_lookup(registry->by_service, service);
        for (guint i = 0; known && i < known->len; i++) {
            g_ptr_array_add(list, g_ptr_array_index(known, i));
        }
    }
    else {
        g_hash_table_iter_init(&iter, registry->upstreams);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            g_ptr_array_add(list, value);
        }
    }
    g_ptr_array_sort(list, compare_upstreams);
    return list;
}
