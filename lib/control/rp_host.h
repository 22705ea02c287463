/* Tracks the state of the host that an agent serves, from the host's reports.
 *
 * A host sends reports periodically. A report may arrive late or twice, or
 * come from an earlier run of the host or from another host, and reports may
 * stop. The agent's host is the one of its service at its address: a report
 * that names another service or address is foreign. A run is the time from one
 * start of the host process to its end. Runs are told apart by their start
 * time (`host_start_ms`), because the sequence numbers of reports restart in
 * each run.
 *
 * Nothing here does I/O or reads a clock. All times are microseconds on one
 * monotonic clock, unless a name says otherwise.
 */
#ifndef RP_HOST_H
#define RP_HOST_H

#include <stdbool.h>
#include <stdint.h>

#include "rp_endpoint.h"
#include "rp_msg.h"
#include "rp_str.h"
#include "rp_time.h"

/* The host times out after this many report intervals without a report. */
#define RP_HOST_TIMEOUT_INTERVALS 3
/* The first report of a run has at most this sequence number. */
#define RP_HOST_FIRST_SEQUENCE 1

/* A decoded report. */
struct rp_host_report {
    struct rp_name id;          /* of this run of the host */
    struct rp_name service;     /* that the host belongs to */
    struct rp_endpoint address; /* at which it receives packets */
    uint64_t host_start_ms; /* start, by the host's wall clock; 0: unknown */
    uint64_t sequence;      /* increases with each report of a run */
    uint32_t slots;        /* requests that the host serves at the same time */
    uint32_t cold_left_ms; /* remaining time of its cold start */
    bool draining;
};

/* What RpHost_HandleReport did with a report. */
enum rp_host_report_result {
    RP_HOST_REPORT_STALE,     /* ignored: not newer than the latest report */
    RP_HOST_REPORT_FOREIGN,   /* ignored: of another service or address */
    RP_HOST_REPORT_UNCHANGED, /* accepted; nothing changed but its time */
    RP_HOST_REPORT_CHANGED, /* accepted; state, slots or cold start changed */
    RP_HOST_REPORT_NEW_RUN  /* accepted; first report of a run */
};

/* What a request to stop the agent means for the upstream. */
enum rp_host_stop {
    RP_HOST_STOP_REPLACED, /* the host may live: only the agent is replaced */
    RP_HOST_STOP_ENDED     /* the host has deregistered: its flows are over */
};

struct rp_host {
    struct rp_name service;     /* reports of other services and addresses */
    struct rp_endpoint address; /* are ignored */
    int64_t report_interval;
    uint64_t started_ms; /* start of this process by the wall clock */
    bool has_report;     /* a report has been accepted */
    bool knows_run;      /* this process has run since before its first flow */
    bool is_deregistered;            /* since its latest report */
    uint64_t contradicting_sequence; /* of a report after that; 0: none */
    struct rp_host_report last_report;
    int64_t last_report_at; /* time of the latest report or deregistration */
};

/* Initialises the state of the host of this service at this address, which
 * has not sent a report yet. It sends one about every `report_interval`
 * microseconds. `started_ms` is when this process started, in Unix
 * milliseconds by the wall clock, like a host's start time. */
void RpHost_Init(struct rp_host *host, const struct rp_name *service,
                 struct rp_endpoint address, int64_t report_interval,
                 uint64_t started_ms);

/* Handles a report: stores it if it is newer than the stored one. */
enum rp_host_report_result
RpHost_HandleReport(struct rp_host *host, int64_t now,
                    const struct rp_host_report *report);

/* Handles a host's deregistration, which it sends before it stops. Returns
 * false, and changes nothing, if `id` is not the id of the current run. A late
 * one of an earlier run may have that id, too: it is taken back by the next
 * report of the run, or by the second one if the run has said that it drains,
 * as one report may have been overtaken by the deregistration. */
bool RpHost_HandleDeregistration(struct rp_host *host, int64_t now,
                                 const struct rp_name *id);

/* Tells that this process did not run for the last `pause` microseconds, so it
 * could not read reports: the host gets that time in addition. */
void RpHost_RecordPause(struct rp_host *host, int64_t pause);

/* Returns whether the host has reported recently enough to get new flows. */
bool RpHost_IsAlive(const struct rp_host *host, int64_t now);

/* Returns the state to announce for the upstream at `now`: READY or DRAINING
 * once the host has been heard. An agent that has not heard its host announces
 * RP_UPSTREAM_UNHEARD for as long as a host that lives could take to report,
 * counted from `started`, and RP_UPSTREAM_LOST, which means no announcement,
 * after that. */
enum rp_upstream_state RpHost_UpstreamState(const struct rp_host *host,
                                            int64_t now, int64_t started);

/* Returns what a stop request means. Only the host itself can say that it has
 * ended: one that is silent, or that this process has not heard yet, may still
 * have open flows. A host drains before it ends, so the deregistration of one
 * that has not said so may be a late one of an earlier run. */
enum rp_host_stop RpHost_ClassifyStop(const struct rp_host *host);

/* Returns whether this process has run since before the first flow of the
 * host's latest run: it has accepted the run's first report, and that was not
 * a late one. It was not if the run began with this process or later, or if
 * the second report followed it. The time of day alone proves nothing, as it
 * may have been stepped. */
bool RpHost_KnowsRunFromStart(const struct rp_host *host);

/* Returns when the host times out if it sends no report before. */
int64_t RpHost_TimeoutDeadline(const struct rp_host *host);

#endif
