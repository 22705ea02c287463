/* The services that a virtual address went to in earlier editions. Their
 * hosts may still have open flows to that address. */
#include "rp_catalog_internal.h"

static guint64
vip_key(const struct rp_edition_vip *vip)
{
    return RpEndpoint_Key(
        (struct rp_endpoint){.ip = vip->address, .port = vip->port});
}

const GArray *
RpCatalog_FormerTargets(const struct rp_catalog *catalog,
                        struct rp_endpoint address)
{
    guint64 key = RpEndpoint_Key(address);

    return g_hash_table_lookup(catalog->former, &key);
}

void
RpCatalog_FreeFormerList(gpointer data)
{
    g_array_free(data, TRUE);
}

/* Removes the row of a service. */
static void
remove_service_row(GArray *list, uint32_t service_id)
{
    for (guint i = list->len; i-- > 0;) {
        if (g_array_index(list, struct rp_former_target, i).service_id ==
            service_id) {
            g_array_remove_index(list, i);
        }
    }
}

/* If the list is too long, merges the earliest target into the row of those
 * that are not listed, which is the first. Until they would have expired it is
 * thus known that they are missing. */
static void
unlist_earliest(GArray *list)
{
    struct rp_former_target *first = &g_array_index(
        list, struct rp_former_target, 0);

    if (list->len <= RP_CATALOG_MAX_FORMER) {
        return;
    }
    if (first->service_id != RP_TARGET_UNLISTED) {
        first->service_id = RP_TARGET_UNLISTED;
    }
    else if (list->len > RP_CATALOG_MAX_FORMER + 1) {
        const struct rp_former_target *second = &g_array_index(
            list, struct rp_former_target, 1);
        first->revision = MAX(first->revision, second->revision);
        g_array_remove_index(list, 1);
    }
}

void
RpCatalog_AddFormer(struct rp_catalog *catalog, guint64 key,
                    uint32_t service_id, uint64_t revision)
{
    const struct rp_former_target row = {.service_id = service_id,
                                         .revision = revision};
    GArray *list = g_hash_table_lookup(catalog->former, &key);

    if (!list) {
        list = g_array_new(FALSE, TRUE, sizeof row);
        g_hash_table_insert(catalog->former, g_memdup2(&key, sizeof key),
                            list);
    }
    remove_service_row(list, service_id);
    g_array_append_val(list, row);
    unlist_earliest(list);
}

static bool
has_same_targets(const struct rp_edition_vip *a,
                 const struct rp_edition_vip *b)
{
    if (a->targets->len != b->targets->len) {
        return false;
    }
    for (guint i = 0; i < a->targets->len; i++) {
        const struct rp_edition_target *left = &g_array_index(
            a->targets, struct rp_edition_target, i);
        const struct rp_edition_target *right = &g_array_index(
            b->targets, struct rp_edition_target, i);
        if (left->weight != right->weight ||
            !RpName_Equal(&left->service, &right->service)) {
            return false;
        }
    }
    return true;
}

/* Adds the targets of `old` as former ones of its address. If `new` sends
 * every flow to one service, its agents get all packets first, so it needs no
 * row. */
static void
record_targets(struct rp_catalog *catalog, const struct rp_edition_vip *old,
               const struct rp_edition_vip *new, uint64_t revision)
{
    guint64 key = vip_key(old);
    GArray *list = g_hash_table_lookup(catalog->former, &key);
    const struct rp_catalog_entry *only =
        new->targets->len == 1
            ? RpCatalog_Find(
                  catalog,
                  &g_array_index(new->targets, struct rp_edition_target, 0)
                       .service)
            : NULL;

    /* Before the others are added: its row may be the one too many. */
    if (only && list) {
        remove_service_row(list, only->id);
    }
    for (guint i = 0; i < old->targets->len; i++) {
        const struct rp_catalog_entry *entry = RpCatalog_Find(
            catalog,
            &g_array_index(old->targets, struct rp_edition_target, i).service);
        if (entry && entry != only) {
            RpCatalog_AddFormer(catalog, key, entry->id, revision);
        }
    }
}

void
RpCatalog_RecordFormer(struct rp_catalog *catalog,
                       const struct rp_edition *new, uint64_t revision)
{
    GHashTable *vips = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                             g_free, NULL);
    const struct rp_edition *current = RpCatalog_Edition(catalog);

    for (guint i = 0; i < new->vips->len; i++) {
        struct rp_edition_vip *vip = &g_array_index(new->vips,
                                                    struct rp_edition_vip, i);
        guint64 key = vip_key(vip);
        g_hash_table_insert(vips, g_memdup2(&key, sizeof key), vip);
    }
    for (guint i = 0; current && i < current->vips->len; i++) {
        const struct rp_edition_vip *old = &g_array_index(
            current->vips, struct rp_edition_vip, i);
        guint64 key = vip_key(old);
        const struct rp_edition_vip *successor = g_hash_table_lookup(vips,
                                                                     &key);
        if (!successor) {
            g_hash_table_remove(catalog->former, &key);
        }
        else if (!has_same_targets(old, successor)) {
            record_targets(catalog, old, successor, revision);
        }
    }
    g_hash_table_destroy(vips);
}

void
RpCatalog_RemoveUnusedServices(struct rp_catalog *catalog)
{
    GHashTable *used = g_hash_table_new(NULL, NULL);
    GHashTableIter iter;
    gpointer value;

    for (guint i = 0; i < catalog->edition.services->len; i++) {
        const struct rp_catalog_entry *entry = RpCatalog_Find(
            catalog, &g_array_index(catalog->edition.services,
                                    struct rp_edition_service, i)
                          .name);
        if (entry) {
            g_hash_table_add(used, GUINT_TO_POINTER(entry->id));
        }
    }
    g_hash_table_iter_init(&iter, catalog->former);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GArray *list = value;
        for (guint i = 0; i < list->len; i++) {
            g_hash_table_add(
                used, GUINT_TO_POINTER(
                          g_array_index(list, struct rp_former_target, i)
                              .service_id));
        }
    }
    g_hash_table_iter_init(&iter, catalog->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rp_catalog_entry *entry = value;
        if (entry->from_edition &&
            !g_hash_table_contains(used, GUINT_TO_POINTER(entry->id))) {
            g_hash_table_iter_remove(&iter);
        }
    }
    g_hash_table_destroy(used);
}

void
RpCatalog_ExpireFormer(struct rp_catalog *catalog, uint64_t revision)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, catalog->former);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GArray *list = value;
        for (guint i = list->len; i-- > 0;) {
            if (g_array_index(list, struct rp_former_target, i).revision <=
                revision) {
                g_array_remove_index(list, i);
            }
        }
        if (list->len == 0) {
            g_hash_table_iter_remove(&iter);
        }
    }
    if (catalog->edition.version) {
        RpCatalog_RemoveUnusedServices(catalog);
    }
}

uint64_t
RpCatalog_FormerRevision(const struct rp_catalog *catalog)
{
    uint64_t highest = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, catalog->former);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GArray *list = value;
        for (guint i = 0; i < list->len; i++) {
            uint64_t revision =
                g_array_index(list, struct rp_former_target, i).revision;
            highest = MAX(highest, revision);
        }
    }
    return highest;
}
