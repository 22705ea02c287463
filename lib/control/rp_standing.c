/* Whether a replica keeps its nodes; see rp_standing.h for the rules. */
#include "rp_standing.h"

#include <glib.h>

void
RpStanding_Init(struct rp_standing *standing, int64_t now)
{
    *standing = (struct rp_standing){
        .cut_off_since = now, .next_send_away = now + RP_SEND_AWAY_MIN_US};
}

bool
RpStanding_Update(struct rp_standing *standing, int64_t now, bool has_log,
                  bool fresh)
{
    standing->has_log = has_log;
    if (fresh == standing->fresh) {
        return false;
    }
    standing->fresh = fresh;
    standing->cut_off_since = now;
    standing->next_send_away = now + RP_SEND_AWAY_MIN_US;
    return true;
}

bool
RpStanding_KeepsNodes(const struct rp_standing *standing)
{
    return standing->has_log;
}

bool
RpStanding_SendsAway(struct rp_standing *standing, int64_t now)
{
    if (!RpStanding_KeepsNodes(standing)) {
        return true;
    }
    if (standing->fresh || now < standing->next_send_away) {
        return false;
    }
    int64_t wait = CLAMP(now - standing->cut_off_since, RP_SEND_AWAY_MIN_US,
                         RP_SEND_AWAY_MAX_US);
    standing->next_send_away = now + wait;
    return true;
}
