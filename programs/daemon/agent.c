/* The agent role: runs beside one upstream instance, announces the upstream to
 * control, owns its flows and forwards packets of other flows to their
 * agents. */
#include <glib-unix.h>
#include <signal.h>
#include <sodium.h>

#include "agent.h"
#include "rp_clock.h"
#include "rp_flow_chart.h"

#define ANNOUNCES_PER_LEASE 3
/* Log lines per second for each kind of decision on flows. A host gets about
 * 60 new flows per second at peak load. */
#define FLOW_LINES_PER_SECOND 100
/* How often a stopping agent checks whether it can exit. */
#define STOP_CHECK_US (20 * RP_US_PER_MS)
/* An announcement that is due for this long means that the process was
 * paused. */
#define PAUSE_US (300 * RP_US_PER_MS)
#define MAX_SLOTS 1000000
#define MAX_SECONDS 86400

static const struct rp_setting settings_table[] = {
    RP_COMMON_SETTINGS(agent_settings, common),
    {.flag = "service",
     .kind = RP_SETTING_NAME,
     .offset = offsetof(struct agent_settings, service),
     .value = "NAME",
     .help = "the service that the upstream belongs to"},
    {.flag = "listen",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct agent_settings, listen),
     .value = "ADDR:PORT",
     .help =
         "receive datagrams from balancers and other agents on this address"},
    {.flag = "host-listen",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct agent_settings, host_listen),
     .value = "ADDR:PORT",
     .help = "receive datagrams from the host on this address"},
    {.flag = "host",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct agent_settings, host),
     .value = "ADDR:PORT",
     .help = "address at which the host decapsulates Geneve"},
    {.flag = "fabric",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct agent_settings, fabric),
     .value = "ADDR:PORT",
     .help = "send packets for callers to this address"},
    {.flag = "control",
     .kind = RP_SETTING_ENDPOINTS,
     .offset = offsetof(struct agent_settings, controls),
     .value = "ADDR:PORT,…",
     .help = "addresses of the control instances"},
    {.flag = "slots",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct agent_settings, slots),
     .value = "N",
     .help = "number of requests that the host serves concurrently",
     .min = 1,
     .max = MAX_SLOTS},
    {.flag = "lease-ms",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct agent_settings, lease_ms),
     .value = "N",
     .help = "an announcement expires after this time unless it is renewed",
     .fallback = "2000",
     .min = 500,
     .max = 60000},
    {.flag = "ramp-seconds",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct agent_settings, ramp_seconds),
     .value = "N",
     .help = "increase the slots gradually over this time after the start",
     .fallback = "0",
     .max = MAX_SECONDS},
    {.flag = "drain-seconds",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct agent_settings, drain_seconds),
     .value = "N",
     .help = "when stopping, wait at most this long for open flows to end",
     .fallback = "60",
     .max = MAX_SECONDS},
    {.flag = "host-patience-ms",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct agent_settings, host_timeout_ms),
     .value = "N",
     .help = "how long to wait for the host to answer a new flow",
     .fallback = "250",
     .min = 5,
     .max = 10000},
    {.flag = "host-reports",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct agent_settings, host_reports),
     .value = "ADDR:PORT",
     .help = "receive the host's reports on this address; no flow is admitted "
             "before the first one",
     .optional = true},
    {.flag = "host-report-ms",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct agent_settings, report_ms),
     .value = "N",
     .help = "interval of the host's reports",
     .fallback = "1000",
     .min = 10,
     .max = 60000},
    RP_PACKETS_SETTING(agent_settings, packets),
    RP_CONTROL_PORT_SETTING(agent_settings, control_port),
};

static void
log_dropped_packet(struct agent *agent, enum rp_counter reason,
                   struct rp_endpoint from)
{
    char text[RP_ENDPOINT_TEXT_MAX];

    RpLog_Event(agent->daemon.log, RP_LOG_WARN, "packet_dropped",
                "reason=%s from=%s", RpCounter_Name(reason),
                RpEndpoint_Format(from, text));
}

/* Sends an action's bytes. A received packet stays valid until the end of the
 * batch and is queued; bytes that the agent has built or stored do not, and
 * are sent at once. */
static void
send_action(struct agent *agent, struct rp_udp *udp, struct rp_endpoint to,
            const uint8_t *header, size_t header_len,
            const struct rp_action *action)
{
    if (action->data == agent->received) {
        RpUdp_Send(udp, to, header, header_len, action->data, action->len);
    }
    else {
        RpUdp_SendCopy(udp, to, header, header_len, action->data, action->len);
    }
}

static void
run_action(struct agent *agent, const struct rp_action *action)
{
    const struct rp_codec_ops *ops = agent->codec->ops;
    uint8_t header[RP_GENEVE_HEADROOM];
    struct rp_endpoint fabric = agent->settings.fabric;
    size_t len = 0;

    if (ops->encapsulated) {
        len = RpGeneve_Write(header, ops->protocol, NULL, NULL);
    }
    RpAgentLog_Action(agent, action);
    switch (action->kind) {
    case RP_ACTION_DROP:
        break;
    case RP_ACTION_TO_HOST:
        send_action(agent, agent->host_side, agent->settings.host, header, len,
                    action);
        break;
    case RP_ACTION_TO_CALLER:
        if (!ops->encapsulated) {
            /* A packet outside Geneve goes to the caller's own address. */
            fabric.ip = ops->destination(action->data).ip;
        }
        send_action(agent, agent->balancer_side, fabric, header, len, action);
        break;
    case RP_ACTION_TO_NEXT_AGENT:
        len = RpGeneve_Write(header, ops->protocol, &action->tag,
                             &action->chain);
        send_action(agent, agent->balancer_side, action->next, header, len,
                    action);
        break;
    case RP_ACTION_SEARCH:
        len = RpGeneve_WriteSearch(header, ops->protocol, &action->tag,
                                   agent->settings.listen, action->search_id);
        for (size_t i = 0; i < action->target_count; i++) {
            send_action(agent, agent->balancer_side, action->targets[i],
                        header, len, action);
        }
        break;
    case RP_ACTION_SEARCH_ANSWER:
        len = RpGeneve_WriteAnswer(header, ops->protocol, action->search_id,
                                   action->verdict);
        RpUdp_SendCopy(agent->balancer_side, action->next, header, len, NULL,
                       0);
        break;
    case RP_ACTION_HINT:
        len = RpGeneve_WriteHint(header, ops->protocol, &action->hint);
        RpUdp_Send(agent->balancer_side, action->next, header, len, NULL, 0);
        break;
    case RP_ACTION_LOAD_NOTE:
        len = RpGeneve_WriteLoad(header, ops->protocol, &action->load);
        RpUdp_Send(agent->balancer_side, action->next, header, len, NULL, 0);
        break;
    }
}

static void
run_actions(struct agent *agent)
{
    for (size_t i = 0; i < agent->actions.count; i++) {
        run_action(agent, &agent->actions.item[i]);
    }
}

static bool
parse_encapsulated(struct agent *agent, const uint8_t *data, size_t len,
                   struct rp_endpoint from, struct rp_geneve *geneve,
                   struct rp_packet *packet)
{
    const struct rp_codec_ops *ops = agent->codec->ops;
    enum rp_counter reason;

    agent->received = NULL;
    bool parsed = RpGeneve_Parse(data, len, ops->protocol, geneve, &reason);
    if (parsed && geneve->has_answer) {
        return true;
    }
    if (parsed &&
        ops->parse(geneve->inner, geneve->inner_len, packet, &reason)) {
        agent->received = packet->data;
        agent->received_flow = packet->key;
        return true;
    }
    RpCounters_Add(&agent->daemon.counters, reason);
    log_dropped_packet(agent, reason, from);
    return false;
}

/* Parses a packet from the host that is not encapsulated in Geneve. */
static bool
parse_unencapsulated(struct agent *agent, uint8_t *data, size_t len,
                     struct rp_endpoint from, struct rp_packet *packet)
{
    const struct rp_codec_ops *ops = agent->codec->ops;
    enum rp_counter reason;
    bool returned = ops->clear_returned_mark &&
                    ops->clear_returned_mark(data, len);

    agent->received = NULL;
    if (ops->parse(data, len, packet, &reason)) {
        packet->returned = returned;
        agent->received = data;
        agent->received_flow = returned ? packet->key
                                        : RpFlowKey_Reverse(packet->key);
        return true;
    }
    RpCounters_Add(&agent->daemon.counters, reason);
    log_dropped_packet(agent, reason, from);
    return false;
}

/* Logs the drops that RpAgentLog_Action does not log. */
static void
log_dropped_packets(struct agent *agent, struct rp_endpoint from)
{
    for (size_t i = 0; i < agent->actions.count; i++) {
        const struct rp_action *action = &agent->actions.item[i];
        if (action->kind == RP_ACTION_DROP &&
            !RpAgentLog_Event(action->reason)) {
            log_dropped_packet(agent, action->reason, from);
        }
    }
}

void
RpAgentRole_RunTimers(struct agent *agent, int64_t now)
{
    while (RpAgent_OnTimer(agent->flows, now, &agent->actions)) {
        run_actions(agent);
    }
    RpTimer_RunBy(agent->timer, RpAgent_NextTimer(agent->flows));
}

static void
on_balancer_datagram(void *user, uint8_t *data, size_t len,
                     struct rp_endpoint from)
{
    struct agent *agent = user;
    struct rp_geneve geneve;
    struct rp_packet packet;

    if (parse_encapsulated(agent, data, len, from, &geneve, &packet)) {
        int64_t now = RpClock_Now();
        RpAgent_SetControlConnected(agent->flows,
                                    RpUplink_IsConnected(agent->uplink));
        if (geneve.has_answer) {
            RpAgent_OnSearchAnswer(agent->flows, now, from, &geneve,
                                   &agent->actions);
        }
        else if (geneve.has_search) {
            RpAgent_OnSearch(agent->flows, now, &packet, &geneve,
                             &agent->actions);
        }
        else {
            RpAgent_FromCaller(agent->flows, now, &packet, &geneve,
                               &agent->actions);
        }
        if (agent->actions.begins_request) {
            RpAgentLog_Request(agent, &packet);
        }
        log_dropped_packets(agent, from);
        run_actions(agent);
        /* Packets that leave the request queue must be sent before the next
         * received packet is handled. */
        RpAgentRole_RunTimers(agent, now);
    }
}

static void
on_host_datagram(void *user, uint8_t *data, size_t len,
                 struct rp_endpoint from)
{
    struct agent *agent = user;
    struct rp_geneve geneve;
    struct rp_packet packet;

    bool parsed = agent->codec->ops->encapsulated
                      ? parse_encapsulated(agent, data, len, from, &geneve,
                                           &packet)
                      : parse_unencapsulated(agent, data, len, from, &packet);
    if (parsed) {
        int64_t now = RpClock_Now();
        RpAgent_FromHost(agent->flows, now, &packet, &agent->actions);
        if (agent->actions.begins_answer) {
            RpAgentLog_Answer(agent, &packet);
        }
        log_dropped_packets(agent, from);
        run_actions(agent);
        /* The answer may have freed a slot for a waiting request. */
        RpAgentRole_RunTimers(agent, now);
    }
}

static enum rp_upstream_state
choose_announced_state(const struct agent *agent, int64_t now)
{
    enum rp_upstream_state state = RP_UPSTREAM_READY;

    if (agent->gone_announced) {
        return RP_UPSTREAM_GONE;
    }
    if (agent->settings.host_reports.port != 0) {
        state = RpHost_UpstreamState(&agent->host, now, agent->started);
    }
    return agent->draining && state == RP_UPSTREAM_READY ? RP_UPSTREAM_DRAINING
                                                         : state;
}

void
RpAgentRole_Announce(struct agent *agent)
{
    int64_t now = RpClock_Now();
    const struct agent_settings *settings = &agent->settings;
    struct rp_agent_load load = RpAgent_Load(agent->flows, now);
    enum rp_upstream_state state = choose_announced_state(agent, now);
    const struct rp_msg msg = {
        .type = RP_MSG_ANNOUNCE,
        .announce = {.upstream = settings->common.name,
                     .service = settings->service,
                     .zone = settings->common.zone,
                     .agent_ip = settings->listen.ip,
                     .agent_port = settings->listen.port,
                     .slots = load.slots,
                     .state = (uint8_t)state,
                     .incarnation = agent->incarnation,
                     .sequence = ++agent->sequence,
                     .lease_ms = settings->lease_ms,
                     .flows = load.flows,
                     .busy = load.busy}};

    if (state != RP_UPSTREAM_LOST) {
        RpUplink_Send(agent->uplink, &msg);
    }
    agent->announce_deadline = now + settings->lease_ms * RP_US_PER_MS /
                                         ANNOUNCES_PER_LEASE;
}

static void
on_connected(void *user)
{
    RpAgentRole_Announce(user);
}

/* Sets the end of the host's cold start after a change of the table. A host
 * without flows for a while may be cold again: one whose data centre is taken
 * back counts as cold until its next report, or for as long as after a start
 * if it sends none. */
static void
update_cold_start(struct agent *agent, bool evacuated)
{
    bool taken_back = agent->evacuated && !evacuated;

    agent->evacuated = evacuated;
    if (agent->settings.host_reports.port != 0) {
        if (taken_back) {
            RpAgent_SetHostColdUntil(agent->flows, RP_NEVER);
        }
        return;
    }
    if (taken_back) {
        agent->cold_since = RpClock_Now();
    }
    if (agent->service) {
        RpAgent_SetHostColdUntil(agent->flows,
                                 agent->cold_since +
                                     agent->service->warmup_ms * RP_US_PER_MS);
    }
}

static void
on_table_changed(void *user)
{
    struct agent *agent = user;
    const struct rp_table *table = RpUplink_Table(agent->uplink);

    agent->service = RpTable_FindByName(table, &agent->settings.service);
    RpAgent_SetTable(agent->flows, table, agent->service);
    RpAgent_TableUpdated(agent->flows, RpClock_Now());
    update_cold_start(
        agent, RpTable_IsEvacuated(table, &agent->settings.common.zone));
}

static void
set_draining(struct agent *agent, bool draining)
{
    if (agent->draining == draining) {
        return;
    }
    agent->draining = draining;
    RpAgent_SetDraining(agent->flows, draining);
    RpLog_Event(agent->daemon.log, RP_LOG_INFO,
                draining ? "drain_started" : "drain_ended", "flows=%u",
                RpAgent_Load(agent->flows, RpClock_Now()).flows);
    RpAgentRole_Announce(agent);
}

/* Handles an operator's order to drain or resume. Orders are ignored once a
 * stop has begun. */
static void
on_order(void *user, const struct rp_msg_order *order)
{
    struct agent *agent = user;

    if (agent->drain_deadline == RP_NEVER) {
        set_draining(agent, order->draining);
    }
}

/* Handles a newer announcement of this upstream than the one sent.
 * Incarnations are taken from the wall clock; if it was stepped back, this
 * process's incarnation is lower than that of an earlier process and must be
 * raised above it. */
static void
on_newer_announcement(void *user, const struct rp_msg_announce *newer)
{
    struct agent *agent = user;

    if (RpName_Equal(&newer->upstream, &agent->settings.common.name) &&
        newer->incarnation >= agent->incarnation) {
        agent->incarnation = newer->incarnation + 1;
        RpLog_Event(agent->daemon.log, RP_LOG_WARN, "incarnation_raised",
                    "incarnation=%" G_GUINT64_FORMAT, agent->incarnation);
        RpAgentRole_Announce(agent);
    }
}

static const struct rp_uplink_ops uplink_ops = {
    .connected = on_connected,
    .table_changed = on_table_changed,
    .order_received = on_order,
    .newer_announcement = on_newer_announcement};

/* Handles a stop request. If the host sends no reports, the agent drains the
 * upstream first.
 *
 * A host that sends reports drains on its own. Unless it has deregistered,
 * only the agent is being replaced, as far as the agent can know: it exits at
 * once, and the next agent learns the flows from the host. If the host has
 * deregistered, the agent announces at once that the upstream is gone, and
 * exits. Flows that are still open have ended with the host: their callers are
 * reset, so that their next request does not go to a host that is no longer
 * there.
 */
static void
on_stop(void *user)
{
    struct agent *agent = user;
    int64_t now = RpClock_Now();

    if (agent->settings.host_reports.port == 0) {
        agent->drain_deadline = now + agent->settings.drain_seconds *
                                          RP_US_PER_SECOND;
        set_draining(agent, true);
        RpTimer_RunBy(agent->timer, 0);
        return;
    }
    if (RpHost_ClassifyStop(&agent->host) == RP_HOST_STOP_REPLACED) {
        RpDaemon_Quit(&agent->daemon, RP_EXIT_OK);
        return;
    }
    RpAgent_HostEnded(agent->flows);
    RpAgentRole_RunTimers(agent, now);
    agent->drain_deadline = now;
    set_draining(agent, true);
    RpTimer_RunBy(agent->timer, 0);
}

/* Handles SIGUSR2: exits without draining. The host stays up, and the next
 * agent learns the flows from it. */
static gboolean
on_replace_signal(gpointer data)
{
    struct agent *agent = data;

    RpLog_Event(agent->daemon.log, RP_LOG_INFO, "replace_requested", "%s", "");
    RpDaemon_Quit(&agent->daemon, RP_EXIT_OK);
    return G_SOURCE_REMOVE;
}

/* Continues a stop: announces that the upstream is gone once no flow is left
 * or the drain time is over, then exits when that announcement is sent. */
static void
continue_stop(struct agent *agent, int64_t now)
{
    uint32_t flows = RpAgent_Load(agent->flows, now).flows;

    if (agent->drain_deadline == RP_NEVER) {
        return;
    }
    if (!agent->gone_announced &&
        (flows == 0 || now >= agent->drain_deadline)) {
        RpLog_Event(agent->daemon.log, flows ? RP_LOG_WARN : RP_LOG_INFO,
                    "drain_finished", "flows_left=%u", flows);
        agent->gone_announced = true;
        RpAgentRole_Announce(agent);
        return;
    }
    if (agent->gone_announced && RpUplink_Queued(agent->uplink) == 0) {
        RpDaemon_Quit(&agent->daemon, RP_EXIT_OK);
    }
}

/* Runs everything that is due: flow timers, the host's report timeout, the
 * next announcement and a stop in progress. */
static void
on_deadline(void *user)
{
    struct agent *agent = user;
    int64_t now = RpClock_Now();
    int64_t pause = now - agent->announce_deadline;

    if (agent->announce_deadline != 0 && pause >= PAUSE_US) {
        RpLog_Event(agent->daemon.log, RP_LOG_WARN, "process_paused",
                    "ms=%" G_GINT64_FORMAT, pause / RP_US_PER_MS);
        RpHost_RecordPause(&agent->host, pause);
    }
    RpAgentRole_RunTimers(agent, now);
    RpAgentHost_UpdateState(agent, now);
    if (now >= agent->announce_deadline) {
        RpAgentRole_Announce(agent);
    }
    continue_stop(agent, now);
    RpTimer_RunBy(agent->timer, agent->announce_deadline);
    if (RpHost_IsAlive(&agent->host, now)) {
        RpTimer_RunBy(agent->timer, RpHost_TimeoutDeadline(&agent->host));
    }
    if (agent->drain_deadline != RP_NEVER) {
        RpTimer_RunBy(agent->timer, now + STOP_CHECK_US);
    }
}

static bool
is_healthy(void *user, GString *why)
{
    const struct agent *agent = user;

    if (agent->draining) {
        g_string_append(why, "draining");
        return false;
    }
    if (!agent->service) {
        g_string_append(why, "no configuration received for this service yet");
        return false;
    }
    g_string_append(why, "ok");
    return true;
}

static void
write_gauges(void *user, GString *out)
{
    const struct agent *agent = user;
    struct rp_agent_load load = RpAgent_Load(agent->flows, RpClock_Now());

    g_string_append_printf(
        out,
        "revision %" G_GUINT64_FORMAT "\nflows %u\nbusy %u\nslots %u\n"
        "flow_table_bytes %zu\ncontrol_connected %d\nhost_limited %d\n"
        "zones_evacuated %u\n",
        RpTable_Revision(RpUplink_Table(agent->uplink)), load.flows, load.busy,
        load.slots, RpAgent_TableBytes(agent->flows),
        RpUplink_IsConnected(agent->uplink),
        RpAgent_IsHostLimited(agent->flows, RpClock_Now()),
        RpTable_Evacuated(RpUplink_Table(agent->uplink))->len);
}

static const struct rp_admin_ops admin_ops = {.healthy = is_healthy,
                                              .gauges = write_gauges};

static bool
open_sockets(struct agent *agent)
{
    struct rp_error error;

    RpError_Init(&error);
    agent->balancer_side = RpUdp_Open(agent->settings.listen,
                                      on_balancer_datagram, agent,
                                      &agent->daemon.counters, &error);
    agent->host_side = RpUdp_Open(agent->settings.host_listen,
                                  on_host_datagram, agent,
                                  &agent->daemon.counters, &error);
    RpDaemon_PrintFindings(&error);
    RpError_Clear(&error);
    if (!agent->balancer_side || !agent->host_side) {
        return false;
    }
    RpUdp_SetPartner(agent->balancer_side, agent->host_side);
    RpUdp_SetPartner(agent->host_side, agent->balancer_side);
    return true;
}

static void
create_flow_engine(struct agent *agent)
{
    int64_t now = RpClock_Now();
    struct rp_agent_config config = {
        .codec = agent->codec,
        .host_answer_timeout = agent->settings.host_timeout_ms * RP_US_PER_MS,
        .self = agent->settings.listen,
        .zone = agent->settings.common.zone,
        .started = now,
        .slots = agent->settings.slots,
        .ramp_from = now,
        .ramp_until = now + agent->settings.ramp_seconds * RP_US_PER_SECOND};

    randombytes_buf(&config.seed, sizeof config.seed);
    agent->flows = RpAgent_Create(&config, &agent->chart,
                                  RpAdmission_CreateLatencyTarget(),
                                  &agent->daemon.counters);
}

static void
on_reload(void *user, const void *settings)
{
    struct agent *agent = user;
    struct agent_settings updated = *(const struct agent_settings *)settings;

    RpDaemon_SetPorts(&updated.controls, updated.control_port);
    RpUplink_SetControls(agent->uplink, &updated.controls);
    RpDaemon_DescribeSettings(&agent->daemon, &updated.controls, "");
}

static bool
start_role(struct agent *agent)
{
    struct rp_error error;

    RpError_Init(&error);
    enum rp_code code = RpFlowChart_Load(&agent->chart, &error);
    RpDaemon_PrintFindings(&error);
    RpError_Clear(&error);
    if (code != RP_OK || !open_sockets(agent)) {
        return false;
    }
    agent->incarnation = (uint64_t)g_get_real_time();
    agent->drain_deadline = RP_NEVER;
    agent->started = RpClock_Now();
    agent->cold_since = agent->started;
    agent->timer = RpTimer_Create(on_deadline, agent);
    create_flow_engine(agent);
    if (!RpAgentHost_Open(agent)) {
        return false;
    }
    agent->uplink = RpUplink_Create(
        &agent->daemon, (struct rp_endpoint){0}, &agent->settings.controls,
        &agent->settings.service, &uplink_ops, agent);
    RpTimer_RunBy(agent->timer, 0);
    g_unix_signal_add(SIGUSR2, on_replace_signal, agent);
    return RpDaemon_OpenAdmin(&agent->daemon, &agent->settings.common,
                              &admin_ops, agent);
}

int
RpAgent_Main(int argc, char **argv)
{
    static struct agent agent;
    int exit_code;

    if (!RpDaemon_ReadSettings(
            settings_table, G_N_ELEMENTS(settings_table), "radishportd agent",
            "Runs beside one upstream instance: announces it to control and "
            "owns its flows.\nSIGTERM drains the upstream, then exits; "
            "SIGUSR2 exits without draining.",
            argc, argv, &agent.settings, &exit_code)) {
        return exit_code;
    }
    const struct rp_settings_source source = {
        .table = settings_table,
        .count = G_N_ELEMENTS(settings_table),
        .size = sizeof agent.settings,
        .argc = argc,
        .argv = argv};
    agent.codec = RpDaemon_FindCodec(agent.settings.packets);
    if (!agent.codec) {
        return RP_EXIT_SETTINGS;
    }
    RpDaemon_SetPorts(&agent.settings.controls, agent.settings.control_port);
    if (!RpDaemon_Start(&agent.daemon, RP_ROLE_AGENT, &agent.settings.common,
                        on_stop, &agent)) {
        return agent.daemon.exit_code;
    }
    RpDaemon_DescribeSettings(&agent.daemon, &agent.settings.controls, "");
    RpLog_SetBudget(agent.daemon.log, "flow_admitted", FLOW_LINES_PER_SECOND);
    RpLog_SetBudget(agent.daemon.log, "request_received",
                    FLOW_LINES_PER_SECOND);
    RpLog_SetBudget(agent.daemon.log, "answer_began", FLOW_LINES_PER_SECOND);
    RpLog_SetBudget(agent.daemon.log, "flow_refused", FLOW_LINES_PER_SECOND);
    RpLog_SetBudget(agent.daemon.log, "flow_passed_on", FLOW_LINES_PER_SECOND);
    if (!start_role(&agent)) {
        return RP_EXIT_FAILED;
    }
    RpDaemon_WatchSettings(&agent.daemon, &source, on_reload, &agent);
    exit_code = RpDaemon_Run(&agent.daemon);
    RpUdp_ReceivePending(agent.balancer_side);
    RpUdp_ReceivePending(agent.host_side);
    RpPlatform_Close(agent.platform);
    RpTimer_Free(agent.timer);
    RpUdp_Close(agent.balancer_side);
    RpUdp_Close(agent.host_side);
    RpUplink_Free(agent.uplink);
    RpAgent_Free(agent.flows);
    RpDaemon_Clear(&agent.daemon);
    return exit_code;
}
