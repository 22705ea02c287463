/* Answers the nodes and replicas that connect to a control instance without a
 * disk: tells each the addresses of the replicas, as a replica has told them,
 * and closes the connection. A process whose settings name only such instances
 * finds control this way.
 */
#include "control_relay.h"
#include "rp_descriptors.h"

/* Connections at the same time. A node needs its connection for two round
 * trips, so this is enough for 400 nodes in a herd. */
#define MAX_CONNECTIONS 256
/* How long a connection stays open: until its peer has sent a hello and a
 * subscription, and then until the peer has closed it. A node of an earlier
 * release does not close it. */
#define ASK_TIMEOUT_MS 1000
#define CLOSE_TIMEOUT_MS 300

struct rp_relay_nodes {
    const struct rp_daemon *daemon;
    struct rp_counters *counters;
    const struct rp_uplink *uplink;
    struct rp_listener *listener;
    unsigned connections;
};

struct asker {
    struct rp_relay_nodes *nodes;
    struct rp_conn *conn;
    guint timeout_source;
};

static gboolean
on_timeout(gpointer data)
{
    struct asker *asker = data;

    asker->timeout_source = 0;
    RpConn_Close(asker->conn);
    return G_SOURCE_REMOVE;
}

static void
close_after(struct asker *asker, guint timeout_ms)
{
    if (asker->timeout_source) {
        g_source_remove(asker->timeout_source);
    }
    asker->timeout_source = g_timeout_add(timeout_ms, on_timeout, asker);
}

static void
answer(struct asker *asker)
{
    struct rp_msg msg;

    RpContacts_ToMsg(RpUplink_ToldControls(asker->nodes->uplink), &msg);
    RpConn_Send(asker->conn, &msg);
    RpMsg_Clear(&msg);
    RpCounters_Add(asker->nodes->counters, RP_COUNT_NODE_HINTED);
    close_after(asker, CLOSE_TIMEOUT_MS);
}

static void
on_ready(void *user, struct rp_conn *conn, const struct rp_msg_hello *hello)
{
    struct asker *asker = user;

    if (hello->role == RP_ROLE_CONTROL) {
        answer(asker); /* a replica asks for nothing on its connections */
    }
    else if (hello->role == RP_ROLE_OPERATOR) {
        RpConn_Close(conn); /* so that it tries the next instance */
    }
}

static void
on_message(void *user, struct rp_conn *conn, struct rp_msg *msg)
{
    (void)conn;
    /* What else a node sends is meant for a replica. */
    if (msg->type == RP_MSG_SUBSCRIBE) {
        answer(user);
    }
}

static void
on_closed(void *user, struct rp_conn *conn)
{
    struct asker *asker = user;

    (void)conn;
    if (asker->timeout_source) {
        g_source_remove(asker->timeout_source);
    }
    asker->nodes->connections--;
    g_free(asker);
}

static void
on_accepted(void *user, GSocketConnection *stream)
{
    static const struct rp_conn_ops ops = {
        .ready = on_ready, .message = on_message, .closed = on_closed};
    struct rp_relay_nodes *nodes = user;

    struct asker *asker = g_new0(struct asker, 1);
    asker->nodes = nodes;
    nodes->connections++;
    asker->conn = RpConn_Accept(&nodes->daemon->context, stream, &ops, asker);
    close_after(asker, ASK_TIMEOUT_MS);
}

struct rp_relay_nodes *
RpRelayNodes_Open(struct rp_daemon *daemon, struct rp_endpoint listen,
                  const struct rp_uplink *uplink)
{
    static const struct rp_listener_ops ops = {.accepted = on_accepted};
    struct rp_relay_nodes *nodes = g_new0(struct rp_relay_nodes, 1);
    unsigned bound = RpDescriptors_NodeBound(
        RpDescriptors_ReadLimit(daemon->log));
    struct rp_error error;

    nodes->daemon = daemon;
    nodes->counters = &daemon->counters;
    nodes->uplink = uplink;
    RpError_Init(&error);
    nodes->listener = RpListener_Open(listen, MIN(bound, MAX_CONNECTIONS),
                                      &daemon->net, &ops, nodes, &error);
    RpDaemon_PrintFindings(&error);
    RpError_Clear(&error);
    if (!nodes->listener) {
        RpRelayNodes_Close(nodes);
        return NULL;
    }
    return nodes;
}

void
RpRelayNodes_Close(struct rp_relay_nodes *nodes)
{
    if (nodes) {
        RpListener_Close(nodes->listener);
        while (nodes->connections > 0) {
            g_main_context_iteration(NULL, TRUE);
        }
        g_free(nodes);
    }
}
