/* Virtual addresses in tables: which of them a node gets, and which have
 * changed since they were last sent. */
#include "rp_distribution_internal.h"

void
RpDistribution_FreeString(gpointer data)
{
    g_string_free(data, TRUE);
}

void
RpDistribution_ClearVips(GArray *vips)
{
    for (guint i = 0; i < vips->len; i++) {
        RpSchema_Clear(&rp_msg_vip_schema,
                       &g_array_index(vips, struct rp_msg_vip, i));
    }
    g_array_set_size(vips, 0);
}

/* Appends the former targets of the address, the latest first. Their weight is
 * 0, so they get no new flows. */
static void
append_former_targets(const struct rp_distribution *distribution,
                      struct rp_msg_vip *vip)
{
    const GArray *former = RpCatalog_FormerTargets(
        distribution->catalog,
        (struct rp_endpoint){.ip = vip->address, .port = vip->port});

    for (guint i = former ? former->len : 0; i-- > 0;) {
        const struct rp_msg_target row = {
            .service_id =
                g_array_index(former, struct rp_former_target, i).service_id,
            .weight = 0};
        g_array_append_val(vip->targets, row);
    }
}

/* Converts a virtual address of the edition to its form in tables. Clear the
 * result with RpSchema_Clear. */
static struct rp_msg_vip
make_table_vip(const struct rp_distribution *distribution,
               const struct rp_edition_vip *from)
{
    struct rp_msg_vip vip = {
        .address = from->address,
        .port = from->port,
        .kind = from->kind,
        .priority = from->priority,
        .timeout_ms = from->timeout_ms,
        .target_ms = from->target_ms,
        .targets = RpSchema_NewList(&rp_msg_target_schema)};

    for (guint i = 0; i < from->targets->len; i++) {
        const struct rp_edition_target *target = &g_array_index(
            from->targets, struct rp_edition_target, i);
        const struct rp_catalog_entry *entry = RpCatalog_Find(
            distribution->catalog, &target->service);
        const struct rp_msg_target row = {.service_id = entry ? entry->id : 0,
                                          .weight = target->weight};
        g_array_append_val(vip.targets, row);
    }
    append_former_targets(distribution, &vip);
    return vip;
}

struct rp_msg_vip
RpDistribution_CopyVip(const struct rp_msg_vip *vip)
{
    struct rp_msg_vip copy = *vip;

    copy.targets = RpSchema_NewList(&rp_msg_target_schema);
    g_array_append_vals(copy.targets, vip->targets->data, vip->targets->len);
    return copy;
}

bool
RpDistribution_IsVipVisible(const struct rp_distribution *distribution,
                            const struct node *node,
                            const struct rp_msg_vip *vip)
{
    if (node->service.len == 0) {
        return true;
    }
    const struct rp_catalog_entry *entry = RpCatalog_Find(
        distribution->catalog, &node->service);
    for (guint i = 0; entry && i < vip->targets->len; i++) {
        if (g_array_index(vip->targets, struct rp_msg_target, i).service_id ==
            entry->id) {
            return true;
        }
    }
    return false;
}

void
RpDistribution_AppendVisibleVips(const struct rp_distribution *distribution,
                                 const struct node *node, GArray *vips)
{
    const struct rp_edition *edition = RpCatalog_Edition(
        distribution->catalog);

    for (guint i = 0; edition && i < edition->vips->len; i++) {
        struct rp_msg_vip vip = make_table_vip(
            distribution,
            &g_array_index(edition->vips, struct rp_edition_vip, i));
        if (RpDistribution_IsVipVisible(distribution, node, &vip)) {
            g_array_append_val(vips, vip);
        }
        else {
            RpSchema_Clear(&rp_msg_vip_schema, &vip);
        }
    }
}

void
RpDistribution_DiffVips(struct rp_distribution *distribution)
{
    struct pending *pending = &distribution->pending;
    const struct rp_edition *edition = RpCatalog_Edition(
        distribution->catalog);
    GHashTable *current = g_hash_table_new_full(
        g_int64_hash, g_int64_equal, g_free, RpDistribution_FreeString);
    GHashTableIter iter;
    gpointer key;

    for (guint i = 0; edition && i < edition->vips->len; i++) {
        struct rp_msg_vip vip = make_table_vip(
            distribution,
            &g_array_index(edition->vips, struct rp_edition_vip, i));
        guint64 address = RpEndpoint_Key(
            (struct rp_endpoint){.ip = vip.address, .port = vip.port});
        GString *bytes = RpSchema_Encode(&rp_msg_vip_schema, &vip);
        const GString *previous = g_hash_table_lookup(distribution->sent_vips,
                                                      &address);
        if (previous && g_string_equal(previous, bytes)) {
            RpSchema_Clear(&rp_msg_vip_schema, &vip);
        }
        else {
            g_array_append_val(pending->vips, vip);
        }
        g_hash_table_replace(current, g_memdup2(&address, sizeof address),
                             bytes);
    }
    g_hash_table_iter_init(&iter, distribution->sent_vips);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        guint64 address = *(const guint64 *)key;
        const struct rp_msg_removed_vip row = {
            .address = (uint32_t)(address >> 16), .port = (uint16_t)address};
        if (!g_hash_table_contains(current, key)) {
            g_array_append_val(pending->removed_vips, row);
        }
    }
    g_hash_table_destroy(distribution->sent_vips);
    distribution->sent_vips = current;
    distribution->sent_vips_filled = true;
}

static guint64
share_key(uint32_t a, uint32_t b)
{
    return (uint64_t)MIN(a, b) << 32 | MAX(a, b);
}

/* Adds every pair of the address's targets. */
static void
add_shared_pairs(GHashTable *shared, const GArray *targets)
{
    for (guint i = 0; targets->len > 1 && i < targets->len; i++) {
        for (guint j = i; j < targets->len; j++) {
            guint64 key = share_key(
                g_array_index(targets, struct rp_msg_target, i).service_id,
                g_array_index(targets, struct rp_msg_target, j).service_id);
            if (!g_hash_table_contains(shared, &key)) {
                g_hash_table_add(shared, g_memdup2(&key, sizeof key));
            }
        }
    }
}

static void
fill_shared(struct rp_distribution *distribution)
{
    const struct rp_edition *edition = RpCatalog_Edition(
        distribution->catalog);

    if (distribution->shared_filled) {
        return;
    }
    g_hash_table_remove_all(distribution->shared);
    for (guint i = 0; edition && i < edition->vips->len; i++) {
        struct rp_msg_vip vip = make_table_vip(
            distribution,
            &g_array_index(edition->vips, struct rp_edition_vip, i));
        add_shared_pairs(distribution->shared, vip.targets);
        RpSchema_Clear(&rp_msg_vip_schema, &vip);
    }
    distribution->shared_filled = true;
}

bool
RpDistribution_ShareVip(struct rp_distribution *distribution,
                        const struct rp_name *a, const struct rp_name *b)
{
    const struct rp_catalog_entry *left = RpCatalog_Find(distribution->catalog,
                                                         a);
    const struct rp_catalog_entry *right = RpCatalog_Find(
        distribution->catalog, b);

    fill_shared(distribution);
    if (!left || !right) {
        return false;
    }
    guint64 key = share_key(left->id, right->id);
    return g_hash_table_contains(distribution->shared, &key);
}

bool
RpDistribution_IsShared(struct rp_distribution *distribution,
                        const struct rp_name *service)
{
    return RpDistribution_ShareVip(distribution, service, service);
}
