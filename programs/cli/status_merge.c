/* Merges the status answers of all control instances into one. */
#include "cli.h"

#define INSTANCE_TIMEOUT_SECONDS 1

static struct rp_msg_node_info *
find_node(GArray *nodes, const struct rp_name *name)
{
    for (guint i = 0; i < nodes->len; i++) {
        struct rp_msg_node_info *node = &g_array_index(
            nodes, struct rp_msg_node_info, i);
        if (RpName_Equal(&node->name, name)) {
            return node;
        }
    }
    return NULL;
}

/* Several instances may know a node. The entry of the instance that the node
 * is connected to wins, then the one with the highest confirmed revision. */
static void
merge_nodes(GArray *into, const GArray *from)
{
    for (guint i = 0; i < from->len; i++) {
        const struct rp_msg_node_info *update = &g_array_index(
            from, struct rp_msg_node_info, i);
        struct rp_msg_node_info *known = find_node(into, &update->name);
        if (!known) {
            g_array_append_val(into, *update);
        }
        else if (update->connected > known->connected ||
                 (update->connected == known->connected &&
                  update->confirmed > known->confirmed)) {
            *known = *update;
        }
    }
}

/* The entry of the instance that an upstream's agent is connected to wins. */
static void
merge_upstreams(GArray *into, const GArray *from)
{
    GHashTable *known = g_hash_table_new(RpName_Hash, RpName_EqualKeys);

    for (guint i = 0; i < into->len; i++) {
        struct rp_msg_upstream_info *row = &g_array_index(
            into, struct rp_msg_upstream_info, i);
        g_hash_table_insert(known, &row->upstream, row);
    }
    for (guint i = 0; i < from->len; i++) {
        const struct rp_msg_upstream_info *update = &g_array_index(
            from, struct rp_msg_upstream_info, i);
        struct rp_msg_upstream_info *row = g_hash_table_lookup(
            known, &update->upstream);
        if (row && update->heard_here && !row->heard_here) {
            *row = *update;
        }
    }
    g_hash_table_destroy(known);
}

static void
swap_lists(GArray **a, GArray **b)
{
    GArray *kept = *a;

    *a = *b;
    *b = kept;
}

/* Merges the answer `from` into `into`. Services, upstreams and evacuated data
 * centres come from the answer with the highest revision, loads from the
 * replica that hears the upstream. */
static void
merge_status(struct rp_msg_status *into, struct rp_msg_status *from)
{
    g_array_append_vals(into->replicas, from->replicas->data,
                        from->replicas->len);
    merge_nodes(into->nodes, from->nodes);
    if (from->revision > into->revision) {
        into->revision = from->revision;
        swap_lists(&into->services, &from->services);
        swap_lists(&into->upstreams, &from->upstreams);
        swap_lists(&into->evacuated, &from->evacuated);
    }
    merge_upstreams(into->upstreams, from->upstreams);
}

bool
RpCli_FetchStatus(const struct rp_cli_settings *settings,
                  const struct rp_name *only, struct rp_msg *answer,
                  int *exit_code)
{
    struct rp_msg request = {.type = RP_MSG_QUERY,
                             .query = {.kind = RP_QUERY_STATUS}};
    /* Instances that did not answer an earlier call are not asked again. */
    static bool unresponsive[RP_ENDPOINTS_MAX];
    bool answered = false;

    if (only) {
        request.query.service = *only;
    }
    for (size_t i = 0; i < settings->controls.count; i++) {
        struct rp_cli_settings single = *settings;
        struct rp_msg part;
        if (unresponsive[i]) {
            continue;
        }
        single.controls.count = 1;
        single.controls.item[0] = settings->controls.item[i];
        single.timeout_seconds = MIN(settings->timeout_seconds,
                                     INSTANCE_TIMEOUT_SECONDS);
        if (!RpCli_SendRequest(&single, &request, RP_MSG_STATUS, &part,
                               exit_code)) {
            unresponsive[i] = true;
            continue;
        }
        if (!answered) {
            *answer = part;
            answered = true;
            continue;
        }
        merge_status(&answer->status, &part.status);
        RpMsg_Clear(&part);
    }
    return answered;
}

size_t
RpCli_CountNodes(const struct rp_msg_status *status, uint64_t revision,
                 size_t *behind)
{
    size_t connected = 0;

    *behind = 0;
    for (guint i = 0; i < status->nodes->len; i++) {
        const struct rp_msg_node_info *node = &g_array_index(
            status->nodes, struct rp_msg_node_info, i);
        connected += node->connected;
        *behind += node->connected && node->confirmed < revision;
    }
    return connected;
}
