/* Full tables and updates for nodes, and the revisions that they confirm. */
#include "rp_distribution.h"

#include <string.h>

#include "rp_distribution_internal.h"

struct rp_distribution *
RpDistribution_Create(const struct rp_catalog *catalog,
                      const struct rp_registry *registry,
                      RpDistribution_Send send, void *user)
{
    struct rp_distribution *distribution = g_new0(struct rp_distribution, 1);

    distribution->catalog = catalog;
    distribution->registry = registry;
    distribution->send = send;
    distribution->user = user;
    distribution->nodes = g_hash_table_new_full(RpName_Hash, RpName_EqualKeys,
                                                NULL, g_free);
    distribution->pending.services = g_hash_table_new_full(
        RpName_Hash, RpName_EqualKeys, g_free, NULL);
    distribution->pending.shared_services = g_hash_table_new_full(
        RpName_Hash, RpName_EqualKeys, g_free, NULL);
    distribution->pending.removed_services = g_array_new(
        FALSE, TRUE, sizeof(struct removed_service));
    distribution->pending.vips = RpSchema_NewList(&rp_msg_vip_schema);
    distribution->pending.removed_vips = RpSchema_NewList(
        &rp_msg_removed_vip_schema);
    distribution->sent_vips = g_hash_table_new_full(
        g_int64_hash, g_int64_equal, g_free, RpDistribution_FreeString);
    distribution->edition_services = g_hash_table_new_full(
        RpName_Hash, RpName_EqualKeys, g_free, NULL);
    distribution->shared = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                                 g_free, NULL);
    distribution->pending.deadline = RP_NEVER;
    return distribution;
}

void
RpDistribution_Free(struct rp_distribution *distribution)
{
    if (distribution) {
        g_hash_table_destroy(distribution->nodes);
        g_hash_table_destroy(distribution->pending.services);
        g_hash_table_destroy(distribution->pending.shared_services);
        g_array_free(distribution->pending.removed_services, TRUE);
        RpDistribution_ClearVips(distribution->pending.vips);
        g_array_free(distribution->pending.vips, TRUE);
        g_array_free(distribution->pending.removed_vips, TRUE);
        g_hash_table_destroy(distribution->sent_vips);
        g_hash_table_destroy(distribution->edition_services);
        g_hash_table_destroy(distribution->shared);
        g_free(distribution);
    }
}

static struct node *
find_node_by_connection(struct rp_distribution *distribution,
                        uint64_t connection)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, distribution->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct node *node = value;
        if (node->connection == connection) {
            return node;
        }
    }
    return NULL;
}

/* Appends the service's upstreams to a list of struct rp_msg_member. */
static void
append_members(const struct rp_distribution *distribution,
               const struct rp_name *service, GArray *members)
{
    GPtrArray *list = RpRegistry_List(distribution->registry, service);

    for (guint i = 0; i < list->len; i++) {
        const struct rp_upstream *upstream = g_ptr_array_index(list, i);
        const struct rp_msg_member member = {
            .upstream = upstream->last_announce.upstream,
            .agent_ip = upstream->last_announce.agent_ip,
            .agent_port = upstream->last_announce.agent_port,
            .slots = upstream->last_announce.slots,
            .state = (uint8_t)upstream->state,
            .zone = upstream->last_announce.zone};
        if (upstream->state != RP_UPSTREAM_GONE) {
            g_array_append_val(members, member);
        }
    }
    g_ptr_array_unref(list);
}

static void
append_service(const struct rp_distribution *distribution,
               const struct rp_catalog_entry *entry, GArray *services)
{
    const struct rp_document *document = &entry->document;
    struct rp_msg_service service = {
        .name = entry->name,
        .id = entry->id,
        .incarnation = entry->incarnation,
        .address = document->address.ip,
        .port = document->address.port,
        .generation = distribution->generation,
        .flows_per_upstream = document->flows_per_upstream,
        .retries_percent = document->retries_percent,
        .silence_ms = document->silence_ms,
        .long_slots_percent = document->long_slots_percent,
        .warmup_ms = document->warmup_ms,
        .cold_per_1000_s = document->cold_per_1000_s,
        .members = RpSchema_NewList(&rp_msg_member_schema)};

    append_members(distribution, &entry->name, service.members);
    g_array_append_val(services, service);
}

/* Returns whether the node's tables include the service. A node that is
 * subscribed to one service also gets the services that share a virtual
 * address with it. */
static bool
is_service_visible(struct rp_distribution *distribution,
                   const struct node *node, const struct rp_name *service)
{
    return node->service.len == 0 || RpName_Equal(&node->service, service) ||
           RpDistribution_ShareVip(distribution, &node->service, service);
}

/* Starts a TABLE message without services; clear it with RpMsg_Clear. */
static void
init_table_message(const struct rp_distribution *distribution,
                   struct rp_msg *msg, bool complete)
{
    memset(msg, 0, sizeof *msg);
    msg->type = RP_MSG_TABLE;
    msg->table.revision = RpCatalog_Revision(distribution->catalog);
    msg->table.complete = complete;
    memcpy(msg->table.hash_key, RpCatalog_HashKey(distribution->catalog),
           RP_HASH_KEY_SIZE);
    msg->table.services = RpSchema_NewList(&rp_msg_service_schema);
    msg->table.removed = RpSchema_NewList(&rp_msg_removed_schema);
    msg->table.gathering = distribution->gathering_until != 0;
    msg->table.cut_off = !distribution->fresh;
    msg->table.vips = RpSchema_NewList(&rp_msg_vip_schema);
    msg->table.removed_vips = RpSchema_NewList(&rp_msg_removed_vip_schema);
    msg->table.evacuated = RpCatalog_ListEvacuated(distribution->catalog);
}

static void
append_visible_services(struct rp_distribution *distribution,
                        const struct node *node, GArray *services)
{
    GPtrArray *entries = RpCatalog_List(distribution->catalog);

    for (guint i = 0; i < entries->len; i++) {
        const struct rp_catalog_entry *entry = g_ptr_array_index(entries, i);
        if (is_service_visible(distribution, node, &entry->name)) {
            append_service(distribution, entry, services);
        }
    }
    g_ptr_array_unref(entries);
}

static void
fill_full_table(struct rp_distribution *distribution, const struct node *node,
                struct rp_msg *msg)
{
    init_table_message(distribution, msg, true);
    append_visible_services(distribution, node, msg->table.services);
    RpDistribution_AppendVisibleVips(distribution, node, msg->table.vips);
}

void
RpDistribution_FillTable(struct rp_distribution *distribution,
                         struct rp_msg *msg)
{
    const struct node balancer = {.role = RP_ROLE_BALANCER};

    fill_full_table(distribution, &balancer, msg);
}

static void
send_full_table(struct rp_distribution *distribution, struct node *node)
{
    struct rp_msg msg;

    fill_full_table(distribution, node, &msg);
    node->has_full_table = true;
    distribution->send(distribution->user, node->connection, &msg);
    RpMsg_Clear(&msg);
}

/* Appends those of the named services that are visible to the node. */
static void
append_visible_named_services(struct rp_distribution *distribution,
                              const struct node *node, GHashTable *names,
                              GArray *services)
{
    GHashTableIter iter;
    gpointer key;

    g_hash_table_iter_init(&iter, names);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        const struct rp_catalog_entry *entry = RpCatalog_Find(
            distribution->catalog, key);
        if (entry && is_service_visible(distribution, node, &entry->name)) {
            append_service(distribution, entry, services);
        }
    }
}

/* Sends what has changed since the last flush and is visible to the node.
 * Sends nothing if nothing changed for the node and the revision is the
 * same. */
static void
send_update(struct rp_distribution *distribution, const struct node *node)
{
    const struct pending *pending = &distribution->pending;
    struct rp_msg msg;

    init_table_message(distribution, &msg, false);
    append_visible_named_services(distribution, node, pending->services,
                                  msg.table.services);
    if (node->service.len > 0) {
        append_visible_named_services(
            distribution, node, pending->shared_services, msg.table.services);
    }
    for (guint i = 0; i < pending->removed_services->len; i++) {
        const struct removed_service *removed = &g_array_index(
            pending->removed_services, struct removed_service, i);
        const struct rp_msg_removed row = {.id = removed->id};
        if (removed->maybe_shared ||
            is_service_visible(distribution, node, &removed->name)) {
            g_array_append_val(msg.table.removed, row);
        }
    }
    for (guint i = 0; i < pending->vips->len; i++) {
        const struct rp_msg_vip *vip = &g_array_index(pending->vips,
                                                      struct rp_msg_vip, i);
        if (RpDistribution_IsVipVisible(distribution, node, vip)) {
            struct rp_msg_vip copy = RpDistribution_CopyVip(vip);
            g_array_append_val(msg.table.vips, copy);
        }
    }
    g_array_append_vals(msg.table.removed_vips, pending->removed_vips->data,
                        pending->removed_vips->len);
    if (msg.table.services->len || msg.table.removed->len ||
        msg.table.vips->len || msg.table.removed_vips->len ||
        pending->revision_changed || pending->fresh_changed) {
        distribution->send(distribution->user, node->connection, &msg);
    }
    RpMsg_Clear(&msg);
}

void
RpDistribution_Subscribe(struct rp_distribution *distribution, int64_t now,
                         uint64_t connection, const struct rp_msg_hello *hello,
                         const struct rp_msg_subscribe *subscribe)
{
    struct node *node = g_hash_table_lookup(distribution->nodes, &hello->name);

    if (!node) {
        if (g_hash_table_size(distribution->nodes) >= RP_NODE_MAX) {
            return;
        }
        node = g_new0(struct node, 1);
        node->name = hello->name;
        node->behind_since = now;
        g_hash_table_insert(distribution->nodes, &node->name, node);
    }
    node->zone = hello->zone;
    node->role = hello->role;
    node->service = subscribe->service;
    node->connection = connection;
    node->has_full_table = false;
    node->confirmed = MAX(node->confirmed, subscribe->revision);
    distribution->pending.deadline = MIN(distribution->pending.deadline, now);
}

/* Starts or clears the time since which the node is behind the catalogue. */
static void
update_behind_since(const struct rp_distribution *distribution,
                    struct node *node, int64_t now)
{
    if (node->confirmed >= RpCatalog_Revision(distribution->catalog)) {
        node->behind_since = 0;
    }
    else if (node->behind_since == 0) {
        node->behind_since = now;
    }
}

bool
RpDistribution_Confirm(struct rp_distribution *distribution, int64_t now,
                       uint64_t connection, uint64_t revision)
{
    struct node *node = find_node_by_connection(distribution, connection);

    if (!node) {
        return false;
    }
    bool is_first_confirmation = revision > node->confirmed &&
                                 revision ==
                                     RpCatalog_Revision(distribution->catalog);
    node->confirmed = MAX(node->confirmed, revision);
    update_behind_since(distribution, node, now);
    return is_first_confirmation;
}

void
RpDistribution_Disconnect(struct rp_distribution *distribution, int64_t now,
                          uint64_t connection)
{
    struct node *node = find_node_by_connection(distribution, connection);

    if (node) {
        node->connection = 0;
        node->disconnected_at = now;
    }
}

/* Schedules a flush one batch time from now, unless one is due earlier. */
static void
schedule_flush(struct rp_distribution *distribution, int64_t now)
{
    struct pending *pending = &distribution->pending;

    if (RpCatalog_Revision(distribution->catalog) !=
        distribution->sent_revision) {
        pending->revision_changed = true;
    }
    pending->deadline = MIN(pending->deadline, now + RP_TABLE_BATCH_US);
}

void
RpDistribution_MarkServiceChanged(struct rp_distribution *distribution,
                                  int64_t now, const struct rp_name *service)
{
    g_hash_table_add(distribution->pending.services,
                     g_memdup2(service, sizeof *service));
    schedule_flush(distribution, now);
}

void
RpDistribution_MarkServiceRemoved(struct rp_distribution *distribution,
                                  int64_t now, const struct rp_name *service,
                                  uint32_t id)
{
    const struct removed_service row = {.name = *service, .id = id};

    g_array_append_val(distribution->pending.removed_services, row);
    schedule_flush(distribution, now);
}

void
RpDistribution_MarkEditionChanged(struct rp_distribution *distribution,
                                  int64_t now)
{
    GPtrArray *entries = RpCatalog_List(distribution->catalog);
    GHashTable *previous = distribution->edition_services;
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    distribution->shared_filled = false;
    distribution->edition_services = g_hash_table_new_full(
        RpName_Hash, RpName_EqualKeys, g_free, NULL);
    for (guint i = 0; i < entries->len; i++) {
        const struct rp_catalog_entry *entry = g_ptr_array_index(entries, i);
        if (!entry->from_edition) {
            continue;
        }
        g_hash_table_insert(distribution->edition_services,
                            g_memdup2(&entry->name, sizeof entry->name),
                            GUINT_TO_POINTER(entry->id));
        /* Services that an edition added or changed since the last flush. */
        if (entry->revision > distribution->sent_revision) {
            RpDistribution_MarkServiceChanged(distribution, now, &entry->name);
        }
        if (RpDistribution_IsShared(distribution, &entry->name)) {
            g_hash_table_add(distribution->pending.shared_services,
                             g_memdup2(&entry->name, sizeof entry->name));
        }
    }
    g_hash_table_iter_init(&iter, previous);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (g_hash_table_lookup(distribution->edition_services, key) !=
            value) {
            RpDistribution_MarkServiceRemoved(distribution, now, key,
                                              GPOINTER_TO_UINT(value));
            g_array_index(distribution->pending.removed_services,
                          struct removed_service,
                          distribution->pending.removed_services->len - 1)
                .maybe_shared = true;
        }
    }
    g_hash_table_destroy(previous);
    g_ptr_array_unref(entries);
    distribution->pending.edition_changed = true;
    schedule_flush(distribution, now);
}

void
RpDistribution_MarkZonesChanged(struct rp_distribution *distribution,
                                int64_t now)
{
    schedule_flush(distribution, now);
}

void
RpDistribution_MarkAllChanged(struct rp_distribution *distribution,
                              int64_t now)
{
    RpDistribution_MarkEditionChanged(distribution, now);
    distribution->pending.resend_all = true;
    schedule_flush(distribution, now);
}

void
RpDistribution_SetFresh(struct rp_distribution *distribution, int64_t now,
                        bool fresh)
{
    distribution->pending.fresh_changed |= distribution->fresh != fresh;
    distribution->fresh = fresh;
    distribution->pending.deadline = MIN(distribution->pending.deadline, now);
}

/* Updates the time since which each node is behind, and removes nodes that
 * have been disconnected for RP_NODE_RETENTION_US. */
static void
update_nodes(struct rp_distribution *distribution, int64_t now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, distribution->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct node *node = value;
        update_behind_since(distribution, node, now);
        if (node->connection == 0 &&
            now - node->disconnected_at >= RP_NODE_RETENTION_US) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Returns whether the node may be sent this replica's full table. */
static bool
may_send_full_table(const struct rp_distribution *distribution,
                    const struct node *node)
{
    uint64_t revision = RpCatalog_Revision(distribution->catalog);

    if (revision == 0 || node->confirmed > revision) {
        return false;
    }
    /* A replaced agent must serve its host's open flows even while there is
     * no leader. The table may be stale; the agent then drops packets that
     * carry a newer incarnation of the service, as it would do without a
     * table. */
    return distribution->fresh || node->confirmed > 0 ||
           node->role == RP_ROLE_AGENT;
}

/* Sends a full table or an update to each connected node. */
static void
send_tables(struct rp_distribution *distribution)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, distribution->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct node *node = value;
        if (node->connection == 0) {
            continue;
        }
        if (!node->has_full_table || distribution->pending.resend_all) {
            node->has_full_table = false;
            if (may_send_full_table(distribution, node)) {
                send_full_table(distribution, node);
            }
            else {
                distribution->withheld_count++;
            }
        }
        else {
            send_update(distribution, node);
        }
    }
}

void
RpDistribution_SetGatheringUntil(struct rp_distribution *distribution,
                                 int64_t until)
{
    distribution->gathering_until = until;
}

int64_t
RpDistribution_Flush(struct rp_distribution *distribution, int64_t now)
{
    struct pending *pending = &distribution->pending;

    if (distribution->gathering_until &&
        now >= distribution->gathering_until) {
        distribution->gathering_until = 0;
        pending->resend_all = true;
        pending->deadline = now;
    }
    if (now < pending->deadline) {
        return pending->deadline;
    }
    distribution->generation++;
    if (pending->edition_changed || pending->resend_all ||
        !distribution->sent_vips_filled) {
        RpDistribution_DiffVips(distribution);
    }
    send_tables(distribution);
    update_nodes(distribution, now);
    g_hash_table_remove_all(pending->services);
    g_hash_table_remove_all(pending->shared_services);
    g_array_set_size(pending->removed_services, 0);
    RpDistribution_ClearVips(pending->vips);
    g_array_set_size(pending->removed_vips, 0);
    pending->edition_changed = false;
    pending->resend_all = false;
    pending->fresh_changed = false;
    pending->revision_changed = false;
    pending->deadline = RP_NEVER;
    distribution->sent_revision = RpCatalog_Revision(distribution->catalog);
    return RP_NEVER;
}

uint64_t
RpDistribution_LowestConfirmed(const struct rp_distribution *distribution)
{
    uint64_t lowest = RpCatalog_Revision(distribution->catalog);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, distribution->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct node *node = value;
        if (node->connection != 0) {
            lowest = MIN(lowest, node->confirmed);
        }
    }
    return lowest;
}

uint64_t
RpDistribution_LowestRouted(const struct rp_distribution *distribution,
                            int64_t now)
{
    uint64_t lowest = RpCatalog_Revision(distribution->catalog);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, distribution->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct node *node = value;
        bool may_route = node->connection != 0 ||
                         now < node->disconnected_at + RP_NODE_ROUTING_US;
        if (node->role == RP_ROLE_BALANCER && may_route) {
            lowest = MIN(lowest, node->confirmed);
        }
    }
    return lowest;
}

GArray *
RpDistribution_ListConnections(const struct rp_distribution *distribution)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, distribution->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct node *node = value;
        if (node->connection != 0) {
            g_array_append_val(list, node->connection);
        }
    }
    return list;
}

uint64_t
RpDistribution_WithheldCount(const struct rp_distribution *distribution)
{
    return distribution->withheld_count;
}

GArray *
RpDistribution_ListNodes(const struct rp_distribution *distribution,
                         int64_t now)
{
    GArray *rows = RpSchema_NewList(&rp_msg_node_info_schema);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, distribution->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct node *node = value;
        int64_t behind = node->behind_since ? now - node->behind_since : 0;
        const struct rp_msg_node_info row = {
            .name = node->name,
            .zone = node->zone,
            .role = node->role,
            .confirmed = node->confirmed,
            .connected = node->connection != 0,
            .behind_ms = (uint32_t)(behind / RP_US_PER_MS)};
        g_array_append_val(rows, row);
    }
    return rows;
}
