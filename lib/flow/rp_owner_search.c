/* The searches of one agent. See rp_owner_search.h. */
#include "rp_owner_search.h"

struct search {
    uint32_t id;
    int64_t deadline;
    struct rp_packet packet; /* without data */
    GArray *missing;         /* of struct rp_endpoint: have not answered */
};

struct rp_owner_search {
    GQueue pending; /* of struct search, oldest first */
    uint32_t last_id;
    int64_t refilled_at;
    int64_t
        budget_us; /* each search takes RP_US_PER_SECOND / RP_SEARCH_RATE */
};

#define SEARCH_COST_US (RP_US_PER_SECOND / RP_SEARCH_RATE)

static void
free_search(gpointer data)
{
    struct search *search = data;

    g_array_free(search->missing, TRUE);
    g_free(search);
}

struct rp_owner_search *
RpOwnerSearch_Create(void)
{
    struct rp_owner_search *searches = g_new0(struct rp_owner_search, 1);

    g_queue_init(&searches->pending);
    searches->budget_us = RP_SEARCH_BURST * SEARCH_COST_US;
    return searches;
}

void
RpOwnerSearch_Free(struct rp_owner_search *searches)
{
    if (searches) {
        g_queue_clear_full(&searches->pending, free_search);
        g_free(searches);
    }
}

static void
remove_expired(struct rp_owner_search *searches, int64_t now)
{
    while (searches->pending.head &&
           ((struct search *)searches->pending.head->data)->deadline <= now) {
        free_search(g_queue_pop_head(&searches->pending));
    }
}

static bool
take_from_budget(struct rp_owner_search *searches, int64_t now)
{
    searches->budget_us = MIN(searches->budget_us +
                                  (now - searches->refilled_at),
                              RP_SEARCH_BURST * SEARCH_COST_US);
    searches->refilled_at = now;
    if (searches->budget_us < SEARCH_COST_US) {
        return false;
    }
    searches->budget_us -= SEARCH_COST_US;
    return true;
}

static bool
is_searched(const struct rp_owner_search *searches, struct rp_flow_key flow)
{
    for (const GList *link = searches->pending.head; link; link = link->next) {
        const struct search *search = link->data;
        if (RpFlowKey_Equal(search->packet.key, flow)) {
            return true;
        }
    }
    return false;
}

uint32_t
RpOwnerSearch_Begin(struct rp_owner_search *searches, int64_t now,
                    const struct rp_packet *packet, const GArray *agents)
{
    remove_expired(searches, now);
    if (agents->len > RP_SEARCH_MAX_AGENTS ||
        searches->pending.length >= RP_SEARCH_MAX ||
        is_searched(searches, packet->key) ||
        !take_from_budget(searches, now)) {
        return 0;
    }
    struct search *search = g_new0(struct search, 1);
    searches->last_id = MAX(searches->last_id + 1, 1);
    search->id = searches->last_id;
    search->deadline = now + RP_SEARCH_TIMEOUT_US;
    search->packet = *packet;
    search->packet.data = NULL;
    search->packet.len = 0;
    search->missing = g_array_new(FALSE, FALSE, sizeof(struct rp_endpoint));
    g_array_append_vals(search->missing, agents->data, agents->len);
    g_queue_push_tail(&searches->pending, search);
    return search->id;
}

/* Removes an agent from those that have not answered. */
static void
record_answer(struct search *search, struct rp_endpoint agent)
{
    for (guint i = 0; i < search->missing->len; i++) {
        if (RpEndpoint_Equal(
                g_array_index(search->missing, struct rp_endpoint, i),
                agent)) {
            g_array_remove_index_fast(search->missing, i);
            return;
        }
    }
}

enum rp_search_result
RpOwnerSearch_Answer(struct rp_owner_search *searches, int64_t now,
                     uint32_t id, struct rp_endpoint agent,
                     enum rp_search_verdict verdict, struct rp_packet *packet)
{
    GList *link;

    remove_expired(searches, now);
    for (link = searches->pending.head; link; link = link->next) {
        if (((struct search *)link->data)->id == id) {
            break;
        }
    }
    if (!link) {
        return RP_SEARCH_ENDED;
    }
    struct search *search = link->data;
    enum rp_search_result result = RP_SEARCH_ENDED;
    if (verdict == RP_SEARCH_NOT_OWNED) {
        record_answer(search, agent);
        *packet = search->packet;
        if (search->missing->len > 0) {
            return RP_SEARCH_PENDING;
        }
        result = RP_SEARCH_NO_OWNER;
    }
    g_queue_delete_link(&searches->pending, link);
    free_search(search);
    return result;
}

size_t
RpOwnerSearch_Count(const struct rp_owner_search *searches)
{
    return searches->pending.length;
}
