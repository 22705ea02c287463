#include "rp_registry.h"

#include <string.h>

struct rp_registry {
    GHashTable *upstreams; /* name -> struct rp_upstream */
    int64_t next_deadline; /* nothing is over before this */
    bool cut_off;
};

static guint
name_hash(gconstpointer key)
{
    return g_str_hash(((const struct rp_name *)key)->data);
}

static gboolean
name_equal(gconstpointer a, gconstpointer b)
{
    return RpName_Equal(a, b);
}

struct rp_registry *
RpRegistry_Create(void)
{
    struct rp_registry *registry = g_new0(struct rp_registry, 1);

    registry->upstreams = g_hash_table_new_full(name_hash, name_equal, NULL,
                                                g_free);
    registry->next_deadline = RP_NEVER;
    return registry;
}

void
RpRegistry_Free(struct rp_registry *registry)
{
    if (registry) {
        g_hash_table_destroy(registry->upstreams);
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

static bool
is_acceptable(const struct rp_msg_announce *news)
{
    return RpName_IsLabel(RpName_View(&news->upstream)) &&
           RpName_IsLabel(RpName_View(&news->service)) &&
           news->agent_port != 0 && news->slots != 0 &&
           (news->state == RP_UPSTREAM_READY ||
            news->state == RP_UPSTREAM_DRAINING ||
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

static struct rp_upstream *
insert(struct rp_registry *registry, const struct rp_msg_announce *news)
{
    struct rp_upstream *upstream = g_new0(struct rp_upstream, 1);

    upstream->last = *news;
    g_hash_table_insert(registry->upstreams, &upstream->last.upstream,
                        upstream);
    return upstream;
}

enum rp_registry_change
RpRegistry_Merge(struct rp_registry *registry, int64_t now,
                 const struct rp_msg_announce *news, bool direct)
{
    struct rp_upstream *known = g_hash_table_lookup(registry->upstreams,
                                                    &news->upstream);
    bool changed = true;

    if (!is_acceptable(news)) {
        return RP_REGISTRY_REFUSED;
    }
    if (!known && g_hash_table_size(registry->upstreams) >= RP_REGISTRY_MAX) {
        return RP_REGISTRY_REFUSED;
    }
    if (known) {
        if (RpAnnounce_Compare(news, &known->last) <= 0) {
            return RP_REGISTRY_STALE;
        }
        changed = shows(known, news);
        known->last = *news;
    }
    else {
        known = insert(registry, news);
    }
    known->state = (enum rp_upstream_state)news->state;
    known->lease_deadline = now + news->lease_ms * RP_US_PER_MS;
    known->drop_deadline = RP_NEVER;
    known->direct = direct;
    if (known->state == RP_UPSTREAM_GONE) {
        known->drop_deadline = known->lease_deadline;
    }
    registry->next_deadline = MIN(registry->next_deadline,
                                  known->lease_deadline);
    return changed ? RP_REGISTRY_CHANGED : RP_REGISTRY_RENEWED;
}

static bool
is_leased(const struct rp_upstream *upstream)
{
    return upstream->state == RP_UPSTREAM_READY ||
           upstream->state == RP_UPSTREAM_DRAINING;
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
    g_hash_table_iter_init(&iter, registry->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rp_upstream *upstream = value;
        if (!cut_off && is_leased(upstream) && !upstream->direct) {
            upstream->lease_deadline = now +
                                       upstream->last.lease_ms * RP_US_PER_MS;
        }
    }
}

/* When something about this entry is over. */
static int64_t
deadline_of(const struct rp_registry *registry,
            const struct rp_upstream *upstream)
{
    bool leased = is_leased(upstream);

    if (leased && registry->cut_off && !upstream->direct) {
        return RP_NEVER;
    }
    return leased ? upstream->lease_deadline : upstream->drop_deadline;
}

bool
RpRegistry_Expire(struct rp_registry *registry, int64_t now,
                  struct rp_name *service)
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
        *service = upstream->last.service;
        if (upstream->drop_deadline != RP_NEVER) {
            g_hash_table_iter_remove(&iter);
            return true;
        }
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

    g_hash_table_iter_init(&iter, registry->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rp_upstream *upstream = value;
        if (!service || RpName_Equal(&upstream->last.service, service)) {
            g_ptr_array_add(list, value);
        }
    }
    g_ptr_array_sort(list, compare_upstreams);
    return list;
}
