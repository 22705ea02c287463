/* Sockets of a process: what has arrived before a stop is handled, bodies of
 * HTTP requests are bounded, and the log tells why a connection ended. Uses
 * loopback. */
#include <gio/gio.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "rp_conn.h"
#include "rp_http.h"
#include "rp_process.h"
#include "rp_settings.h"
#include "rp_udp.h"

#define LOOPBACK 0x7f000001u
#define BODY_MAX 1000

/* Returns a port that is free at present. */
static uint16_t
find_port(GSocketType type)
{
    GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4, type,
                                   G_SOCKET_PROTOCOL_DEFAULT, NULL);
    GSocketAddress *any = g_inet_socket_address_new_from_string("127.0.0.1",
                                                                0);
    assert_true(g_socket_bind(socket, any, FALSE, NULL));
    GSocketAddress *bound = g_socket_get_local_address(socket, NULL);
    guint16 port = g_inet_socket_address_get_port(
        G_INET_SOCKET_ADDRESS(bound));

    g_object_unref(any);
    g_object_unref(bound);
    g_object_unref(socket);
    return port;
}

static void
count_datagram(void *user, uint8_t *data, size_t len, struct rp_endpoint from)
{
    unsigned *count = user;

    (void)data;
    (void)len;
    (void)from;
    (*count)++;
}

/* The pattern of a planned stop under load: packets that arrived just before
 * the main loop ended are still handled. */
static void
test_stop_handles_arrived_datagrams(void **state)
{
    struct rp_counters counters = {.value = {0}};
    struct rp_endpoint listen = {.ip = LOOPBACK,
                                 .port = find_port(G_SOCKET_TYPE_DATAGRAM)};
    unsigned count = 0;
    unsigned unused = 0;

    (void)state;
    struct rp_udp *stopping = RpUdp_Open(listen, count_datagram, &count,
                                         &counters, NULL);
    struct rp_udp *sender = RpUdp_Open(
        (struct rp_endpoint){.ip = LOOPBACK,
                             .port = find_port(G_SOCKET_TYPE_DATAGRAM)},
        count_datagram, &unused, &counters, NULL);
    assert_non_null(stopping);
    assert_non_null(sender);
    for (unsigned i = 0; i < 50; i++) {
        RpUdp_SendCopy(sender, listen, (const uint8_t *)"h", 1,
                       (const uint8_t *)"b", 1);
    }
    assert_int_equal(count, 0);
    RpUdp_ReceivePending(stopping);
    assert_int_equal(count, 50);
    RpUdp_Close(stopping);
    RpUdp_Close(sender);
}

struct http_case {
    const char *head;
    size_t body;      /* bytes sent */
    bool in_chunks;   /* chunked transfer coding */
    guint status;     /* 200 if the body was kept */
    gsize kept_bytes; /* of the body, at the handler */
};

struct http_run {
    gsize kept;
    bool too_long;
    GMainLoop *loop;
};

static void
handle_request(SoupServer *server, SoupServerMessage *message,
               const char *path, GHashTable *query, gpointer data)
{
    struct http_run *run = data;
    SoupMessageBody *body = soup_server_message_get_request_body(message);

    (void)server;
    (void)path;
    (void)query;
    run->kept = (gsize)body->length;
    run->too_long = RpHttp_IsTooLong(message);
    RpHttp_Answer(message, run->too_long ? 413 : 200, "text/plain",
                  g_string_new("x"));
}

static void
on_answer(GObject *source, GAsyncResult *result, gpointer data)
{
    struct http_run *run = data;
    GBytes *bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(source),
                                                     result, NULL);

    assert_non_null(bytes);
    assert_in_range(g_bytes_get_size(bytes), 1, 4096);
    g_bytes_unref(bytes);
    g_main_loop_quit(run->loop);
}

/* Sends a request and runs the loop until the first bytes of the answer. */
static void
run_request(uint16_t port, const struct http_case *test, struct http_run *run)
{
    GSocketClient *client = g_socket_client_new();
    GSocketConnection *connection = g_socket_client_connect_to_host(
        client, "127.0.0.1", port, NULL, NULL);
    GString *text = g_string_new(test->head);

    assert_non_null(connection);
    for (size_t sent = 0; sent < test->body; sent += 100) {
        if (test->in_chunks) {
            g_string_append(text, "64\r\n");
        }
        for (int i = 0; i < 100; i++) {
            g_string_append_c(text, 'b');
        }
        g_string_append(text, test->in_chunks ? "\r\n" : "");
    }
    g_string_append(text, test->in_chunks ? "0\r\n\r\n" : "");
    assert_true(g_output_stream_write_all(
        g_io_stream_get_output_stream(G_IO_STREAM(connection)), text->str,
        text->len, NULL, NULL, NULL));
    g_input_stream_read_bytes_async(
        g_io_stream_get_input_stream(G_IO_STREAM(connection)), 4096,
        G_PRIORITY_DEFAULT, NULL, on_answer, run);
    g_main_loop_run(run->loop);
    g_string_free(text, TRUE);
    g_object_unref(connection);
    g_object_unref(client);
}

/* A body that is too long is never kept whole, whether its head tells its
 * length or not. */
static void
test_http_body_limit(void **state)
{
    static const struct http_case cases[] = {
        {"PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n", 1000,
         false, 200, 1000},
        {"PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 1100\r\n\r\n", 1100,
         false, 413, 0},
        {"PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
         1000, true, 200, 1000},
        {"PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
         100000, true, 413, 0},
    };
    uint16_t port = find_port(G_SOCKET_TYPE_STREAM);
    struct rp_counters counters = {.value = {0}};
    const struct rp_net_context context = {.counters = &counters};
    SoupServer *server = RpHttp_Serve(
        (struct rp_endpoint){.ip = LOOPBACK, .port = port}, BODY_MAX, &context,
        NULL);
    struct http_run run = {.loop = g_main_loop_new(NULL, FALSE)};

    (void)state;
    assert_non_null(server);
    soup_server_add_handler(server, NULL, handle_request, &run, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        run_request(port, &cases[i], &run);
        assert_int_equal(run.too_long, cases[i].status == 413);
        assert_int_equal(run.kept, cases[i].kept_bytes);
    }
    g_object_unref(server);
    g_main_loop_unref(run.loop);
}

/* What the other end of a connection does. */
enum peer_deed {
    PEER_IS_ABSENT,  /* nothing listens */
    PEER_IS_SILENT,  /* listens, and says nothing */
    PEER_ENDS,       /* accepts, then closes in order */
    PEER_RESETS,     /* accepts, then resets */
    PEER_SEES_CLOSE, /* this side closes */
};

struct conn_case {
    enum peer_deed deed;
    enum rp_counter reason;
    const char *level;
};

static void
ignore_ready(void *user, struct rp_conn *conn,
             const struct rp_msg_hello *hello)
{
    (void)user;
    (void)conn;
    (void)hello;
}

static void
ignore_message(void *user, struct rp_conn *conn, struct rp_msg *msg)
{
    (void)user;
    (void)conn;
    (void)msg;
}

static void
set_closed(void *user, struct rp_conn *conn)
{
    bool *closed = user;

    (void)conn;
    *closed = true;
}

static const struct rp_conn_ops conn_ops = {
    .ready = ignore_ready, .message = ignore_message, .closed = set_closed};

/* Accepts the connection that was opened and ends it. */
static void
end_as_peer(GSocket *listener, enum peer_deed deed)
{
    const struct linger reset = {.l_onoff = 1, .l_linger = 0};
    char hello[4096];

    while (!g_socket_condition_check(listener, G_IO_IN)) {
        g_main_context_iteration(NULL, TRUE);
    }
    GSocket *peer = g_socket_accept(listener, NULL, NULL);
    assert_non_null(peer);
    /* Unread bytes would turn an orderly end into a reset. */
    while (!g_socket_condition_check(peer, G_IO_IN)) {
        g_main_context_iteration(NULL, TRUE);
    }
    assert_true(g_socket_receive(peer, hello, sizeof hello, NULL, NULL) > 0);
    if (deed == PEER_RESETS) {
        assert_int_equal(setsockopt(g_socket_get_fd(peer), SOL_SOCKET,
                                    SO_LINGER, &reset, sizeof reset),
                         0);
    }
    g_socket_close(peer, NULL);
    g_object_unref(peer);
}

/* Opens a connection to `to`, where `listener` may listen (NULL: nothing
 * does), and waits until it has ended. */
static void
run_conn(const struct rp_conn_context *context, struct rp_endpoint to,
         GSocket *listener, enum peer_deed deed)
{
    bool closed = false;
    struct rp_conn *conn = RpConn_Open(context, to, 100 * RP_US_PER_MS,
                                       &conn_ops, &closed);

    if (deed == PEER_ENDS || deed == PEER_RESETS) {
        end_as_peer(listener, deed);
    }
    if (deed == PEER_SEES_CLOSE) {
        RpConn_Close(conn);
    }
    while (!closed) {
        g_main_context_iteration(NULL, TRUE);
    }
}

/* Opens a socket that listens on a free port of loopback. */
static GSocket *
listen_on_loopback(struct rp_endpoint *at)
{
    GSocket *listener = g_socket_new(G_SOCKET_FAMILY_IPV4,
                                     G_SOCKET_TYPE_STREAM,
                                     G_SOCKET_PROTOCOL_DEFAULT, NULL);

    *at = (struct rp_endpoint){.ip = LOOPBACK,
                               .port = find_port(G_SOCKET_TYPE_STREAM)};
    GSocketAddress *address = g_inet_socket_address_new_from_string(
        "127.0.0.1", at->port);
    assert_true(g_socket_bind(listener, address, TRUE, NULL));
    assert_true(g_socket_listen(listener, NULL));
    g_object_unref(address);
    return listener;
}

/* Every end of a connection is counted by its reason, and logged with the
 * address and the direction. */
static void
test_conn_end_is_logged(void **state)
{
    static const struct conn_case cases[] = {
        {PEER_IS_ABSENT, RP_COUNT_PEER_REFUSED, "warn"},
        {PEER_IS_SILENT, RP_COUNT_PEER_UNREACHABLE, "warn"},
        {PEER_ENDS, RP_COUNT_PEER_ENDED, "info"},
        {PEER_RESETS, RP_COUNT_PEER_RESET, "warn"},
        {PEER_SEES_CLOSE, RP_COUNT_PEER_CLOSED_HERE, "info"},
    };
    const struct rp_keyring keyring = {
        .key = {RP_STR("0123456789abcdef0123456789abcdef")}, .count = 1};

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct rp_counters counters = {.value = {0}};
        char *text = NULL;
        size_t len = 0;
        FILE *out = open_memstream(&text, &len);
        struct rp_log *log = RpLog_Create(out, RP_LOG_INFO, "test", "a");
        const struct rp_conn_context context = {
            .keyring = &keyring, .counters = &counters, .log = log};
        struct rp_endpoint to;
        char address[RP_ENDPOINT_TEXT_MAX];
        GSocket *listener = listen_on_loopback(&to);

        if (cases[i].deed == PEER_IS_ABSENT) {
            g_socket_close(listener, NULL);
        }
        run_conn(&context, to, listener, cases[i].deed);
        g_object_unref(listener);
        RpLog_Free(log);
        fclose(out);
        gchar *pairs = g_strdup_printf(
            "level=%s role=test name=a event=peer_closed peer=unknown "
            "reason=%s address=%s direction=out",
            cases[i].level, RpCounter_Name(cases[i].reason),
            RpEndpoint_Format(to, address));
        assert_non_null(strstr(text, pairs));
        assert_int_equal(counters.value[cases[i].reason], 1);
        g_free(pairs);
        free(text);
    }
}

/* Attempts to an address that is down are all counted, and few are logged. */
static void
test_failed_attempts_are_bounded(void **state)
{
    const struct rp_keyring keyring = {
        .key = {RP_STR("0123456789abcdef0123456789abcdef")}, .count = 1};
    struct rp_counters counters = {.value = {0}};
    char *text = NULL;
    size_t len = 0;
    FILE *out = open_memstream(&text, &len);
    struct rp_log *log = RpLog_Create(out, RP_LOG_INFO, "test", "a");
    const struct rp_conn_context context = {.keyring = &keyring,
                                            .counters = &counters,
                                            .log = log,
                                            .attempts = RpConn_NewAttempts()};
    struct rp_endpoint to;
    GSocket *listener = listen_on_loopback(&to);
    int64_t quiet_until = g_get_monotonic_time() + RP_CONN_ATTEMPTS_LOG_US;

    (void)state;
    g_socket_close(listener, NULL);
    for (int i = 0; i < 5; i++) {
        run_conn(&context, to, NULL, PEER_IS_ABSENT);
    }
    assert_int_equal(counters.value[RP_COUNT_PEER_REFUSED], 5);
    if (g_get_monotonic_time() < quiet_until) {
        fflush(out);
        assert_null(strstr(strstr(text, "peer_refused") + 1, "peer_refused"));
    }
    g_usleep(RP_CONN_ATTEMPTS_LOG_US);
    run_conn(&context, to, NULL, PEER_IS_ABSENT);
    fflush(out);
    assert_non_null(strstr(text, "attempts=5"));
    g_object_unref(listener);
    RpLog_Free(log);
    fclose(out);
    g_hash_table_destroy(context.attempts);
    free(text);
}

/* The gauges of a process tell how many connections wait to be accepted, and
 * how many descriptors are open. */
static void
test_process_gauges(void **state)
{
    struct rp_endpoint at;
    char address[RP_ENDPOINT_TEXT_MAX];
    GSocket *listener = listen_on_loopback(&at);
    GSocketClient *client = g_socket_client_new();
    GSocketConnection *waiting[3];
    GString *out = g_string_new(NULL);

    (void)state;
    RpEndpoint_Format(at, address);
    for (size_t i = 0; i < G_N_ELEMENTS(waiting); i++) {
        waiting[i] = g_socket_client_connect_to_host(client, address, 0, NULL,
                                                     NULL);
        assert_non_null(waiting[i]);
    }
    RpProcess_FormatGauges("test", out);
    gchar *line = g_strdup_printf(
        "radishport_accept_waiting{role=\"test\",listen=\"%s\"} 3\n", address);
    assert_non_null(strstr(out->str, line));
    g_free(line);
    line = g_strdup_printf(
        "radishport_accept_queue{role=\"test\",listen=\"%s\"} 10\n", address);
    assert_non_null(strstr(out->str, line));
    assert_non_null(
        strstr(out->str, "radishport_descriptors_open{role=\"test\"} "));
    assert_non_null(
        strstr(out->str, "radishport_descriptors_max{role=\"test\"} "));
    g_free(line);
    for (size_t i = 0; i < G_N_ELEMENTS(waiting); i++) {
        g_object_unref(waiting[i]);
    }
    g_string_free(out, TRUE);
    g_object_unref(client);
    g_object_unref(listener);
}

static gboolean
hold_loop(gpointer data)
{
    bool *held = data;

    g_usleep(RP_PROCESS_PAUSE_US);
    *held = true;
    return G_SOURCE_REMOVE;
}

static void
add_pause(void *user, int64_t pause_us)
{
    int64_t *longest = user;

    *longest = MAX(*longest, pause_us);
}

/* A handler that holds the loop is measured, and reported as a pause. */
static void
test_loop_is_watched(void **state)
{
    static struct rp_counters counters;
    static int64_t longest_us;
    bool held = false;
    GString *out = g_string_new(NULL);

    (void)state;
    RpProcess_WatchLoop(&counters, add_pause, &longest_us);
    g_timeout_add(1, hold_loop, &held);
    while (!held) {
        g_main_context_iteration(NULL, TRUE);
    }
    g_main_context_iteration(NULL, FALSE);
    assert_true(longest_us >= RP_PROCESS_PAUSE_US);
    assert_true(counters.histograms.item[RP_HISTOGRAM_LOOP_HELD].count > 0);
    RpProcess_FormatGauges("test", out);
    const char *gauge = strstr(
        out->str, "radishport_loop_longest_held_ms{role=\"test\"} ");
    assert_non_null(gauge);
    assert_true(g_ascii_strtoull(strchr(gauge, ' ') + 1, NULL, 10) >= 300);
    g_string_truncate(out, 0);
    RpProcess_FormatGauges("test", out);
    assert_non_null(strstr(
        out->str, "radishport_loop_longest_held_ms{role=\"test\"} 0\n"));
    g_string_free(out, TRUE);
}

static const struct {
    const char *value; /* NULL: the flag is not given */
    double expected;
} decimals[] = {
    {NULL, 0},        {"2.2", 2.2},      {"100", 100},    {"1e3", 1000},
    {"0.001", 0.001}, {"0", NAN},        {"-3", NAN},     {" ", NAN},
    {"fast", NAN},    {"2.2 Mbit", NAN}, {"2,2", NAN},    {"nan", NAN},
    {"inf", NAN},     {"1e300", NAN},    {"1000.1", NAN},
};

/* An optional decimal that is missing stays 0; an invalid one is NAN, and the
 * program starts without it. */
static void
test_decimal_settings(void **state)
{
    static const struct rp_setting settings[] = {{.flag = "rate",
                                                  .kind = RP_SETTING_DECIMAL,
                                                  .value = "RATE",
                                                  .help = "a rate",
                                                  .max = 1000,
                                                  .optional = true}};

    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(decimals); i++) {
        char *argv[] = {"test", "--rate", (char *)decimals[i].value, NULL};
        double rate = 0;
        struct rp_error error;
        RpError_Init(&error);
        print_message("%s\n", decimals[i].value ? decimals[i].value : "none");
        assert_int_equal(RpSettings_Read(settings, 1, "test", "",
                                         decimals[i].value ? 3 : 1, argv,
                                         &rate, &error),
                         RP_SETTINGS_READY);
        assert_true(isnan(decimals[i].expected)
                        ? isnan(rate)
                        : fabs(rate - decimals[i].expected) < 1e-9);
        RpError_Clear(&error);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_stop_handles_arrived_datagrams),
        cmocka_unit_test(test_http_body_limit),
        cmocka_unit_test(test_conn_end_is_logged),
        cmocka_unit_test(test_failed_attempts_are_bounded),
        cmocka_unit_test(test_process_gauges),
        cmocka_unit_test(test_loop_is_watched),
        cmocka_unit_test(test_decimal_settings),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
