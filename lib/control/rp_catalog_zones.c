/* Data centres that the operator has evacuated or restored. */
#include <string.h>

#include "rp_catalog_internal.h"

const GArray *
RpCatalog_Zones(const struct rp_catalog *catalog)
{
    return catalog->zones;
}

/* Returns the index of a data centre, or their number if it is not known. */
static guint
find_zone(const struct rp_catalog *catalog, const struct rp_name *name)
{
    guint i = 0;

    while (i < catalog->zones->len &&
           !RpName_Equal(
               &g_array_index(catalog->zones, struct rp_catalog_zone, i).name,
               name)) {
        i++;
    }
    return i;
}

static struct rp_catalog_zone *
get_zone(const struct rp_catalog *catalog, guint index)
{
    return &g_array_index(catalog->zones, struct rp_catalog_zone, index);
}

const struct rp_catalog_zone *
RpCatalog_FindZone(const struct rp_catalog *catalog,
                   const struct rp_name *name)
{
    guint index = find_zone(catalog, name);

    return index < catalog->zones->len ? get_zone(catalog, index) : NULL;
}

GArray *
RpCatalog_ListEvacuated(const struct rp_catalog *catalog)
{
    GArray *list = RpSchema_NewList(&rp_msg_zone_schema);

    for (guint i = 0; i < catalog->zones->len; i++) {
        const struct rp_catalog_zone *zone = get_zone(catalog, i);
        const struct rp_msg_zone row = {.name = zone->name};
        if (zone->evacuated) {
            g_array_append_val(list, row);
        }
    }
    return list;
}

/* Removes the data centre that was restored first. Returns false if none
 * is. */
static bool
forget_restored_zone(struct rp_catalog *catalog)
{
    guint count = catalog->zones->len;
    guint oldest = count;

    for (guint i = 0; i < count; i++) {
        const struct rp_catalog_zone *zone = get_zone(catalog, i);
        if (!zone->evacuated &&
            (oldest == count ||
             zone->revision < get_zone(catalog, oldest)->revision)) {
            oldest = i;
        }
    }
    if (oldest == count) {
        return false;
    }
    g_array_remove_index(catalog->zones, oldest);
    return true;
}

static gint
compare_zones(gconstpointer a, gconstpointer b)
{
    return strcmp(((const struct rp_catalog_zone *)a)->name.data,
                  ((const struct rp_catalog_zone *)b)->name.data);
}

/* Adds a data centre as restored. */
static enum rp_code
add_zone(struct rp_catalog *catalog, const struct rp_name *name,
         struct rp_error *error)
{
    const struct rp_catalog_zone row = {.name = *name};

    if (catalog->zones->len >= RP_CATALOG_MAX_ZONES &&
        !forget_restored_zone(catalog)) {
        return RpError_Add(error, RP_ERR_LIMIT, name->data,
                           "cannot be evacuated: %d data centres are already",
                           RP_CATALOG_MAX_ZONES);
    }
    g_array_append_val(catalog->zones, row);
    g_array_sort(catalog->zones, compare_zones);
    return RP_OK;
}

enum rp_code
RpCatalog_ChangeZone(struct rp_catalog *catalog,
                     const struct rp_msg_change *change, bool *unchanged,
                     struct rp_error *error)
{
    const struct rp_name *name = &change->zone;
    bool evacuate = change->kind == RP_CHANGE_EVACUATE;
    guint index = find_zone(catalog, name);
    bool known = index < catalog->zones->len;

    *unchanged = false;
    if (!RpName_IsLabel(RpName_View(name))) {
        return RpError_Add(error, RP_ERR_DOCUMENT, "zone",
                           "is not a valid name");
    }
    if ((known && get_zone(catalog, index)->evacuated) == evacuate) {
        *unchanged = true;
        return RP_OK;
    }
    if (!known) {
        RP_RETURN_IF_ERROR(add_zone(catalog, name, error));
    }
    catalog->revision++;
    struct rp_catalog_zone *zone = get_zone(catalog, find_zone(catalog, name));
    zone->evacuated = evacuate;
    zone->revision = catalog->revision;
    return RP_OK;
}
