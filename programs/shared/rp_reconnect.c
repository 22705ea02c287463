/* Growth and random spread of the timeouts and pauses of reconnects. */
#include "rp_reconnect.h"

#include <glib.h>

#include "rp_conn.h"

#define TIMEOUT_MAX_MS ((uint32_t)(RP_CONN_CONNECT_TIMEOUT_US / RP_US_PER_MS))

void
RpReconnect_Init(struct rp_reconnect *reconnect)
{
    *reconnect = (struct rp_reconnect){
        .timeout_ms = RP_RECONNECT_TIMEOUT_MIN_MS,
        .pause_ms = RP_RECONNECT_PAUSE_MIN_MS};
}

uint32_t
RpReconnect_BeginAttempt(struct rp_reconnect *reconnect)
{
    uint32_t timeout = reconnect->timeout_ms;

    reconnect->timeout_ms = MIN(timeout * 2, TIMEOUT_MAX_MS);
    return timeout;
}

/* Returns a random pause from half to one and a half times `pause_ms`, because
 * many nodes lose the same instance at the same moment. */
static uint32_t
randomise_pause(uint32_t pause_ms,
                uint32_t (*random_below)(uint32_t upper_bound))
{
    return pause_ms / 2 + random_below(pause_ms + 1);
}

uint32_t
RpReconnect_EndAttempt(struct rp_reconnect *reconnect, bool answered,
                       uint32_t (*random_below)(uint32_t upper_bound))
{
    if (!answered) {
        return randomise_pause(RP_RECONNECT_PAUSE_MIN_MS, random_below);
    }
    uint32_t pause = reconnect->pause_ms;
    reconnect->pause_ms = MIN(pause * 2, RP_RECONNECT_PAUSE_MAX_MS);
    return randomise_pause(pause, random_below);
}

void
RpReconnect_Reset(struct rp_reconnect *reconnect)
{
    RpReconnect_Init(reconnect);
}
