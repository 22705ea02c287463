/* Listening and answering with libsoup. */
#include "rp_http.h"

#define LENGTH_KEY "rp-body-length"
#define PORT_KEY "rp-port"
#define TOO_LONG_KEY "rp-body-too-long"

/* A port. It belongs to its SoupServer. */
struct http_port {
    struct rp_listener *listener;
    gsize body_max;  /* bytes */
    GQueue answered; /* of struct connection, for the server's next request */
    guint source;    /* gives them to it; 0: there are none */
};

/* A connection between two requests. */
struct connection {
    GIOStream *stream;
    GSocketAddress *local;
    GSocketAddress *remote;
};

static struct http_port *
get_port(SoupServer *server)
{
    return g_object_get_data(G_OBJECT(server), PORT_KEY);
}

static void
free_connection(gpointer data)
{
    struct connection *connection = data;

    g_object_unref(connection->stream);
    g_object_unref(connection->local);
    g_object_unref(connection->remote);
    g_free(connection);
}

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
    goffset body_max = (goffset)get_port(data)->body_max;
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
    gsize body_max = get_port(data)->body_max;
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

/* Gives the server the connections whose requests were answered, as if they
 * were new. */
static gboolean
on_answered(gpointer data)
{
    SoupServer *server = data;
    struct http_port *port = get_port(server);
    GQueue answered = port->answered;
    struct connection *connection;

    g_queue_init(&port->answered);
    port->source = 0;
    while ((connection = g_queue_pop_head(&answered)) != NULL) {
        soup_server_accept_iostream(server, connection->stream,
                                    connection->local, connection->remote,
                                    NULL);
        free_connection(connection);
    }
    return G_SOURCE_REMOVE;
}

/* Whether the connection may be used for another request. */
static bool
stays_open(SoupServerMessage *message)
{
    return soup_server_message_get_http_version(message) == SOUP_HTTP_1_1 &&
           !soup_message_headers_header_contains(
               soup_server_message_get_request_headers(message), "Connection",
               "close") &&
           !soup_message_headers_header_contains(
               soup_server_message_get_response_headers(message), "Connection",
               "close");
}

/* Returns the stream to go on with: that of the socket, unless the server has
 * read a part of the next request already. */
static GIOStream *
choose_stream(GIOStream *stolen)
{
    GPollableInputStream *input = G_POLLABLE_INPUT_STREAM(
        g_io_stream_get_input_stream(stolen));
    GIOStream *base = NULL;

    if (!g_pollable_input_stream_is_readable(input)) {
        g_object_get(stolen, "base-iostream", &base, NULL);
    }
    return base ? base : g_object_ref(stolen);
}

/* Takes the connection from the server once the answer is sent. Left to
 * itself, the server never closes a connection that its caller closes after
 * the first request, and its descriptor stays open. */
static void
on_answer_sent(SoupServerMessage *message, gpointer data)
{
    SoupServer *server = data;
    struct http_port *port = get_port(server);

    if (!stays_open(message)) {
        return;
    }
    struct connection *connection = g_new0(struct connection, 1);
    connection->local = g_object_ref(
        soup_server_message_get_local_address(message));
    connection->remote = g_object_ref(
        soup_server_message_get_remote_address(message));
    GIOStream *stolen = soup_server_message_steal_connection(message);
    connection->stream = choose_stream(stolen);
    g_object_unref(stolen);
    g_queue_push_tail(&port->answered, connection);
    if (port->source == 0) {
        port->source = g_idle_add_full(G_PRIORITY_DEFAULT, on_answered, server,
                                       NULL);
    }
}

/* Follows a request. The handlers end with the server, which a message may
 * outlive. */
static void
on_request_started(SoupServer *server, SoupServerMessage *message,
                   gpointer data)
{
    (void)data;
    g_signal_connect_object(message, "got-headers", G_CALLBACK(on_headers),
                            server, (GConnectFlags)0);
    g_signal_connect_object(message, "got-chunk", G_CALLBACK(on_chunk), server,
                            (GConnectFlags)0);
    g_signal_connect_object(message, "wrote-body", G_CALLBACK(on_answer_sent),
                            server, (GConnectFlags)0);
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

static void
free_port(gpointer data)
{
    struct http_port *port = data;

    RpListener_Close(port->listener);
    if (port->source) {
        g_source_remove(port->source);
    }
    g_queue_clear_full(&port->answered, free_connection);
    g_free(port);
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
    struct http_port *port = g_new0(struct http_port, 1);
    *port = (struct http_port){.listener = listener,
                               .body_max = (gsize)body_max};
    g_queue_init(&port->answered);
    g_object_set_data_full(G_OBJECT(server), PORT_KEY, port, free_port);
    g_signal_connect(server, "request-started", G_CALLBACK(on_request_started),
                     NULL);
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
