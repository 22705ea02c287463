/* The balancer role: receives packets from the fabric, looks up the agent of
 * each in the table and forwards the packet to it. */
#include "balancer_egress.h"
#include "rp_balancer.h"
#include "rp_clock.h"
#include "rp_daemon.h"
#include "rp_link.h"
#include "rp_platform.h"
#include "rp_timer.h"
#include "rp_udp.h"
#include "rp_uplink.h"
#include "rp_waiting.h"

#define STOP_LINGER_MAX 300 /* seconds */
#define ZONE_WEIGHT_MAX 100
/* Log lines per second for each kind of decision on new flows. A balancer gets
 * about 80 new flows per second at peak load. */
#define FLOW_LINES_PER_SECOND 100

struct balancer_settings {
    struct rp_common_settings common;
    struct rp_endpoint listen;
    struct rp_endpoints controls;
    uint32_t linger_seconds;
    uint32_t control_port;
    uint32_t zone_weight;
    GString *packets;
    struct rp_endpoint fabric_ready; /* port 0: no readiness endpoint */
    struct rp_endpoint hint_listen;  /* port 0: takes no hints */
    double link_rate_mbit; /* of the outgoing link; 0: unknown, NAN: invalid */
    bool order_by_load;    /* of new flows' candidates */
    bool spill_by_load;    /* to other zones */
};

struct balancer {
    struct balancer_settings settings;
    struct rp_daemon daemon;
    struct rp_udp *udp;
    struct rp_udp *hint_side; /* from agents; NULL: takes no hints */
    struct rp_balancer_egress *egress;
    struct rp_owner_hints *hints;
    struct rp_load_view *loads; /* NULL: candidates have no order by load */
    struct rp_uplink *uplink;
    const struct rp_codec *codec;
    struct rp_platform *platform;
    struct rp_waiting *waiting;  /* packets that cannot be routed yet */
    struct rp_timer *wait_timer; /* drops those that wait too long */
    bool stopping;
};

static const struct rp_setting settings_table[] = {
    RP_COMMON_SETTINGS(balancer_settings, common),
    {.flag = "listen",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct balancer_settings, listen),
     .value = "ADDR:PORT",
     .help = "receive Geneve datagrams from the fabric on this address"},
    {.flag = "control",
     .kind = RP_SETTING_ENDPOINTS,
     .offset = offsetof(struct balancer_settings, controls),
     .value = "ADDR:PORT,…",
     .help = "addresses of the control instances"},
    {.flag = "stop-linger-seconds",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct balancer_settings, linger_seconds),
     .value = "N",
     .help = "keep forwarding for this time after a stop request",
     .fallback = "2",
     .max = STOP_LINGER_MAX},
    {.flag = "zone-weight",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct balancer_settings, zone_weight),
     .value = "N",
     .help = "multiply the weight of upstreams in this balancer's zone by N",
     .fallback = "1",
     .min = 1,
     .max = ZONE_WEIGHT_MAX},
    {.flag = "fabric-ready",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct balancer_settings, fabric_ready),
     .value = "ADDR:PORT",
     .help = "answer the fabric's readiness checks on this address",
     .optional = true},
    {.flag = "hint-listen",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct balancer_settings, hint_listen),
     .value = "ADDR:PORT",
     .help = "receive hints of agents about the owners of flows on this "
             "address; later packets go straight to the owner",
     .optional = true},
    {.flag = "link-rate",
     .kind = RP_SETTING_DECIMAL,
     .offset = offsetof(struct balancer_settings, link_rate_mbit),
     .value = "RATE",
     .help = "rate of this machine's outgoing link in Mbit/s: packets leave "
             "at this rate, in order of their urgency",
     .max = RP_LINK_MAX_MBPS,
     .optional = true},
    {.flag = "order-by-load",
     .kind = RP_SETTING_SWITCH,
     .offset = offsetof(struct balancer_settings, order_by_load),
     .help = "choose among a new flow's candidates by the loads that agents "
             "tell; needs --hint-listen"},
    {.flag = "spill-by-load",
     .kind = RP_SETTING_SWITCH,
     .offset = offsetof(struct balancer_settings, spill_by_load),
     .help = "send new flows to other zones by how busy the own one is; needs "
             "--order-by-load"},
    RP_PACKETS_SETTING(balancer_settings, packets),
    RP_CONTROL_PORT_SETTING(balancer_settings, control_port),
};

static void
count_and_log_drop(struct balancer *balancer, enum rp_counter reason,
                   struct rp_endpoint from)
{
    char text[RP_ENDPOINT_TEXT_MAX];

    RpCounters_Add(&balancer->daemon.counters, reason);
    RpLog_Event(balancer->daemon.log, RP_LOG_WARN, "packet_dropped",
                "reason=%s from=%s", RpCounter_Name(reason),
                RpEndpoint_Format(from, text));
}

static void
reset_caller(struct balancer *balancer, const struct rp_packet *packet,
             struct rp_endpoint from)
{
    const struct rp_codec_ops *ops = balancer->codec->ops;
    uint8_t header[RP_GENEVE_HEADROOM];
    uint8_t reset[RP_CODEC_SCRATCH];
    size_t len = ops->make_reset(packet, reset);
    size_t header_len = 0;

    if (ops->encapsulated) {
        header_len = RpGeneve_Write(header, ops->protocol, NULL, NULL);
    }
    else {
        /* A packet outside Geneve goes to the caller's own address. */
        from = (struct rp_endpoint){.ip = packet->key.src_ip,
                                    .port = balancer->settings.listen.port};
    }
    RpUdp_SendCopy(balancer->udp, from, header, header_len, reset, len);
}

/* Parses a datagram from the fabric. */
static bool
parse_datagram(const struct rp_codec_ops *ops, const uint8_t *data, size_t len,
               struct rp_packet *packet, enum rp_counter *reason)
{
    struct rp_geneve geneve;

    if (!ops->encapsulated) {
        return ops->parse(data, len, packet, reason);
    }
    return RpGeneve_Parse(data, len, ops->protocol, &geneve, reason) &&
           ops->parse(geneve.inner, geneve.inner_len, packet, reason);
}

/* Logs the route of a new flow and the table that it is based on. */
static void
log_route(struct balancer *balancer, const struct rp_packet *packet,
          const struct rp_route *route)
{
    const struct rp_table *table = RpUplink_Table(balancer->uplink);
    char caller[RP_ENDPOINT_TEXT_MAX];
    char address[RP_ENDPOINT_TEXT_MAX];
    char next[RP_ENDPOINT_TEXT_MAX];

    RpEndpoint_Format(RpFlowKey_Source(packet->key), caller);
    RpEndpoint_Format(RpFlowKey_Destination(packet->key), address);
    RpEndpoint_Format(route->chain.hop[0], next);
    RpLog_Event(balancer->daemon.log, RP_LOG_INFO,
                route->kind == RP_ROUTE_SEND   ? "flow_routed"
                : route->kind == RP_ROUTE_WAIT ? "flow_waits"
                                               : "flow_unrouted",
                "flow=%s>%s reason=%s copy=%u service=%u next=%s "
                "candidates=%u revision=%" G_GUINT64_FORMAT " gathering=%d",
                caller, address, RpCounter_Name(route->reason),
                packet->syn_retransmits, route->tag.service_id,
                route->chain.count ? next : "none", route->chain.count,
                RpTable_Revision(table), RpTable_MayLackMembers(table));
}

static void
add_to_counter(struct balancer *balancer, enum rp_counter counter,
               size_t count)
{
    balancer->daemon.counters.value[counter] += count;
}

/* Drops the packets that have waited too long for a table. */
static void
expire_waiting(void *user)
{
    struct balancer *balancer = user;
    size_t expired = RpWaiting_Expire(balancer->waiting, RpClock_Now());

    add_to_counter(balancer, RP_COUNT_DROP_WAITED_TOO_LONG, expired);
    if (expired > 0) {
        RpLog_Event(balancer->daemon.log, RP_LOG_WARN, "waiting_expired",
                    "packets=%zu waiting=%zu", expired,
                    RpWaiting_Count(balancer->waiting));
    }
    if (RpWaiting_Count(balancer->waiting) > 0) {
        RpTimer_RunBy(balancer->wait_timer,
                      RpClock_Now() + RP_WAITING_LIFETIME_US);
    }
}

static void
keep_waiting(struct balancer *balancer, const struct rp_packet *packet,
             struct rp_endpoint from)
{
    int64_t now = RpClock_Now();
    size_t dropped = RpWaiting_Put(balancer->waiting, now, packet, from);

    RpCounters_Add(&balancer->daemon.counters, RP_COUNT_PACKET_WAITED);
    add_to_counter(balancer, RP_COUNT_DROP_WAITING_FULL, dropped);
    RpTimer_RunBy(balancer->wait_timer, now + RP_WAITING_LIFETIME_US);
}

/* Routes a packet. `waited` says that it comes from the queue: it does not
 * stay valid until the end of a batch of received packets. Returns false if it
 * has no route but the next table may have one. */
static bool
route_packet(struct balancer *balancer, const struct rp_packet *packet,
             struct rp_endpoint from, bool waited)
{
    const struct rp_codec_ops *ops = balancer->codec->ops;
    uint8_t header[RP_GENEVE_HEADROOM];
    struct rp_route route;

    const struct rp_table *table = RpUplink_Table(balancer->uplink);
    const struct rp_load_order order = {
        .view = balancer->loads,
        .now = RpClock_Now(),
        .spill = balancer->settings.spill_by_load};
    RpBalancer_RouteByLoad(table, balancer->loads ? &order : NULL, packet,
                           &route);
    if (balancer->hint_side) {
        RpBalancer_PreferOwner(table, balancer->hints, order.now, packet,
                               &route);
        if (!RpPacket_Opens(packet) || balancer->loads) {
            route.chain.origin = balancer->settings.hint_listen;
        }
    }
    /* A SYN that waited for a table may have been repeated elsewhere. */
    if (RpPacket_Opens(packet) && ops->numbers_copies && !waited &&
        route.kind == RP_ROUTE_SEND &&
        !RpBalancerEgress_Takes(balancer->egress, table, packet)) {
        route.kind = RP_ROUTE_RESET;
        route.reason = RP_COUNT_RESET_LINK_FULL;
    }
    else if (RpPacket_Opens(packet) && balancer->loads) {
        RpBalancer_NoteChoice(balancer->hints, order.now, packet, &route);
    }
    if (RpPacket_Opens(packet) && (!waited || route.kind == RP_ROUTE_SEND)) {
        log_route(balancer, packet, &route);
    }
    if (route.kind == RP_ROUTE_WAIT) {
        return false;
    }
    RpCounters_Add(&balancer->daemon.counters, route.reason);
    if (route.kind == RP_ROUTE_DROP) {
        return true;
    }
    if (route.kind == RP_ROUTE_RESET) {
        reset_caller(balancer, packet, from);
        return true;
    }
    route.chain.visited = 1;
    size_t header_len = RpGeneve_Write(header, ops->protocol, &route.tag,
                                       &route.chain);
    RpBalancerEgress_Send(balancer->egress, table, packet, route.chain.hop[0],
                          header, header_len, !waited);
    return true;
}

static void
on_datagram(void *user, uint8_t *data, size_t len, struct rp_endpoint from)
{
    struct balancer *balancer = user;
    struct rp_packet packet;
    enum rp_counter reason;

    if (!parse_datagram(balancer->codec->ops, data, len, &packet, &reason)) {
        count_and_log_drop(balancer, reason, from);
        return;
    }
    if (!route_packet(balancer, &packet, from, false)) {
        keep_waiting(balancer, &packet, from);
    }
}

/* Routes the packets that wait, with a table that has just changed. Those that
 * still have no route go on waiting until their deadline. */
static void
route_waiting(void *user)
{
    struct balancer *balancer = user;

    expire_waiting(balancer);
    size_t count = RpWaiting_Count(balancer->waiting);
    while (count-- > 0) {
        struct rp_waiting_packet *waiting = RpWaiting_Take(balancer->waiting);
        struct rp_packet packet;
        enum rp_counter reason;
        if (!balancer->codec->ops->parse(waiting->data, waiting->len, &packet,
                                         &reason)) {
            count_and_log_drop(balancer, reason, waiting->from);
            g_free(waiting);
        }
        else if (route_packet(balancer, &packet, waiting->from, true)) {
            g_free(waiting);
        }
        else {
            RpWaiting_Return(balancer->waiting, waiting);
        }
    }
}

static void
store_load(struct balancer *balancer, const struct rp_load_note *load,
           struct rp_endpoint from)
{
    bool stored = balancer->loads &&
                  RpLoadView_Put(balancer->loads, RpClock_Now(), from, load);

    RpCounters_Add(&balancer->daemon.counters,
                   stored ? RP_COUNT_LOAD_NOTE_STORED
                          : RP_COUNT_LOAD_NOTE_DROPPED);
}

static void
on_hint(void *user, uint8_t *data, size_t len, struct rp_endpoint from)
{
    struct balancer *balancer = user;
    struct rp_geneve geneve;
    enum rp_counter reason = RP_COUNT_DROP_WRONG_SIDE;

    if (!RpGeneve_Parse(data, len, balancer->codec->ops->protocol, &geneve,
                        &reason) ||
        (!geneve.has_hint && !geneve.has_load)) {
        count_and_log_drop(balancer, reason, from);
        return;
    }
    if (geneve.has_load) {
        store_load(balancer, &geneve.load, from);
        return;
    }
    RpCounters_Add(&balancer->daemon.counters, RP_COUNT_HINT_STORED);
    RpOwnerHints_Put(
        balancer->hints, RpClock_Now(),
        RpTable_HashFlow(RpUplink_Table(balancer->uplink), geneve.hint.flow),
        &geneve.hint, from);
}

static void
ignore_uplink_event(void *user)
{
    (void)user;
}

static const struct rp_uplink_ops uplink_ops = {
    .connected = ignore_uplink_event, .table_changed = route_waiting};

static bool
is_healthy(void *user, GString *why)
{
    const struct balancer *balancer = user;

    if (balancer->stopping) {
        g_string_append(why, "stopping");
        return false;
    }
    if (RpTable_Revision(RpUplink_Table(balancer->uplink)) == 0) {
        g_string_append(why, "no table received yet");
        return false;
    }
    g_string_append(why, "ok");
    return true;
}

static void
write_gauges(void *user, GString *out)
{
    const struct balancer *balancer = user;
    const struct rp_table *table = RpUplink_Table(balancer->uplink);

    g_string_append_printf(
        out,
        "revision %" G_GUINT64_FORMAT "\n"
        "services %zu\ncontrol_connected %d\n"
        "zones_evacuated %u\n",
        RpTable_Revision(table), RpTable_CountServices(table),
        RpUplink_IsConnected(balancer->uplink), RpTable_Evacuated(table)->len);
    RpBalancerEgress_WriteGauges(balancer->egress, out);
    if (balancer->loads) {
        g_string_append_printf(out, "loads_told %zu\n",
                               RpLoadView_Count(balancer->loads));
    }
}

/* Returns whether the fabric may send packets here: not before control has
 * sent the first table, and not while stopping, so that the fabric moves its
 * traffic first. */
static bool
is_ready(void *user)
{
    const struct balancer *balancer = user;

    return !balancer->stopping &&
           RpTable_Revision(RpUplink_Table(balancer->uplink)) > 0;
}

static void
on_reload(void *user, const void *settings)
{
    struct balancer *balancer = user;
    struct balancer_settings updated = *(
        const struct balancer_settings *)settings;

    RpDaemon_SetPorts(&updated.controls, updated.control_port);
    RpUplink_SetControls(balancer->uplink, &updated.controls);
    RpBalancerEgress_SetRate(balancer->egress, updated.link_rate_mbit);
    RpDaemon_DescribeSettings(&balancer->daemon, &updated.controls, "");
}

static bool
open_platform(struct balancer *balancer)
{
    static const struct rp_platform_ops ops = {.ready = is_ready};
    struct rp_error error;

    if (balancer->settings.fabric_ready.port == 0) {
        return true;
    }
    RpError_Init(&error);
    balancer->platform = RpPlatform_Open(
        balancer->settings.fabric_ready, RP_PLATFORM_REPORT_MAX,
        &balancer->daemon.net, &ops, balancer, &error);
    RpDaemon_PrintFindings(&error);
    RpError_Clear(&error);
    return balancer->platform != NULL;
}

static const struct rp_admin_ops admin_ops = {.healthy = is_healthy,
                                              .gauges = write_gauges};

static gboolean
on_linger_end(gpointer data)
{
    struct balancer *balancer = data;

    RpDaemon_Quit(&balancer->daemon, RP_EXIT_OK);
    return G_SOURCE_REMOVE;
}

/* Handles a stop request. From now on /healthz and the fabric's readiness
 * checks fail. Packets are still forwarded until the fabric has had time to
 * send its traffic elsewhere. */
static void
on_stop(void *user)
{
    struct balancer *balancer = user;

    balancer->stopping = true;
    g_timeout_add_seconds(balancer->settings.linger_seconds, on_linger_end,
                          balancer);
}

static bool
open_sockets(struct balancer *balancer)
{
    struct rp_error error;
    bool takes_hints = balancer->settings.hint_listen.port != 0;

    RpError_Init(&error);
    balancer->udp = RpUdp_Open(balancer->settings.listen, on_datagram,
                               balancer, &balancer->daemon.counters, &error);
    if (takes_hints) {
        balancer->hint_side = RpUdp_Open(balancer->settings.hint_listen,
                                         on_hint, balancer,
                                         &balancer->daemon.counters, &error);
    }
    RpDaemon_PrintFindings(&error);
    RpError_Clear(&error);
    return balancer->udp && (!takes_hints || balancer->hint_side);
}

/* Prints what is missing for choosing by load. */
static bool
check_load_settings(const struct balancer_settings *settings)
{
    if (settings->order_by_load && settings->hint_listen.port == 0) {
        fprintf(stderr, "--order-by-load: needs --hint-listen\n");
        return false;
    }
    if (settings->spill_by_load && !settings->order_by_load) {
        fprintf(stderr, "--spill-by-load: needs --order-by-load\n");
        return false;
    }
    return true;
}

int
RpBalancer_Main(int argc, char **argv)
{
    static struct balancer balancer;
    const struct rp_name all_services = {0};
    struct rp_daemon *daemon = &balancer.daemon;
    int exit_code;

    if (!RpDaemon_ReadSettings(settings_table, G_N_ELEMENTS(settings_table),
                               "radishportd balancer",
                               "Receives callers' packets from the fabric and "
                               "forwards each to an agent of its service.",
                               argc, argv, &balancer.settings, &exit_code)) {
        return exit_code;
    }
    const struct rp_settings_source source = {
        .table = settings_table,
        .count = G_N_ELEMENTS(settings_table),
        .size = sizeof balancer.settings,
        .argc = argc,
        .argv = argv};
    balancer.codec = RpDaemon_FindCodec(balancer.settings.packets);
    if (!balancer.codec) {
        return RP_EXIT_SETTINGS;
    }
    if (!check_load_settings(&balancer.settings)) {
        return RP_EXIT_SETTINGS;
    }
    RpDaemon_SetPorts(&balancer.settings.controls,
                      balancer.settings.control_port);
    if (!RpDaemon_Start(daemon, RP_ROLE_BALANCER, &balancer.settings.common,
                        on_stop, &balancer)) {
        return daemon->exit_code;
    }
    RpDaemon_DescribeSettings(daemon, &balancer.settings.controls, "");
    RpLog_SetBudget(daemon->log, "flow_routed", FLOW_LINES_PER_SECOND);
    RpLog_SetBudget(daemon->log, "flow_unrouted", FLOW_LINES_PER_SECOND);
    RpLog_SetBudget(daemon->log, "flow_waits", FLOW_LINES_PER_SECOND);
    balancer.waiting = RpWaiting_Create();
    balancer.hints = RpOwnerHints_Create();
    if (balancer.settings.order_by_load) {
        balancer.loads = RpLoadView_Create();
    }
    balancer.wait_timer = RpTimer_Create(expire_waiting, &balancer);
    balancer.uplink = RpUplink_Create(daemon, (struct rp_endpoint){0},
                                      &balancer.settings.controls,
                                      &all_services, &uplink_ops, &balancer);
    RpUplink_PreferZone(balancer.uplink, &balancer.settings.common.zone,
                        balancer.settings.zone_weight);
    RpDaemon_WatchSettings(daemon, &source, on_reload, &balancer);
    if (!open_sockets(&balancer) || !open_platform(&balancer) ||
        !RpDaemon_OpenAdmin(daemon, &balancer.settings.common, &admin_ops,
                            &balancer)) {
        return RP_EXIT_FAILED;
    }
    balancer.egress = RpBalancerEgress_Create(daemon, balancer.udp);
    RpBalancerEgress_SetRate(balancer.egress,
                             balancer.settings.link_rate_mbit);
    exit_code = RpDaemon_Run(daemon);
    RpUdp_ReceivePending(balancer.udp);
    RpPlatform_Close(balancer.platform);
    RpBalancerEgress_Free(balancer.egress);
    RpUdp_Close(balancer.udp);
    RpUdp_Close(balancer.hint_side);
    RpUplink_Free(balancer.uplink);
    RpTimer_Free(balancer.wait_timer);
    RpWaiting_Free(balancer.waiting);
    RpOwnerHints_Free(balancer.hints);
    RpLoadView_Free(balancer.loads);
    RpDaemon_Clear(daemon);
    return exit_code;
}
