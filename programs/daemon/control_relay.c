/* A control instance without a disk.
 *
 * It stores nothing, so it does not vote and sends no tables. It connects to
 * the replicas as a node does, learns their addresses, and redirects each HTTP
 * request of the operator to one of them.
 */
#include "control.h"
#include "rp_uplink.h"

struct relay {
    const struct control_settings *settings;
    struct rp_daemon daemon;
    struct rp_uplink *uplink;
    struct rp_platform *platform;
    size_t next; /* index of the replica to redirect to next */
};

static void
redirect(struct relay *relay, struct rp_platform_request *request)
{
    const struct rp_endpoints *controls = RpUplink_AdvertisedControls(
        relay->uplink);

    if (controls->count == 0) {
        RpCounters_Add(&relay->daemon.counters, RP_COUNT_CHANGE_NO_LEADER);
        RpPlatform_Answer(request, RP_ERR_NO_LEADER, NULL);
        return;
    }
    struct rp_endpoint to = controls->item[relay->next++ % controls->count];
    RpPlatform_Redirect(request, to.ip);
}

static void
on_edition_submitted(void *user, const struct rp_edition *edition,
                     struct rp_platform_request *request)
{
    (void)edition;
    redirect(user, request);
}

static void
on_edition_requested(void *user, struct rp_platform_request *request)
{
    redirect(user, request);
}

static void
on_unreadable(void *user, const char *message, const struct rp_error *error)
{
    struct relay *relay = user;
    gchar *pairs = g_strdup_printf("what=%s ", message);

    RpCounters_Add(&relay->daemon.counters, RP_COUNT_CHANGE_BAD_DOCUMENT);
    RpDaemon_LogFindings(&relay->daemon, RP_LOG_WARN, "edition_refused", pairs,
                         error);
    g_free(pairs);
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
}

static bool
open_platform(struct relay *relay)
{
    static const struct rp_platform_ops ops = {
        .edition_submitted = on_edition_submitted,
        .edition_requested = on_edition_requested,
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
    relay.uplink = RpUplink_Create(&relay.daemon, &settings->peers,
                                   &no_service, &uplink_ops, &relay);
    RpDaemon_WatchSettings(&relay.daemon, source, on_reload, &relay);
    if (!open_platform(&relay) ||
        !RpDaemon_OpenAdmin(&relay.daemon, &settings->common, &admin_ops,
                            &relay)) {
        return RP_EXIT_FAILED;
    }
    int exit_code = RpDaemon_Run(&relay.daemon);
    RpPlatform_Close(relay.platform);
    RpUplink_Free(relay.uplink);
    RpDaemon_Clear(&relay.daemon);
    return exit_code;
}
