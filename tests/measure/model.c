/* Scenarios, arrivals, service times and statistics of the placement
 * models. */
#include "model.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define PEAK_PERIOD_US INT64_C(10000000)
#define PEAK_FROM_US INT64_C(6000000)
#define PEAK_TO_US INT64_C(8500000)
#define SAME_ZONE_HOP_US 200
#define COLD_FACTOR 4
#define US_PER_MS 1000.0

/* Networks and demand that several scenarios share. */
#define THREE_ZONES .zones = 3, .zone_hop_us = 1500, .round_trip_us = 2000
#define FOUR_ZONES .zones = 4, .zone_hop_us = 1000, .round_trip_us = 6000
#define DEMAND_85 .base_load = 0.25, .peak_load = 0.85, .long_share = 0.01

const struct scenario scenarios[] = {
    {.name = "lens-desk", .hosts = 7, .slots = 7, THREE_ZONES, DEMAND_85},
    {.name = "photo-shelf", .hosts = 3, .slots = 7, THREE_ZONES, DEMAND_85},
    {.name = "nacrt-live", .hosts = 7, .slots = 3, FOUR_ZONES, DEMAND_85},
    {.name = "arhiv-listova", .hosts = 4, .slots = 3, FOUR_ZONES, DEMAND_85},
    {.name = "lens-desk-70",
     .hosts = 7,
     .slots = 7,
     THREE_ZONES,
     .base_load = 0.25,
     .peak_load = 0.70,
     .long_share = 0.01},
    {.name = "lens-desk-slow",
     .hosts = 7,
     .slots = 7,
     THREE_ZONES,
     .base_load = 0.25,
     .peak_load = 0.70,
     .long_share = 0.01,
     .slow_host = 3},
    {.name = "lens-desk-cold",
     .hosts = 7,
     .slots = 7,
     THREE_ZONES,
     .base_load = 0.25,
     .peak_load = 0.70,
     .long_share = 0.01,
     .cold_until = INT64_C(18000000)},
    {.name = "lens-desk-lies",
     .hosts = 7,
     .slots = 7,
     THREE_ZONES,
     .base_load = 0.25,
     .peak_load = 0.70,
     .long_share = 0.01,
     .reports_zero_load = true},
};
const size_t scenario_count = G_N_ELEMENTS(scenarios);

void
outcome_init(struct outcome *outcome)
{
    *outcome = (struct outcome){
        .peak_waits = g_array_new(FALSE, FALSE, sizeof(int64_t)),
        .waits = g_array_new(FALSE, FALSE, sizeof(int64_t)),
        .long_waits = g_array_new(FALSE, FALSE, sizeof(int64_t))};
}

void
outcome_clear(struct outcome *outcome)
{
    g_array_free(outcome->peak_waits, TRUE);
    g_array_free(outcome->waits, TRUE);
    g_array_free(outcome->long_waits, TRUE);
}

bool
is_peak(int64_t now)
{
    int64_t phase = now % PEAK_PERIOD_US;

    return now >= WARM_UP_US && phase >= PEAK_FROM_US && phase < PEAK_TO_US;
}

static double
mean_service(const struct scenario *scenario)
{
    return SHORT_MEAN_US *
           (1 - scenario->long_share + scenario->long_share * LONG_FACTOR);
}

int64_t
next_arrival(const struct scenario *scenario, GRand *rng, int64_t now)
{
    double slots = (double)scenario->hosts * scenario->slots;
    double top = scenario->peak_load * slots / mean_service(scenario);
    double base_share = scenario->base_load / scenario->peak_load;

    for (;;) {
        now += (int64_t)(-log(1 - g_rand_double(rng)) / top) + 1;
        int64_t phase = now % PEAK_PERIOD_US;
        bool peak = phase >= PEAK_FROM_US && phase < PEAK_TO_US;
        if (peak || g_rand_double(rng) < base_share) {
            return now;
        }
    }
}

int64_t
draw_service(const struct scenario *scenario, GRand *rng, bool is_long)
{
    (void)scenario;
    if (is_long) {
        return (int64_t)(SHORT_MEAN_US * LONG_FACTOR);
    }
    return (int64_t)(-log(1 - g_rand_double(rng)) * SHORT_MEAN_US) + 1;
}

int64_t
scale_service_time(const struct scenario *scenario, uint32_t host,
                   int64_t service, int64_t now)
{
    if (host == 0 && scenario->slow_host) {
        return service * scenario->slow_host;
    }
    if (host == 0 && now < scenario->cold_until) {
        return service * COLD_FACTOR;
    }
    return service;
}

int64_t
hop_delay(const struct scenario *scenario, uint32_t from, uint32_t to)
{
    return from % scenario->zones == to % scenario->zones
               ? SAME_ZONE_HOP_US
               : scenario->zone_hop_us;
}

void
record_wait(struct outcome *outcome, int64_t arrived, int64_t wait,
            bool is_long)
{
    if (arrived < WARM_UP_US) {
        return;
    }
    outcome->requests++;
    if (is_long) {
        g_array_append_val(outcome->long_waits, wait);
        return;
    }
    g_array_append_val(outcome->waits, wait);
    if (is_peak(arrived)) {
        g_array_append_val(outcome->peak_waits, wait);
    }
}

static void
add_busy_time(struct balance *balance, uint32_t host, int64_t now)
{
    balance->busy_time[host] += (double)(now - balance->since[host]) *
                                balance->busy[host];
    balance->since[host] = now;
}

static void
end_peak(struct balance *balance, const struct scenario *scenario, int64_t now)
{
    double sum = 0;
    double max = 0;

    for (uint32_t i = 0; i < scenario->hosts; i++) {
        add_busy_time(balance, i, now);
        sum += balance->busy_time[i];
        max = MAX(max, balance->busy_time[i]);
    }
    balance->ratio_sum += max * scenario->hosts / sum;
    balance->peaks++;
}

void
balance_record(struct balance *balance, const struct scenario *scenario,
               int64_t now, uint32_t host, uint32_t busy)
{
    bool peak = is_peak(now);

    if (peak && !balance->in_peak) {
        for (uint32_t i = 0; i < scenario->hosts; i++) {
            balance->busy_time[i] = 0;
            balance->since[i] = now;
        }
    }
    if (!peak && balance->in_peak) {
        end_peak(balance, scenario, now);
    }
    balance->in_peak = peak;
    add_busy_time(balance, host, now);
    balance->busy[host] = busy;
}

double
balance_result(const struct balance *balance)
{
    return balance->peaks ? balance->ratio_sum / balance->peaks : 0;
}

static int
compare_waits(gconstpointer a, gconstpointer b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;

    return (left > right) - (left < right);
}

/* Returns the quantile `share` (0 to 1) of a sorted array, in milliseconds. */
static double
quantile(const GArray *sorted, double share)
{
    if (sorted->len == 0) {
        return 0;
    }
    guint index = (guint)(share * (sorted->len - 1));

    return (double)g_array_index(sorted, int64_t, index) / US_PER_MS;
}

struct summary
summarise(struct outcome *outcome)
{
    g_array_sort(outcome->peak_waits, compare_waits);
    g_array_sort(outcome->waits, compare_waits);
    g_array_sort(outcome->long_waits, compare_waits);
    return (struct summary){.p50 = quantile(outcome->peak_waits, 0.50),
                            .p99 = quantile(outcome->peak_waits, 0.99),
                            .p999 = quantile(outcome->peak_waits, 0.999),
                            .all_p99 = quantile(outcome->waits, 0.99),
                            .long_p99 = quantile(outcome->long_waits, 0.99),
                            .imbalance = outcome->imbalance,
                            .passed_on = (double)outcome->passed_on /
                                         (double)MAX(outcome->requests, 1)};
}

static int
compare_doubles(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;

    return (left > right) - (left < right);
}

struct summary
median_summary(const struct summary *runs, size_t count)
{
    struct summary result = {0};
    double *out = (double *)&result;
    const size_t figures = sizeof result / sizeof(double);

    for (size_t i = 0; i < figures; i++) {
        double *values = g_new(double, count);
        for (size_t j = 0; j < count; j++) {
            values[j] = ((const double *)&runs[j])[i];
        }
        qsort(values, count, sizeof *values, compare_doubles);
        out[i] = values[count / 2];
        g_free(values);
    }
    return result;
}

void
print_summary(const char *scenario, const char *policy, const char *seed,
              const struct summary *summary)
{
    printf("measure scene=%s policy=%s seed=%s broken=0 imbalance=%.2f "
           "short_p50_ms=%.1f short_p99_ms=%.1f short_p999_ms=%.1f "
           "overall_p99_ms=%.1f long_p99_ms=%.1f refused=0 "
           "passed_per_flow=%.2f\n",
           scenario, policy, seed, summary->imbalance, summary->p50,
           summary->p99, summary->p999, summary->all_p99, summary->long_p99,
           summary->passed_on);
}
