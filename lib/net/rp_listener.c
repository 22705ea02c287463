/* The listening socket, its pauses and the connections accepted from it. */
#include "rp_listener.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rp_accept.h"
#include "rp_clock.h"
#include "rp_descriptors.h"
#include "rp_timer.h"

/* Connections that the kernel completes before they are accepted. The kernel
 * drops the SYNs that do not fit, and their callers see silence for a second
 * or more: a herd must fit in that comes while the process is held up. */
#define BACKLOG 1024
/* Limits the work of one dispatch, so that other sources of the main loop get
 * to run. */
#define BATCH 64

struct rp_listener {
    const struct rp_listener_ops *ops;
    void *user;
    const struct rp_net_context *context;
    struct rp_endpoint listen;
    unsigned bound;
    struct rp_accept accept;
    struct rp_timer *timer; /* ends a pause */
    int fd;                 /* -1: to be opened again after the pause */
    guint source;           /* 0: nothing is accepted now */
    GHashTable *streams;    /* set of accepted GSocketConnection, not owned */
};

static gboolean on_acceptable(gint fd, GIOCondition condition, gpointer data);

/* Opens a listening socket; returns -1 and sets errno on failure. */
static int
open_socket(struct rp_endpoint listen_on)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(listen_on.port),
                                  .sin_addr.s_addr = htonl(listen_on.ip)};
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, IPPROTO_TCP);

    /* Connections of an earlier process may still be closing. */
    if (fd >= 0 &&
        (!g_unix_set_fd_nonblocking(fd, TRUE, NULL) ||
         setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) < 0 ||
         bind(fd, (struct sockaddr *)&address, sizeof address) < 0 ||
         listen(fd, BACKLOG) < 0)) {
        int failure = errno;
        close(fd);
        errno = failure;
        return -1;
    }
    return fd;
}

static void
start_accepting(struct rp_listener *listener)
{
    if (listener->source == 0) {
        listener->source = g_unix_fd_add(listener->fd, G_IO_IN, on_acceptable,
                                         listener);
    }
}

static void
stop_accepting(struct rp_listener *listener)
{
    if (listener->source) {
        g_source_remove(listener->source);
        listener->source = 0;
    }
}

static bool
is_full(const struct rp_listener *listener)
{
    return g_hash_table_size(listener->streams) >= listener->bound;
}

/* Accepts nothing until a connection is closed, or for a moment. */
static void
pause_accepting(struct rp_listener *listener)
{
    stop_accepting(listener);
    RpAccept_Pause(&listener->accept, RpClock_Now());
    RpTimer_RunBy(listener->timer, listener->accept.paused_until);
}

/* Counts a failure and accepts nothing until the pause is over. `error` is an
 * errno value; 0: none. */
static void
pause_after_failure(struct rp_listener *listener, enum rp_counter reason,
                    int error)
{
    const struct rp_net_context *context = listener->context;

    pause_accepting(listener);
    RpCounters_Add(context->counters, reason);
    if (RpAccept_MayLog(&listener->accept, RpClock_Now())) {
        GString *text = g_string_new(NULL);
        RpLog_Quote(text, RpStr_FromC(g_strerror(error)));
        RpLog_Event(context->log, RP_LOG_WARN, "accept_failed",
                    "port=%u reason=%s error=%s connections=%u bound=%u "
                    "descriptors=%u limit=%u",
                    listener->listen.port, RpCounter_Name(reason), text->str,
                    g_hash_table_size(listener->streams), listener->bound,
                    RpDescriptors_CountOpen(),
                    RpDescriptors_ReadLimit(context->log));
        g_string_free(text, TRUE);
    }
}

/* Asks the owner to close a connection for the one that waits. */
static void
make_room(struct rp_listener *listener)
{
    if (listener->ops->make_room(listener->user)) {
        pause_accepting(listener);
    }
    else {
        pause_after_failure(listener, RP_COUNT_ACCEPT_ALL_BUSY, 0);
    }
}

static void
close_socket(struct rp_listener *listener)
{
    stop_accepting(listener);
    if (listener->fd >= 0) {
        close(listener->fd);
        listener->fd = -1;
    }
}

static void
reopen_socket(struct rp_listener *listener)
{
    listener->fd = open_socket(listener->listen);
    if (listener->fd < 0) {
        pause_after_failure(listener, RP_COUNT_ACCEPT_BROKEN, errno);
        return;
    }
    RpLog_Event(listener->context->log, RP_LOG_WARN, "listener_reopened",
                "port=%u", listener->listen.port);
}

static void
on_pause_end(void *user)
{
    struct rp_listener *listener = user;

    if (!RpAccept_Resume(&listener->accept, RpClock_Now())) {
        if (listener->accept.paused_until != 0) {
            RpTimer_RunBy(listener->timer, listener->accept.paused_until);
        }
        return;
    }
    if (listener->fd < 0) {
        reopen_socket(listener);
    }
    if (listener->fd >= 0) {
        start_accepting(listener);
    }
}

/* A connection is about to be closed, which frees its descriptor: a pause ends
 * with the next run of the main loop. */
static void
on_stream_gone(gpointer data, GObject *stream)
{
    struct rp_listener *listener = data;

    g_hash_table_remove(listener->streams, stream);
    if (listener->accept.paused_until != 0 && listener->fd >= 0) {
        listener->accept.paused_until = RpClock_Now();
        RpTimer_RunBy(listener->timer, listener->accept.paused_until);
    }
}

/* Makes a stream of an accepted socket, which GSocket sets to non-blocking.
 * The socket is closed on failure. */
static GSocketConnection *
make_stream(int fd)
{
    int on = 1;
    GSocket *socket = g_socket_new_from_fd(fd, NULL);

    if (!socket) {
        close(fd);
        return NULL;
    }
    /* Without it, the end of an answer may wait for the peer's delayed
     * acknowledgement. */
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    GSocketConnection *stream = g_socket_connection_factory_create_connection(
        socket);
    g_object_unref(socket);
    return stream;
}

/* Closes a connection beyond the bound. */
static void
refuse(struct rp_listener *listener, int fd)
{
    const struct rp_net_context *context = listener->context;

    close(fd);
    RpCounters_Add(context->counters, RP_COUNT_PEER_LIMIT);
    RpLog_Event(context->log, RP_LOG_WARN, "peer_over_limit",
                "port=%u reason=%s bound=%u", listener->listen.port,
                RpCounter_Name(RP_COUNT_PEER_LIMIT), listener->bound);
}

static void
hand_over(struct rp_listener *listener, int fd)
{
    if (is_full(listener)) {
        refuse(listener, fd);
        return;
    }
    GSocketConnection *stream = make_stream(fd);

    if (!stream) {
        RpCounters_Add(listener->context->counters, RP_COUNT_ACCEPT_ABORTED);
        return;
    }
    if (RpAccept_Succeed(&listener->accept)) {
        RpLog_Event(listener->context->log, RP_LOG_INFO, "accept_resumed",
                    "port=%u", listener->listen.port);
    }
    g_object_weak_ref(G_OBJECT(stream), on_stream_gone, listener);
    g_hash_table_add(listener->streams, stream);
    listener->ops->accepted(listener->user, stream);
    g_object_unref(stream);
}

/* Acts on a failed accept. Returns whether to try the next connection. */
static bool
handle_failure(struct rp_listener *listener, int error)
{
    enum rp_counter reason;

    switch (RpAccept_Judge(error, &reason)) {
    case RP_ACCEPT_WAIT:
        return false;
    case RP_ACCEPT_NEXT:
        RpCounters_Add(listener->context->counters, reason);
        return true;
    case RP_ACCEPT_PAUSE:
        pause_after_failure(listener, reason, error);
        if (listener->ops->make_room) {
            listener->ops->make_room(listener->user);
        }
        return false;
    case RP_ACCEPT_REOPEN:
        close_socket(listener);
        pause_after_failure(listener, reason, error);
        return false;
    }
    return false;
}

static gboolean
on_acceptable(gint fd, GIOCondition condition, gpointer data)
{
    struct rp_listener *listener = data;
    unsigned failed = 0;

    (void)condition;
    if (is_full(listener) && listener->ops->make_room) {
        make_room(listener);
        return G_SOURCE_CONTINUE;
    }
    for (unsigned i = 0; i < BATCH; i++) {
        if (is_full(listener) && listener->ops->make_room) {
            /* Room is made only if another one waits. */
            return G_SOURCE_CONTINUE;
        }
        int accepted = accept4(fd, NULL, NULL, SOCK_CLOEXEC);
        int error = errno;
        if (accepted >= 0) {
            hand_over(listener, accepted);
        }
        else if (!handle_failure(listener, error)) {
            return G_SOURCE_CONTINUE;
        }
        else if (++failed == BATCH) {
            /* An error that does not go with the connection would keep the
             * main loop busy. */
            pause_after_failure(listener, RP_COUNT_ACCEPT_ABORTED, error);
        }
    }
    return G_SOURCE_CONTINUE;
}

struct rp_listener *
RpListener_Open(struct rp_endpoint listen, unsigned bound,
                const struct rp_net_context *context,
                const struct rp_listener_ops *ops, void *user,
                struct rp_error *error)
{
    char text[RP_ENDPOINT_TEXT_MAX];
    int fd = open_socket(listen);

    if (fd < 0) {
        int failure = errno;
        RpError_Add(error, RP_ERR_IO, RpEndpoint_Format(listen, text),
                    "cannot listen: %s", g_strerror(failure));
        return NULL;
    }
    struct rp_listener *listener = g_new0(struct rp_listener, 1);
    *listener = (struct rp_listener){.ops = ops,
                                     .user = user,
                                     .context = context,
                                     .listen = listen,
                                     .bound = bound,
                                     .fd = fd,
                                     .streams = g_hash_table_new(NULL, NULL)};
    listener->timer = RpTimer_Create(on_pause_end, listener);
    start_accepting(listener);
    return listener;
}

void
RpListener_Close(struct rp_listener *listener)
{
    GHashTableIter iter;
    gpointer stream;

    if (!listener) {
        return;
    }
    close_socket(listener);
    RpTimer_Free(listener->timer);
    g_hash_table_iter_init(&iter, listener->streams);
    while (g_hash_table_iter_next(&iter, &stream, NULL)) {
        g_object_weak_unref(G_OBJECT(stream), on_stream_gone, listener);
    }
    g_hash_table_destroy(listener->streams);
    g_free(listener);
}
