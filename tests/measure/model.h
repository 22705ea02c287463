/* Shared parts of the placement models: scenes, demand, statistics. All in
 * virtual time (microseconds) and by seed. */
#ifndef MODEL_H
#define MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define MAX_HOSTS 16
#define RUN_US INT64_C(40000000)
#define WARM_UP_US INT64_C(10000000)
#define SHORT_MEAN_US 20000.0
#define LONG_FACTOR 30
#define DEFAULT_SEEDS 20

/* What a scene looks like. */
struct scene {
    const char *name;
    uint32_t hosts;
    uint32_t slots;        /* of each host */
    uint32_t zones;        /* hosts are spread over them in turn */
    int64_t zone_hop_us;   /* one way between zones */
    int64_t round_trip_us; /* between caller and host */
    double base_load;      /* share of all slots, between crests */
    double crest_load;     /* at the crest */
    double long_share;     /* of the requests */
    uint32_t slow_host;    /* 0: none; else host 0 is that much slower */
    int64_t cold_until;    /* host 0 starts cold: it is slow until then */
    bool lies;             /* host 0 reports that it is idle */
};

/* What came out of one run. */
struct outcome {
    GArray *crest_waits; /* of short requests, in int64_t microseconds */
    GArray *waits;       /* the same over the whole run */
    GArray *long_waits;
    double imbalance; /* max over mean busy slots, mean over the crests */
    uint64_t refused;
    uint64_t retried; /* passes from one candidate to another */
    uint64_t requests;
};

/* A summary in milliseconds, over one run or as median over several. */
struct summary {
    double p50;
    double p99;
    double p999;
    double all_p99;
    double long_p99;
    double imbalance;
    double retried;
};

extern const struct scene scenes[];
extern const size_t scene_count;

void outcome_init(struct outcome *outcome);
void outcome_clear(struct outcome *outcome);

/* Whether a request that arrives now arrives at a crest. */
bool is_crest(int64_t now);

/* The time of the next request after `now`. */
int64_t next_arrival(const struct scene *scene, GRand *dice, int64_t now);

/* A request's service time on an ordinary host. */
int64_t draw_service(const struct scene *scene, GRand *dice, bool is_long);

/* How much longer a request takes on this host just now. */
int64_t slowed(const struct scene *scene, uint32_t host, int64_t service,
               int64_t now);

/* One way between the agents of two hosts. */
int64_t hop_time(const struct scene *scene, uint32_t from, uint32_t to);

/* Adds a request's wait. */
void note_wait(struct outcome *outcome, int64_t arrived, int64_t wait,
               bool is_long);

/* Follows the busy slots of hosts through the crests. */
struct balance {
    double busy_time[MAX_HOSTS];
    int64_t since[MAX_HOSTS];
    uint32_t busy[MAX_HOSTS];
    double ratio_sum;
    uint32_t crests;
    bool in_crest;
};
void balance_set(struct balance *balance, const struct scene *scene,
                 int64_t now, uint32_t host, uint32_t busy);
double balance_result(const struct balance *balance);

struct summary summarise(struct outcome *outcome);

/* The median of each figure. */
struct summary median_summary(const struct summary *runs, size_t count);

void print_summary(const char *scene, const char *policy, const char *seed,
                   const struct summary *summary);

/* The models. Each runs one scene under one policy, by index. */
extern const char *const flow_policies[];
extern const char *const pinned_policies[];
void run_flow_model(const struct scene *scene, size_t policy, uint32_t seed,
                    struct outcome *outcome);
void run_pinned_model(const struct scene *scene, size_t policy, bool mixed,
                      uint32_t seed, struct outcome *outcome);

#endif
