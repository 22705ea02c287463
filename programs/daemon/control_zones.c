/* Orders for data centres: which exist, and what an applied order changes. */
#include "control.h"
#include "rp_clock.h"

/* Returns whether the settings list the data centre, or list none. */
static bool
is_listed(const struct control_settings *settings, const struct rp_name *zone)
{
    struct rp_str rest = {0};

    if (!settings->zones) {
        return true;
    }
    rest = (struct rp_str){.data = settings->zones->str,
                           .len = settings->zones->len};
    while (rest.len > 0) {
        struct rp_str part = RpStr_Trim(RpStr_Split(rest, ',', &rest));
        if (RpStr_Equal(part, RpName_View(zone))) {
            return true;
        }
    }
    return false;
}

enum rp_code
RpControlZones_Check(const struct control *control, const struct rp_name *zone,
                     struct rp_error *error)
{
    const struct rp_catalog *catalog = RpControlReplica_Catalog(
        control->replica);

    if (is_listed(&control->settings, zone) ||
        RpCatalog_FindZone(catalog, zone)) {
        return RP_OK;
    }
    if (!RpReplica_IsFresh(RpControlReplica_Replica(control->replica),
                           RpClock_Now())) {
        return RP_ERR_NO_LEADER;
    }
    return RpError_Add(error, RP_ERR_NOT_FOUND, "zone",
                       "%s is none of the data centres in the setting zones",
                       RpName_IsLabel(RpName_View(zone)) ? zone->data
                                                         : "the name");
}

/* Returns the counter of an applied order. */
static enum rp_counter
find_counter(const struct rp_msg_change_reply *reply, bool evacuated)
{
    if (reply->repeated) {
        return RP_COUNT_CHANGE_REPEATED;
    }
    if (reply->code != RP_OK) {
        return RP_COUNT_CHANGE_BAD_DOCUMENT;
    }
    if (reply->unchanged) {
        return RP_COUNT_ZONE_UNCHANGED;
    }
    return evacuated ? RP_COUNT_ZONE_EVACUATED : RP_COUNT_ZONE_RESTORED;
}

void
RpControlZones_Publish(struct control *control,
                       const struct rp_msg_change_reply *reply)
{
    const struct rp_catalog_zone *zone = RpCatalog_FindZone(
        RpControlReplica_Catalog(control->replica), &reply->zone);
    bool evacuated = zone && zone->evacuated;

    RpCounters_Add(&control->daemon.counters, find_counter(reply, evacuated));
    RpLog_Event(control->daemon.log, RP_LOG_INFO, "zone_decided",
                "zone=%s evacuated=%d result=%s revision=%" G_GUINT64_FORMAT
                " unchanged=%d repeated=%d",
                reply->zone.data, evacuated,
                RpCode_Name((enum rp_code)reply->code), reply->revision,
                reply->unchanged, reply->repeated);
    if (reply->code == RP_OK && !reply->unchanged && !reply->repeated) {
        control->changed_at = RpClock_Now();
        RpDistribution_MarkZonesChanged(control->distribution,
                                        control->changed_at);
    }
}
