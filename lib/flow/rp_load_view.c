/* Loads of hosts as their agents have told them. See rp_load_view.h. */
#include "rp_load_view.h"

#include <assert.h>
#include <glib.h>

#define MEANS_LIFETIME_US (100 * RP_US_PER_MS)
#define SWEEP_INTERVAL_US (1 * RP_US_PER_SECOND)
/* Services whose means are kept; others take their places. */
#define KEPT_MEANS 64
/* The least free capacity that a host counts with, in units of
 * 1 / RP_LOAD_UNIT: a full host goes on getting a few flows, so that it is
 * heard of when its load falls. */
#define MIN_FREE (RP_LOAD_UNIT / 16)
#define WEIGHT_UNIT (RP_LOAD_UNIT * RP_LOAD_UNIT)

struct entry {
    int64_t told_at;
    uint32_t service_id;
    uint8_t utilisation;
};

struct kept_means {
    uint32_t service_id;
    int64_t deadline; /* 0: the place is free */
    struct rp_load_means means;
};

struct rp_load_view {
    GHashTable *entries; /* key of the agent's endpoint -> struct entry */
    int64_t next_sweep;
    struct kept_means kept[KEPT_MEANS];
};

struct rp_load_view *
RpLoadView_Create(void)
{
    struct rp_load_view *view = g_new0(struct rp_load_view, 1);

    view->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                          g_free);
    return view;
}

void
RpLoadView_Free(struct rp_load_view *view)
{
    if (view) {
        g_hash_table_destroy(view->entries);
        g_free(view);
    }
}

static gboolean
is_outdated(gpointer key, gpointer value, gpointer now)
{
    const struct entry *entry = value;

    (void)key;
    return *(const int64_t *)now >= entry->told_at + RP_LOAD_LIFETIME_US;
}

/* Makes room for one more agent, if any entry is outdated. */
static bool
make_room(struct rp_load_view *view, int64_t now)
{
    if (g_hash_table_size(view->entries) < RP_LOAD_VIEW_MAX) {
        return true;
    }
    if (now < view->next_sweep) {
        return false;
    }
    view->next_sweep = now + SWEEP_INTERVAL_US;
    return g_hash_table_foreach_remove(view->entries, is_outdated, &now) > 0;
}

bool
RpLoadView_Put(struct rp_load_view *view, int64_t now,
               struct rp_endpoint agent, const struct rp_load_note *note)
{
    gint64 key = (gint64)RpEndpoint_Key(agent);
    struct entry *entry = g_hash_table_lookup(view->entries, &key);

    if (!entry && !make_room(view, now)) {
        return false;
    }
    if (!entry) {
        entry = g_new(struct entry, 1);
        g_hash_table_insert(view->entries, g_memdup2(&key, sizeof key), entry);
    }
    *entry = (struct entry){.told_at = now,
                            .service_id = note->service_id,
                            .utilisation = note->utilisation};
    return true;
}

/* Returns how much of the lifetime of what is known of a member is left, in
 * microseconds, and sets `*utilisation`; 0 if nothing is known. */
static int64_t
find_told(const struct rp_load_view *view, int64_t now,
          const struct rp_service *service, const struct rp_member *member,
          uint8_t *utilisation)
{
    gint64 key = (gint64)RpEndpoint_Key(member->agent);
    const struct entry *entry = g_hash_table_lookup(view->entries, &key);

    if (!entry || entry->service_id != service->tag.service_id) {
        return 0;
    }
    *utilisation = entry->utilisation;
    return CLAMP(entry->told_at + RP_LOAD_LIFETIME_US - now, 0,
                 RP_LOAD_LIFETIME_US);
}

/* A weighted mean in the making; the fresher a report is, the more it weighs.
 */
struct group {
    int64_t sum;
    int64_t weight;
};

static uint32_t
group_mean(const struct group *group)
{
    return (uint32_t)(group->sum / group->weight);
}

static struct rp_load_means
compute_means(const struct rp_load_view *view, int64_t now,
              const struct rp_service *service)
{
    struct group groups[2] = {{0}, {0}};
    const struct group *away = &groups[0];
    const struct group *home = &groups[1];

    for (size_t i = 0; i < service->count; i++) {
        const struct rp_member *member = &service->members[i];
        struct group *group = &groups[member->in_preferred_zone];
        uint8_t utilisation = 0;
        int64_t left = member->state == RP_UPSTREAM_READY
                           ? find_told(view, now, service, member,
                                       &utilisation)
                           : 0;
        group->sum += left * utilisation;
        group->weight += left;
    }
    if (home->weight == 0 && away->weight == 0) {
        return (struct rp_load_means){.known = false};
    }
    /* What is not known counts as what is. */
    return (struct rp_load_means){
        .known = true,
        .home = group_mean(home->weight > 0 ? home : away),
        .away = group_mean(away->weight > 0 ? away : home)};
}

struct rp_load_means
RpLoadView_Means(struct rp_load_view *view, int64_t now,
                 const struct rp_service *service)
{
    uint32_t id = service->tag.service_id;
    struct kept_means *kept = &view->kept[id % KEPT_MEANS];

    if (kept->service_id != id || now >= kept->deadline) {
        *kept = (struct kept_means){
            .service_id = id,
            .deadline = now + MEANS_LIFETIME_US,
            .means = compute_means(view, now, service)};
    }
    return kept->means;
}

uint32_t
RpLoadView_Utilisation(const struct rp_load_view *view, int64_t now,
                       const struct rp_service *service,
                       const struct rp_member *member,
                       const struct rp_load_means *means)
{
    uint8_t told = 0;
    int64_t left = find_told(view, now, service, member, &told);
    uint32_t mean = member->in_preferred_zone ? means->home : means->away;

    return (uint32_t)((told * left + mean * (RP_LOAD_LIFETIME_US - left) +
                       RP_LOAD_LIFETIME_US / 2) /
                      RP_LOAD_LIFETIME_US);
}

/* Returns the factor of a member's weight, from 1 to WEIGHT_UNIT. */
static uint64_t
compute_weight(const struct rp_load_view *view, int64_t now,
               const struct rp_service *service,
               const struct rp_member *member,
               const struct rp_load_means *means, bool spill)
{
    uint32_t utilisation = RpLoadView_Utilisation(view, now, service, member,
                                                  means);
    uint64_t free = RP_LOAD_UNIT - MIN(utilisation, RP_LOAD_UNIT - MIN_FREE);
    uint64_t home = MIN(means->home, RP_LOAD_UNIT);
    uint64_t weight = free * RP_LOAD_UNIT;

    if (spill && !member->in_preferred_zone) {
        weight = weight * home * home / WEIGHT_UNIT;
    }
    return MAX(weight, 1);
}

void
RpLoadView_Order(struct rp_load_view *view, int64_t now,
                 const struct rp_service *service, uint64_t flow_hash,
                 bool spill, const struct rp_member **candidates, size_t count)
{
    struct rp_load_means means = RpLoadView_Means(view, now, service);
    uint64_t scores[RP_ROUTE_MAX_CANDIDATES] = {0};

    assert(count <= RP_ROUTE_MAX_CANDIDATES);
    if (!means.known) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        const struct rp_member *member = candidates[i];
        uint64_t score = RpMember_Score(member, flow_hash) /
                         compute_weight(view, now, service, member, &means,
                                        spill);
        size_t place = i;
        for (; place > 0 && score < scores[place - 1]; place--) {
            scores[place] = scores[place - 1];
            candidates[place] = candidates[place - 1];
        }
        scores[place] = score;
        candidates[place] = member;
    }
}

size_t
RpLoadView_Count(const struct rp_load_view *view)
{
    return g_hash_table_size(view->entries);
}
