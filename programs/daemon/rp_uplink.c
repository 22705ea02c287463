/* A node's connection to control: subscription, tables and reconnects. */
#include "rp_uplink.h"

#include <sodium.h>

#include "rp_contacts.h"
#include "rp_reconnect.h"

/* How long to wait for the first table of a connection before another control
 * instance is tried. */
#define FIRST_TABLE_TIMEOUT_MS 3000

struct rp_uplink {
    struct rp_daemon *daemon;
    struct rp_contacts contacts;
    struct rp_name service;
    const struct rp_uplink_ops *ops;
    void *user;
    struct rp_conn *conn;
    struct rp_endpoint to; /* the other end of `conn` */
    bool ready;
    bool told; /* the replica has sent the replicas' addresses on `conn` */
    uint8_t
        leader_known; /* enum rp_leader_known, from the last such message */
    struct rp_endpoint leader;
    /* The other end is an instance without a disk, which answers with the
     * addresses of the replicas and closes the connection. */
    bool is_relay;
    bool hinted; /* it has done so, and knew some */
    bool freeing;
    struct rp_reconnect reconnect;
    guint retry_source;
    guint table_source; /* timeout for the first table of a connection */
    struct rp_table *table;
};

static void connect_next(struct rp_uplink *uplink);

static void
stop_table_timeout(struct rp_uplink *uplink)
{
    if (uplink->table_source) {
        g_source_remove(uplink->table_source);
        uplink->table_source = 0;
    }
}

/* Closes the connection to a control instance that has sent no table in time;
 * it may be cut off from the others. */
static gboolean
on_table_timeout(gpointer data)
{
    struct rp_uplink *uplink = data;

    uplink->table_source = 0;
    RpLog_Event(uplink->daemon->log, RP_LOG_WARN, "table_not_sent", "%s", "");
    RpConn_Close(uplink->conn);
    return G_SOURCE_REMOVE;
}

static void
on_ready(void *user, struct rp_conn *conn, const struct rp_msg_hello *hello)
{
    struct rp_uplink *uplink = user;
    const struct rp_msg msg = {
        .type = RP_MSG_SUBSCRIBE,
        .subscribe = {.service = uplink->service,
                      .revision = RpTable_Revision(uplink->table)}};

    uplink->is_relay = hello->role != RP_ROLE_CONTROL;
    if (uplink->is_relay) {
        RpConn_Send(conn, &msg);
        return;
    }
    uplink->ready = true;
    RpLog_Event(uplink->daemon->log, RP_LOG_INFO, "control_connected",
                "control=%s", hello->name.data);
    RpConn_Send(conn, &msg);
    uplink->table_source = g_timeout_add(FIRST_TABLE_TIMEOUT_MS,
                                         on_table_timeout, uplink);
    uplink->ops->connected(uplink->user);
}

/* Logs the evacuated data centres of the table that is in force now. */
static void
log_evacuated(const struct rp_uplink *uplink)
{
    const GArray *evacuated = RpTable_Evacuated(uplink->table);
    GString *names = g_string_new(NULL);

    for (guint i = 0; i < evacuated->len; i++) {
        g_string_append_printf(
            names, "%s%s", i ? "," : "",
            g_array_index(evacuated, struct rp_msg_zone, i).name.data);
    }
    RpLog_Event(uplink->daemon->log, RP_LOG_INFO, "zones_evacuated",
                "revision=%" G_GUINT64_FORMAT " zones=%s",
                RpTable_Revision(uplink->table),
                names->len ? names->str : "none");
    g_string_free(names, TRUE);
}

static void
apply_table(struct rp_uplink *uplink, const struct rp_msg_table *table)
{
    struct rp_counters *counters = &uplink->daemon->counters;
    uint64_t evacuation_changes = RpTable_CountEvacuationChanges(
        uplink->table);

    stop_table_timeout(uplink);
    if (RpTable_Apply(uplink->table, table) != RP_OK) {
        RpCounters_Add(counters, RP_COUNT_TABLE_STALE);
        RpLog_Event(uplink->daemon->log, RP_LOG_WARN, "table_stale",
                    "revision=%" G_GUINT64_FORMAT " have=%" G_GUINT64_FORMAT,
                    table->revision, RpTable_Revision(uplink->table));
        RpConn_Close(uplink->conn);
        return;
    }
    RpCounters_Add(counters, RP_COUNT_TABLE_APPLIED);
    /* The pauses are reset only now: without a replica that can serve, each
     * instance accepts the connection and then closes it. */
    RpReconnect_Reset(&uplink->reconnect);
    if (RpTable_CountEvacuationChanges(uplink->table) != evacuation_changes) {
        log_evacuated(uplink);
    }
    uplink->ops->table_changed(uplink->user);
    const struct rp_msg confirm = {
        .type = RP_MSG_CONFIRM,
        .confirm = {.revision = RpTable_Revision(uplink->table)}};
    RpConn_Send(uplink->conn, &confirm);
    RpLog_Event(uplink->daemon->log, RP_LOG_DEBUG, "table_applied",
                "revision=%" G_GUINT64_FORMAT " services=%zu", table->revision,
                RpTable_CountServices(uplink->table));
}

static void
store_advertised(struct rp_uplink *uplink,
                 const struct rp_msg_controls *controls)
{
    struct rp_endpoints told;

    RpContacts_FromMsg(controls, &told);
    RpContacts_SetTold(&uplink->contacts, &told);
    RpContacts_DropHints(&uplink->contacts);
    uplink->told = true;
    uplink->leader_known = controls->leader_known;
    uplink->leader = (struct rp_endpoint){.ip = controls->leader_ip,
                                          .port = controls->leader_port};
}

/* Keeps the addresses that an instance without a disk has sent, and closes its
 * connection: they are tried next. */
static void
take_hints(struct rp_uplink *uplink, const struct rp_msg_controls *controls)
{
    struct rp_endpoints hints;

    RpContacts_FromMsg(controls, &hints);
    RpContacts_SetHints(&uplink->contacts, &hints, randombytes_uniform);
    uplink->hinted = hints.count > 0;
    RpLog_Event(uplink->daemon->log, RP_LOG_INFO, "control_hinted",
                "replicas=%zu", hints.count);
    RpConn_Close(uplink->conn);
}

static void
on_message(void *user, struct rp_conn *conn, struct rp_msg *msg)
{
    struct rp_uplink *uplink = user;

    if (uplink->is_relay && msg->type == RP_MSG_CONTROLS) {
        take_hints(uplink, &msg->controls);
        return;
    }
    if (uplink->is_relay) {
        RpCounters_Add(&uplink->daemon->counters, RP_COUNT_FRAME_UNEXPECTED);
        RpConn_Close(conn);
        return;
    }
    if (msg->type == RP_MSG_TABLE) {
        apply_table(uplink, &msg->table);
        return;
    }
    if (msg->type == RP_MSG_ORDER && uplink->ops->order_received) {
        uplink->ops->order_received(uplink->user, &msg->order);
        return;
    }
    if (msg->type == RP_MSG_CONTROLS) {
        store_advertised(uplink, &msg->controls);
        return;
    }
    if (msg->type == RP_MSG_ANNOUNCE && uplink->ops->newer_announcement) {
        uplink->ops->newer_announcement(uplink->user, &msg->announce);
        return;
    }
    RpCounters_Add(&uplink->daemon->counters, RP_COUNT_FRAME_UNEXPECTED);
    RpConn_Close(conn);
}

static gboolean
on_retry(gpointer data)
{
    struct rp_uplink *uplink = data;

    uplink->retry_source = 0;
    connect_next(uplink);
    return G_SOURCE_REMOVE;
}

static void
on_closed(void *user, struct rp_conn *conn)
{
    struct rp_uplink *uplink = user;

    (void)conn;
    /* The pauses also grow after a relay that knows no replica: it is as busy
     * with attempts as a replica that cannot serve. */
    bool answered = uplink->ready || (uplink->is_relay && !uplink->hinted);

    uplink->conn = NULL;
    uplink->ready = false;
    uplink->told = false;
    uplink->is_relay = false;
    uplink->hinted = false;
    stop_table_timeout(uplink);
    if (!uplink->freeing) {
        uplink->retry_source = g_timeout_add(
            RpReconnect_EndAttempt(&uplink->reconnect, answered,
                                   randombytes_uniform),
            on_retry, uplink);
    }
}

static const struct rp_conn_ops conn_ops = {
    .ready = on_ready, .message = on_message, .closed = on_closed};

static void
connect_next(struct rp_uplink *uplink)
{
    struct rp_endpoint to;

    if (!RpContacts_Next(&uplink->contacts, &to)) {
        uplink->retry_source = g_timeout_add(RP_RECONNECT_PAUSE_MAX_MS,
                                             on_retry, uplink);
        return;
    }
    uplink->to = to;
    uplink->conn = RpConn_Open(&uplink->daemon->context, to,
                               RpReconnect_BeginAttempt(&uplink->reconnect) *
                                   RP_US_PER_MS,
                               &conn_ops, uplink);
}

struct rp_uplink *
RpUplink_Create(struct rp_daemon *daemon, struct rp_endpoint self,
                const struct rp_endpoints *controls,
                const struct rp_name *service, const struct rp_uplink_ops *ops,
                void *user)
{
    struct rp_uplink *uplink = g_new0(struct rp_uplink, 1);

    uplink->daemon = daemon;
    RpContacts_Init(&uplink->contacts, self, controls, randombytes_uniform);
    uplink->service = *service;
    uplink->ops = ops;
    uplink->user = user;
    RpReconnect_Init(&uplink->reconnect);
    uplink->table = RpTable_Create();
    connect_next(uplink);
    return uplink;
}

void
RpUplink_SetControls(struct rp_uplink *uplink,
                     const struct rp_endpoints *controls)
{
    RpContacts_SetSettings(&uplink->contacts, controls);
}

void
RpUplink_PreferZone(struct rp_uplink *uplink, const struct rp_name *zone,
                    uint32_t weight)
{
    RpTable_PreferZone(uplink->table, zone, weight);
}

void
RpUplink_Free(struct rp_uplink *uplink)
{
    if (!uplink) {
        return;
    }
    uplink->freeing = true;
    if (uplink->retry_source) {
        g_source_remove(uplink->retry_source);
    }
    if (uplink->conn) {
        RpConn_Close(uplink->conn);
        while (uplink->conn) {
            g_main_context_iteration(NULL, TRUE);
        }
    }
    RpTable_Free(uplink->table);
    g_free(uplink);
}

void
RpUplink_Send(struct rp_uplink *uplink, const struct rp_msg *msg)
{
    if (uplink->ready) {
        RpConn_Send(uplink->conn, msg);
    }
}

const struct rp_endpoints *
RpUplink_ToldControls(const struct rp_uplink *uplink)
{
    return &uplink->contacts.told;
}

void
RpUplink_FillReferralView(const struct rp_uplink *uplink,
                          struct rp_referral_view *view)
{
    view->connected = uplink->told;
    view->replica = uplink->to;
    view->leader_known = uplink->leader_known;
    view->leader = uplink->leader;
}

const struct rp_table *
RpUplink_Table(const struct rp_uplink *uplink)
{
    return uplink->table;
}

bool
RpUplink_IsConnected(const struct rp_uplink *uplink)
{
    return uplink->ready;
}

size_t
RpUplink_Queued(const struct rp_uplink *uplink)
{
    return uplink->ready ? RpConn_Queued(uplink->conn) : 0;
}
