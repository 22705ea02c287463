/* Shared parts of the placement models: scenarios, arrivals, service times and
 * statistics. Times are virtual, in microseconds; each run is determined by
 * its seed. */
#ifndef MODEL_H
#define MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define MAX_HOSTS 16
#define RUN_US INT64_C(40000000)     /* requests arrive for this long */
#define WARM_UP_US INT64_C(10000000) /* not part of the statistics */
#define SHORT_MEAN_US 20000.0        /* mean service time, short requests */
#define LONG_FACTOR 30               /* long ones take so many times longer */
#define DEFAULT_SEEDS 20

/* A simulated service: its hosts, network and demand. Demand is low with a
 * peak in each period. */
struct scenario {
    const char *name;
    uint32_t hosts;
    uint32_t slots;        /* of each host */
    uint32_t zones;        /* host i is in zone i % zones */
    int64_t zone_hop_us;   /* one way between zones */
    int64_t round_trip_us; /* between caller and host */
    double base_load;      /* utilisation between peaks, 0 to 1 */
    double peak_load;      /* utilisation at the peak, 0 to 1 */
    double long_share;     /* share of long requests, 0 to 1 */
    uint32_t slow_host;    /* 0: none; else host 0 is this many times slower */
    int64_t cold_until;    /* host 0 is slow until this time */
    bool reports_zero_load; /* host 0 always reports zero load */
};

/* Results of one run. Waits are in microseconds. */
struct outcome {
    GArray *peak_waits; /* int64_t: short requests that arrive in a peak */
    GArray *waits;      /* int64_t: all short requests */
    GArray *long_waits; /* int64_t: all long requests */
    double imbalance; /* most over mean busy slots of hosts, mean over peaks */
    uint64_t refused;
    uint64_t passed_on; /* times that a candidate passed a flow on */
    uint64_t requests;
};

/* Wait quantiles in milliseconds and ratios, of one run or as the medians of
 * several runs. p50, p99 and p999 are of short requests in peaks, all_p99 of
 * all short requests. Every member is a double: median_summary relies on
 * it. */
struct summary {
    double p50;
    double p99;
    double p999;
    double all_p99;
    double long_p99;
    double imbalance;
    double passed_on; /* passes per request */
};

extern const struct scenario scenarios[];
extern const size_t scenario_count;

void outcome_init(struct outcome *outcome);
void outcome_clear(struct outcome *outcome);

/* Returns whether `now` is in a peak after the warm-up. */
bool is_peak(int64_t now);

/* Draws the time of the next arrival after `now`: a Poisson process with the
 * rate of the peak, thinned between peaks. */
int64_t next_arrival(const struct scenario *scenario, GRand *rng, int64_t now);

/* Draws a request's service time on a host of normal speed. */
int64_t draw_service(const struct scenario *scenario, GRand *rng,
                     bool is_long);

/* Returns the service time on `host` at `now`: `service`, or a multiple of it
 * if the host is slow or cold. */
int64_t scale_service_time(const struct scenario *scenario, uint32_t host,
                           int64_t service, int64_t now);

/* One-way delay between the agents of two hosts. */
int64_t hop_delay(const struct scenario *scenario, uint32_t from, uint32_t to);

/* Adds a request's wait to the results, unless it arrived in the warm-up. */
void record_wait(struct outcome *outcome, int64_t arrived, int64_t wait,
                 bool is_long);

/* Integrates the hosts' busy slots over each peak, to measure how evenly the
 * load is spread. */
struct balance {
    double busy_time[MAX_HOSTS]; /* slot-microseconds in this peak */
    int64_t since[MAX_HOSTS];    /* busy_time is counted up to here */
    uint32_t busy[MAX_HOSTS];
    double ratio_sum; /* of most over mean busy slots, by peak */
    uint32_t peaks;
    bool in_peak;
};

/* Records that `host` has `busy` busy slots from `now` on. */
void balance_record(struct balance *balance, const struct scenario *scenario,
                    int64_t now, uint32_t host, uint32_t busy);

/* The mean over the peaks of the most over the mean busy slots of hosts. */
double balance_result(const struct balance *balance);

struct summary summarise(struct outcome *outcome);

/* Returns the median of each member over `count` runs. */
struct summary median_summary(const struct summary *runs, size_t count);

void print_summary(const char *scenario, const char *policy, const char *seed,
                   const struct summary *summary);

/* The models. Each runs one scenario under the policy with index `policy` in
 * the array of policy names. With `mixed`, any connection of the pinned model
 * may have long requests. */
extern const char *const flow_policies[];
extern const char *const pinned_policies[];
void run_flow_model(const struct scenario *scenario, size_t policy,
                    uint32_t seed, struct outcome *outcome);
void run_pinned_model(const struct scenario *scenario, size_t policy,
                      bool mixed, uint32_t seed, struct outcome *outcome);

#endif
