/* One timer on the main loop that runs at the earliest deadline it was given.
 *
 * Deadlines are on the clock of rp_clock.h. Setting a later one than is set
 * already costs nothing, so that it can be done for every packet. */
#ifndef RP_WAKE_H
#define RP_WAKE_H

#include <glib.h>
#include <stdint.h>

struct rp_wake;

/* Calls `run` at the deadline; it sets the next one. */
struct rp_wake *RpWake_Create(void (*run)(void *user), void *user);

void RpWake_Free(struct rp_wake *wake);

/* Runs at `deadline` or earlier; RP_NEVER changes nothing. */
void RpWake_At(struct rp_wake *wake, int64_t deadline);

#endif
