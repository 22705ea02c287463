/* Tests the estimate of a host's service time, on a simulated host in virtual
 * time with fixed seeds. */
#include <glib.h>

#include "check.h"
#include "rp_time.h"
#include "rp_service_time.h"

#define SLOTS 7
#define STEP_US (1 * RP_US_PER_MS)
#define SEEDS 20
/* Admission lets a request wait for half of its target latency. An estimate
 * that is wrong by up to a quarter still leaves it time for an answer before
 * the target. */
#define MAX_ERROR_PERCENT 25
#define ALL_PERCENT 100

/* A load, and the service time that must be learned from it. */
static const struct {
    const char *what;
    uint32_t per_second;     /* rate of requests */
    int64_t service_time_us; /* mean; uniform from 0.5 to 1.5 of it */
    int64_t warm_at_us;      /* when the mean changes to `warm_us` and the rate
                              * rises to at least 400 per second */
    int64_t warm_us;
    int64_t until_us;
} cases[] = {
    {"low load", 40, 47000, RP_NEVER, 0, 4 * RP_US_PER_SECOND},
    {"overloaded from the first request on", 400, 75000, RP_NEVER, 0,
     1 * RP_US_PER_SECOND},
    {"overloaded and slow, later overloaded and fast", 400, 75000,
     2 * RP_US_PER_SECOND, 47000, 4 * RP_US_PER_SECOND},
    {"nearly idle and slow, later overloaded and fast", 20, 75000,
     2 * RP_US_PER_SECOND, 47000, 5 * RP_US_PER_SECOND},
};

struct request {
    int64_t arrived;
    int64_t ends;
    bool found_free;
};

/* A simulated host with a queue in front of its slots. */
struct host {
    GRand *rng;
    struct rp_service_time estimate;
    struct request slot[SLOTS]; /* ends == 0: free */
    GQueue waiting;             /* of struct request */
};

static uint32_t
count_busy(const struct host *host)
{
    uint32_t busy = host->waiting.length;

    for (unsigned i = 0; i < SLOTS; i++) {
        busy += host->slot[i].ends != 0;
    }
    return busy;
}

static void
finish_request(struct host *host, struct request *request, int64_t now)
{
    RpServiceTime_OnAnswer(&host->estimate, now, count_busy(host), SLOTS);
    if (request->found_free) {
        RpServiceTime_AddSample(&host->estimate, now - request->arrived);
    }
    request->ends = 0;
}

static void
step(struct host *host, int64_t now, int64_t service_time_us)
{
    for (unsigned i = 0; i < SLOTS; i++) {
        if (host->slot[i].ends != 0 && now >= host->slot[i].ends) {
            finish_request(host, &host->slot[i], now);
        }
    }
    for (unsigned i = 0; i < SLOTS && host->waiting.length > 0; i++) {
        if (host->slot[i].ends == 0) {
            struct request *next = g_queue_pop_head(&host->waiting);
            host->slot[i] = *next;
            host->slot[i].ends =
                now + (int64_t)((double)service_time_us *
                                g_rand_double_range(host->rng, 0.5, 1.5));
            g_free(next);
        }
    }
}

/* Simulates a case and returns the mean service time that was learned. */
static int64_t
simulate(size_t number, uint32_t seed)
{
    struct host host = {.rng = g_rand_new_with_seed(seed)};
    int64_t next_arrival = 0;

    g_queue_init(&host.waiting);
    for (int64_t now = 0; now < cases[number].until_us; now += STEP_US) {
        bool is_warm = now >= cases[number].warm_at_us;
        uint32_t rate = is_warm ? MAX(cases[number].per_second, 400)
                                : cases[number].per_second;
        /* Admission bounds the queue. */
        while (next_arrival <= now) {
            next_arrival += RP_US_PER_SECOND / rate;
            uint32_t busy = count_busy(&host);
            if (busy < 4 * SLOTS) {
                struct request *request = g_new0(struct request, 1);
                request->arrived = now;
                request->found_free = busy < SLOTS;
                g_queue_push_tail(&host.waiting, request);
            }
        }
        step(&host, now,
             is_warm ? cases[number].warm_us : cases[number].service_time_us);
    }
    g_queue_clear_full(&host.waiting, g_free);
    g_rand_free(host.rng);
    return host.estimate.mean_us;
}

static void
test_estimate_converges(void **state)
{
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        int64_t truth = cases[i].warm_us ? cases[i].warm_us
                                         : cases[i].service_time_us;
        for (uint32_t seed = 1; seed <= SEEDS; seed++) {
            int64_t estimate = simulate(i, seed);
            if (ABS(estimate - truth) * ALL_PERCENT >
                truth * MAX_ERROR_PERCENT) {
                fail_msg("%s, seed %u: %" G_GINT64_FORMAT
                         " us instead of %" G_GINT64_FORMAT,
                         cases[i].what, seed, estimate, truth);
            }
        }
    }
}

/* The time between two answers does not count as service time if no request
 * waited in it. */
static void
test_idle_time_not_counted(void **state)
{
    struct rp_service_time estimate = {0};

    (void)state;
    RpServiceTime_OnAnswer(&estimate, 1000, SLOTS + 1, SLOTS);
    RpServiceTime_OnAnswer(&estimate, 2000, SLOTS, SLOTS);
    RpServiceTime_OnAnswer(&estimate, 9000000, 1, SLOTS);
    RpServiceTime_OnAnswer(&estimate, 9001000, SLOTS + 2, SLOTS);
    assert_int_equal(estimate.mean_us, SLOTS * 1000);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_estimate_converges),
        cmocka_unit_test(test_idle_time_not_counted),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
