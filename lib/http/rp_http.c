/* Listening and answering with libsoup, and the deadlines of connections. */
#include "rp_http.h"

#include "rp_callers.h"
#include "rp_clock.h"
#include "rp_descriptors.h"
#include "rp_timer.h"

#define LENGTH_KEY "rp-body-length"
#define PORT_KEY "rp-port"
#define CALLER_KEY "rp-caller"
#define TOO_LONG_KEY "rp-body-too-long"

/* A port and its connections. It belongs to its SoupServer. */
struct http_port {
    struct rp_listener *listener;
    const struct rp_net_context *context;
    uint16_t number;
    gsize body_max; /* bytes */
    struct rp_callers callers;
    struct rp_timer *timer; /* the earliest deadline of a connection */
    GQueue answered;        /* of struct http_caller that have a next_stream */
    guint source;           /* gives them to the server; 0: there are none */
};

/* A connection. It is found by the address that its messages name, which is
 * an object of its own. */
struct http_caller {
    struct rp_caller caller;
    struct http_port *port;
    GSocketConnection *stream; /* not owned: its end frees this struct */
    GSocketAddress *local;
    GSocketAddress *remote;
    GIOStream *next_stream; /* for the server's next request, or NULL */
};

static struct http_port *
get_port(SoupServer *server)
{
    return g_object_get_data(G_OBJECT(server), PORT_KEY);
}

/* Returns the connection of a request, or NULL if it is gone. */
static struct http_caller *
find_caller(SoupServerMessage *message)
{
    GSocketAddress *remote = soup_server_message_get_remote_address(message);

    return remote ? g_object_get_data(G_OBJECT(remote), CALLER_KEY) : NULL;
}

static void
set_state(SoupServerMessage *message, enum rp_caller_state state)
{
    struct http_caller *caller = find_caller(message);

    if (caller) {
        struct http_port *port = caller->port;
        RpCallers_SetState(&port->callers, &caller->caller, state,
                           RpClock_Now());
        RpTimer_RunBy(port->timer, caller->caller.deadline);
    }
}

/* Ends a connection. The server sees that and drops it. */
static void
close_caller(struct http_caller *caller, enum rp_counter reason)
{
    struct http_port *port = caller->port;
    const struct rp_net_context *context = port->context;
    gchar *ip = g_inet_address_to_string(g_inet_socket_address_get_address(
        G_INET_SOCKET_ADDRESS(caller->remote)));

    RpCounters_Add(context->counters, reason);
    RpLog_Event(context->log, RP_LOG_INFO, "caller_closed",
                "port=%u reason=%s caller=%s connections=%u", port->number,
                RpCounter_Name(reason), ip, port->callers.by_activity.length);
    g_free(ip);
    RpCallers_SetState(&port->callers, &caller->caller, RP_CALLER_CLOSING,
                       RpClock_Now());
    g_socket_shutdown(g_socket_connection_get_socket(caller->stream), TRUE,
                      TRUE, NULL);
}

/* Returns whether something has arrived that the server has not read yet. */
static bool
has_input(const struct http_caller *caller)
{
    return g_socket_get_available_bytes(
               g_socket_connection_get_socket(caller->stream)) > 0;
}

/* Closes the connection that was idle the longest, for a new caller. */
static bool
make_room(void *user)
{
    struct http_port *port = get_port(user);
    int64_t now = RpClock_Now();
    unsigned tries = port->callers.by_activity.length;
    struct rp_caller *idle;

    while (tries-- > 0 &&
           (idle = RpCallers_FindIdle(&port->callers, now)) != NULL) {
        struct http_caller *caller = (struct http_caller *)idle;
        if (!has_input(caller)) {
            close_caller(caller, RP_COUNT_CALLER_GAVE_WAY);
            return true;
        }
        /* Its request has just arrived. */
        RpCallers_Touch(&port->callers, idle, now);
    }
    return false;
}

static void
on_deadline(void *user)
{
    struct http_port *port = user;
    int64_t now = RpClock_Now();
    struct rp_caller *expired;

    while ((expired = RpCallers_FindExpired(&port->callers, now)) != NULL) {
        struct http_caller *caller = (struct http_caller *)expired;
        if (!has_input(caller) || !RpCallers_Postpone(expired, now)) {
            close_caller(caller, RpCallers_Reason(expired->state));
        }
    }
    RpTimer_RunBy(port->timer, RpCallers_Deadline(&port->callers));
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

    set_state(message, RP_CALLER_SENDS);
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
    struct http_caller *caller = find_caller(message);

    if (caller) {
        RpCallers_Touch(&caller->port->callers, &caller->caller,
                        RpClock_Now());
    }
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
    struct http_caller *caller;

    g_queue_init(&port->answered);
    port->source = 0;
    while ((caller = g_queue_pop_head(&answered)) != NULL) {
        GIOStream *stream = g_steal_pointer(&caller->next_stream);
        soup_server_accept_iostream(server, stream, caller->local,
                                    caller->remote, NULL);
        g_object_unref(stream);
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
    struct http_caller *caller = find_caller(message);

    if (!caller || !stays_open(message)) {
        return;
    }
    set_state(message, RP_CALLER_IDLE);
    GIOStream *stolen = soup_server_message_steal_connection(message);
    caller->next_stream = choose_stream(stolen);
    g_object_unref(stolen);
    g_queue_push_tail(&port->answered, caller);
    if (port->source == 0) {
        port->source = g_idle_add_full(G_PRIORITY_DEFAULT, on_answered, server,
                                       NULL);
    }
}

static void
on_body(SoupServerMessage *message, gpointer data)
{
    (void)data;
    set_state(message, RP_CALLER_WAITS);
}

static void
on_answer_begins(SoupServerMessage *message, gpointer data)
{
    (void)data;
    set_state(message, RP_CALLER_RECEIVES);
}

/* Follows a request. The handlers end with the server, which a message may
 * outlive. */
static void
on_request_started(SoupServer *server, SoupServerMessage *message,
                   gpointer data)
{
    static const struct {
        const char *signal;
        GCallback handler;
    } handlers[] = {{"got-headers", G_CALLBACK(on_headers)},
                    {"got-chunk", G_CALLBACK(on_chunk)},
                    {"got-body", G_CALLBACK(on_body)},
                    {"wrote-headers", G_CALLBACK(on_answer_begins)},
                    {"wrote-body", G_CALLBACK(on_answer_sent)}};

    (void)data;
    for (size_t i = 0; i < G_N_ELEMENTS(handlers); i++) {
        g_signal_connect_object(message, handlers[i].signal,
                                handlers[i].handler, server, (GConnectFlags)0);
    }
}

/* Frees a connection that the server does not have any more. */
static void
free_caller(struct http_caller *caller)
{
    RpCallers_Remove(&caller->port->callers, &caller->caller);
    g_object_set_data(G_OBJECT(caller->remote), CALLER_KEY, NULL);
    g_object_unref(caller->local);
    g_object_unref(caller->remote);
    g_free(caller);
}

static void
on_stream_gone(gpointer data, GObject *stream)
{
    (void)stream;
    free_caller(data);
}

static void
add_caller(struct http_port *port, GSocketConnection *stream,
           GSocketAddress *local, GSocketAddress *remote)
{
    struct http_caller *caller = g_new0(struct http_caller, 1);

    caller->port = port;
    caller->stream = stream;
    caller->local = g_object_ref(local);
    caller->remote = g_object_ref(remote);
    g_object_set_data(G_OBJECT(remote), CALLER_KEY, caller);
    g_object_weak_ref(G_OBJECT(stream), on_stream_gone, caller);
    RpCallers_Add(&port->callers, &caller->caller, RpClock_Now());
    RpTimer_RunBy(port->timer, caller->caller.deadline);
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
        add_caller(get_port(server), stream, local, remote);
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
    struct rp_caller *first;

    RpListener_Close(port->listener);
    RpTimer_Free(port->timer);
    if (port->source) {
        g_source_remove(port->source);
    }
    g_queue_clear(&port->answered);
    while ((first = RpCallers_First(&port->callers)) != NULL) {
        struct http_caller *caller = (struct http_caller *)first;
        GIOStream *next_stream = caller->next_stream;
        g_object_weak_unref(G_OBJECT(caller->stream), on_stream_gone, caller);
        free_caller(caller);
        g_clear_object(&next_stream);
    }
    g_free(port);
}

SoupServer *
RpHttp_Serve(struct rp_endpoint listen, goffset body_max,
             const struct rp_net_context *context, struct rp_error *error)
{
    static const struct rp_listener_ops ops = {.accepted = on_accepted,
                                               .make_room = make_room};
    SoupServer *server = soup_server_new("server-header", "radishport", NULL);
    unsigned bound = RpDescriptors_HttpBound(
        RpDescriptors_ReadLimit(context->log));
    struct rp_listener *listener = RpListener_Open(listen, bound, context,
                                                   &ops, server, error);

    if (!listener) {
        g_object_unref(server);
        return NULL;
    }
    struct http_port *port = g_new0(struct http_port, 1);
    *port = (struct http_port){.listener = listener,
                               .context = context,
                               .number = listen.port,
                               .body_max = (gsize)body_max};
    RpCallers_Init(&port->callers);
    port->timer = RpTimer_Create(on_deadline, port);
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
