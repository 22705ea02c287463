/* How long a node tries one control instance, and how long it pauses before
 * it tries the next.
 *
 * An instance whose machine has no power does not answer at all, and the
 * node's system repeats the first packet only after a second: so the first
 * attempts are short, for nearby instances, and later ones as long as the
 * farthest instance needs. An instance that answered but gave no table may be
 * pressed by many nodes: pauses after it grow. One that did not answer is not
 * pressed: pauses after it stay short, and a node is back soon after the
 * power is.
 */
#ifndef RP_RECONNECT_H
#define RP_RECONNECT_H

#include <stdbool.h>
#include <stdint.h>

/* Pauses between attempts, of which a random half to one and a half is
 * waited. */
#define RP_RECONNECT_PAUSE_MIN_MS 100
#define RP_RECONNECT_PAUSE_MAX_MS 800
/* The first attempt: a connection and a hello between nearer regions (30 ms
 * there and back, twice) on a machine that has just started. The last is
 * RP_CONN_CONNECT_US, what the farthest need. */
#define RP_RECONNECT_PATIENCE_MIN_MS 100

struct rp_reconnect {
    uint32_t patience_ms; /* of the next attempt */
    uint32_t pause_ms;    /* after the next one that was answered */
};

void RpReconnect_Init(struct rp_reconnect *reconnect);

/* How long the attempt that begins now may take, in milliseconds. */
uint32_t RpReconnect_Begin(struct rp_reconnect *reconnect);

/* The attempt, or the connection, has ended; `answered`: the instance had
 * said hello. Returns the pause before the next, in milliseconds; `dice` gives
 * a random number below its argument, as randombytes_uniform. */
uint32_t RpReconnect_End(struct rp_reconnect *reconnect, bool answered,
                         uint32_t (*dice)(uint32_t upper_bound));

/* A table has come: the next failure is a first one. */
void RpReconnect_Served(struct rp_reconnect *reconnect);

#endif
