/* Tracks the state of the agent's host from the reports that the host
 * sends. */
#include "agent.h"
#include "rp_clock.h"

static void
set_host_state(struct agent *agent, enum rp_host_state state)
{
    static const char *const names[] = {[RP_HOST_READY] = "ready",
                                        [RP_HOST_UNKNOWN] = "unheard",
                                        [RP_HOST_DRAINING] = "draining",
                                        [RP_HOST_GONE] = "gone"};

    if (agent->host_state == state) {
        return;
    }
    agent->host_state = state;
    RpAgent_SetHostState(agent->flows, state);
    RpLog_Event(agent->daemon.log, RP_LOG_INFO, "host_state",
                "state=%s host=%s flows=%u", names[state],
                agent->host.last_report.id.data,
                RpAgent_Load(agent->flows, RpClock_Now()).flows);
    RpAgentRole_Announce(agent);
}

void
RpAgentHost_UpdateState(struct agent *agent, int64_t now)
{
    const struct rp_host *host = &agent->host;

    if (agent->settings.host_reports.port == 0) {
        return;
    }
    if (host->is_deregistered) {
        set_host_state(agent, RP_HOST_GONE);
    }
    else if (!RpHost_IsAlive(host, now)) {
        set_host_state(agent, RP_HOST_UNKNOWN);
    }
    else {
        set_host_state(agent, host->last_report.draining ? RP_HOST_DRAINING
                                                         : RP_HOST_READY);
    }
}

/* Handles the first accepted report of a run of the host. Flows of an earlier
 * run are over, but the report may be a late one: the host itself decides. */
static void
on_host_started(struct agent *agent, int64_t now, bool had_reported)
{
    const struct rp_host_report *report = &agent->host.last_report;

    RpLog_Event(agent->daemon.log, RP_LOG_INFO, "host_started",
                "host=%s born=%" G_GUINT64_FORMAT
                " sequence=%" G_GUINT64_FORMAT " slots=%u",
                report->id.data, report->host_start_ms, report->sequence,
                report->slots);
    if (had_reported) {
        RpAgent_HostRestarted(agent->flows, now);
    }
    if (report->sequence <= RP_HOST_FIRST_SEQUENCE) {
        RpAgent_SetSeenFromStart(agent->flows);
    }
}

static enum rp_code
on_host_report(void *user, const struct rp_host_report *report)
{
    struct agent *agent = user;
    int64_t now = RpClock_Now();
    bool had_reported = agent->host.has_report;
    enum rp_host_report_result result = RpHost_HandleReport(&agent->host, now,
                                                            report);

    if (result == RP_HOST_REPORT_FOREIGN) {
        char address[RP_ENDPOINT_TEXT_MAX];
        RpCounters_Add(&agent->daemon.counters, RP_COUNT_REPORT_FOREIGN);
        RpLog_Event(agent->daemon.log, RP_LOG_WARN, "host_foreign",
                    "host=%s service=%s address=%s", report->id.data,
                    report->service.data,
                    RpEndpoint_Format(report->address, address));
        return RP_ERR_NOT_FOUND;
    }
    if (result == RP_HOST_REPORT_STALE) {
        RpCounters_Add(&agent->daemon.counters, RP_COUNT_REPORT_LATE);
        RpLog_Event(agent->daemon.log, RP_LOG_WARN, "host_report_late",
                    "host=%s sequence=%" G_GUINT64_FORMAT
                    " known=%" G_GUINT64_FORMAT,
                    report->id.data, report->sequence,
                    agent->host.last_report.sequence);
        return RP_OK;
    }
    RpAgent_HostHeard(agent->flows, now);
    if (result == RP_HOST_REPORT_NEW_RUN) {
        on_host_started(agent, now, had_reported);
    }
    RpAgent_SetKnowsAllFlows(agent->flows,
                             RpHost_KnowsRunFromStart(&agent->host));
    RpAgent_SetHostSlots(agent->flows, report->slots);
    RpAgent_SetHostColdUntil(agent->flows,
                             now + report->cold_left_ms * RP_US_PER_MS);
    if (result != RP_HOST_REPORT_UNCHANGED) {
        RpLog_Event(agent->daemon.log, RP_LOG_INFO, "host_cold",
                    "host=%s left_ms=%u limited=%d", report->id.data,
                    report->cold_left_ms,
                    RpAgent_IsHostLimited(agent->flows, now));
    }
    RpAgentHost_UpdateState(agent, now);
    RpAgentRole_RunTimers(agent, now);
    return RP_OK;
}

static enum rp_code
on_host_deregisters(void *user, const struct rp_name *id)
{
    struct agent *agent = user;
    int64_t now = RpClock_Now();

    if (!RpHost_HandleDeregistration(&agent->host, now, id)) {
        RpLog_Event(agent->daemon.log, RP_LOG_WARN, "host_goodbye_foreign",
                    "host=%s", id->data);
    }
    RpAgentHost_UpdateState(agent, now);
    return RP_OK;
}

static void
on_unreadable(void *user, const char *message, struct rp_endpoint sender,
              const struct rp_error *error)
{
    struct agent *agent = user;
    gchar *pairs = g_strdup_printf("what=%s ", message);

    (void)sender;
    RpCounters_Add(&agent->daemon.counters, RP_COUNT_REPORT_UNREADABLE);
    RpDaemon_LogFindings(&agent->daemon, RP_LOG_WARN, "message_unreadable",
                         pairs, error);
    g_free(pairs);
}

bool
RpAgentHost_Open(struct agent *agent)
{
    static const struct rp_platform_ops ops = {
        .host_report = on_host_report,
        .host_deregisters = on_host_deregisters,
        .unreadable = on_unreadable};
    struct rp_error error;

    if (agent->settings.host_reports.port == 0) {
        return true;
    }
    agent->host_state = RP_HOST_UNKNOWN;
    RpAgent_SetHostState(agent->flows, RP_HOST_UNKNOWN);
    RpHost_Init(&agent->host, &agent->settings.service, agent->settings.host,
                agent->settings.report_ms * RP_US_PER_MS,
                (uint64_t)(g_get_real_time() / RP_US_PER_MS));
    RpError_Init(&error);
    agent->platform = RpPlatform_Open(agent->settings.host_reports,
                                      RP_PLATFORM_REPORT_MAX,
                                      &agent->daemon.net, &ops, agent, &error);
    RpDaemon_PrintFindings(&error);
    RpError_Clear(&error);
    return agent->platform != NULL;
}
