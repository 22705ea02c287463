/* What an agent believes of the host beside it, by the host's own reports.
 *
 * A host reports itself again and again. Reports may come late, twice, from
 * an earlier life of the host, or from somebody else's host; they may also
 * stop. A life of the host is told by when it started (`born`), for its
 * sequence numbers start anew in each.
 *
 * Nothing here does I/O or reads a clock.
 */
#ifndef RP_HOST_H
#define RP_HOST_H

#include <stdbool.h>
#include <stdint.h>

#include "rp_endpoint.h"
#include "rp_str.h"
#include "rp_time.h"

/* Reports that may be missed in a row before the host counts as unheard. */
#define RP_HOST_MISSED_REPORTS 3
/* A sequence number up to this one belongs to the first report of a life. */
#define RP_HOST_FIRST_SEQUENCE 1

/* One report, as the adapter decoded it. */
struct rp_host_report {
    struct rp_name id;      /* of this life of the host */
    struct rp_name service; /* the service that it belongs to */
    uint64_t born_ms;       /* its start by its own time of day; 0: not said */
    uint64_t sequence;      /* grows with each report of one life */
    uint32_t slots;         /* requests that it serves at once */
    uint32_t cold_left_ms;  /* how much longer it is slow after its start */
    bool draining;
};

enum rp_host_news {
    RP_HOST_NEWS_STALE,   /* older than what is known: not taken */
    RP_HOST_NEWS_FOREIGN, /* of another service's host: not taken */
    RP_HOST_NEWS_SAME,    /* taken; nothing changed but its age */
    RP_HOST_NEWS_CHANGED, /* taken: state, slots or cold start changed */
    RP_HOST_NEWS_STARTED  /* taken: the first report of a life */
};

struct rp_host {
    struct rp_name service; /* whose hosts are accepted */
    int64_t report_interval;
    bool known; /* there has been a report */
    bool left;  /* it said goodbye since */
    struct rp_host_report last;
    int64_t heard;
};

/* A host of this service that has not been heard of. It reports about every
 * `report_interval` microseconds. */
void RpHost_Init(struct rp_host *host, const struct rp_name *service,
                 int64_t report_interval);

/* Takes a report, if it is news. */
enum rp_host_news RpHost_Report(struct rp_host *host, int64_t now,
                                const struct rp_host_report *report);

/* The host with this id says goodbye; false if it is not the present one. */
bool RpHost_Leave(struct rp_host *host, int64_t now, const struct rp_name *id);

/* Whether the host has been heard lately enough to get new flows. */
bool RpHost_IsHeard(const struct rp_host *host, int64_t now);

/* When it counts as unheard if no report comes. */
int64_t RpHost_SilenceDeadline(const struct rp_host *host);

#endif
