#include "rp_registry.h"

#include <string.h>

struct rp_registry {
    GHashTable *upstreams;  /* name -> struct rp_upstream */
    GHashTable *by_service; /* name -> GPtrArray of struct rp_upstream */
    GHashTable *replicas;   /* name -> int64_t, when it was last heard */
    int64_t next_deadline;  /* nothing is over before this */
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
compare_name(const struct rp_name *a, const struct rp_name *b)
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
        compare_name(&a->service, &b->service),
        compare_name(&a->zone, &b->zone),
    };

    for (size_t i = 0; i < G_N_ELEMENTS(order); i++) {
        if (order[i] != 0) {
            return order[i];
        }
    }
    return 0;
}

/* Only a replica can say that an upstream is lost. */
static bool
is_acceptable(const struct rp_msg_announce *news, bool from_replica)
{
    return RpName_IsLabel(RpName_View(&news->upstream)) &&
           RpName_IsLabel(RpName_View(&news->service)) &&
           news->agent_port != 0 && news->slots != 0 &&
           (news->state == RP_UPSTREAM_READY ||
            news->state == RP_UPSTREAM_DRAINING ||
            (news->state == RP_UPSTREAM_LOST && from_replica) ||
            news->state == RP_UPSTREAM_GONE) &&
           news->lease_ms >= RP_LEASE_MIN_MS &&
           news->lease_ms <= RP_LEASE_MAX_MS;
}

/* Whether tables show a difference between the two. */
static bool
shows(const struct rp_upstream *known, const struct rp_msg_announce *news)
{
    const struct rp_msg_announce *last = &known->last;

    return known->state != (enum rp_upstream_state)news->state ||
           last->agent_ip != news->agent_ip ||
           last->agent_port != news->agent_port ||
           last->slots != news->slots ||
           !RpName_Equal(&last->service, &news->service);
}

static void
index_upstream(struct rp_registry *registry, struct rp_upstream *upstream)
{
    const struct rp_name *service = &upstream->last.service;
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
    const struct rp_name *service = &upstream->last.service;
    GPtrArray *list = g_hash_table_lookup(registry->by_service, service);

    g_ptr_array_remove_fast(list, upstream);
    if (list->len == 0) {
        g_hash_table_remove(registry->by_service, service);
    }
}

static void
store(struct rp_registry *registry, struct rp_upstream *upstream,
      const struct rp_msg_announce *news)
{
    bool moves = upstream->last.service.len == 0 ||
                 !RpName_Equal(&upstream->last.service, &news->service);

    if (moves && upstream->last.service.len) {
        unindex_upstream(registry, upstream);
    }
    upstream->last = *news;
    if (moves) {
        index_upstream(registry, upstream);
    }
}

static struct rp_upstream *
insert(struct rp_registry *registry, const struct rp_msg_announce *news)
{
    struct rp_upstream *upstream = g_new0(struct rp_upstream, 1);

    store(registry, upstream, news);
    g_hash_table_insert(registry->upstreams, &upstream->last.upstream,
                        upstream);
    return upstream;
}

static bool
is_leased(const struct rp_upstream *upstream)
{
    return upstream->state == RP_UPSTREAM_READY ||
           upstream->state == RP_UPSTREAM_DRAINING;
}

/* When something about this entry is over. */
static int64_t
deadline_of(const struct rp_registry *registry,
            const struct rp_upstream *upstream)
{
    if (!is_leased(upstream)) {
        return upstream->drop_deadline;
    }
    if (upstream->via.len == 0) {
        return upstream->lease_deadline;
    }
    if (registry->cut_off) {
        return RP_NEVER;
    }
    const int64_t *seen = g_hash_table_lookup(registry->replicas,
                                              &upstream->via);
    return (seen ? *seen : 0) + RP_REGISTRY_MOVE_US;
}

enum rp_registry_change
RpRegistry_Merge(struct rp_registry *registry, int64_t now,
                 const struct rp_msg_announce *news, const struct rp_name *via)
{
    struct rp_upstream *known = g_hash_table_lookup(registry->upstreams,
                                                    &news->upstream);
    bool changed = true;

    if (!is_acceptable(news, via != NULL)) {
        return RP_REGISTRY_REFUSED;
    }
    if (!known && g_hash_table_size(registry->upstreams) >= RP_REGISTRY_MAX) {
        return RP_REGISTRY_REFUSED;
    }
    if (known) {
        if (RpAnnounce_Compare(news, &known->last) <= 0) {
            return RP_REGISTRY_STALE;
        }
        /* That another replica hears it now is news to the others, too. */
        changed = shows(known, news) || (!via && known->via.len > 0);
        store(registry, known, news);
    }
    else {
        known = insert(registry, news);
    }
    known->state = (enum rp_upstream_state)news->state;
    known->via = via ? *via : (struct rp_name){0};
    known->lease_deadline = now + news->lease_ms * RP_US_PER_MS;
    known->drop_deadline = RP_NEVER;
    if (known->state == RP_UPSTREAM_GONE) {
        known->drop_deadline = known->lease_deadline;
    }
    if (known->state == RP_UPSTREAM_LOST) {
        known->drop_deadline = now + RP_REGISTRY_LOST_KEEP_US;
    }
    if (via) {
        RpRegistry_ReplicaSeen(registry, now, via);
    }
    registry->next_deadline = MIN(registry->next_deadline,
                                  deadline_of(registry, known));
    return changed ? RP_REGISTRY_CHANGED : RP_REGISTRY_RENEWED;
}

void
RpRegistry_ReplicaSeen(struct rp_registry *registry, int64_t now,
                       const struct rp_name *replica)
{
    int64_t *seen = g_hash_table_lookup(registry->replicas, replica);

    if (!seen) {
        seen = g_new(int64_t, 1);
        g_hash_table_insert(registry->replicas,
                            g_memdup2(replica, sizeof *replica), seen);
    }
    *seen = now;
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
        /* Together again: each has its time to be heard. */
        *(int64_t *)value = now;
    }
}

static void
drop(struct rp_registry *registry, struct rp_upstream *upstream,
     GHashTableIter *iter)
{
    unindex_upstream(registry, upstream);
    g_hash_table_iter_remove(iter);
}

bool
RpRegistry_Expire(struct rp_registry *registry, int64_t now,
                  struct rp_msg_announce *over)
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
        int64_t deadline = deadline_of(registry, upstream);
        if (deadline > now) {
            next = MIN(next, deadline);
            continue;
        }
        *over = upstream->last;
        if (!is_leased(upstream)) {
            over->state = RP_UPSTREAM_GONE;
            drop(registry, upstream, &iter);
            return true;
        }
        over->state = RP_UPSTREAM_LOST;
        upstream->last.state = RP_UPSTREAM_LOST;
        upstream->state = RP_UPSTREAM_LOST;
        upstream->drop_deadline = now + RP_REGISTRY_LOST_KEEP_US;
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

    return strcmp(left->last.upstream.data, right->last.upstream.data);
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
