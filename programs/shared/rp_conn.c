/* Connections: reading, writing, pings, timeouts and the hello exchange. */
#include "rp_conn.h"
#include "rp_clock.h"

#include <netinet/tcp.h>
#include <sodium.h>
#include <string.h>

/* Size of a receive buffer, in bytes. A control instance may have thousands of
 * them. */
#define READ_SIZE 8192
#define TICK_MS 250
/* Addresses whose failed attempts are remembered. A process tries a few at a
 * time, but over the months many, since instances are replaced. */
#define ATTEMPTS_MAX 64

struct rp_conn {
    const struct rp_conn_context *context;
    const struct rp_conn_ops *ops;
    void *user;
    uint64_t number;
    bool opened_by_us;
    struct rp_endpoint address; /* of the other end; 0.0.0.0:0: unknown */
    bool hello_seen;
    bool hello_sent;
    bool ready;
    bool closing;
    unsigned operations; /* asynchronous calls that have not completed */
    GSocketConnection *stream;
    GCancellable *cancellable;
    struct rp_session *session;
    struct rp_msg_hello peer;
    GString *output;  /* frames that wait to be written */
    GString *writing; /* frames that are being written */
    GQueue unsent;    /* messages queued before the hellos, encoded, as
                       * GString */
    char *input;
    guint tick_source;
    guint connect_source; /* timeout for the peer's hello */
    int64_t silence_deadline;
    int64_t ping_deadline;
    uint64_t pings; /* sent */
};

/* The attempts to connect to an address that failed for the same reason. */
struct attempts {
    enum rp_counter reason;
    int64_t quiet_until; /* when the next one is logged */
    unsigned not_logged;
};

static void start_read(struct rp_conn *conn);

static uint64_t
take_next_number(void)
{
    static uint64_t last;

    return ++last;
}

static void
free_encoded(gpointer data)
{
    g_string_free(data, TRUE);
}

/* Tells the owner and frees the connection, once it is closing and no
 * asynchronous call is under way. */
static void
free_if_idle(struct rp_conn *conn)
{
    if (!conn->closing || conn->operations) {
        return;
    }
    conn->ops->closed(conn->user, conn);
    if (conn->stream) {
        g_io_stream_close(G_IO_STREAM(conn->stream), NULL, NULL);
        g_object_unref(conn->stream);
    }
    g_object_unref(conn->cancellable);
    RpSession_Free(conn->session);
    g_string_free(conn->output, TRUE);
    g_string_free(conn->writing, TRUE);
    g_queue_clear_full(&conn->unsent, free_encoded);
    g_free(conn->input);
    g_free(conn);
}

static gboolean
on_close_idle(gpointer data)
{
    struct rp_conn *conn = data;

    conn->operations--;
    free_if_idle(conn);
    return G_SOURCE_REMOVE;
}

static void
stop_connect_timer(struct rp_conn *conn)
{
    if (conn->connect_source) {
        g_source_remove(conn->connect_source);
        conn->connect_source = 0;
    }
}

GHashTable *
RpConn_NewAttempts(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

/* Returns how many failed attempts to connect to this address the log is to
 * tell of now, this one included; 0: none yet. */
static unsigned
count_attempts_to_log(const struct rp_conn *conn, enum rp_counter reason)
{
    GHashTable *table = conn->context->attempts;
    uint64_t key = RpEndpoint_Key(conn->address);
    int64_t now = RpClock_Now();

    if (!table) {
        return 1;
    }
    struct attempts *attempts = g_hash_table_lookup(table, &key);
    if (attempts && attempts->reason == reason &&
        now < attempts->quiet_until) {
        attempts->not_logged++;
        return 0;
    }
    unsigned count = 1;
    if (attempts && attempts->reason == reason) {
        count += attempts->not_logged;
    }
    if (g_hash_table_size(table) >= ATTEMPTS_MAX) {
        g_hash_table_remove_all(table);
    }
    attempts = g_new(struct attempts, 1);
    *attempts = (struct attempts){
        .reason = reason, .quiet_until = now + RP_CONN_ATTEMPTS_LOG_US};
    g_hash_table_replace(table, g_memdup2(&key, sizeof key), attempts);
    return count;
}

static void
forget_attempts(const struct rp_conn *conn)
{
    uint64_t key = RpEndpoint_Key(conn->address);

    if (conn->context->attempts) {
        g_hash_table_remove(conn->context->attempts, &key);
    }
}

/* Counts and logs why a connection ends. `error` is the error of the call that
 * failed, or NULL. */
static void
report_end(const struct rp_conn *conn, enum rp_counter reason,
           const GError *error)
{
    bool is_attempt = conn->opened_by_us && !conn->hello_seen;
    bool is_normal = reason == RP_COUNT_PEER_ENDED ||
                     reason == RP_COUNT_PEER_CLOSED_HERE;
    unsigned attempts = 1;
    char address[RP_ENDPOINT_TEXT_MAX];

    RpCounters_Add(conn->context->counters, reason);
    if (is_attempt && !is_normal) {
        attempts = count_attempts_to_log(conn, reason);
    }
    if (attempts == 0) {
        return;
    }
    GString *more = g_string_new(NULL);
    if (attempts > 1) {
        g_string_append_printf(more, " attempts=%u", attempts);
    }
    if (error) {
        g_string_append(more, " error=");
        RpLog_Quote(more, RpStr_FromC(error->message));
    }
    RpLog_Event(conn->context->log, is_normal ? RP_LOG_INFO : RP_LOG_WARN,
                "peer_closed", "peer=%s reason=%s address=%s direction=%s%s",
                conn->peer.name.len ? conn->peer.name.data : "unknown",
                RpCounter_Name(reason),
                RpEndpoint_Format(conn->address, address),
                conn->opened_by_us ? "out" : "in", more->str);
    g_string_free(more, TRUE);
}

static void
close_now(struct rp_conn *conn)
{
    conn->closing = true;
    if (conn->tick_source) {
        g_source_remove(conn->tick_source);
        conn->tick_source = 0;
    }
    stop_connect_timer(conn);
    g_cancellable_cancel(conn->cancellable);
    conn->operations++;
    g_idle_add(on_close_idle, conn);
}

static void
close_with_error(struct rp_conn *conn, enum rp_counter reason,
                 const GError *error)
{
    if (!conn->closing) {
        report_end(conn, reason, error);
        close_now(conn);
    }
}

static void
close_with_reason(struct rp_conn *conn, enum rp_counter reason)
{
    close_with_error(conn, reason, NULL);
}

void
RpConn_Close(struct rp_conn *conn)
{
    close_with_reason(conn, RP_COUNT_PEER_CLOSED_HERE);
}

/* Returns the reason for an attempt to connect that failed with `error`. */
static enum rp_counter
find_connect_reason(const GError *error)
{
    if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED)) {
        return RP_COUNT_PEER_REFUSED;
    }
    if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT) ||
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE) ||
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_NETWORK_UNREACHABLE)) {
        return RP_COUNT_PEER_UNREACHABLE;
    }
    return RP_COUNT_PEER_CONNECT_FAILED;
}

/* Returns the reason for a read or a write that failed with `error`; NULL: the
 * other end has ended the connection in order. */
static enum rp_counter
find_stream_reason(const GError *error)
{
    if (!error) {
        return RP_COUNT_PEER_ENDED;
    }
    if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_CLOSED)) {
        return RP_COUNT_PEER_RESET;
    }
    /* TCP_USER_TIMEOUT has passed. */
    if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT)) {
        return RP_COUNT_PEER_TIMEOUT;
    }
    return RP_COUNT_PEER_FAILED;
}

static void start_write(struct rp_conn *conn);

static void
on_written(GObject *source, GAsyncResult *result, gpointer data)
{
    struct rp_conn *conn = data;
    gsize written = 0;
    GError *error = NULL;

    conn->operations--;
    gboolean complete = g_output_stream_write_all_finish(
        G_OUTPUT_STREAM(source), result, &written, &error);
    g_string_truncate(conn->writing, 0);
    if (!complete) {
        close_with_error(conn, find_stream_reason(error), error);
    }
    g_clear_error(&error);
    if (conn->closing) {
        free_if_idle(conn);
        return;
    }
    start_write(conn);
}

static void
start_write(struct rp_conn *conn)
{
    if (conn->writing->len || !conn->output->len || !conn->stream) {
        return;
    }
    GString *empty = conn->writing;
    conn->writing = conn->output;
    conn->output = empty;
    conn->operations++;
    g_output_stream_write_all_async(
        g_io_stream_get_output_stream(G_IO_STREAM(conn->stream)),
        conn->writing->str, conn->writing->len, G_PRIORITY_DEFAULT,
        conn->cancellable, on_written, conn);
}

static void
send_now(struct rp_conn *conn, const struct rp_msg *msg)
{
    RpSession_Send(conn->session, msg, conn->output);
    RpCounters_Add(conn->context->counters, RP_COUNT_FRAMES_OUT);
    conn->ping_deadline = RpClock_Now() + RP_CONN_PING_INTERVAL_US;
    if (conn->output->len + conn->writing->len > RP_CONN_QUEUE_MAX) {
        close_with_reason(conn, RP_COUNT_PEER_TOO_SLOW);
        return;
    }
    start_write(conn);
}

static void
send_hello(struct rp_conn *conn)
{
    const struct rp_msg msg = {.type = RP_MSG_HELLO,
                               .hello = conn->context->hello};

    conn->hello_sent = true;
    send_now(conn, &msg);
}

/* Sends the messages that were queued before both hellos were exchanged. */
static void
send_unsent(struct rp_conn *conn)
{
    GString *encoded;

    while (!conn->closing &&
           (encoded = g_queue_pop_head(&conn->unsent)) != NULL) {
        struct rp_msg msg;
        struct rp_str bytes = {.data = encoded->str, .len = encoded->len};
        if (RpMsg_Decode(bytes, &msg)) {
            send_now(conn, &msg);
            RpMsg_Clear(&msg);
        }
        g_string_free(encoded, TRUE);
    }
}

void
RpConn_Send(struct rp_conn *conn, const struct rp_msg *msg)
{
    if (conn->closing) {
        return;
    }
    if (conn->hello_sent && conn->hello_seen) {
        send_now(conn, msg);
        return;
    }
    GString *encoded = g_string_new(NULL);
    RpMsg_Encode(msg, encoded);
    g_queue_push_tail(&conn->unsent, encoded);
}

static void
on_hello(struct rp_conn *conn, const struct rp_msg *msg)
{
    if (msg->hello.version != RP_PROTOCOL_VERSION ||
        msg->hello.role == RP_ROLE_NONE || msg->hello.role >= RP_ROLE_COUNT) {
        close_with_reason(conn, RP_COUNT_FRAME_UNEXPECTED);
        return;
    }
    conn->hello_seen = true;
    forget_attempts(conn);
    stop_connect_timer(conn);
    conn->peer = msg->hello;
    if (!conn->hello_sent) {
        send_hello(conn);
    }
    if (conn->opened_by_us) {
        /* The peer accepts this side only after a frame whose MAC covers the
         * peer's nonce, so one is sent at once. */
        const struct rp_msg ping = {.type = RP_MSG_PING};
        send_now(conn, &ping);
    }
    send_unsent(conn);
}

static void
report_authenticated(struct rp_conn *conn)
{
    if (!conn->ready && RpSession_IsAuthenticated(conn->session)) {
        conn->ready = true;
        RpCounters_Add(conn->context->counters, RP_COUNT_PEERS_ACCEPTED);
        conn->ops->ready(conn->user, conn, &conn->peer);
    }
}

static void
handle_message(struct rp_conn *conn, struct rp_msg *msg)
{
    RpCounters_Add(conn->context->counters, RP_COUNT_FRAMES_IN);
    if (msg->type == RP_MSG_HELLO) {
        on_hello(conn, msg);
    }
    if (!conn->closing) {
        report_authenticated(conn);
    }
    if (!conn->closing && msg->type != RP_MSG_HELLO &&
        msg->type != RP_MSG_PING) {
        conn->ops->message(conn->user, conn, msg);
    }
}

static void
process_messages(struct rp_conn *conn)
{
    while (!conn->closing) {
        struct rp_msg msg;
        enum rp_counter reason;
        enum rp_session_result result = RpSession_Next(conn->session, &msg,
                                                       &reason);

        if (result == RP_SESSION_FAILED) {
            close_with_reason(conn, reason);
            return;
        }
        if (result == RP_SESSION_WAIT) {
            return;
        }
        handle_message(conn, &msg);
        RpMsg_Clear(&msg);
    }
}

static void
on_read(GObject *source, GAsyncResult *result, gpointer data)
{
    struct rp_conn *conn = data;
    GError *error = NULL;
    gssize received = g_input_stream_read_finish(G_INPUT_STREAM(source),
                                                 result, &error);

    conn->operations--;
    if (received <= 0) {
        close_with_error(conn, find_stream_reason(error), error);
    }
    g_clear_error(&error);
    if (conn->closing) {
        free_if_idle(conn);
        return;
    }
    conn->silence_deadline = RpClock_Now() + RP_CONN_SILENCE_TIMEOUT_US;
    RpSession_Receive(conn->session, (struct rp_str){.data = conn->input,
                                                     .len = (size_t)received});
    process_messages(conn);
    if (!conn->closing) {
        start_read(conn);
    }
}

static void
start_read(struct rp_conn *conn)
{
    conn->operations++;
    g_input_stream_read_async(
        g_io_stream_get_input_stream(G_IO_STREAM(conn->stream)), conn->input,
        READ_SIZE, G_PRIORITY_DEFAULT, conn->cancellable, on_read, conn);
}

static gboolean
on_tick(gpointer data)
{
    struct rp_conn *conn = data;
    int64_t now = RpClock_Now();

    if (now >= conn->silence_deadline) {
        conn->tick_source = 0;
        close_with_reason(conn, RP_COUNT_PEER_TIMEOUT);
        return G_SOURCE_REMOVE;
    }
    if (conn->ready && now >= conn->ping_deadline) {
        const struct rp_msg ping = {.type = RP_MSG_PING,
                                    .ping = {.number = ++conn->pings}};
        send_now(conn, &ping);
    }
    return conn->closing ? G_SOURCE_REMOVE : G_SOURCE_CONTINUE;
}

static struct rp_conn *
create_conn(const struct rp_conn_context *context, bool opened_by_us,
            const struct rp_conn_ops *ops, void *user)
{
    struct rp_conn *conn = g_new0(struct rp_conn, 1);
    uint8_t nonce[RP_NONCE_SIZE];

    randombytes_buf(nonce, sizeof nonce);
    conn->context = context;
    conn->ops = ops;
    conn->user = user;
    conn->number = take_next_number();
    conn->opened_by_us = opened_by_us;
    conn->cancellable = g_cancellable_new();
    conn->session = RpSession_Create(context->keyring, opened_by_us, nonce);
    conn->output = g_string_new(NULL);
    conn->writing = g_string_new(NULL);
    conn->input = g_malloc(READ_SIZE);
    conn->silence_deadline = RpClock_Now() + RP_CONN_SILENCE_TIMEOUT_US;
    conn->tick_source = g_timeout_add(TICK_MS, on_tick, conn);
    g_queue_init(&conn->unsent);
    return conn;
}

/* Sets the socket's options. TCP_USER_TIMEOUT closes a connection whose peer
 * acknowledges nothing for RP_CONN_SILENCE_TIMEOUT_US, since unsent data would
 * otherwise keep it open. */
static void
set_socket_options(GSocketConnection *stream)
{
    GSocket *socket = g_socket_connection_get_socket(stream);
    int timeout_ms = (int)(RP_CONN_SILENCE_TIMEOUT_US / RP_US_PER_MS);

    /* A timeout left on the socket from connecting would also apply to
     * reads. */
    g_socket_set_timeout(socket, 0);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, timeout_ms,
                        NULL);
}

static gboolean
on_connect_timeout(gpointer data)
{
    struct rp_conn *conn = data;

    conn->connect_source = 0;
    close_with_reason(conn, RP_COUNT_PEER_UNREACHABLE);
    return G_SOURCE_REMOVE;
}

static void
on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
    struct rp_conn *conn = data;
    GError *error = NULL;

    conn->operations--;
    conn->stream = g_socket_client_connect_finish(G_SOCKET_CLIENT(source),
                                                  result, &error);
    if (!conn->stream) {
        close_with_error(conn, find_connect_reason(error), error);
    }
    g_clear_error(&error);
    if (conn->closing) {
        free_if_idle(conn);
        return;
    }
    set_socket_options(conn->stream);
    send_hello(conn);
    if (!conn->closing) {
        start_read(conn);
    }
}

struct rp_conn *
RpConn_Open(const struct rp_conn_context *context, struct rp_endpoint to,
            int64_t timeout_us, const struct rp_conn_ops *ops, void *user)
{
    struct rp_conn *conn = create_conn(context, true, ops, user);
    char ip[RP_ENDPOINT_TEXT_MAX];
    GSocketClient *client = g_socket_client_new();
    GSocketAddress *address = g_inet_socket_address_new_from_string(
        RpIp_Format(to.ip, ip), to.port);

    conn->address = to;
    g_socket_client_set_enable_proxy(client, FALSE);
    conn->connect_source = g_timeout_add((guint)(timeout_us / RP_US_PER_MS),
                                         on_connect_timeout, conn);
    conn->operations++;
    g_socket_client_connect_async(client, G_SOCKET_CONNECTABLE(address),
                                  conn->cancellable, on_connected, conn);
    g_object_unref(address);
    g_object_unref(client);
    return conn;
}

/* Returns the address at the other end; 0.0.0.0:0 if unknown. */
static struct rp_endpoint
get_remote_address(GSocketConnection *stream)
{
    GSocketAddress *address = g_socket_connection_get_remote_address(stream,
                                                                     NULL);
    struct sockaddr_in native = {0};

    if (address) {
        g_socket_address_to_native(address, &native, sizeof native, NULL);
        g_object_unref(address);
    }
    return native.sin_family == AF_INET
               ? (struct rp_endpoint){.ip = ntohl(native.sin_addr.s_addr),
                                      .port = ntohs(native.sin_port)}
               : (struct rp_endpoint){0};
}

struct rp_conn *
RpConn_Accept(const struct rp_conn_context *context, GSocketConnection *stream,
              const struct rp_conn_ops *ops, void *user)
{
    struct rp_conn *conn = create_conn(context, false, ops, user);

    conn->stream = g_object_ref(stream);
    conn->address = get_remote_address(stream);
    set_socket_options(stream);
    start_read(conn);
    return conn;
}

uint64_t
RpConn_Number(const struct rp_conn *conn)
{
    return conn->number;
}

uint32_t
RpConn_PeerIp(const struct rp_conn *conn)
{
    return conn->address.ip;
}

size_t
RpConn_Queued(const struct rp_conn *conn)
{
    return conn->output->len + conn->writing->len;
}
