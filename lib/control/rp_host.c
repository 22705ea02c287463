/* Ordering of host reports: which are stale, and which start a new run. */
#include "rp_host.h"

void
RpHost_Init(struct rp_host *host, const struct rp_name *service,
            struct rp_endpoint address, int64_t report_interval,
            uint64_t started_ms)
{
    *host = (struct rp_host){.service = *service,
                             .address = address,
                             .report_interval = report_interval,
                             .started_ms = started_ms};
}

int64_t
RpHost_TimeoutDeadline(const struct rp_host *host)
{
    return host->last_report_at +
           RP_HOST_TIMEOUT_INTERVALS * host->report_interval;
}

bool
RpHost_IsAlive(const struct rp_host *host, int64_t now)
{
    return host->has_report && !host->is_deregistered &&
           now < RpHost_TimeoutDeadline(host);
}

void
RpHost_RecordPause(struct rp_host *host, int64_t pause)
{
    host->last_report_at += pause;
}

enum rp_upstream_state
RpHost_UpstreamState(const struct rp_host *host, int64_t now, int64_t started)
{
    if (!host->has_report) {
        return now < started +
                           RP_HOST_TIMEOUT_INTERVALS * host->report_interval
                   ? RP_UPSTREAM_UNHEARD
                   : RP_UPSTREAM_LOST;
    }
    return RpHost_IsAlive(host, now) && !host->last_report.draining
               ? RP_UPSTREAM_READY
               : RP_UPSTREAM_DRAINING;
}

enum rp_host_stop
RpHost_ClassifyStop(const struct rp_host *host)
{
    return host->has_report && host->is_deregistered &&
                   host->last_report.draining
               ? RP_HOST_STOP_ENDED
               : RP_HOST_STOP_REPLACED;
}

bool
RpHost_KnowsRunFromStart(const struct rp_host *host)
{
    return host->knows_run;
}

/* Returns whether the report belongs to another run than the last report. The
 * ids decide if one of the start times is unknown. */
static bool
is_other_run(const struct rp_host *host, const struct rp_host_report *report)
{
    if (report->host_start_ms != 0 && host->last_report.host_start_ms != 0) {
        return report->host_start_ms != host->last_report.host_start_ms;
    }
    return !RpName_Equal(&report->id, &host->last_report.id);
}

/* Returns whether a report of another run belongs to a later run. The host's
 * wall clock may have been set back between two runs, so that the later run
 * has the earlier start time. Such a report is accepted if the known run has
 * timed out, or has deregistered and the report has another id. */
static bool
is_later_run(const struct rp_host *host, int64_t now,
             const struct rp_host_report *report)
{
    if (report->host_start_ms > host->last_report.host_start_ms ||
        host->last_report.host_start_ms == 0) {
        return true;
    }
    return !RpHost_IsAlive(host, now) &&
           (!RpName_Equal(&report->id, &host->last_report.id) ||
            now >= RpHost_TimeoutDeadline(host));
}

static void
accept_report(struct rp_host *host, int64_t now,
              const struct rp_host_report *report)
{
    host->has_report = true;
    host->last_report = *report;
    host->last_report_at = now;
}

/* Returns whether the report's run began less than a report interval before
 * this process, or later. A run that has crashed and been replaced since began
 * earlier. */
static bool
began_with_us(const struct rp_host *host, const struct rp_host_report *report)
{
    return report->host_start_ms +
               (uint64_t)(host->report_interval / RP_US_PER_MS) >=
           host->started_ms;
}

static void
accept_new_run(struct rp_host *host, int64_t now,
               const struct rp_host_report *report)
{
    accept_report(host, now, report);
    host->is_deregistered = false;
    host->knows_run = report->sequence <= RP_HOST_FIRST_SEQUENCE &&
                      began_with_us(host, report);
}

/* Returns whether the last report was the first of the run and this one the
 * second. If there were others in between, they went to a process before this
 * one, which may have admitted flows, and the first one came late. */
static bool
follows_first_report(const struct rp_host *host,
                     const struct rp_host_report *report)
{
    return host->last_report.sequence <= RP_HOST_FIRST_SEQUENCE &&
           report->sequence == host->last_report.sequence + 1;
}

/* Returns whether a newer report of a run that has deregistered shows that the
 * run goes on. */
static bool
takes_back_deregistration(struct rp_host *host,
                          const struct rp_host_report *report)
{
    if (host->last_report.draining && host->contradicting_sequence == 0) {
        host->contradicting_sequence = report->sequence;
        return false;
    }
    return report->sequence > host->contradicting_sequence;
}

enum rp_host_report_result
RpHost_HandleReport(struct rp_host *host, int64_t now,
                    const struct rp_host_report *report)
{
    if (!RpName_Equal(&report->service, &host->service) ||
        !RpEndpoint_Equal(report->address, host->address)) {
        return RP_HOST_REPORT_FOREIGN;
    }
    if (!host->has_report) {
        accept_new_run(host, now, report);
        return RP_HOST_REPORT_NEW_RUN;
    }
    if (is_other_run(host, report)) {
        if (!is_later_run(host, now, report)) {
            return RP_HOST_REPORT_STALE;
        }
        accept_new_run(host, now, report);
        return RP_HOST_REPORT_NEW_RUN;
    }
    if (report->sequence <= host->last_report.sequence ||
        (host->is_deregistered && !takes_back_deregistration(host, report))) {
        return RP_HOST_REPORT_STALE;
    }
    bool unchanged = !host->is_deregistered &&
                     report->draining == host->last_report.draining &&
                     report->slots == host->last_report.slots &&
                     (report->cold_left_ms > 0) ==
                         (host->last_report.cold_left_ms > 0);
    host->knows_run = host->knows_run || follows_first_report(host, report);
    accept_report(host, now, report);
    host->is_deregistered = false;
    return unchanged ? RP_HOST_REPORT_UNCHANGED : RP_HOST_REPORT_CHANGED;
}

bool
RpHost_HandleDeregistration(struct rp_host *host, int64_t now,
                            const struct rp_name *id)
{
    if (!host->has_report || !RpName_Equal(&host->last_report.id, id)) {
        return false;
    }
    host->is_deregistered = true;
    host->contradicting_sequence = 0;
    host->last_report_at = now;
    return true;
}
