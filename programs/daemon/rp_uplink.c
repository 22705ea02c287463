/* A node's connection to control: subscription, tables and reconnects. */
#include "rp_uplink.h"

#include <sodium.h>

#include "rp_reconnect.h"

/* How long to wait for the first table of a connection before another control
 * instance is tried. */
#define FIRST_TABLE_TIMEOUT_MS 3000

struct rp_uplink {
    struct rp_daemon *daemon;
    struct rp_endpoints controls;   /* from the settings */
    struct rp_endpoints advertised; /* from control itself */
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
    bool freeing;
    size_t next;
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

    uplink->ready = true;
    RpLog_Event(uplink->daemon->log, RP_LOG_INFO, "control_connected",
                "control=%s", hello->name.data);
    RpConn_Send(conn, &msg);
    uplink->table_source = g_timeout_add(FIRST_TABLE_TIMEOUT_MS,
                                         on_table_timeout, uplink);
    uplink->ops->connected(uplink->user);
}

static void
apply_table(struct rp_uplink *uplink, const struct rp_msg_table *table)
{
    struct rp_counters *counters = &uplink->daemon->counters;

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
    uplink->advertised.count = 0;
    for (guint i = 0; i < controls->list->len && i < RP_ENDPOINTS_MAX; i++) {
        const struct rp_msg_control_address *row = &g_array_index(
            controls->list, struct rp_msg_control_address, i);
        uplink->advertised.item[uplink->advertised.count++] =
            (struct rp_endpoint){.ip = row->ip, .port = row->port};
    }
    uplink->told = true;
    uplink->leader_known = controls->leader_known;
    uplink->leader = (struct rp_endpoint){.ip = controls->leader_ip,
                                          .port = controls->leader_port};
}

static void
on_message(void *user, struct rp_conn *conn, struct rp_msg *msg)
{
    struct rp_uplink *uplink = user;

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
    bool answered = uplink->ready;

    uplink->conn = NULL;
    uplink->ready = false;
    uplink->told = false;
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
    const struct rp_endpoints *advertised = &uplink->advertised;
    size_t index = uplink->next++ %
                   (advertised->count + uplink->controls.count);
    struct rp_endpoint to =
        index < advertised->count
            ? advertised->item[index]
            : uplink->controls.item[index - advertised->count];

    uplink->to = to;
    uplink->conn = RpConn_Open(&uplink->daemon->context, to,
                               RpReconnect_BeginAttempt(&uplink->reconnect) *
                                   RP_US_PER_MS,
                               &conn_ops, uplink);
}

struct rp_uplink *
RpUplink_Create(struct rp_daemon *daemon, const struct rp_endpoints *controls,
                const struct rp_name *service, const struct rp_uplink_ops *ops,
                void *user)
{
    struct rp_uplink *uplink = g_new0(struct rp_uplink, 1);

    uplink->daemon = daemon;
    uplink->controls = *controls;
    uplink->service = *service;
    uplink->ops = ops;
    uplink->user = user;
    RpReconnect_Init(&uplink->reconnect);
    uplink->next = randombytes_uniform((uint32_t)controls->count);
    uplink->table = RpTable_Create();
    connect_next(uplink);
    return uplink;
}

void
RpUplink_SetControls(struct rp_uplink *uplink,
                     const struct rp_endpoints *controls)
{
    uplink->controls = *controls;
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
