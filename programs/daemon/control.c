/* The control role: keeps the configuration, gathers announcements and
 * hands tables to nodes. */
#include <sodium.h>

#include "control_store.h"
#include "rp_daemon.h"
#include "rp_journal.h"
#include "rp_status.h"

#define TICK_MS 25
#define MAX_CONNECTIONS 30000
#define LISTEN_BACKLOG 1024

struct control_settings {
    struct rp_common_settings common;
    struct rp_endpoint listen;
    GString *data;
    bool check_data;
};

struct control {
    struct control_settings settings;
    struct rp_daemon daemon;
    struct rp_control_store *store;
    struct rp_registry *registry;
    struct rp_distribution *distribution;
    GSocketService *listener;
    GHashTable *peers; /* connection number -> struct peer */
};

/* One connection and who is at its other end. */
struct peer {
    struct control *control;
    struct rp_conn *conn;
    struct rp_msg_hello hello;
};

static const struct rp_setting settings_table[] = {
    RP_COMMON_SETTINGS(control_settings, common),
    {.flag = "listen",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct control_settings, listen),
     .value = "ADDR:PORT",
     .help = "serve nodes and operators here"},
    {.flag = "data",
     .kind = RP_SETTING_TEXT,
     .offset = offsetof(struct control_settings, data),
     .value = "FOLDER",
     .help = "keep the durable state here"},
    {.flag = "check-data",
     .kind = RP_SETTING_SWITCH,
     .offset = offsetof(struct control_settings, check_data),
     .help = "check the data folder, print what was found and exit"},
};

static const struct rp_catalog *
catalog_of(const struct control *control)
{
    return RpControlStore_Catalog(control->store);
}

/* The disk failed: what was acknowledged is safe, nothing new would be. */
static void
give_up(struct control *control, struct rp_error *error)
{
    RpDaemon_PrintFindings(error);
    RpLog_Event(control->daemon.log, RP_LOG_ERROR, "storage_failed", "%s", "");
    RpDaemon_Quit(&control->daemon, RP_EXIT_FAILED);
}

static void
send_table(void *user, uint64_t connection, const struct rp_msg *msg)
{
    struct control *control = user;
    const struct peer *peer = g_hash_table_lookup(control->peers, &connection);

    if (peer) {
        RpCounters_Add(&control->daemon.counters, RP_COUNT_TABLE_SENT);
        RpConn_Send(peer->conn, msg);
    }
}

static enum rp_counter
counter_for(const struct rp_msg_change_reply *reply)
{
    if (reply->repeated) {
        return RP_COUNT_CHANGE_REPEATED;
    }
    switch (reply->code) {
    case RP_OK:
        return RP_COUNT_CHANGE_APPLIED;
    case RP_ERR_CONFLICT:
        return RP_COUNT_CHANGE_CONFLICT;
    case RP_ERR_NOT_FOUND:
        return RP_COUNT_CHANGE_NOT_FOUND;
    default:
        return RP_COUNT_CHANGE_BAD_DOCUMENT;
    }
}

static void
publish_change(struct control *control, const struct rp_msg_change *change,
               uint32_t old_id, const struct rp_msg_change_reply *reply)
{
    int64_t now = g_get_monotonic_time();

    RpCounters_Add(&control->daemon.counters, counter_for(reply));
    RpLog_Event(control->daemon.log, RP_LOG_INFO, "change_decided",
                "service=%s kind=%s result=%s revision=%" G_GUINT64_FORMAT
                " repeated=%d",
                reply->service.len ? reply->service.data : "unknown",
                change->kind == RP_CHANGE_DELETE ? "delete" : "apply",
                RpCode_Name((enum rp_code)reply->code), reply->revision,
                reply->repeated);
    if (reply->code != RP_OK || reply->repeated) {
        return;
    }
    if (change->kind == RP_CHANGE_DELETE) {
        RpDistribution_Remove(control->distribution, now, &reply->service,
                              old_id);
    }
    else {
        RpDistribution_Touch(control->distribution, now, &reply->service);
    }
}

static void
on_change(struct control *control, struct peer *peer,
          const struct rp_msg_change *change)
{
    struct rp_msg reply = {.type = RP_MSG_CHANGE_REPLY};
    const struct rp_entry *old = RpCatalog_Find(catalog_of(control),
                                                &change->service);
    uint32_t old_id = old ? old->id : 0;
    GString *command = RpCatalog_EncodeChange(change);
    struct rp_error error;

    RpError_Init(&error);
    enum rp_code code = RpControlStore_Commit(control->store, command,
                                              &reply.change_reply, &error);
    if (code == RP_OK) {
        publish_change(control, change, old_id, &reply.change_reply);
        RpConn_Send(peer->conn, &reply);
    }
    else {
        give_up(control, &error);
    }
    RpMsg_Clear(&reply);
    g_string_free(command, TRUE);
    RpError_Clear(&error);
}

static void
on_announce(struct control *control, const struct rp_msg_announce *announce)
{
    int64_t now = g_get_monotonic_time();
    struct rp_counters *counters = &control->daemon.counters;
    const struct rp_upstream *known = RpRegistry_Find(control->registry,
                                                      &announce->upstream);
    struct rp_name old_service = {0};

    if (known) {
        old_service = known->last.service;
    }
    switch (RpRegistry_Merge(control->registry, now, announce)) {
    case RP_REGISTRY_STALE:
    case RP_REGISTRY_REFUSED:
        RpCounters_Add(counters, RP_COUNT_ANNOUNCE_STALE);
        break;
    case RP_REGISTRY_CHANGED:
        RpLog_Event(
            control->daemon.log, RP_LOG_INFO, "upstream_announced",
            "upstream=%s service=%s state=%s slots=%u",
            announce->upstream.data, announce->service.data,
            RpUpstreamState_Name((enum rp_upstream_state)announce->state),
            announce->slots);
        RpDistribution_Touch(control->distribution, now, &announce->service);
        if (old_service.len) {
            RpDistribution_Touch(control->distribution, now, &old_service);
        }
        RpCounters_Add(counters, RP_COUNT_ANNOUNCE_ACCEPTED);
        break;
    case RP_REGISTRY_RENEWED:
        RpCounters_Add(counters, RP_COUNT_ANNOUNCE_ACCEPTED);
        break;
    }
}

static GArray *
list_replicas(const struct control *control)
{
    GArray *rows = RpSchema_NewList(&rp_msg_replica_info_schema);
    struct rp_msg_replica_info row = {
        .name = control->settings.common.name,
        .committed = RpCatalog_Revision(catalog_of(control))};

    RpName_Set(&row.role, RP_STR("leader"));
    g_array_append_val(rows, row);
    return rows;
}

static void
on_query(struct control *control, struct peer *peer,
         const struct rp_msg_query *query)
{
    struct rp_msg msg = {0};

    switch (query->kind) {
    case RP_QUERY_SERVICES:
        RpStatus_Services(catalog_of(control), control->registry, &msg);
        break;
    case RP_QUERY_DOCUMENT:
        RpStatus_Document(catalog_of(control), &query->service, &msg);
        break;
    default:
        RpStatus_Status(catalog_of(control), control->registry,
                        control->distribution, g_get_monotonic_time(),
                        &query->service, &msg);
        g_array_free(msg.status.replicas, TRUE);
        msg.status.replicas = list_replicas(control);
    }
    RpConn_Send(peer->conn, &msg);
    RpMsg_Clear(&msg);
}

/* Whether a peer of this role may send this message. */
static bool
is_allowed(uint8_t role, enum rp_msg_type type)
{
    switch (type) {
    case RP_MSG_CHANGE:
    case RP_MSG_QUERY:
        return role == RP_ROLE_OPERATOR;
    case RP_MSG_ANNOUNCE:
        return role == RP_ROLE_AGENT;
    case RP_MSG_SUBSCRIBE:
    case RP_MSG_CONFIRM:
        return role == RP_ROLE_AGENT || role == RP_ROLE_BALANCER;
    default:
        return false;
    }
}

static void
on_message(void *user, struct rp_conn *conn, struct rp_msg *msg)
{
    struct peer *peer = user;
    struct control *control = peer->control;
    int64_t now = g_get_monotonic_time();

    if (!is_allowed(peer->hello.role, msg->type)) {
        RpCounters_Add(&control->daemon.counters, RP_COUNT_FRAME_UNEXPECTED);
        RpLog_Event(control->daemon.log, RP_LOG_WARN, "message_refused",
                    "peer=%s role=%s type=%s", peer->hello.name.data,
                    RpRole_Name((enum rp_role)peer->hello.role),
                    RpMsg_Name(msg->type));
        RpConn_Close(conn);
        return;
    }
    switch (msg->type) {
    case RP_MSG_CHANGE:
        on_change(control, peer, &msg->change);
        break;
    case RP_MSG_QUERY:
        on_query(control, peer, &msg->query);
        break;
    case RP_MSG_ANNOUNCE:
        on_announce(control, &msg->announce);
        break;
    case RP_MSG_SUBSCRIBE:
        RpDistribution_Subscribe(control->distribution, now,
                                 RpConn_Number(conn), &peer->hello,
                                 &msg->subscribe);
        break;
    default:
        RpDistribution_Confirm(control->distribution, now, RpConn_Number(conn),
                               msg->confirm.revision);
    }
}

static void
on_ready(void *user, struct rp_conn *conn, const struct rp_msg_hello *hello)
{
    struct peer *peer = user;

    (void)conn;
    peer->hello = *hello;
    RpLog_Event(peer->control->daemon.log, RP_LOG_DEBUG, "peer_connected",
                "peer=%s role=%s", hello->name.data,
                RpRole_Name((enum rp_role)hello->role));
}

static void
on_closed(void *user, struct rp_conn *conn)
{
    struct peer *peer = user;
    struct control *control = peer->control;
    uint64_t number = RpConn_Number(conn);

    RpDistribution_Disconnect(control->distribution, g_get_monotonic_time(),
                              number);
    g_hash_table_remove(control->peers, &number);
}

static const struct rp_conn_ops conn_ops = {
    .ready = on_ready, .message = on_message, .closed = on_closed};

static gboolean
on_incoming(GSocketService *service, GSocketConnection *stream,
            GObject *source, gpointer data)
{
    struct control *control = data;

    (void)service;
    (void)source;
    if (g_hash_table_size(control->peers) >= MAX_CONNECTIONS) {
        RpCounters_Add(&control->daemon.counters, RP_COUNT_PEER_LIMIT);
        return TRUE;
    }
    struct peer *peer = g_new0(struct peer, 1);
    peer->control = control;
    peer->conn = RpConn_Accept(&control->daemon.context, stream, &conn_ops,
                               peer);
    guint64 number = RpConn_Number(peer->conn);
    g_hash_table_insert(control->peers, g_memdup2(&number, sizeof number),
                        peer);
    return TRUE;
}

static gboolean
on_tick(gpointer data)
{
    struct control *control = data;
    int64_t now = g_get_monotonic_time();
    struct rp_name service;

    while (RpRegistry_Expire(control->registry, now, &service)) {
        RpCounters_Add(&control->daemon.counters, RP_COUNT_LEASE_EXPIRED);
        RpLog_Event(control->daemon.log, RP_LOG_WARN, "upstream_lease_over",
                    "service=%s", service.data);
        RpDistribution_Touch(control->distribution, now, &service);
    }
    RpDistribution_Flush(control->distribution, now);
    return G_SOURCE_CONTINUE;
}

static bool
is_healthy(void *user, GString *why)
{
    (void)user;
    g_string_append(why, "ok");
    return true;
}

static void
write_gauges(void *user, GString *out)
{
    const struct control *control = user;

    g_string_append_printf(
        out,
        "revision %" G_GUINT64_FORMAT "\nlowest_confirmed %" G_GUINT64_FORMAT
        "\nconnections %u\n",
        RpCatalog_Revision(catalog_of(control)),
        RpDistribution_LowestConfirmed(control->distribution),
        g_hash_table_size(control->peers));
}

static const struct rp_admin_ops admin_ops = {.healthy = is_healthy,
                                              .gauges = write_gauges};

static void
on_stop(void *user)
{
    struct control *control = user;

    RpDaemon_Quit(&control->daemon, RP_EXIT_OK);
}

static bool
open_listener(struct control *control)
{
    char ip[RP_ENDPOINT_TEXT_MAX];
    GError *failure = NULL;
    GSocketAddress *address = g_inet_socket_address_new_from_string(
        RpIp_Format(control->settings.listen.ip, ip),
        control->settings.listen.port);

    control->listener = g_socket_service_new();
    g_socket_listener_set_backlog(G_SOCKET_LISTENER(control->listener),
                                  LISTEN_BACKLOG);
    gboolean good = g_socket_listener_add_address(
        G_SOCKET_LISTENER(control->listener), address, G_SOCKET_TYPE_STREAM,
        G_SOCKET_PROTOCOL_TCP, NULL, NULL, &failure);
    g_object_unref(address);
    if (!good) {
        fprintf(stderr, "--listen: %s\n", failure->message);
        g_error_free(failure);
        return false;
    }
    g_signal_connect(control->listener, "incoming", G_CALLBACK(on_incoming),
                     control);
    return true;
}

/* A new system gets its hash key as the first command. */
static enum rp_code
initialise(struct control *control, struct rp_error *error)
{
    uint8_t hash_key[RP_HASH_KEY_SIZE];

    if (RpCatalog_IsInitialised(catalog_of(control))) {
        return RP_OK;
    }
    randombytes_buf(hash_key, sizeof hash_key);
    GString *command = RpCatalog_EncodeInit(hash_key);
    enum rp_code code = RpControlStore_Commit(control->store, command, NULL,
                                              error);
    g_string_free(command, TRUE);
    return code;
}

static bool
open_store(struct control *control)
{
    struct rp_error error;

    RpError_Init(&error);
    control->store = RpControlStore_Open(control->settings.data->str, &error);
    bool good = control->store && initialise(control, &error) == RP_OK;
    RpDaemon_PrintFindings(&error);
    RpError_Clear(&error);
    return good;
}

static int
check_data(const struct control_settings *settings)
{
    struct rp_journal_report report;
    struct rp_error error;

    RpError_Init(&error);
    enum rp_code code = RpJournal_Check(settings->data->str, &report, &error);
    printf("records=%" G_GUINT64_FORMAT " bytes=%" G_GUINT64_FORMAT
           " torn_bytes=%" G_GUINT64_FORMAT " result=%s\n",
           report.records, report.bytes, report.torn_bytes, RpCode_Name(code));
    RpDaemon_PrintFindings(&error);
    RpError_Clear(&error);
    return code == RP_OK ? RP_EXIT_OK : RP_EXIT_FAILED;
}

static bool
start(struct control *control)
{
    if (!open_store(control)) {
        return false;
    }
    control->registry = RpRegistry_Create();
    control->distribution = RpDistribution_Create(
        catalog_of(control), control->registry, send_table, control);
    RpDistribution_SetFresh(control->distribution, g_get_monotonic_time(),
                            true);
    control->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                           g_free);
    g_timeout_add(TICK_MS, on_tick, control);
    return open_listener(control) &&
           RpDaemon_OpenAdmin(&control->daemon, &control->settings.common,
                              &admin_ops, control);
}

int
RpControl_Main(int argc, char **argv)
{
    static struct control control;
    int exit_code;

    if (!RpDaemon_ReadSettings(
            settings_table, G_N_ELEMENTS(settings_table),
            "radishportd control",
            "Keeps the configuration on disk, gathers announcements and "
            "hands tables to nodes.",
            argc, argv, &control.settings, &exit_code)) {
        return exit_code;
    }
    if (control.settings.check_data) {
        return check_data(&control.settings);
    }
    if (!RpDaemon_Start(&control.daemon, RP_ROLE_CONTROL,
                        &control.settings.common, on_stop, &control)) {
        return control.daemon.exit_code;
    }
    if (!start(&control)) {
        return RP_EXIT_FAILED;
    }
    exit_code = RpDaemon_Run(&control.daemon);
    g_socket_service_stop(control.listener);
    RpControlStore_Close(control.store);
    RpDaemon_End(&control.daemon);
    return exit_code;
}
