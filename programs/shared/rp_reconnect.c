#include "rp_reconnect.h"

#include <glib.h>

#include "rp_conn.h"

#define PATIENCE_MAX_MS ((uint32_t)(RP_CONN_CONNECT_US / RP_US_PER_MS))

void
RpReconnect_Init(struct rp_reconnect *reconnect)
{
    *reconnect = (struct rp_reconnect){
        .patience_ms = RP_RECONNECT_PATIENCE_MIN_MS,
        .pause_ms = RP_RECONNECT_PAUSE_MIN_MS};
}

uint32_t
RpReconnect_Begin(struct rp_reconnect *reconnect)
{
    uint32_t patience = reconnect->patience_ms;

    reconnect->patience_ms = MIN(patience * 2, PATIENCE_MAX_MS);
    return patience;
}

/* A random half to one and a half: many nodes lose an instance at once. */
static uint32_t
spread(uint32_t pause_ms, uint32_t (*dice)(uint32_t upper_bound))
{
    return pause_ms / 2 + dice(pause_ms + 1);
}

uint32_t
RpReconnect_End(struct rp_reconnect *reconnect, bool answered,
                uint32_t (*dice)(uint32_t upper_bound))
{
    if (!answered) {
        return spread(RP_RECONNECT_PAUSE_MIN_MS, dice);
    }
    uint32_t pause = reconnect->pause_ms;
    reconnect->pause_ms = MIN(pause * 2, RP_RECONNECT_PAUSE_MAX_MS);
    return spread(pause, dice);
}

void
RpReconnect_Served(struct rp_reconnect *reconnect)
{
    RpReconnect_Init(reconnect);
}
