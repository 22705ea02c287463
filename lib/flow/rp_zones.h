/* The data centres of a table's members, and which of them are evacuated. */
#ifndef RP_ZONES_H
#define RP_ZONES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "rp_msg.h"

struct rp_zones {
    GArray *names;     /* of struct rp_name: of all members so far */
    GArray *evacuated; /* of struct rp_msg_zone */
    uint64_t changes;  /* how often `evacuated` has changed */
};

/* Starts without data centres; release with RpZones_Clear. */
void RpZones_Init(struct rp_zones *zones);
void RpZones_Clear(struct rp_zones *zones);

/* Returns the index of a data centre in `names`, and adds it if it is
 * missing. */
uint32_t RpZones_Index(struct rp_zones *zones, const struct rp_name *zone);

/* Returns whether the operator has evacuated this data centre. */
bool RpZones_IsEvacuated(const struct rp_zones *zones,
                         const struct rp_name *zone);

/* Replaces the evacuated data centres. Returns whether they differ. */
bool RpZones_Replace(struct rp_zones *zones, const GArray *evacuated);

#endif
