/* States and deadlines of HTTP connections. */
#include "rp_callers.h"

#include "rp_time.h"

/* Hosts report every 1.2 s and readiness is asked twice a second on
 * connections that stay open; a slower caller opens another. */
#define IDLE_TIMEOUT_US (20 * RP_US_PER_SECOND)
/* The largest body, and the largest answer, on a slow link. */
#define BODY_TIMEOUT_US (30 * RP_US_PER_SECOND)
#define ANSWER_TIMEOUT_US (60 * RP_US_PER_SECOND)
/* A request that has arrived but was not read yet is read within this. */
#define POSTPONED_US (1 * RP_US_PER_SECOND)
/* A connection that was heard within this time does not give way before its
 * first answer: the request may still be on its way. A longer time would keep
 * new callers waiting behind a herd that says nothing. */
#define RECENT_US (100 * RP_US_PER_MS)

static int64_t
find_deadline(enum rp_caller_state state, int64_t now)
{
    switch (state) {
    case RP_CALLER_IDLE:
        return now + IDLE_TIMEOUT_US;
    case RP_CALLER_SENDS:
        return now + BODY_TIMEOUT_US;
    case RP_CALLER_RECEIVES:
        return now + ANSWER_TIMEOUT_US;
    default:
        return RP_NEVER;
    }
}

void
RpCallers_Init(struct rp_callers *callers)
{
    g_queue_init(&callers->by_activity);
}

void
RpCallers_Add(struct rp_callers *callers, struct rp_caller *caller,
              int64_t now)
{
    *caller = (struct rp_caller){
        .state = RP_CALLER_IDLE,
        .active_at = now,
        .deadline = find_deadline(RP_CALLER_IDLE, now),
        .link = {.data = caller}};
    g_queue_push_tail_link(&callers->by_activity, &caller->link);
}

void
RpCallers_Remove(struct rp_callers *callers, struct rp_caller *caller)
{
    g_queue_unlink(&callers->by_activity, &caller->link);
}

struct rp_caller *
RpCallers_First(const struct rp_callers *callers)
{
    return g_queue_peek_head((GQueue *)&callers->by_activity);
}

void
RpCallers_Touch(struct rp_callers *callers, struct rp_caller *caller,
                int64_t now)
{
    caller->active_at = now;
    g_queue_unlink(&callers->by_activity, &caller->link);
    g_queue_push_tail_link(&callers->by_activity, &caller->link);
}

void
RpCallers_SetState(struct rp_callers *callers, struct rp_caller *caller,
                   enum rp_caller_state state, int64_t now)
{
    if (caller->state == RP_CALLER_CLOSING) {
        return;
    }
    caller->state = state;
    caller->deadline = find_deadline(state, now);
    caller->is_postponed = false;
    caller->is_answered = caller->is_answered || state == RP_CALLER_IDLE;
    RpCallers_Touch(callers, caller, now);
}

bool
RpCallers_Postpone(struct rp_caller *caller, int64_t now)
{
    if (caller->state != RP_CALLER_IDLE || caller->is_postponed) {
        return false;
    }
    caller->is_postponed = true;
    caller->deadline = now + POSTPONED_US;
    return true;
}

int64_t
RpCallers_Deadline(const struct rp_callers *callers)
{
    int64_t earliest = RP_NEVER;

    for (const GList *link = callers->by_activity.head; link;
         link = link->next) {
        const struct rp_caller *caller = link->data;
        earliest = MIN(earliest, caller->deadline);
    }
    return earliest;
}

struct rp_caller *
RpCallers_FindExpired(const struct rp_callers *callers, int64_t now)
{
    for (const GList *link = callers->by_activity.head; link;
         link = link->next) {
        struct rp_caller *caller = link->data;
        if (now >= caller->deadline) {
            return caller;
        }
    }
    return NULL;
}

static bool
can_give_way(const struct rp_caller *caller, int64_t now)
{
    bool is_recent = now < caller->active_at + RECENT_US;

    if (caller->state == RP_CALLER_SENDS) {
        return !is_recent;
    }
    return caller->state == RP_CALLER_IDLE &&
           (caller->is_answered || !is_recent);
}

struct rp_caller *
RpCallers_FindIdle(const struct rp_callers *callers, int64_t now)
{
    for (const GList *link = callers->by_activity.head; link;
         link = link->next) {
        struct rp_caller *caller = link->data;
        if (can_give_way(caller, now)) {
            return caller;
        }
    }
    return NULL;
}

enum rp_counter
RpCallers_Reason(enum rp_caller_state state)
{
    return state == RP_CALLER_IDLE ? RP_COUNT_CALLER_IDLE
                                   : RP_COUNT_CALLER_STALLED;
}
