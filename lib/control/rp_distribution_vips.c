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

static bool
has_target(const struct rp_edition_vip *vip, const struct rp_name *service)
{
    for (guint i = 0; i < vip->targets->len; i++) {
        const struct rp_edition_target *target = &g_array_index(
            vip->targets, struct rp_edition_target, i);
        if (RpName_Equal(&target->service, service)) {
            return true;
        }
    }
    return false;
}

bool
RpDistribution_ShareVip(const struct rp_distribution *distribution,
                        const struct rp_name *a, const struct rp_name *b)
{
    const struct rp_edition *edition = RpCatalog_Edition(
        distribution->catalog);

    for (guint i = 0; edition && i < edition->vips->len; i++) {
        const struct rp_edition_vip *vip = &g_array_index(
            edition->vips, struct rp_edition_vip, i);
        if (vip->targets->len > 1 && has_target(vip, a) &&
            has_target(vip, b)) {
            return true;
        }
    }
    return false;
}

bool
RpDistribution_IsShared(const struct rp_distribution *distribution,
                        const struct rp_name *service)
{
    const struct rp_edition *edition = RpCatalog_Edition(
        distribution->catalog);

    for (guint i = 0; edition && i < edition->vips->len; i++) {
        const struct rp_edition_vip *vip = &g_array_index(
            edition->vips, struct rp_edition_vip, i);
        if (vip->targets->len > 1 && has_target(vip, service)) {
            return true;
        }
    }
    return false;
}
