/* Listening and answering with libsoup. */
#include "rp_http.h"

#define LENGTH_KEY "rp-body-length"
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

SoupServer *
RpHttp_Serve(struct rp_endpoint listen, goffset body_max,
             struct rp_error *error)
{
    SoupServer *server = soup_server_new("server-header", "radishport", NULL);
    char text[RP_ENDPOINT_TEXT_MAX];
    GSocketAddress *address = g_inet_socket_address_new_from_string(
        RpIp_Format(listen.ip, text), listen.port);
    GError *failure = NULL;
    gboolean is_listening = soup_server_listen(
        server, address, (SoupServerListenOptions)0, &failure);

    g_object_unref(address);
    if (is_listening) {
        g_signal_connect(server, "request-started",
                         G_CALLBACK(on_request_started),
                         GSIZE_TO_POINTER((gsize)body_max));
        return server;
    }
    RpError_Add(error, RP_ERR_IO, RpEndpoint_Format(listen, text),
                "cannot listen for HTTP: %s", failure->message);
    g_error_free(failure);
    g_object_unref(server);
    return NULL;
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
