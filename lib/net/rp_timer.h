/* A timer on the main loop that fires at the earliest deadline it was given.
 *
 * Deadlines are on the clock of rp_clock.h. Setting a deadline that is not
 * earlier than the present one only costs a comparison, so it can be done for
 * every packet.
 */
#ifndef RP_TIMER_H
#define RP_TIMER_H

#include <glib.h>
#include <stdint.h>

struct rp_timer;

/* Creates a timer without a deadline. `run` is called when the deadline has
 * passed; the deadline is then unset, and `run` sets the next one. */
struct rp_timer *RpTimer_Create(void (*run)(void *user), void *user);

/* NULL does nothing. */
void RpTimer_Free(struct rp_timer *timer);

/* Moves the deadline to `deadline` if that is earlier than the present one.
 * RP_NEVER thus changes nothing. */
void RpTimer_RunBy(struct rp_timer *timer, int64_t deadline);

#endif
