/* Sockets of a process: what has arrived before a stop is handled, and bodies
 * of HTTP requests are bounded. Uses loopback. */
#include <gio/gio.h>
#include <string.h>

#include "check.h"
#include "rp_http.h"
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

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_stop_handles_arrived_datagrams),
        cmocka_unit_test(test_http_body_limit),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
