/* Data centres and evacuations. See rp_zones.h. */
#include "rp_zones.h"

void
RpZones_Init(struct rp_zones *zones)
{
    *zones = (struct rp_zones){
        .names = g_array_new(FALSE, TRUE, sizeof(struct rp_name)),
        .evacuated = RpSchema_NewList(&rp_msg_zone_schema)};
}

void
RpZones_Clear(struct rp_zones *zones)
{
    g_array_free(zones->names, TRUE);
    g_array_free(zones->evacuated, TRUE);
}

uint32_t
RpZones_Index(struct rp_zones *zones, const struct rp_name *zone)
{
    guint i = 0;

    while (
        i < zones->names->len &&
        !RpName_Equal(&g_array_index(zones->names, struct rp_name, i), zone)) {
        i++;
    }
    if (i == zones->names->len) {
        g_array_append_vals(zones->names, zone, 1);
    }
    return i;
}

bool
RpZones_IsEvacuated(const struct rp_zones *zones, const struct rp_name *zone)
{
    for (guint i = 0; i < zones->evacuated->len; i++) {
        if (RpName_Equal(
                &g_array_index(zones->evacuated, struct rp_msg_zone, i).name,
                zone)) {
            return true;
        }
    }
    return false;
}

/* Both lists are ordered by name. */
static bool
is_same_list(const GArray *a, const GArray *b)
{
    for (guint i = 0; a->len == b->len && i < a->len; i++) {
        if (!RpName_Equal(&g_array_index(a, struct rp_msg_zone, i).name,
                          &g_array_index(b, struct rp_msg_zone, i).name)) {
            return false;
        }
    }
    return a->len == b->len;
}

bool
RpZones_Replace(struct rp_zones *zones, const GArray *evacuated)
{
    if (is_same_list(zones->evacuated, evacuated)) {
        return false;
    }
    zones->changes++;
    g_array_set_size(zones->evacuated, 0);
    g_array_append_vals(zones->evacuated, evacuated->data, evacuated->len);
    return true;
}
