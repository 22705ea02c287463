/* Tests of the limit of a cold host's new flows, in virtual time. */
#include <glib.h>

#include "check.h"
#include "rp_cold_start.h"

#define STEP_US (1 * RP_US_PER_MS)
#define PER_1000_S 1000 /* a flow a second */
#define SEEDS 30

/* Records the flows that a host gets, and checks the limit for each. */
struct load {
    struct rp_cold_start cold;
    GArray *opened; /* of int64_t */
    GRand *rng;
};

static void
start_agent(struct load *load, int64_t now, uint32_t rate)
{
    RpColdStart_Clear(&load->cold);
    RpColdStart_Init(&load->cold, now);
    RpColdStart_SetRate(&load->cold, rate);
    RpColdStart_SetColdUntil(&load->cold, RP_NEVER);
}

/* Offers new flows for `length` microseconds, `per_s` a second at random
 * times. */
static void
offer(struct load *load, int64_t from, int64_t length, uint32_t per_s)
{
    for (int64_t now = from; now < from + length; now += STEP_US) {
        double expected = per_s * (double)STEP_US / RP_US_PER_SECOND;
        unsigned offered = (unsigned)expected;
        offered += g_rand_double(load->rng) < expected - offered;
        for (unsigned i = 0; i < offered; i++) {
            if (RpColdStart_Allows(&load->cold, now)) {
                RpColdStart_Record(&load->cold, now);
                g_array_append_val(load->opened, now);
            }
        }
    }
}

/* Returns the most flows in any window of this length. */
static unsigned
find_most_in_window(const GArray *opened, int64_t window)
{
    const int64_t *times = (const int64_t *)opened->data;
    unsigned most = 0;
    guint first = 0;

    for (guint i = 0; i < opened->len; i++) {
        while (times[i] - times[first] >= window) {
            first++;
        }
        most = MAX(most, i - first + 1);
    }
    return most;
}

static struct load
start_load(uint32_t seed)
{
    return (struct load){.opened = g_array_new(FALSE, FALSE, sizeof(int64_t)),
                         .rng = g_rand_new_with_seed(seed)};
}

static void
end_load(struct load *load)
{
    RpColdStart_Clear(&load->cold);
    g_array_free(load->opened, TRUE);
    g_rand_free(load->rng);
}

/* A load on a cold host, and the number of flows that it must get. */
static const struct {
    const char *what;
    uint32_t rate;    /* flows per 1,000 s */
    uint32_t offered; /* flows a second */
    unsigned seconds;
    unsigned per_second; /* most flows in any second */
    unsigned at_least;   /* flows in all */
} loads[] = {
    {"a crowd returns to cold hosts after a loss of power", 20000, 500, 15, 20,
     274},
    {"a data centre is taken back: a third of the load", 30000, 90, 2, 30, 26},
    {"hosts replaced by waves: little more than the rate", 20000, 25, 10, 20,
     120},
    {"a flow in two seconds", 500, 50, 20, 1, 9},
    {"five flows in two seconds", 2500, 50, 20, 3, 43},
    {"a rate with a fraction", 33333, 200, 12, 34, 340},
    {"the smallest rate", 1, 50, 3, 1, 0},
    {"a rate above the load", 10000000, 700, 5, 10000, 2700},
};

static void
test_loads(void **state)
{
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
        for (uint32_t seed = 1; seed <= SEEDS; seed++) {
            struct load load = start_load(seed);
            start_agent(&load, 0, loads[i].rate);
            offer(&load, 0, loads[i].seconds * RP_US_PER_SECOND,
                  loads[i].offered);
            unsigned most = find_most_in_window(load.opened, RP_US_PER_SECOND);
            if (most > loads[i].per_second ||
                load.opened->len < loads[i].at_least) {
                fail_msg("%s, seed %u: %u in a second, %u in all",
                         loads[i].what, seed, most, load.opened->len);
            }
            /* The mean is the rate: the time that the rate takes for all
             * flows but those of one window has passed. */
            uint64_t mean_us = load.opened->len * 1000 *
                               (uint64_t)RP_US_PER_SECOND / loads[i].rate;
            assert_true(mean_us <=
                        (uint64_t)loads[i].seconds * RP_US_PER_SECOND +
                            (uint64_t)load.cold.window);
            end_load(&load);
        }
    }
}

/* A crowd does not take all places of a second at once: callers that come
 * later find some. */
static void
test_places_are_spread(void **state)
{
    struct load load = start_load(1);

    (void)state;
    start_agent(&load, 0, 20000);
    offer(&load, 0, 10 * RP_US_PER_SECOND, 2000);
    const int64_t *times = (const int64_t *)load.opened->data;
    assert_true(load.opened->len > 170);
    for (guint i = 1; i < load.opened->len; i++) {
        assert_true(times[i] - times[i - 1] <= 160 * RP_US_PER_MS);
    }
    assert_true(find_most_in_window(load.opened, 150 * RP_US_PER_MS) <= 3);
    end_load(&load);
}

/* The agent beside a cold host is killed again and again under a crowd. No
 * window has more flows than the limit, whatever the earlier agent sent. */
static void
test_restarted_agents(void **state)
{
    static const uint32_t rates[] = {500, 2500, 20000, 33333};

    (void)state;
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
            struct load load = start_load(seed);
            int64_t now = 0;
            while (now < 60 * RP_US_PER_SECOND) {
                int64_t length = g_rand_int_range(load.rng, 1, 5000) *
                                 RP_US_PER_MS;
                start_agent(&load, now, rates[i]);
                offer(&load, now, length, 400);
                now += length;
            }
            assert_true(find_most_in_window(load.opened, load.cold.window) <=
                        load.cold.limit);
            assert_true(load.opened->len > 0);
            end_load(&load);
        }
    }
}

/* The configuration changes the rate again and again. At any time the flows
 * of the last window are within the rate that is in force. */
static void
test_changed_rates(void **state)
{
    static const uint32_t rates[] = {0, 500, 2500, 20000, 33333, 100000};

    (void)state;
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        struct load load = start_load(seed);
        start_agent(&load, 0, 0);
        for (int64_t now = 0; now < 60 * RP_US_PER_SECOND;
             now += 700 * RP_US_PER_MS) {
            uint32_t rate =
                rates[g_rand_int_range(load.rng, 0, G_N_ELEMENTS(rates))];
            RpColdStart_SetRate(&load.cold, rate);
            guint before = load.opened->len;
            offer(&load, now, 700 * RP_US_PER_MS, 300);
            const int64_t *times = (const int64_t *)load.opened->data;
            for (guint j = before; rate > 0 && j < load.opened->len; j++) {
                unsigned count = 0;
                for (guint k = j + 1;
                     k > 0 && times[j] - times[k - 1] < load.cold.window;
                     k--) {
                    count++;
                }
                assert_true(count <= load.cold.limit);
            }
        }
        end_load(&load);
    }
}

/* What else the limit depends on: an agent that has seen its host start need
 * not wait, one that has not waits for a window, and the limit ends with the
 * cold start. */
static void
test_start_and_end(void **state)
{
    const int64_t start = 5 * RP_US_PER_SECOND;
    struct rp_cold_start cold = {0};

    (void)state;
    RpColdStart_Init(&cold, start);
    assert_true(RpColdStart_Allows(&cold, start));
    RpColdStart_SetRate(&cold, 2 * PER_1000_S);
    assert_true(RpColdStart_Allows(&cold, start));
    RpColdStart_SetColdUntil(&cold, start + 3 * RP_US_PER_SECOND);
    assert_false(RpColdStart_Allows(&cold, start));
    assert_false(RpColdStart_Allows(&cold, start + RP_US_PER_SECOND - 1));
    assert_true(RpColdStart_Allows(&cold, start + RP_US_PER_SECOND));
    RpColdStart_SetSeenFromStart(&cold);
    assert_true(RpColdStart_Allows(&cold, start));
    RpColdStart_Record(&cold, start);
    RpColdStart_SetSeenFromStart(&cold);
    RpColdStart_Record(&cold, start + 1);
    assert_false(RpColdStart_Allows(&cold, start + 2));
    assert_int_equal(RpColdStart_NextPlace(&cold), start + RP_US_PER_SECOND);
    /* The last report says that the cold start is over, or lasts longer. */
    RpColdStart_SetColdUntil(&cold, start + 2);
    assert_false(RpColdStart_IsLimited(&cold, start + 2));
    assert_true(RpColdStart_Allows(&cold, start + 2));
    RpColdStart_SetColdUntil(&cold, start + 9 * RP_US_PER_SECOND);
    assert_false(RpColdStart_Allows(&cold, start + 2));
    /* The process was paused: what it admits then counts from then on. */
    RpColdStart_Record(&cold, start + 4 * RP_US_PER_SECOND);
    RpColdStart_Record(&cold, start + 4 * RP_US_PER_SECOND);
    assert_false(RpColdStart_Allows(&cold, start + 5 * RP_US_PER_SECOND - 1));
    assert_true(RpColdStart_Allows(&cold, start + 5 * RP_US_PER_SECOND));
    RpColdStart_Clear(&cold);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_loads),
        cmocka_unit_test(test_places_are_spread),
        cmocka_unit_test(test_restarted_agents),
        cmocka_unit_test(test_changed_rates),
        cmocka_unit_test(test_start_and_end),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
