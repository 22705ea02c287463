/* Accepts connections to a control instance and handles the messages of nodes,
 * operators and other replicas. */
#include "control.h"
#include "rp_descriptors.h"
#include "rp_status.h"
#include "rp_clock.h"

/* One accepted connection and the hello of its peer. */
struct client {
    struct control *control;
    struct rp_conn *conn;
    struct rp_msg_hello hello;
};

/* A proposed change whose log entry is not applied yet. */
struct pending_change {
    uint64_t term;
    uint64_t connection;
};

static const struct rp_catalog *
get_catalog(const struct control *control)
{
    return RpControlReplica_Catalog(control->replica);
}

static struct rp_replica *
get_replica(const struct control *control)
{
    return RpControlReplica_Replica(control->replica);
}

static struct client *
find_client(const struct control *control, uint64_t connection)
{
    return g_hash_table_lookup(control->clients, &connection);
}

void
RpControl_SendTable(void *user, uint64_t connection, const struct rp_msg *msg)
{
    struct control *control = user;
    const struct client *client = find_client(control, connection);

    if (client) {
        RpCounters_Add(&control->daemon.counters, RP_COUNT_TABLE_SENT);
        RpConn_Send(client->conn, msg);
    }
}

void
RpControl_DisconnectNodes(struct control *control)
{
    GArray *list = RpDistribution_ListConnections(control->distribution);

    for (guint i = 0; i < list->len; i++) {
        const struct client *client = find_client(
            control, g_array_index(list, uint64_t, i));
        if (client) {
            RpConn_Close(client->conn);
        }
    }
    g_array_free(list, TRUE);
}

static enum rp_counter
find_reply_counter(const struct rp_msg_change_reply *reply)
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

/* Logs an applied change, and schedules a table update if the change was
 * accepted and is new. */
static void
publish_change(struct control *control,
               const struct rp_msg_change_reply *reply)
{
    int64_t now = RpClock_Now();

    RpCounters_Add(&control->daemon.counters, find_reply_counter(reply));
    RpLog_Event(control->daemon.log, RP_LOG_INFO, "change_decided",
                "service=%s result=%s revision=%" G_GUINT64_FORMAT
                " repeated=%d",
                reply->service.len ? reply->service.data : "unknown",
                RpCode_Name((enum rp_code)reply->code), reply->revision,
                reply->repeated);
    if (reply->code != RP_OK || reply->repeated) {
        return;
    }
    control->changed_at = now;
    if (RpCatalog_Find(get_catalog(control), &reply->service)) {
        RpDistribution_MarkServiceChanged(control->distribution, now,
                                          &reply->service);
    }
    else {
        RpDistribution_MarkServiceRemoved(control->distribution, now,
                                          &reply->service, reply->service_id);
    }
}

/* Logs an applied edition, updates the tables if it is new, and answers its
 * HTTP request. */
static void
publish_edition(struct control *control, const struct rp_log_entry *entry,
                const struct rp_msg_change_reply *reply)
{
    const struct rp_edition *edition = RpCatalog_Edition(get_catalog(control));

    RpCounters_Add(&control->daemon.counters, find_reply_counter(reply));
    RpLog_Event(control->daemon.log, RP_LOG_INFO, "edition_decided",
                "result=%s version=%" G_GUINT64_FORMAT
                " revision=%" G_GUINT64_FORMAT " repeated=%d",
                RpCode_Name((enum rp_code)reply->code),
                edition ? edition->version : 0, reply->revision,
                reply->repeated);
    if (reply->code == RP_OK && !reply->repeated) {
        control->changed_at = RpClock_Now();
        RpDistribution_MarkEditionChanged(control->distribution,
                                          control->changed_at);
    }
    if (control->editions) {
        RpControlEditions_OnApplied(control->editions, entry, reply);
    }
}

void
RpControl_OnApplied(void *user, const struct rp_log_entry *entry,
                    const struct rp_msg_change_reply *reply)
{
    struct control *control = user;
    const struct pending_change *pending = g_hash_table_lookup(
        control->pending, &entry->index);

    if (RpCatalog_IsExpireFormer((struct rp_str){.data = entry->data->str,
                                                 .len = entry->data->len})) {
        RpLog_Event(control->daemon.log, RP_LOG_INFO, "former_targets_expired",
                    "index=%" G_GUINT64_FORMAT, entry->index);
        RpDistribution_MarkEditionChanged(control->distribution,
                                          RpClock_Now());
    }
    if (reply->zone.len > 0) {
        RpControlZones_Publish(control, reply);
    }
    else if (reply->is_change) {
        publish_change(control, reply);
    }
    if (reply->is_change && control->editions) {
        RpControlEditions_OnApplied(control->editions, entry, reply);
    }
    if (reply->is_edition) {
        publish_edition(control, entry, reply);
    }
    if (!pending) {
        return;
    }
    const struct client *client = find_client(control, pending->connection);
    if (client && pending->term == entry->term) {
        /* The message borrows the reply's list. */
        const struct rp_msg msg = {.type = RP_MSG_CHANGE_REPLY,
                                   .change_reply = *reply};
        RpConn_Send(client->conn, &msg);
    }
    else if (client) {
        /* The entry of another leader took this index. Whether the change
         * failed is not known, so the connection is closed and the operator
         * repeats the change under the same id. */
        RpCounters_Add(&control->daemon.counters, RP_COUNT_CHANGE_TIMEOUT);
        RpConn_Close(client->conn);
    }
    g_hash_table_remove(control->pending, &entry->index);
}

static void
refuse_change(struct control *control, const struct client *client,
              enum rp_code code)
{
    const struct rp_msg msg = {.type = RP_MSG_CHANGE_REPLY,
                               .change_reply = {.code = (uint8_t)code}};

    RpCounters_Add(&control->daemon.counters, RP_COUNT_CHANGE_NO_LEADER);
    RpConn_Send(client->conn, &msg);
}

/* Refuses a change of a data centre that does not exist. Returns whether it
 * did. */
static bool
refuse_unknown_zone(struct control *control, const struct client *client,
                    const struct rp_msg_change *change)
{
    struct rp_msg msg = {.type = RP_MSG_CHANGE_REPLY};
    struct rp_error error;

    if ((change->kind != RP_CHANGE_EVACUATE &&
         change->kind != RP_CHANGE_RESTORE) ||
        RpReplica_Role(get_replica(control)) != RP_REPLICA_LEADER) {
        return false;
    }
    RpError_Init(&error);
    enum rp_code code = RpControlZones_Check(control, &change->zone, &error);
    if (code == RP_ERR_NO_LEADER) {
        refuse_change(control, client, code);
    }
    else if (code != RP_OK) {
        RpCounters_Add(&control->daemon.counters, RP_COUNT_ZONE_UNKNOWN);
        msg.change_reply.code = (uint8_t)code;
        RpCatalog_AppendFindings(&msg.change_reply, &error);
        RpConn_Send(client->conn, &msg);
        RpMsg_Clear(&msg);
    }
    RpError_Clear(&error);
    return code != RP_OK;
}

static void
on_change(struct control *control, struct client *client,
          const struct rp_msg_change *change)
{
    if (refuse_unknown_zone(control, client, change)) {
        return;
    }
    struct pending_change *pending = g_new0(struct pending_change, 1);
    GString *command = RpCatalog_EncodeChange(change);
    guint64 index;

    pending->connection = RpConn_Number(client->conn);
    enum rp_code code = RpControlReplica_Propose(
        control->replica, RpClock_Now(), command, &index, &pending->term);
    if (code == RP_OK) {
        g_hash_table_replace(control->pending, g_memdup2(&index, sizeof index),
                             pending);
        RpControlReplica_RunActions(control->replica);
    }
    else {
        g_free(pending);
        refuse_change(control, client, code);
    }
    g_string_free(command, TRUE);
}

enum rp_registry_change
RpControl_MergeAnnouncement(struct control *control,
                            const struct rp_msg_announce *announce,
                            const struct rp_name *source_replica)
{
    int64_t now = RpClock_Now();
    struct rp_counters *counters = &control->daemon.counters;
    struct rp_msg_announce resolved;
    if (announce->state == RP_UPSTREAM_UNHEARD) {
        if (!RpRegistry_ResolveUnheard(control->registry, announce,
                                       &resolved)) {
            RpCounters_Add(counters, RP_COUNT_ANNOUNCE_UNHEARD);
            return RP_REGISTRY_REFUSED;
        }
        announce = &resolved;
    }
    const struct rp_upstream *known = RpRegistry_Find(control->registry,
                                                      &announce->upstream);
    struct rp_name old_service = {0};

    if (known) {
        old_service = known->last_announce.service;
    }
    enum rp_registry_change change = RpRegistry_Merge(
        control->registry, now, announce, source_replica);
    if (change == RP_REGISTRY_STALE || change == RP_REGISTRY_REFUSED) {
        RpCounters_Add(counters, RP_COUNT_ANNOUNCE_STALE);
        return change;
    }
    RpCounters_Add(counters, RP_COUNT_ANNOUNCE_ACCEPTED);
    if (change != RP_REGISTRY_CHANGED) {
        return change;
    }
    const struct rp_msg msg = {.type = RP_MSG_ANNOUNCE, .announce = *announce};
    if (!source_replica) {
        RpControlLinks_SendAll(control->links, &msg);
    }
    RpLog_Event(control->daemon.log, RP_LOG_INFO, "upstream_announced",
                "upstream=%s service=%s state=%s slots=%u",
                announce->upstream.data, announce->service.data,
                RpUpstreamState_Name((enum rp_upstream_state)announce->state),
                announce->slots);
    RpDistribution_MarkServiceChanged(control->distribution, now,
                                      &announce->service);
    if (old_service.len) {
        RpDistribution_MarkServiceChanged(control->distribution, now,
                                          &old_service);
    }
    return change;
}

/* Handles an agent's announcement. If a later incarnation of the upstream is
 * known, sends that announcement back, so that the agent can raise its
 * incarnation. */
static void
on_announce(struct control *control, const struct client *client,
            const struct rp_msg_announce *announce)
{
    if (RpControl_MergeAnnouncement(control, announce, NULL) !=
        RP_REGISTRY_STALE) {
        return;
    }
    const struct rp_upstream *known = RpRegistry_Find(control->registry,
                                                      &announce->upstream);
    if (known && known->last_announce.incarnation > announce->incarnation) {
        const struct rp_msg msg = {.type = RP_MSG_ANNOUNCE,
                                   .announce = known->last_announce};
        RpConn_Send(client->conn, &msg);
    }
}

/* Builds the message that tells nodes the replicas' addresses and the
 * leader. */
static void
build_controls_msg(const struct control *control, struct rp_msg *msg)
{
    const GArray *members = RpReplica_Members(get_replica(control));
    const struct rp_replica_member *leader = RpReplica_LiveLeader(
        get_replica(control), RpClock_Now());

    *msg = (struct rp_msg){.type = RP_MSG_CONTROLS,
                           .controls = {.list = RpSchema_NewList(
                                            &rp_msg_control_address_schema)}};
    for (guint i = 0; i < members->len; i++) {
        const struct rp_replica_member *member = &g_array_index(
            members, struct rp_replica_member, i);
        const struct rp_msg_control_address row = {.ip = member->ip,
                                                   .port = member->port};
        g_array_append_val(msg->controls.list, row);
    }
    msg->controls.leader_known = RP_LEADER_NONE;
    if (leader) {
        msg->controls.leader_known = RP_LEADER_KNOWN;
        msg->controls.leader_ip = leader->ip;
        msg->controls.leader_port = leader->port;
    }
}

/* Returns a number that changes when the message that build_controls_msg
 * builds does. */
static uint64_t
digest_controls(const struct control *control)
{
    const GArray *members = RpReplica_Members(get_replica(control));
    const struct rp_replica_member *leader = RpReplica_LiveLeader(
        get_replica(control), RpClock_Now());
    uint64_t digest = members->len;

    for (guint i = 0; i < members->len; i++) {
        const struct rp_replica_member *member = &g_array_index(
            members, struct rp_replica_member, i);
        const uint64_t parts[] = {member->id, member->ip, member->port,
                                  leader && leader->id == member->id};
        for (size_t j = 0; j < G_N_ELEMENTS(parts); j++) {
            digest = digest * UINT64_C(0x9e3779b97f4a7c15) + parts[j];
        }
    }
    return digest;
}

void
RpControl_SendToConnectedReplicas(const struct control *control,
                                  const struct rp_msg *msg)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, control->clients);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct client *client = value;
        if (client->hello.role == RP_ROLE_CONTROL && client->hello.two_way) {
            RpConn_Send(client->conn, msg);
        }
    }
}

uint64_t
RpControl_QueuedBytes(const struct control *control)
{
    uint64_t bytes = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, control->clients);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        bytes += RpConn_Queued(((const struct client *)value)->conn);
    }
    return bytes;
}

void
RpControl_SendMembersIfChanged(struct control *control)
{
    uint64_t digest = digest_controls(control);

    if (digest == control->sent_members_digest) {
        return;
    }
    control->sent_members_digest = digest;
    GArray *list = RpDistribution_ListConnections(control->distribution);
    struct rp_msg msg;
    build_controls_msg(control, &msg);
    for (guint i = 0; i < list->len; i++) {
        const struct client *client = find_client(
            control, g_array_index(list, uint64_t, i));
        if (client) {
            RpConn_Send(client->conn, &msg);
        }
    }
    RpMsg_Clear(&msg);
    g_array_free(list, TRUE);
}

static void
on_subscribe(struct control *control, const struct client *client,
             const struct rp_msg_subscribe *subscribe)
{
    struct rp_msg msg;

    if (!RpDisconnectPolicy_AcceptsNodes(&control->disconnect_policy)) {
        RpCounters_Add(&control->daemon.counters, RP_COUNT_NODE_SENT_ON);
        RpLog_Event(control->daemon.log, RP_LOG_INFO, "node_sent_on",
                    "node=%s reason=no_log", client->hello.name.data);
        RpConn_Close(client->conn);
        return;
    }
    RpDistribution_Subscribe(control->distribution, RpClock_Now(),
                             RpConn_Number(client->conn), &client->hello,
                             subscribe);
    build_controls_msg(control, &msg);
    RpConn_Send(client->conn, &msg);
    RpMsg_Clear(&msg);
}

static GArray *
list_this_replica(const struct control *control)
{
    GArray *rows = RpSchema_NewList(&rp_msg_replica_info_schema);
    const struct rp_replica *replica = get_replica(control);
    struct rp_msg_replica_info row = {
        .name = control->settings.common.name,
        .term = RpReplica_Term(replica),
        .committed = RpReplica_CommitIndex(replica)};

    RpName_Set(&row.role, RpStr_FromC(RpReplica_RoleName(replica)));
    g_array_append_val(rows, row);
    return rows;
}

/* Fills the reply to a query for a document. Any replica but a leader with a
 * valid lease replies with RP_ERR_NO_LEADER: the operator bases the next
 * change on the document, so it must be current. */
static void
build_document_reply(const struct control *control,
                     const struct rp_name *service, struct rp_msg *msg)
{
    const struct rp_replica *replica = get_replica(control);

    RpStatus_FillDocument(get_catalog(control), service, msg);
    if (RpReplica_Role(replica) != RP_REPLICA_LEADER ||
        !RpReplica_IsFresh(replica, RpClock_Now())) {
        msg->document.code = RP_ERR_NO_LEADER;
    }
}

static void
on_query(struct control *control, struct client *client,
         const struct rp_msg_query *query)
{
    struct rp_msg msg = {0};

    switch (query->kind) {
    case RP_QUERY_SERVICES:
        RpStatus_FillServices(get_catalog(control), control->registry, &msg);
        break;
    case RP_QUERY_DOCUMENT:
        build_document_reply(control, &query->service, &msg);
        break;
    case RP_QUERY_TABLE:
        RpDistribution_FillTable(control->distribution, &msg);
        break;
    default:
        RpStatus_FillStatus(get_catalog(control), control->registry,
                            control->distribution, RpClock_Now(),
                            &query->service, &msg);
        g_array_free(msg.status.replicas, TRUE);
        msg.status.replicas = list_this_replica(control);
    }
    RpConn_Send(client->conn, &msg);
    RpMsg_Clear(&msg);
}

/* Forwards an operator's order to the agent of its upstream, if that agent is
 * connected here. */
static void
on_order(struct control *control, const struct client *operator_client,
         const struct rp_msg *order)
{
    struct rp_msg reply = {.type = RP_MSG_ORDER_REPLY,
                           .order_reply = {.code = RP_ERR_NOT_FOUND}};
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, control->clients);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct client *client = value;
        if (client->hello.role == RP_ROLE_AGENT &&
            RpName_Equal(&client->hello.name, &order->order.upstream)) {
            RpConn_Send(client->conn, order);
            reply.order_reply.code = RP_OK;
        }
    }
    RpLog_Event(control->daemon.log, RP_LOG_INFO, "upstream_ordered",
                "upstream=%s draining=%d result=%s",
                order->order.upstream.data, order->order.draining,
                RpCode_Name((enum rp_code)reply.order_reply.code));
    RpConn_Send(operator_client->conn, &reply);
}

/* Returns whether a peer of this role may send messages of this type. */
static bool
is_message_allowed(uint8_t role, enum rp_msg_type type)
{
    switch (type) {
    case RP_MSG_CHANGE:
    case RP_MSG_QUERY:
    case RP_MSG_ORDER:
        return role == RP_ROLE_OPERATOR;
    case RP_MSG_ANNOUNCE:
        return role == RP_ROLE_AGENT || role == RP_ROLE_CONTROL;
    case RP_MSG_SUBSCRIBE:
        return role == RP_ROLE_AGENT || role == RP_ROLE_BALANCER;
    case RP_MSG_CONFIRM:
        return role != RP_ROLE_OPERATOR;
    case RP_MSG_VOTE:
    case RP_MSG_VOTE_REPLY:
    case RP_MSG_APPEND:
    case RP_MSG_APPEND_REPLY:
    case RP_MSG_SNAPSHOT:
    case RP_MSG_SNAPSHOT_REPLY:
    case RP_MSG_JOIN:
    case RP_MSG_CONTROLS:
        return role == RP_ROLE_CONTROL;
    default:
        return false;
    }
}

static void
on_confirm(struct control *control, const struct client *client,
           const struct rp_msg_confirm *confirm)
{
    int64_t now = RpClock_Now();

    if (client->hello.role == RP_ROLE_CONTROL) {
        RpControlLinks_SetConfirmed(control->links, now, &client->hello.name,
                                    confirm);
        RpRegistry_RecordReplicaMessage(control->registry, now,
                                        &client->hello.name);
        return;
    }
    if (RpDistribution_Confirm(control->distribution, now,
                               RpConn_Number(client->conn),
                               confirm->revision) &&
        control->changed_at) {
        RpCounters_AddDuration(&control->daemon.counters,
                               RP_HISTOGRAM_IN_FORCE,
                               now - control->changed_at);
    }
}

void
RpControl_OnJoin(struct control *control, struct rp_conn *conn,
                 const struct rp_msg_hello *sender,
                 const struct rp_replica_member *member)
{
    bool forwarded = !RpName_Equal(&sender->name, &member->name);
    struct rp_msg msg;

    RpControlReplica_Join(control->replica, RpClock_Now(), member, forwarded);
    if (forwarded || !sender->two_way ||
        RpReplica_Members(get_replica(control))->len == 0) {
        return;
    }
    build_controls_msg(control, &msg);
    RpConn_Send(conn, &msg);
    RpMsg_Clear(&msg);
}

static void
handle_message(struct control *control, struct client *client,
               const struct rp_msg *msg)
{
    int64_t now = RpClock_Now();

    switch (msg->type) {
    case RP_MSG_CHANGE:
        on_change(control, client, &msg->change);
        break;
    case RP_MSG_QUERY:
        on_query(control, client, &msg->query);
        break;
    case RP_MSG_ORDER:
        on_order(control, client, msg);
        break;
    case RP_MSG_ANNOUNCE:
        if (client->hello.role == RP_ROLE_AGENT) {
            on_announce(control, client, &msg->announce);
        }
        else {
            RpControl_MergeAnnouncement(control, &msg->announce,
                                        &client->hello.name);
        }
        break;
    case RP_MSG_SUBSCRIBE:
        on_subscribe(control, client, &msg->subscribe);
        break;
    case RP_MSG_CONFIRM:
        on_confirm(control, client, &msg->confirm);
        break;
    case RP_MSG_JOIN:
        RpControl_OnJoin(control, client->conn, &client->hello,
                         &msg->join.member);
        break;
    case RP_MSG_CONTROLS:
        RpControlLinks_OnMembersTold(control->links, &msg->controls);
        break;
    default: /* a message of the replicated log */
        RpControlLinks_SetHeard(control->links, RpReplica_Sender(msg),
                                &client->hello.name,
                                RpConn_Number(client->conn));
        RpControlReplica_Receive(control->replica, now, msg);
        if (control->editions) {
            RpControlEditions_AnswerPending(control->editions, now);
        }
    }
}

static void
on_message(void *user, struct rp_conn *conn, struct rp_msg *msg)
{
    struct client *client = user;
    struct control *control = client->control;

    if (!is_message_allowed(client->hello.role, msg->type)) {
        RpCounters_Add(&control->daemon.counters, RP_COUNT_FRAME_UNEXPECTED);
        RpLog_Event(control->daemon.log, RP_LOG_WARN, "message_refused",
                    "peer=%s role=%s type=%s", client->hello.name.data,
                    RpRole_Name((enum rp_role)client->hello.role),
                    RpMsg_Name(msg->type));
        RpConn_Close(conn);
        return;
    }
    handle_message(control, client, msg);
}

void
RpControl_OnLinkMessage(struct control *control, struct rp_conn *conn,
                        const struct rp_name *sender, struct rp_msg *msg)
{
    struct client client = {
        .control = control,
        .conn = conn,
        .hello = {.role = RP_ROLE_CONTROL, .name = *sender, .two_way = 1}};

    on_message(&client, conn, msg);
}

bool
RpControl_SendOnConnection(const struct control *control, uint64_t connection,
                           const struct rp_msg *msg)
{
    const struct client *client = find_client(control, connection);

    if (!client || !client->hello.two_way) {
        return false;
    }
    RpConn_Send(client->conn, msg);
    return true;
}

static void
on_ready(void *user, struct rp_conn *conn, const struct rp_msg_hello *hello)
{
    struct client *client = user;

    client->hello = *hello;
    RpLog_Event(client->control->daemon.log, RP_LOG_DEBUG, "peer_connected",
                "peer=%s role=%s", hello->name.data,
                RpRole_Name((enum rp_role)hello->role));
    if (hello->role == RP_ROLE_CONTROL) {
        RpControlLinks_OnPeerConnected(client->control->links, RpClock_Now(),
                                       RpConn_PeerIp(conn));
        if (hello->two_way) {
            RpControlLinks_AskPeer(client->control->links, conn);
        }
    }
}

static void
on_closed(void *user, struct rp_conn *conn)
{
    struct client *client = user;
    struct control *control = client->control;
    uint64_t number = RpConn_Number(conn);

    RpDistribution_Disconnect(control->distribution, RpClock_Now(), number);
    g_hash_table_remove(control->clients, &number);
}

static void
on_accepted(void *user, GSocketConnection *stream)
{
    static const struct rp_conn_ops ops = {
        .ready = on_ready, .message = on_message, .closed = on_closed};
    struct control *control = user;

    struct client *client = g_new0(struct client, 1);
    client->control = control;
    client->conn = RpConn_Accept(&control->daemon.context, stream, &ops,
                                 client);
    guint64 number = RpConn_Number(client->conn);
    g_hash_table_insert(control->clients, g_memdup2(&number, sizeof number),
                        client);
}

bool
RpControl_Listen(struct control *control)
{
    static const struct rp_listener_ops ops = {.accepted = on_accepted};
    unsigned bound = RpDescriptors_NodeBound(
        RpDescriptors_ReadLimit(control->daemon.log));
    struct rp_error error;

    RpError_Init(&error);
    control->listener = RpListener_Open(control->settings.listen, bound,
                                        &control->daemon.net, &ops, control,
                                        &error);
    RpDaemon_PrintFindings(&error);
    RpError_Clear(&error);
    return control->listener != NULL;
}
