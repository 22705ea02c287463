/* What a listener does after a failed accept, without the socket itself.
 *
 * No error may end a listener, and none may be tried again without a pause:
 * callers would see silence, or the main loop would do nothing else.
 */
#ifndef RP_ACCEPT_H
#define RP_ACCEPT_H

#include <stdbool.h>
#include <stdint.h>

#include "rp_counters.h"

enum rp_accept_action {
    RP_ACCEPT_WAIT,  /* no connection is pending: wait for the next one */
    RP_ACCEPT_NEXT,  /* this connection is lost: take the next one */
    RP_ACCEPT_PAUSE, /* nothing can be accepted for now */
    RP_ACCEPT_REOPEN /* the listening socket is of no use any more */
};

/* The state of a listener. Zeroed at first. */
struct rp_accept {
    int64_t paused_until; /* 0: not paused */
    int64_t log_deadline; /* no further line about a failure before it */
    bool is_logged;       /* a failure was logged, and no success since */
};

/* Returns what to do after accept has failed with this errno value, and sets
 * `*reason` to the counter of it, unless the result is RP_ACCEPT_WAIT. */
enum rp_accept_action RpAccept_Judge(int error, enum rp_counter *reason);

/* Pauses accepting. */
void RpAccept_Pause(struct rp_accept *accept, int64_t now);

/* Returns whether to log the failure for which accepting was paused: at most
 * one line a second. */
bool RpAccept_MayLog(struct rp_accept *accept, int64_t now);

/* Ends the pause if its deadline has passed; returns whether it has ended. */
bool RpAccept_Resume(struct rp_accept *accept, int64_t now);

/* Notes that a connection was accepted. Returns whether to log that: it is the
 * first one after a failure that was logged. */
bool RpAccept_Succeed(struct rp_accept *accept);

#endif
