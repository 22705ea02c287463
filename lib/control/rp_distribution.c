#include "rp_distribution.h"

#include <string.h>

/* A node, known by its name; `connection` is 0 while it is away. */
struct node {
    struct rp_name name;
    struct rp_name zone;
    struct rp_name service; /* empty: subscribed to all */
    uint8_t role;
    uint64_t connection;
    bool served; /* has got a whole table on this connection */
    uint64_t confirmed;
    int64_t behind_since; /* 0 while it is not behind */
    int64_t away_since;
};

/* What changed since the last flush. */
struct pending {
    GHashTable *touched; /* names of services, as struct rp_name */
    GArray *removed;     /* of struct removed_service */
    bool everything;
    bool revision;
    int64_t deadline;
};

struct removed_service {
    struct rp_name name;
    uint32_t id;
};

struct rp_distribution {
    const struct rp_catalog *catalog;
    const struct rp_registry *registry;
    RpDistribution_Send send;
    void *user;
    GHashTable *nodes; /* name -> struct node */
    struct pending pending;
    uint64_t generation;
    uint64_t sent_revision;
    uint64_t withheld;
    bool fresh;
};

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
    distribution->pending.touched = g_hash_table_new_full(
        RpName_Hash, RpName_EqualKeys, g_free, NULL);
    distribution->pending.removed = g_array_new(
        FALSE, TRUE, sizeof(struct removed_service));
    distribution->pending.deadline = RP_NEVER;
    return distribution;
}

void
RpDistribution_Free(struct rp_distribution *distribution)
{
    if (distribution) {
        g_hash_table_destroy(distribution->nodes);
        g_hash_table_destroy(distribution->pending.touched);
        g_array_free(distribution->pending.removed, TRUE);
        g_free(distribution);
    }
}

static struct node *
find_connection(struct rp_distribution *distribution, uint64_t connection)
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

static void
add_members(const struct rp_distribution *distribution,
            const struct rp_name *service, GArray *members)
{
    GPtrArray *list = RpRegistry_List(distribution->registry, service);

    for (guint i = 0; i < list->len; i++) {
        const struct rp_upstream *upstream = g_ptr_array_index(list, i);
        const struct rp_msg_member member = {
            .upstream = upstream->last.upstream,
            .agent_ip = upstream->last.agent_ip,
            .agent_port = upstream->last.agent_port,
            .slots = upstream->last.slots,
            .state = (uint8_t)upstream->state};
        if (upstream->state != RP_UPSTREAM_GONE) {
            g_array_append_val(members, member);
        }
    }
    g_ptr_array_unref(list);
}

static void
add_service(const struct rp_distribution *distribution,
            const struct rp_entry *entry, GArray *services)
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
        .members = RpSchema_NewList(&rp_msg_member_schema)};

    add_members(distribution, &entry->name, service.members);
    g_array_append_val(services, service);
}

/* Whether a node with this subscription sees the service. */
static bool
sees(const struct node *node, const struct rp_name *service)
{
    return node->service.len == 0 || RpName_Equal(&node->service, service);
}

static void
start_table(const struct rp_distribution *distribution, struct rp_msg *msg,
            bool complete)
{
    memset(msg, 0, sizeof *msg);
    msg->type = RP_MSG_TABLE;
    msg->table.revision = RpCatalog_Revision(distribution->catalog);
    msg->table.complete = complete;
    memcpy(msg->table.hash_key, RpCatalog_HashKey(distribution->catalog),
           RP_HASH_KEY_SIZE);
    msg->table.services = RpSchema_NewList(&rp_msg_service_schema);
    msg->table.removed = RpSchema_NewList(&rp_msg_removed_schema);
}

static void
add_all_services(const struct rp_distribution *distribution, GArray *services)
{
    GPtrArray *entries = RpCatalog_List(distribution->catalog);

    for (guint i = 0; i < entries->len; i++) {
        add_service(distribution, g_ptr_array_index(entries, i), services);
    }
    g_ptr_array_unref(entries);
}

static void
send_whole(struct rp_distribution *distribution, struct node *node)
{
    struct rp_msg msg;

    start_table(distribution, &msg, true);
    if (node->service.len == 0) {
        add_all_services(distribution, msg.table.services);
    }
    else {
        const struct rp_entry *entry = RpCatalog_Find(distribution->catalog,
                                                      &node->service);
        if (entry) {
            add_service(distribution, entry, msg.table.services);
        }
    }
    node->served = true;
    distribution->send(distribution->user, node->connection, &msg);
    RpMsg_Clear(&msg);
}

static void
send_change(struct rp_distribution *distribution, const struct node *node)
{
    const struct pending *pending = &distribution->pending;
    GHashTableIter iter;
    gpointer key;
    struct rp_msg msg;

    start_table(distribution, &msg, false);
    g_hash_table_iter_init(&iter, pending->touched);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        const struct rp_entry *entry = RpCatalog_Find(distribution->catalog,
                                                      key);
        if (entry && sees(node, &entry->name)) {
            add_service(distribution, entry, msg.table.services);
        }
    }
    for (guint i = 0; i < pending->removed->len; i++) {
        const struct removed_service *gone = &g_array_index(
            pending->removed, struct removed_service, i);
        const struct rp_msg_removed row = {.id = gone->id};
        if (sees(node, &gone->name)) {
            g_array_append_val(msg.table.removed, row);
        }
    }
    if (msg.table.services->len || msg.table.removed->len ||
        pending->revision) {
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
    node->served = false;
    node->confirmed = MAX(node->confirmed, subscribe->revision);
    distribution->pending.deadline = MIN(distribution->pending.deadline, now);
}

static void
note_confirmed(const struct rp_distribution *distribution, struct node *node,
               int64_t now)
{
    if (node->confirmed >= RpCatalog_Revision(distribution->catalog)) {
        node->behind_since = 0;
    }
    else if (node->behind_since == 0) {
        node->behind_since = now;
    }
}

void
RpDistribution_Confirm(struct rp_distribution *distribution, int64_t now,
                       uint64_t connection, uint64_t revision)
{
    struct node *node = find_connection(distribution, connection);

    if (node) {
        node->confirmed = MAX(node->confirmed, revision);
        note_confirmed(distribution, node, now);
    }
}

void
RpDistribution_Disconnect(struct rp_distribution *distribution, int64_t now,
                          uint64_t connection)
{
    struct node *node = find_connection(distribution, connection);

    if (node) {
        node->connection = 0;
        node->away_since = now;
    }
}

static void
set_deadline(struct rp_distribution *distribution, int64_t now)
{
    struct pending *pending = &distribution->pending;

    if (RpCatalog_Revision(distribution->catalog) !=
        distribution->sent_revision) {
        pending->revision = true;
    }
    pending->deadline = MIN(pending->deadline, now + RP_TABLE_BATCH_US);
}

void
RpDistribution_Touch(struct rp_distribution *distribution, int64_t now,
                     const struct rp_name *service)
{
    g_hash_table_add(distribution->pending.touched,
                     g_memdup2(service, sizeof *service));
    set_deadline(distribution, now);
}

void
RpDistribution_Remove(struct rp_distribution *distribution, int64_t now,
                      const struct rp_name *service, uint32_t id)
{
    const struct removed_service row = {.name = *service, .id = id};

    g_array_append_val(distribution->pending.removed, row);
    set_deadline(distribution, now);
}

void
RpDistribution_TouchAll(struct rp_distribution *distribution, int64_t now)
{
    distribution->pending.everything = true;
    set_deadline(distribution, now);
}

void
RpDistribution_SetFresh(struct rp_distribution *distribution, int64_t now,
                        bool fresh)
{
    distribution->fresh = fresh;
    if (fresh) {
        distribution->pending.deadline = MIN(distribution->pending.deadline,
                                             now);
    }
}

/* Nodes that are behind are timed; nodes long away are forgotten. */
static void
review_nodes(struct rp_distribution *distribution, int64_t now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, distribution->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct node *node = value;
        note_confirmed(distribution, node, now);
        if (node->connection == 0 &&
            now - node->away_since >= RP_NODE_KEEP_US) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Whether this replica's whole table may go to a node. */
static bool
may_serve(const struct rp_distribution *distribution, const struct node *node)
{
    uint64_t revision = RpCatalog_Revision(distribution->catalog);

    if (revision == 0 || node->confirmed > revision) {
        return false;
    }
    /* An agent that was replaced must serve its host's flows even while
     * there is no leader. What it gets may be old: then it drops packets of
     * the service's new life, as it would without a table. */
    return distribution->fresh || node->confirmed > 0 ||
           node->role == RP_ROLE_AGENT;
}

static void
serve_nodes(struct rp_distribution *distribution)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, distribution->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct node *node = value;
        if (node->connection == 0) {
            continue;
        }
        if (!node->served || distribution->pending.everything) {
            node->served = false;
            if (may_serve(distribution, node)) {
                send_whole(distribution, node);
            }
            else {
                distribution->withheld++;
            }
        }
        else {
            send_change(distribution, node);
        }
    }
}

int64_t
RpDistribution_Flush(struct rp_distribution *distribution, int64_t now)
{
    struct pending *pending = &distribution->pending;

    if (now < pending->deadline) {
        return pending->deadline;
    }
    distribution->generation++;
    serve_nodes(distribution);
    review_nodes(distribution, now);
    g_hash_table_remove_all(pending->touched);
    g_array_set_size(pending->removed, 0);
    pending->everything = false;
    pending->revision = false;
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

GArray *
RpDistribution_Connections(const struct rp_distribution *distribution)
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
RpDistribution_Withheld(const struct rp_distribution *distribution)
{
    return distribution->withheld;
}

GArray *
RpDistribution_Nodes(const struct rp_distribution *distribution, int64_t now)
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
