/* Latency histograms with fixed buckets, in the Prometheus text format.
 *
 * The list below is the only definition of the histograms. X(symbol, name,
 * help) gives the enum constant RP_HISTOGRAM_<symbol>, the name in metrics,
 * and a line of explanation. */
#ifndef RP_HISTOGRAM_H
#define RP_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/* clang-format off */
#define RP_HISTOGRAM_LIST(X)                                                  \
    X(SYN_ANSWER, "syn_answer_seconds",                                       \
      "time from sending a SYN to the host until its answer")                       \
    X(FIRST_BYTE, "first_byte_seconds",                                       \
      "time from a request's first byte to its response's first byte")                       \
    X(REQUEST_KEPT, "request_kept_seconds",                                   \
      "time that requests waited in the request queue")                                 \
    X(DISK_SYNC, "disk_sync_seconds",                                         \
      "time to sync the journal to disk")                           \
    X(CHANGE_DECIDED, "change_decided_seconds",                               \
      "time from receiving an edition until it is committed")                      \
    X(IN_FORCE, "in_force_seconds",                                           \
      "time from committing a change until a node confirms it")               \
    X(LOOP_HELD, "loop_held_seconds",                                         \
      "time that the main loop kept its sources waiting")
/* clang-format on */

enum rp_histogram_id {
#define RP_HISTOGRAM_ENUM(symbol, name, help) RP_HISTOGRAM_##symbol,
    RP_HISTOGRAM_LIST(RP_HISTOGRAM_ENUM)
#undef RP_HISTOGRAM_ENUM
        RP_HISTOGRAM_COUNT
};

/* The upper bounds of the buckets are 1, 2 and 5 times powers of ten, from
 * 1 ms to 10 s. The last bucket counts all longer durations. */
#define RP_HISTOGRAM_BUCKETS 14

struct rp_histogram {
    uint64_t bucket[RP_HISTOGRAM_BUCKETS]; /* not cumulative */
    uint64_t count;
    int64_t sum_us;
};

/* All histograms of a process. */
struct rp_histograms {
    struct rp_histogram item[RP_HISTOGRAM_COUNT];
};

/* Adds a duration in microseconds. A negative duration counts as 0. */
void RpHistogram_Add(struct rp_histogram *histogram, int64_t duration_us);

/* Appends all histograms to `out` in the Prometheus text format, with `role`
 * as a label. */
void RpHistograms_Format(const struct rp_histograms *histograms,
                         const char *role, GString *out);

/* Returns the name of a histogram in metrics, without the prefix. */
const char *RpHistogram_Name(enum rp_histogram_id id);

/* Returns one line that explains a histogram. */
const char *RpHistogram_Help(enum rp_histogram_id id);

#endif
