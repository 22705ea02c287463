/* A timer for the earliest deadline, as a GSource with a ready time. */
#include "rp_timer.h"

#include "rp_clock.h"

struct rp_timer {
    GSource *source;
    void (*run)(void *user);
    void *user;
    int64_t deadline;
};

/* Dispatches the source, which has no other condition than its ready time. */
static gboolean
dispatch_source(GSource *source, GSourceFunc callback, gpointer data)
{
    (void)source;
    return callback(data);
}

static gboolean
on_due(gpointer data)
{
    struct rp_timer *timer = data;

    g_source_set_ready_time(timer->source, -1);
    timer->deadline = RP_NEVER;
    timer->run(timer->user);
    return G_SOURCE_CONTINUE;
}

struct rp_timer *
RpTimer_Create(void (*run)(void *user), void *user)
{
    static GSourceFuncs functions = {.dispatch = dispatch_source};
    struct rp_timer *timer = g_new0(struct rp_timer, 1);

    timer->run = run;
    timer->user = user;
    timer->deadline = RP_NEVER;
    timer->source = g_source_new(&functions, sizeof(GSource));
    g_source_set_callback(timer->source, on_due, timer, NULL);
    g_source_attach(timer->source, NULL);
    return timer;
}

void
RpTimer_Free(struct rp_timer *timer)
{
    if (timer) {
        g_source_destroy(timer->source);
        g_source_unref(timer->source);
        g_free(timer);
    }
}

void
RpTimer_RunBy(struct rp_timer *timer, int64_t deadline)
{
    if (deadline >= timer->deadline) {
        return;
    }
    timer->deadline = deadline;
    g_source_set_ready_time(timer->source,
                            g_get_monotonic_time() +
                                MAX(deadline - RpClock_Now(), 0));
}
