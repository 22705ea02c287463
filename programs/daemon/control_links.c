/* Connections from this replica to the others.
 *
 * Each replica opens a connection to every other one and sends on it; it
 * receives on the connections that the others open. But an address may be
 * unknown: a replica without a log knows nobody, and one that was away does
 * not know who has joined or moved meanwhile. So whoever sends to this replica
 * is answered on the same connection if there is no other, and a replica that
 * wants to join asks on every connection. Whoever is asked answers with the
 * addresses of the members, one of which leads.
 */
#include "control.h"

#include <sodium.h>

#include "rp_clock.h"
#include "rp_contacts.h"

/* Pause before reconnecting to a replica. After a power loss the election
 * waits for this connection. */
#define RETRY_PAUSE_US (100 * RP_US_PER_MS)
/* Pause before an instance without a disk is asked again. */
#define RELAY_PAUSE_US (1 * RP_US_PER_SECOND)
/* An attempt to connect that is older than this when its peer connects to us
 * was sent to a machine that was still without power: the first reply from a
 * running machine takes 30 ms between the nearer regions. */
#define STALE_ATTEMPT_US (50 * RP_US_PER_MS)
#define JOIN_INTERVAL_US (1 * RP_US_PER_SECOND)
/* How long a link is kept after its address has left the settings and the log.
 * A replica that is taken out must still be told so. */
#define FORGET_US (10 * RP_US_PER_SECOND)
/* Confirmed revisions reported before this are ignored: their replica counts
 * as unreachable. */
#define REPORT_TTL_US (5 * RP_US_PER_SECOND)
/* A leader sends a member that is down ten heartbeats a second. */
#define UNREACHED_LINES_PER_SECOND 2

/* One other replica, identified by the address it listens on. */
struct link {
    struct control_links *links;
    struct rp_endpoint address;
    struct rp_name name; /* from the peer's hello */
    struct rp_conn *conn;
    bool ready;
    bool is_relay;  /* the peer stores nothing: it only names the members */
    bool retry_now; /* the peer connected to us during the attempt: retry
                     * without a pause */
    int64_t attempt_started;
    int64_t retry_deadline;
    int64_t forget_deadline; /* 0: the address is in the settings, the log or
                              * the hints */
    bool forgotten;          /* freed once its connection is closed */
};

/* What a replica has told of its nodes. */
struct report {
    uint64_t confirmed; /* the lowest revision of all that are connected */
    uint64_t routed;    /* the lowest that a balancer may still route by */
    int64_t at;         /* when it came */
};

/* What is known of a replica from its messages of the replicated log. */
struct heard {
    struct rp_name name; /* of its instance */
    int64_t at;          /* when the last one came */
    uint64_t connection; /* number of the connection on which it came */
};

struct control_links {
    struct control *control;
    GPtrArray *list; /* of struct link */
    struct rp_contacts contacts;
    GHashTable *reports; /* replica name -> struct report */
    GHashTable *heard;   /* replica id -> struct heard */
    int64_t next_join;
};

struct control_links *
RpControlLinks_Create(struct control *control)
{
    struct control_links *links = g_new0(struct control_links, 1);

    links->control = control;
    RpLog_SetBudget(control->daemon.log, "replica_unreached",
                    UNREACHED_LINES_PER_SECOND);
    links->list = g_ptr_array_new();
    RpContacts_Init(&links->contacts, control->settings.listen,
                    &control->settings.peers, randombytes_uniform);
    links->reports = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                           g_free);
    links->heard = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                         g_free);
    return links;
}

/* Sends a newly connected replica the announcements of all upstreams whose
 * agents are connected here. */
static void
send_local_upstreams(const struct control *control, struct rp_conn *conn)
{
    GPtrArray *list = RpRegistry_List(control->registry, NULL);

    for (guint i = 0; i < list->len; i++) {
        const struct rp_upstream *upstream = g_ptr_array_index(list, i);
        const struct rp_msg msg = {.type = RP_MSG_ANNOUNCE,
                                   .announce = upstream->last_announce};
        if (upstream->source_replica.len == 0) {
            RpConn_Send(conn, &msg);
        }
    }
    g_ptr_array_unref(list);
}

static struct rp_replica_member
describe_self(const struct control *control)
{
    return (struct rp_replica_member){
        .id = RpReplica_Id(RpControlReplica_Replica(control->replica)),
        .name = control->settings.common.name,
        .ip = control->settings.listen.ip,
        .port = control->settings.listen.port};
}

/* Returns whether the log lists this replica with its current address. */
static bool
is_listed_at_current_address(const struct control *control)
{
    struct rp_replica *replica = RpControlReplica_Replica(control->replica);
    const GArray *members = RpReplica_Members(replica);

    for (guint i = 0; i < members->len; i++) {
        const struct rp_replica_member *member = &g_array_index(
            members, struct rp_replica_member, i);
        if (member->id == RpReplica_Id(replica)) {
            return member->ip == control->settings.listen.ip &&
                   member->port == control->settings.listen.port;
        }
    }
    return false;
}

/* Returns whether to ask for membership, or for the update of a changed
 * address. */
static bool
should_ask_to_join(const struct control *control, int64_t now)
{
    return RpReplica_WantsToJoin(RpControlReplica_Replica(control->replica),
                                 now) ||
           !is_listed_at_current_address(control);
}

static void
on_ready(void *user, struct rp_conn *conn, const struct rp_msg_hello *hello)
{
    struct link *link = user;
    struct control *control = link->links->control;

    link->is_relay = hello->role != RP_ROLE_CONTROL;
    if (link->is_relay) {
        return;
    }
    link->ready = true;
    link->name = hello->name;
    if (should_ask_to_join(control, RpClock_Now())) {
        /* Sent at once: after a restart of the whole system the election waits
         * until this request shows that the replica previously at this address
         * has lost its disk. */
        const struct rp_msg msg = {.type = RP_MSG_JOIN,
                                   .join = {.member = describe_self(control)}};
        RpConn_Send(conn, &msg);
    }
    send_local_upstreams(control, conn);
    RpLog_Event(control->daemon.log, RP_LOG_INFO, "replica_connected",
                "peer=%s", hello->name.data);
}

void
RpControlLinks_OnMembersTold(struct control_links *links,
                             const struct rp_msg_controls *controls)
{
    struct rp_endpoints members;

    if (should_ask_to_join(links->control, RpClock_Now())) {
        RpContacts_FromMsg(controls, &members);
        RpContacts_SetHints(&links->contacts, &members, randombytes_uniform);
    }
}

static void
on_message(void *user, struct rp_conn *conn, struct rp_msg *msg)
{
    const struct link *link = user;
    struct control *control = link->links->control;

    if (msg->type == RP_MSG_CONTROLS) {
        RpControlLinks_OnMembersTold(link->links, &msg->controls);
        if (link->is_relay) {
            RpConn_Close(conn);
        }
        return;
    }
    if (link->is_relay) {
        RpCounters_Add(&control->daemon.counters, RP_COUNT_FRAME_UNEXPECTED);
        RpConn_Close(conn);
        return;
    }
    /* The peer does not know this replica's address. */
    RpControl_OnLinkMessage(control, conn, &link->name, msg);
}

/* Tells the replica that the peer at the other end of a closed connection does
 * not answer. */
static void
report_disconnect(const struct link *link)
{
    const struct control *control = link->links->control;
    const GArray *members = RpReplica_Members(
        RpControlReplica_Replica(control->replica));

    for (guint i = 0; i < members->len; i++) {
        const struct rp_replica_member *member = &g_array_index(
            members, struct rp_replica_member, i);
        const struct rp_endpoint address = {.ip = member->ip,
                                            .port = member->port};
        if (RpEndpoint_Equal(address, link->address)) {
            RpControlReplica_OnDisconnect(control->replica, RpClock_Now(),
                                          member->id);
        }
    }
}

static void
on_closed(void *user, struct rp_conn *conn)
{
    struct link *link = user;

    (void)conn;
    link->conn = NULL;
    link->ready = false;
    report_disconnect(link);
    link->retry_deadline = RpClock_Now();
    if (!link->retry_now) {
        link->retry_deadline += link->is_relay ? RELAY_PAUSE_US
                                               : RETRY_PAUSE_US;
    }
    link->is_relay = false;
    link->retry_now = false;
    if (link->forgotten) {
        g_ptr_array_remove_fast(link->links->list, link);
        g_free(link);
    }
}

void
RpControlLinks_AskPeer(const struct control_links *links, struct rp_conn *conn)
{
    const struct control *control = links->control;

    if (should_ask_to_join(control, RpClock_Now())) {
        const struct rp_msg msg = {.type = RP_MSG_JOIN,
                                   .join = {.member = describe_self(control)}};
        RpConn_Send(conn, &msg);
    }
}

void
RpControlLinks_OnPeerConnected(struct control_links *links, int64_t now,
                               uint32_t ip)
{
    for (guint i = 0; i < links->list->len; i++) {
        struct link *link = g_ptr_array_index(links->list, i);
        if (link->address.ip != ip || link->ready) {
            continue;
        }
        if (link->conn && now - link->attempt_started > STALE_ATTEMPT_US) {
            link->retry_now = true;
            RpConn_Close(link->conn);
        }
        link->retry_deadline = now;
    }
}

static void
connect_if_due(struct link *link, int64_t now)
{
    static const struct rp_conn_ops ops = {
        .ready = on_ready, .message = on_message, .closed = on_closed};

    if (!link->conn && now >= link->retry_deadline) {
        link->conn = RpConn_Open(&link->links->control->daemon.context,
                                 link->address, RP_CONN_CONNECT_TIMEOUT_US,
                                 &ops, link);
        link->attempt_started = now;
    }
}

static struct link *
find_link(const struct control_links *links, struct rp_endpoint address)
{
    for (guint i = 0; i < links->list->len; i++) {
        struct link *link = g_ptr_array_index(links->list, i);
        if (RpEndpoint_Equal(link->address, address)) {
            return link;
        }
    }
    return NULL;
}

static void
add_link(struct control_links *links, struct rp_endpoint address)
{
    if (find_link(links, address)) {
        return;
    }
    struct link *link = g_new0(struct link, 1);
    link->links = links;
    link->address = address;
    g_ptr_array_add(links->list, link);
}

static void
add_links(struct control_links *links, const struct rp_endpoints *addresses)
{
    for (size_t i = 0; i < addresses->count; i++) {
        add_link(links, addresses->item[i]);
    }
}

/* Reads the members from the log. They are the only ones that a replica with a
 * log needs. */
static void
update_contacts(struct control_links *links, int64_t now)
{
    const struct control *control = links->control;
    const GArray *members = RpReplica_Members(
        RpControlReplica_Replica(control->replica));
    struct rp_endpoints told = {0};

    for (guint i = 0; i < members->len && i < RP_ENDPOINTS_MAX; i++) {
        const struct rp_replica_member *member = &g_array_index(
            members, struct rp_replica_member, i);
        told.item[told.count++] = (struct rp_endpoint){.ip = member->ip,
                                                       .port = member->port};
    }
    RpContacts_SetTold(&links->contacts, &told);
    RpContacts_SetSettings(&links->contacts, &control->settings.peers);
    if (!should_ask_to_join(control, now)) {
        RpContacts_DropHints(&links->contacts);
    }
}

/* Closes the links whose addresses have long left the settings and the log:
 * their machines may be gone for good. */
static void
forget_links(struct control_links *links, int64_t now)
{
    for (guint i = links->list->len; i > 0; i--) {
        struct link *link = g_ptr_array_index(links->list, i - 1);
        if (RpContacts_Contains(&links->contacts, link->address)) {
            link->forget_deadline = 0;
            link->forgotten = false;
            continue;
        }
        if (link->forget_deadline == 0) {
            link->forget_deadline = now + FORGET_US;
        }
        if (now < link->forget_deadline || link->forgotten) {
            continue;
        }
        link->forgotten = true;
        if (link->conn) {
            RpConn_Close(link->conn);
        }
        else {
            g_ptr_array_remove_index_fast(links->list, i - 1);
            g_free(link);
        }
    }
}

static void
ask_to_join(struct control_links *links, int64_t now)
{
    struct control *control = links->control;

    if (now < links->next_join || !should_ask_to_join(control, now)) {
        return;
    }
    links->next_join = now + JOIN_INTERVAL_US;
    const struct rp_msg msg = {.type = RP_MSG_JOIN,
                               .join = {.member = describe_self(control)}};
    RpControlLinks_SendAll(links, &msg);
    RpControl_SendToConnectedReplicas(control, &msg);
    /* A leader whose own address has changed must process its own request.
     * `forwarded` is true, because the request was just sent to all
     * replicas. */
    RpControlReplica_Join(control->replica, now, &msg.join.member, true);
}

void
RpControlLinks_Tick(struct control_links *links, int64_t now)
{
    update_contacts(links, now);
    add_links(links, &links->contacts.told);
    add_links(links, &links->contacts.hints);
    add_links(links, &links->contacts.settings);
    forget_links(links, now);
    for (guint i = 0; i < links->list->len; i++) {
        connect_if_due(g_ptr_array_index(links->list, i), now);
    }
    ask_to_join(links, now);
}

void
RpControlLinks_SetHeard(struct control_links *links, uint64_t id,
                        const struct rp_name *name, uint64_t connection)
{
    const struct heard heard = {
        .name = *name, .at = RpClock_Now(), .connection = connection};

    g_hash_table_replace(links->heard, g_memdup2(&id, sizeof id),
                         g_memdup2(&heard, sizeof heard));
}

static const struct link *
find_ready_link_by_name(const struct control_links *links,
                        const struct rp_name *name)
{
    for (guint i = 0; i < links->list->len; i++) {
        const struct link *link = g_ptr_array_index(links->list, i);
        if (link->ready && RpName_Equal(&link->name, name)) {
            return link;
        }
    }
    return NULL;
}

/* Finds the ready link to a replica: at the address that the log has for its
 * id, or else under the name in its messages or in the log. A replica that is
 * just joining has no log yet, and a log that is behind has old addresses. */
static const struct link *
find_ready_link(const struct control_links *links, uint64_t id)
{
    const struct rp_replica_member *member = RpReplica_FindMember(
        RpControlReplica_Replica(links->control->replica), id);
    const struct heard *heard = g_hash_table_lookup(links->heard, &id);
    const struct link *link = NULL;

    if (member) {
        link = find_link(links, (struct rp_endpoint){.ip = member->ip,
                                                     .port = member->port});
    }
    if (link && link->ready) {
        return link;
    }
    link = heard ? find_ready_link_by_name(links, &heard->name) : NULL;
    return !link && member ? find_ready_link_by_name(links, &member->name)
                           : link;
}

void
RpControlLinks_Send(struct control_links *links, uint64_t to,
                    const struct rp_msg *msg)
{
    struct control *control = links->control;
    const struct link *link = find_ready_link(links, to);
    const struct heard *heard = g_hash_table_lookup(links->heard, &to);

    if (link) {
        RpConn_Send(link->conn, msg);
        return;
    }
    /* Whoever sends to this replica can be answered, also if its address is
     * not known here. */
    if (heard && RpControl_SendOnConnection(control, heard->connection, msg)) {
        return;
    }
    RpCounters_Add(&control->daemon.counters, RP_COUNT_REPLICA_UNREACHED);
    RpLog_Event(control->daemon.log, RP_LOG_WARN, "replica_unreached",
                "peer=%s replica=%" G_GINT64_MODIFIER "x type=%s",
                heard ? heard->name.data : "unknown", to,
                RpMsg_Name(msg->type));
}

guint
RpControlLinks_Count(const struct control_links *links)
{
    return links->list->len;
}

int64_t
RpControlLinks_LastHeard(const struct control_links *links, uint64_t id)
{
    const struct heard *heard = g_hash_table_lookup(links->heard, &id);

    return heard ? heard->at : 0;
}

const struct rp_name *
RpControlLinks_ReplicaName(const struct control_links *links, uint64_t id)
{
    const struct heard *heard = g_hash_table_lookup(links->heard, &id);
    const struct link *link = find_ready_link(links, id);

    if (heard) {
        return &heard->name;
    }
    return link && link->name.len ? &link->name : NULL;
}

bool
RpControlLinks_IsConnected(const struct control_links *links, uint64_t id)
{
    return find_ready_link(links, id) != NULL;
}

uint64_t
RpControlLinks_QueuedBytes(const struct control_links *links)
{
    uint64_t bytes = 0;

    for (guint i = 0; i < links->list->len; i++) {
        const struct link *link = g_ptr_array_index(links->list, i);
        bytes += link->conn ? RpConn_Queued(link->conn) : 0;
    }
    return bytes;
}

void
RpControlLinks_SendAll(struct control_links *links, const struct rp_msg *msg)
{
    for (guint i = 0; i < links->list->len; i++) {
        const struct link *link = g_ptr_array_index(links->list, i);
        if (link->ready) {
            RpConn_Send(link->conn, msg);
        }
    }
}

void
RpControlLinks_SetConfirmed(struct control_links *links, int64_t now,
                            const struct rp_name *name,
                            const struct rp_msg_confirm *confirm)
{
    struct report *report = g_new0(struct report, 1);

    report->confirmed = confirm->revision;
    report->routed = confirm->routed;
    report->at = now;
    g_hash_table_replace(links->reports, g_strdup(name->data), report);
}

uint64_t
RpControlLinks_LowestConfirmed(const struct control_links *links, int64_t now,
                               uint64_t own)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, links->reports);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct report *report = value;
        if (now < report->at + REPORT_TTL_US) {
            own = MIN(own, report->confirmed);
        }
    }
    return own;
}

uint64_t
RpControlLinks_LowestRouted(const struct control_links *links, int64_t now,
                            uint64_t own)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, links->reports);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct report *report = value;
        if (now < report->at + RP_NODE_ROUTING_US) {
            own = MIN(own, report->routed);
        }
    }
    return own;
}
