/* Listening and answering with libsoup. */
#include "rp_http.h"

#include <sys/socket.h>
#include <unistd.h>

#define LENGTH_KEY "rp-body-length"
#define LISTENER_KEY "rp-listener"
#define TOO_LONG_KEY "rp-body-too-long"

/* Stops keeping the body of a request, and frees what is there. */
static void
discard_body(SoupServerMessage *message)
{
    SoupMessageBody *body = soup_server_message_get_request_body(message);

    soup_message_body_set_accumulate(body, FALSE);
    soup_message_body_truncate(body);
    g_object_set_data(G_OBJECT(message), TOO_LONG_KEY, GINT_TO_POINTER(1));
}

bool
RpHttp_IsTooLong(SoupServerMessage *message)
{
    return g_object_get_data(G_OBJECT(message), TOO_LONG_KEY) != NULL;
}

static void
on_headers(SoupServerMessage *message, gpointer data)
{
    goffset body_max = (goffset)GPOINTER_TO_SIZE(data);
    SoupMessageHeaders *headers = soup_server_message_get_request_headers(
        message);

    if (soup_message_headers_get_content_length(headers) > body_max) {
        discard_body(message);
    }
}

/* A body in chunks has no length in its head, and a length there may be
 * false: the bytes that arrive are counted. */
static void
on_chunk(SoupServerMessage *message, GBytes *chunk, gpointer data)
{
    gsize body_max = GPOINTER_TO_SIZE(data);
    gsize length = GPOINTER_TO_SIZE(
        g_object_get_data(G_OBJECT(message), LENGTH_KEY));

    if (RpHttp_IsTooLong(message)) {
        return;
    }
    length += g_bytes_get_size(chunk);
    g_object_set_data(G_OBJECT(message), LENGTH_KEY, GSIZE_TO_POINTER(length));
    if (length > body_max) {
        discard_body(message);
    }
}

static void
on_request_started(SoupServer *server, SoupServerMessage *message,
                   gpointer data)
{
    (void)server;
    g_signal_connect(message, "got-headers", G_CALLBACK(on_headers), data);
    g_signal_connect(message, "got-chunk", G_CALLBACK(on_chunk), data);
}

/* Gives an accepted connection to the server. */
static void
on_accepted(void *user, GSocketConnection *stream)
{
    SoupServer *server = user;
    GSocketAddress *local = g_socket_connection_get_local_address(stream,
                                                                  NULL);
    GSocketAddress *remote = g_socket_connection_get_remote_address(stream,
                                                                    NULL);

    /* Either is NULL if the caller has closed the connection already. */
    if (local && remote) {
        soup_server_accept_iostream(server, G_IO_STREAM(stream), local, remote,
                                    NULL);
    }
    g_clear_object(&local);
    g_clear_object(&remote);
}

/* Makes the server keep connections open between requests, which it does only
 * while it listens: it gets one end of a pair of sockets, which is closed
 * again at once, in a main context that never runs. Only the listener of
 * rp_listener.h accepts. Returns whether the server took it. */
static bool
keep_connections_open(SoupServer *server)
{
    int pair[2];

    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0,
                   pair) < 0) {
        return false;
    }
    close(pair[1]);
    GSocket *socket = g_socket_new_from_fd(pair[0], NULL);
    if (!socket) {
        close(pair[0]);
        return false;
    }
    GMainContext *never_run = g_main_context_new();
    g_main_context_push_thread_default(never_run);
    bool taken = soup_server_listen_socket(server, socket,
                                           (SoupServerListenOptions)0, NULL);
    g_main_context_pop_thread_default(never_run);
    g_main_context_unref(never_run);
    g_socket_close(socket, NULL);
    g_object_unref(socket);
    return taken;
}

static void
close_listener(gpointer data)
{
    RpListener_Close(data);
}

SoupServer *
RpHttp_Serve(struct rp_endpoint listen, goffset body_max,
             const struct rp_net_context *context, struct rp_error *error)
{
    static const struct rp_listener_ops ops = {.accepted = on_accepted};
    SoupServer *server = soup_server_new("server-header", "radishport", NULL);
    struct rp_listener *listener = RpListener_Open(listen, context, &ops,
                                                   server, error);

    if (!listener) {
        g_object_unref(server);
        return NULL;
    }
    if (!keep_connections_open(server)) {
        RpLog_Event(context->log, RP_LOG_WARN, "http_connections_not_kept",
                    "port=%u", listen.port);
    }
    g_object_set_data_full(G_OBJECT(server), LISTENER_KEY, listener,
                           close_listener);
    g_signal_connect(server, "request-started", G_CALLBACK(on_request_started),
                     GSIZE_TO_POINTER((gsize)body_max));
    return server;
}

void
RpHttp_Answer(SoupServerMessage *message, guint status, const char *type,
              GString *body)
{
    gsize len = body->len;

    soup_server_message_set_status(message, status, NULL);
    soup_server_message_set_response(message, type, SOUP_MEMORY_TAKE,
                                     g_string_free(body, FALSE), len);
}
