/* The connections of an HTTP port: when one is closed, and which one gives way
 * to a new caller. Does no I/O.
 *
 * A caller that has lost its power does not close its connection, and one that
 * never completes a request looks the same. Each state but that of waiting for
 * an answer, which this process makes, therefore has a deadline.
 */
#ifndef RP_CALLERS_H
#define RP_CALLERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "rp_counters.h"

enum rp_caller_state {
    RP_CALLER_IDLE,     /* the head of its next request is not complete */
    RP_CALLER_SENDS,    /* the body of its request is not complete */
    RP_CALLER_WAITS,    /* its request is being answered */
    RP_CALLER_RECEIVES, /* the answer is being sent */
    RP_CALLER_CLOSING   /* this process closes the connection */
};

/* One connection. The owner embeds it. */
struct rp_caller {
    enum rp_caller_state state;
    int64_t active_at; /* when something of it was last seen */
    int64_t deadline;  /* closed then, unless the state changes */
    bool is_answered;  /* an earlier request of it was answered */
    bool is_postponed; /* the deadline was moved once in this state */
    GList link;        /* in struct rp_callers */
};

struct rp_callers {
    GQueue by_activity; /* the one that was silent the longest comes first */
};

void RpCallers_Init(struct rp_callers *callers);

/* Adds a new connection, which is idle. */
void RpCallers_Add(struct rp_callers *callers, struct rp_caller *caller,
                   int64_t now);

void RpCallers_Remove(struct rp_callers *callers, struct rp_caller *caller);

/* Returns the connection that was silent the longest; NULL if there is
 * none. */
struct rp_caller *RpCallers_First(const struct rp_callers *callers);

/* Moves a connection to another state and sets its deadline. One that is being
 * closed stays in that state. */
void RpCallers_SetState(struct rp_callers *callers, struct rp_caller *caller,
                        enum rp_caller_state state, int64_t now);

/* Notes that something of the caller has arrived. The deadline stays, so that
 * a caller cannot put it off with single bytes. */
void RpCallers_Touch(struct rp_callers *callers, struct rp_caller *caller,
                     int64_t now);

/* Moves the deadline of an idle connection on which a request has just
 * arrived, once. Returns whether it was moved. */
bool RpCallers_Postpone(struct rp_caller *caller, int64_t now);

/* Returns the earliest deadline; RP_NEVER if there is none. */
int64_t RpCallers_Deadline(const struct rp_callers *callers);

/* Returns a connection whose deadline has passed, or NULL. */
struct rp_caller *RpCallers_FindExpired(const struct rp_callers *callers,
                                        int64_t now);

/* Returns the connection that gives way to a new one: the one that was silent
 * the longest without a complete request. One just opened does not, because
 * its first request may be on its way. NULL if there is none. */
struct rp_caller *RpCallers_FindIdle(const struct rp_callers *callers,
                                     int64_t now);

/* Returns the counter for closing a connection in this state at its
 * deadline. */
enum rp_counter RpCallers_Reason(enum rp_caller_state state);

#endif
