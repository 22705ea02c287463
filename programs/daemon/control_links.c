/* Connections from this replica to the others. Each replica opens one to
 * every other; what the others send comes in over theirs. */
#include "control.h"
#include "rp_clock.h"

/* Pause after a failed or ended connection to a replica; an election after a
 * loss of power waits for it. */
#define RETRY_US (100 * RP_US_PER_MS)
/* An attempt that is older when its peer calls has met a machine that had no
 * power yet: the answer to a first packet takes 30 ms between the nearer
 * regions. */
#define STUCK_US (50 * RP_US_PER_MS)
#define JOIN_US (1 * RP_US_PER_SECOND)
/* A replica that has not reported for so long does not count as reachable. */
#define REPORT_KEEP_US (5 * RP_US_PER_SECOND)

/* One other replica, known by where it listens. */
struct link {
    struct control_links *links;
    struct rp_endpoint address;
    struct rp_name name; /* what the other side says it is */
    struct rp_conn *conn;
    bool ready;
    bool peer_is_up; /* it has called us while we were trying */
    int64_t opened;  /* when the attempt began */
    int64_t retry_deadline;
};

/* What a replica last said of its nodes. */
struct report {
    uint64_t revision;
    int64_t keep_until;
};

struct control_links {
    struct control *control;
    GPtrArray *list;     /* of struct link */
    GHashTable *reports; /* replica name -> struct report */
    GHashTable *names;   /* replica id -> its name, as heard from it */
    int64_t join_deadline;
};

struct control_links *
RpControlLinks_Create(struct control *control)
{
    struct control_links *links = g_new0(struct control_links, 1);

    links->control = control;
    links->list = g_ptr_array_new();
    links->reports = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                           g_free);
    links->names = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                         g_free);
    return links;
}

/* Tells a replica that was not there before of all upstreams heard here. */
static void
send_upstreams(const struct control *control, struct rp_conn *conn)
{
    GPtrArray *list = RpRegistry_List(control->registry, NULL);

    for (guint i = 0; i < list->len; i++) {
        const struct rp_upstream *upstream = g_ptr_array_index(list, i);
        const struct rp_msg msg = {.type = RP_MSG_ANNOUNCE,
                                   .announce = upstream->last};
        if (upstream->via.len == 0) {
            RpConn_Send(conn, &msg);
        }
    }
    g_ptr_array_unref(list);
}

static struct rp_replica_member
self_as_member(const struct control *control)
{
    return (struct rp_replica_member){
        .id = RpReplica_Id(RpControlReplica_Replica(control->replica)),
        .name = control->settings.common.name,
        .ip = control->settings.listen.ip,
        .port = control->settings.listen.port};
}

/* Whether the log knows this replica under the address it has now. */
static bool
is_listed(const struct control *control)
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

/* Whether this replica should ask to be let in, at its present address. */
static bool
wants_to_join(const struct control *control, int64_t now)
{
    return RpReplica_WantsToJoin(RpControlReplica_Replica(control->replica),
                                 now) ||
           !is_listed(control);
}

static void
on_ready(void *user, struct rp_conn *conn, const struct rp_msg_hello *hello)
{
    struct link *link = user;
    struct control *control = link->links->control;

    link->ready = true;
    link->name = hello->name;
    if (wants_to_join(control, RpClock_Now())) {
        /* At once: others may wait to hear that a disk was lost. */
        const struct rp_msg msg = {
            .type = RP_MSG_JOIN, .join = {.member = self_as_member(control)}};
        RpConn_Send(conn, &msg);
    }
    send_upstreams(control, conn);
    RpLog_Event(control->daemon.log, RP_LOG_INFO, "replica_connected",
                "peer=%s", hello->name.data);
}

static void
on_message(void *user, struct rp_conn *conn, struct rp_msg *msg)
{
    const struct link *link = user;

    /* The other side answers over its own connection. */
    (void)msg;
    RpCounters_Add(&link->links->control->daemon.counters,
                   RP_COUNT_FRAME_UNEXPECTED);
    RpConn_Close(conn);
}

static void
on_closed(void *user, struct rp_conn *conn)
{
    struct link *link = user;

    (void)conn;
    link->conn = NULL;
    link->ready = false;
    link->retry_deadline = RpClock_Now();
    if (!link->peer_is_up) {
        link->retry_deadline += RETRY_US;
    }
    link->peer_is_up = false;
}

void
RpControlLinks_PeerCalled(struct control_links *links, int64_t now,
                          uint32_t ip)
{
    for (guint i = 0; i < links->list->len; i++) {
        struct link *link = g_ptr_array_index(links->list, i);
        if (link->address.ip != ip || link->ready) {
            continue;
        }
        if (link->conn && now - link->opened > STUCK_US) {
            link->peer_is_up = true;
            RpConn_Close(link->conn);
        }
        link->retry_deadline = now;
    }
}

static void
connect_link(struct link *link, int64_t now)
{
    static const struct rp_conn_ops ops = {
        .ready = on_ready, .message = on_message, .closed = on_closed};

    if (!link->conn && now >= link->retry_deadline) {
        link->conn = RpConn_Open(&link->links->control->daemon.context,
                                 link->address, RP_CONN_CONNECT_US, &ops,
                                 link);
        link->opened = now;
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
    if (RpEndpoint_Equal(address, links->control->settings.listen) ||
        find_link(links, address)) {
        return;
    }
    struct link *link = g_new0(struct link, 1);
    link->links = links;
    link->address = address;
    g_ptr_array_add(links->list, link);
}

/* Replicas come from the settings and from the log. */
static void
update_list(struct control_links *links)
{
    const struct control *control = links->control;
    const GArray *members = RpReplica_Members(
        RpControlReplica_Replica(control->replica));

    for (size_t i = 0; i < control->settings.peers.count; i++) {
        add_link(links, control->settings.peers.item[i]);
    }
    for (guint i = 0; i < members->len; i++) {
        const struct rp_replica_member *member = &g_array_index(
            members, struct rp_replica_member, i);
        add_link(links,
                 (struct rp_endpoint){.ip = member->ip, .port = member->port});
    }
}

static void
ask_to_join(struct control_links *links, int64_t now)
{
    struct control *control = links->control;

    if (now < links->join_deadline || !wants_to_join(control, now)) {
        return;
    }
    links->join_deadline = now + JOIN_US;
    const struct rp_msg msg = {.type = RP_MSG_JOIN,
                               .join = {.member = self_as_member(control)}};
    RpControlLinks_SendAll(links, &msg);
    /* A leader whose own address changed lets itself know. */
    RpControlReplica_Join(control->replica, now, &msg.join.member, true);
}

void
RpControlLinks_Tick(struct control_links *links, int64_t now)
{
    update_list(links);
    for (guint i = 0; i < links->list->len; i++) {
        connect_link(g_ptr_array_index(links->list, i), now);
    }
    ask_to_join(links, now);
}

void
RpControlLinks_Heard(struct control_links *links, uint64_t id,
                     const struct rp_name *name)
{
    g_hash_table_replace(links->names, g_memdup2(&id, sizeof id),
                         g_memdup2(name, sizeof *name));
}

/* The link to a replica: by its address if the log has it, else by the name
 * under which it was heard. A replica that is just joining has no log. */
static const struct link *
link_to(const struct control_links *links, uint64_t id)
{
    const GArray *members = RpReplica_Members(
        RpControlReplica_Replica(links->control->replica));
    const struct rp_name *name = g_hash_table_lookup(links->names, &id);

    for (guint i = 0; i < members->len; i++) {
        const struct rp_replica_member *member = &g_array_index(
            members, struct rp_replica_member, i);
        if (member->id == id) {
            return find_link(
                links,
                (struct rp_endpoint){.ip = member->ip, .port = member->port});
        }
    }
    for (guint i = 0; name && i < links->list->len; i++) {
        const struct link *link = g_ptr_array_index(links->list, i);
        if (RpName_Equal(&link->name, name)) {
            return link;
        }
    }
    return NULL;
}

void
RpControlLinks_Send(struct control_links *links, uint64_t to,
                    const struct rp_msg *msg)
{
    const struct link *link = link_to(links, to);

    if (link && link->ready) {
        RpConn_Send(link->conn, msg);
    }
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
RpControlLinks_Report(struct control_links *links, int64_t now,
                      const struct rp_name *name, uint64_t revision)
{
    struct report *report = g_new0(struct report, 1);

    report->revision = revision;
    report->keep_until = now + REPORT_KEEP_US;
    g_hash_table_replace(links->reports, g_strdup(name->data), report);
}

uint64_t
RpControlLinks_Lowest(const struct control_links *links, int64_t now,
                      uint64_t own)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, links->reports);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct report *report = value;
        if (now < report->keep_until) {
            own = MIN(own, report->revision);
        }
    }
    return own;
}
