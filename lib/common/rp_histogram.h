/* Latency histograms with fixed buckets, served as the Prometheus text
 * format has them. The list names each histogram once: symbol, metric name
 * and a line of explanation. */
#ifndef RP_HISTOGRAM_H
#define RP_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/* clang-format off */
#define RP_HISTOGRAM_LIST(X)                                                  \
    X(SYN_ANSWER, "syn_answer_seconds",                                       \
      "from giving a SYN to the host until its answer")                       \
    X(FIRST_BYTE, "first_byte_seconds",                                       \
      "from a request's first byte until its answer's")                       \
    X(REQUEST_KEPT, "request_kept_seconds",                                   \
      "how long requests waited at the gate")                                 \
    X(DISK_SYNC, "disk_sync_seconds",                                         \
      "how long the disk took to sync the journal")                           \
    X(CHANGE_DECIDED, "change_decided_seconds",                               \
      "from receiving an edition until it is committed")                      \
    X(IN_FORCE, "in_force_seconds",                                           \
      "from committing a change until a node confirms it")
/* clang-format on */

enum rp_histogram_id {
#define RP_HISTOGRAM_ENUM(symbol, name, help) RP_HISTOGRAM_##symbol,
    RP_HISTOGRAM_LIST(RP_HISTOGRAM_ENUM)
#undef RP_HISTOGRAM_ENUM
        RP_HISTOGRAM_COUNT
};

/* Upper bounds from 1 ms to 10 s, in steps of 1, 2 and 5; the last bucket
 * holds what is above. */
#define RP_HISTOGRAM_BUCKETS 14

struct rp_histogram {
    uint64_t bucket[RP_HISTOGRAM_BUCKETS];
    uint64_t count;
    int64_t sum_us;
};

struct rp_histograms {
    struct rp_histogram item[RP_HISTOGRAM_COUNT];
};

/* Adds one duration in microseconds; negative ones count as 0. */
void RpHistogram_Add(struct rp_histogram *histogram, int64_t duration_us);

/* Appends all histograms in the text format, each with the role as label. */
void RpHistograms_Format(const struct rp_histograms *histograms,
                         const char *role, GString *out);

const char *RpHistogram_Name(enum rp_histogram_id id);
const char *RpHistogram_Help(enum rp_histogram_id id);

#endif
