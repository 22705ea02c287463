/* A timer for the earliest deadline, as a GSource with a ready time. */
#include "rp_wake.h"

#include "rp_clock.h"

struct rp_wake {
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
    struct rp_wake *wake = data;

    g_source_set_ready_time(wake->source, -1);
    wake->deadline = RP_NEVER;
    wake->run(wake->user);
    return G_SOURCE_CONTINUE;
}

struct rp_wake *
RpWake_Create(void (*run)(void *user), void *user)
{
    static GSourceFuncs functions = {.dispatch = dispatch_source};
    struct rp_wake *wake = g_new0(struct rp_wake, 1);

    wake->run = run;
    wake->user = user;
    wake->deadline = RP_NEVER;
    wake->source = g_source_new(&functions, sizeof(GSource));
    g_source_set_callback(wake->source, on_due, wake, NULL);
    g_source_attach(wake->source, NULL);
    return wake;
}

void
RpWake_Free(struct rp_wake *wake)
{
    if (wake) {
        g_source_destroy(wake->source);
        g_source_unref(wake->source);
        g_free(wake);
    }
}

void
RpWake_At(struct rp_wake *wake, int64_t deadline)
{
    if (deadline >= wake->deadline) {
        return;
    }
    wake->deadline = deadline;
    g_source_set_ready_time(wake->source,
                            g_get_monotonic_time() +
                                MAX(deadline - RpClock_Now(), 0));
}
