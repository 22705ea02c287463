/* A timer on the main loop that fires at the earliest deadline it was given.
 *
 * Deadlines are on the clock of rp_clock.h. Setting a deadline that is not
 * earlier than the present one only costs a comparison, so it can be done for
 * every packet.
 */
#ifndef RP_WAKE_H
#define RP_WAKE_H

#include <glib.h>
#include <stdint.h>

struct rp_wake;

/* Creates a timer without a deadline. `run` is called when the deadline has
 * passed; the deadline is then unset, and `run` sets the next one. */
struct rp_wake *RpWake_Create(void (*run)(void *user), void *user);

/* NULL does nothing. */
void RpWake_Free(struct rp_wake *wake);

/* Moves the deadline to `deadline` if that is earlier than the present one.
 * RP_NEVER thus changes nothing. */
void RpWake_At(struct rp_wake *wake, int64_t deadline);

#endif
