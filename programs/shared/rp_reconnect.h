/* Timeouts and pauses with which a node reconnects to control.
 *
 * A machine without power does not answer at all, and the kernel of the node
 * repeats the first packet only after a second. So the first attempts have a
 * short timeout, enough for nearby instances, and the timeout grows to what
 * the farthest instance needs.
 *
 * An instance that accepted the connection but sent no table may be overloaded
 * by many nodes, so the pauses after it grow. An instance that did not answer
 * is not loaded by attempts, so the pauses after it stay short and a node
 * reconnects soon after the power is back.
 */
#ifndef RP_RECONNECT_H
#define RP_RECONNECT_H

#include <stdbool.h>
#include <stdint.h>

/* Bounds of the pause between attempts. The actual pause is random, from half
 * to one and a half times this. */
#define RP_RECONNECT_PAUSE_MIN_MS 100
#define RP_RECONNECT_PAUSE_MAX_MS 800
/* Timeout of the first attempt: enough for a TCP connection and a hello
 * between nearer regions (two round trips of 30 ms) with a machine that has
 * just started. The longest timeout is RP_CONN_CONNECT_TIMEOUT_US, which the
 * farthest regions need. */
#define RP_RECONNECT_TIMEOUT_MIN_MS 100

struct rp_reconnect {
    uint32_t timeout_ms; /* timeout of the next attempt */
    uint32_t pause_ms;   /* pause after the next attempt that is answered */
};

/* Starts with the shortest timeout and pause. */
void RpReconnect_Init(struct rp_reconnect *reconnect);

/* Returns the timeout of the attempt that begins now, in milliseconds. */
uint32_t RpReconnect_BeginAttempt(struct rp_reconnect *reconnect);

/* Returns the pause after a failed attempt or an ended connection, in
 * milliseconds. `answered` says whether the instance had sent its hello;
 * `random_below` returns a random number below its argument, as
 * randombytes_uniform does. */
uint32_t
RpReconnect_EndAttempt(struct rp_reconnect *reconnect, bool answered,
                       uint32_t (*random_below)(uint32_t upper_bound));

/* Resets timeout and pause to the shortest, after a table has arrived. */
void RpReconnect_Reset(struct rp_reconnect *reconnect);

#endif
