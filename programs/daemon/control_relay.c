/* A control instance without a disk.
 *
 * It stores nothing, so it does not vote and sends no tables. It connects to
 * the replicas as a node does, learns who leads, and redirects each HTTP
 * request of the operator to the leader. It tells nodes and replicas that
 * connect to it where the replicas are.
 */
#include "control_relay.h"

#include "control.h"

struct relay {
    const struct control_settings *settings;
    struct rp_daemon daemon;
    struct rp_uplink *uplink;
    struct rp_relay_nodes *nodes;
    struct rp_platform *platform;
};

/* Logs the answer to a call. `to` is the address that it is redirected to, or
 * NULL. */
static void
log_answer(const struct relay *relay, const struct control_call *call,
           const char *result, const struct rp_endpoint *to)
{
    char text[RP_ENDPOINT_TEXT_MAX];
    gchar *pairs = g_strdup_printf("role=relay connected=%d to=%s",
                                   RpUplink_IsConnected(relay->uplink),
                                   to ? RpEndpoint_Format(*to, text) : "none");

    RpControlCall_LogAnswer(&relay->daemon, call, call->version, result,
                            pairs);
    g_free(pairs);
}

static void
redirect(struct relay *relay, struct rp_platform_request *request,
         const struct control_call *call)
{
    struct rp_referral_view view = {.self_ip = relay->settings->listen.ip};

    RpUplink_FillReferralView(relay->uplink, &view);
    struct rp_referral referral = RpReferral_Choose(&view);
    if (referral.ip != 0) {
        const struct rp_endpoint target = RpPlatform_RedirectTarget(
            request, referral.ip);
        RpCounters_Add(&relay->daemon.counters, RP_COUNT_EDITION_REDIRECTED);
        log_answer(relay, call, "redirected", &target);
        RpPlatform_Redirect(request, referral.ip);
        return;
    }
    bool connected = referral.kind != RP_REFERRAL_NOT_CONNECTED;
    RpCounters_Add(&relay->daemon.counters,
                   connected ? RP_COUNT_CHANGE_NO_LEADER
                             : RP_COUNT_CHANGE_NOT_CONNECTED);
    log_answer(relay, call, connected ? "no_leader" : "not_connected", NULL);
    RpPlatform_Answer(request, RP_ERR_NO_LEADER, NULL);
}

static void
on_edition_submitted(void *user, const struct rp_edition *edition,
                     struct rp_platform_request *request)
{
    const struct control_call call = RpControlCall_Begin(
        true, edition->version, RpPlatform_Sender(request));

    redirect(user, request, &call);
}

static void
on_edition_requested(void *user, struct rp_platform_request *request)
{
    const struct control_call call = RpControlCall_Begin(
        false, 0, RpPlatform_Sender(request));

    redirect(user, request, &call);
}

static void
on_zone_ordered(void *user, const struct rp_name *zone, bool evacuate,
                struct rp_platform_request *request)
{
    const struct control_call call = RpControlCall_BeginOrder(
        zone, evacuate, RpPlatform_Sender(request));

    redirect(user, request, &call);
}

static void
on_unreadable(void *user, const char *message, struct rp_endpoint sender,
              const struct rp_error *error)
{
    struct relay *relay = user;

    RpControlCall_RefuseUnreadable(&relay->daemon, message, sender, error,
                                   "role=relay");
}

static void
ignore_uplink_event(void *user)
{
    (void)user;
}

static bool
is_healthy(void *user, GString *why)
{
    const struct relay *relay = user;
    bool connected = RpUplink_IsConnected(relay->uplink);

    g_string_append(why, connected ? "ok, without a disk"
                                   : "not connected to any replica");
    return connected;
}

static void
write_gauges(void *user, GString *out)
{
    const struct relay *relay = user;

    g_string_append_printf(out, "control_connected %d\n",
                           RpUplink_IsConnected(relay->uplink));
}

static void
on_stop(void *user)
{
    struct relay *relay = user;

    RpDaemon_Quit(&relay->daemon, RP_EXIT_OK);
}

static void
on_reload(void *user, const void *settings)
{
    struct relay *relay = user;
    struct control_settings updated = *(
        const struct control_settings *)settings;

    RpDaemon_SetPorts(&updated.peers, updated.control_port);
    RpUplink_SetControls(relay->uplink, &updated.peers);
    RpControl_DescribeSettings(&relay->daemon, &updated);
}

static bool
open_platform(struct relay *relay)
{
    static const struct rp_platform_ops ops = {
        .edition_submitted = on_edition_submitted,
        .edition_requested = on_edition_requested,
        .zone_ordered = on_zone_ordered,
        .unreadable = on_unreadable};
    struct rp_error error;

    if (relay->settings->operator_http.port == 0) {
        return true;
    }
    RpError_Init(&error);
    relay->platform = RpPlatform_Open(relay->settings->operator_http,
                                      RpControl_EditionMax(relay->settings),
                                      &relay->daemon.net, &ops, relay, &error);
    RpDaemon_PrintFindings(&error);
    RpError_Clear(&error);
    return relay->platform != NULL;
}

int
RpControlRelay_Run(const struct control_settings *settings,
                   const struct rp_settings_source *source)
{
    static const struct rp_uplink_ops uplink_ops = {
        .connected = ignore_uplink_event,
        .table_changed = ignore_uplink_event};
    static const struct rp_admin_ops admin_ops = {.healthy = is_healthy,
                                                  .gauges = write_gauges};
    static struct relay relay;
    struct rp_common_settings common = settings->common;
    struct rp_name no_service;
    gchar *name = g_strdup_printf("%s-relay", common.name.data);

    relay.settings = settings;
    /* Nodes are identified by their names, and a balancer on the same machine
     * may already use this instance's name. */
    RpName_Set(&common.name, RpStr_FromC(name));
    g_free(name);
    /* No service can have this name, so the tables that arrive are empty. */
    RpName_Set(&no_service, RP_STR("-"));
    if (!RpDaemon_Start(&relay.daemon, RP_ROLE_BALANCER, &common, on_stop,
                        &relay)) {
        return relay.daemon.exit_code;
    }
    RpControl_DescribeSettings(&relay.daemon, settings);
    relay.uplink = RpUplink_Create(&relay.daemon, settings->listen,
                                   &settings->peers, &no_service, &uplink_ops,
                                   &relay);
    RpDaemon_WatchSettings(&relay.daemon, source, on_reload, &relay);
    relay.nodes = RpRelayNodes_Open(&relay.daemon, settings->listen,
                                    relay.uplink);
    if (!relay.nodes || !open_platform(&relay) ||
        !RpDaemon_OpenAdmin(&relay.daemon, &settings->common, &admin_ops,
                            &relay)) {
        return RP_EXIT_FAILED;
    }
    int exit_code = RpDaemon_Run(&relay.daemon);
    RpPlatform_Close(relay.platform);
    RpRelayNodes_Close(relay.nodes);
    RpUplink_Free(relay.uplink);
    RpDaemon_Clear(&relay.daemon);
    return exit_code;
}
