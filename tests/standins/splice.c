/* Relays between an lwIP connection and a TCP socket. */
#include "splice.h"

#include <errno.h>
#include <glib-unix.h>
#include <glib.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

#define CHUNK_BYTES 16384

struct splice {
    struct tcp_pcb *pcb; /* NULL once the stack has freed it */
    int fd;
    guint read_source;
    guint write_source;
    GByteArray *to_fd; /* from the stack, not yet written to the socket */
    bool stack_ended;  /* the stack's peer sent a FIN */
    bool fd_ended;     /* the socket's peer sent a FIN */
    bool fd_shut;      /* the stack's FIN was sent on to the socket */
};

static gboolean on_readable(gint fd, GIOCondition condition, gpointer data);

static void
drop_sources(struct splice *splice)
{
    if (splice->read_source) {
        g_source_remove(splice->read_source);
    }
    if (splice->write_source) {
        g_source_remove(splice->write_source);
    }
    splice->read_source = 0;
    splice->write_source = 0;
}

/* Closes both connections, with a reset if `reset`, and frees the splice. */
static void
close_splice(struct splice *splice, bool reset)
{
    drop_sources(splice);
    if (splice->pcb) {
        tcp_arg(splice->pcb, NULL);
        tcp_recv(splice->pcb, NULL);
        tcp_sent(splice->pcb, NULL);
        tcp_err(splice->pcb, NULL);
        if (reset) {
            tcp_abort(splice->pcb);
        }
        else if (tcp_close(splice->pcb) != ERR_OK) {
            tcp_abort(splice->pcb);
        }
    }
    if (reset) {
        struct linger linger = {.l_onoff = 1, .l_linger = 0};
        setsockopt(splice->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
    }
    close(splice->fd);
    g_byte_array_free(splice->to_fd, TRUE);
    g_free(splice);
}

static bool
is_done(const struct splice *splice)
{
    return splice->fd_ended && splice->fd_shut;
}

static void
watch_reads(struct splice *splice)
{
    if (!splice->read_source && !splice->fd_ended) {
        splice->read_source = g_unix_fd_add(splice->fd, G_IO_IN, on_readable,
                                            splice);
    }
}

/* Writes as much as the socket takes, and shuts it down after the stack's FIN.
 * Returns false if the socket failed. */
static bool
flush_to_fd(struct splice *splice)
{
    while (splice->to_fd->len) {
        ssize_t sent = send(splice->fd, splice->to_fd->data,
                            splice->to_fd->len, MSG_NOSIGNAL);
        if (sent < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        tcp_recved(splice->pcb, (u16_t)sent);
        g_byte_array_remove_range(splice->to_fd, 0, (guint)sent);
    }
    if (splice->stack_ended && !splice->fd_shut) {
        splice->fd_shut = true;
        shutdown(splice->fd, SHUT_WR);
    }
    return true;
}

static gboolean
on_writable(gint fd, GIOCondition condition, gpointer data)
{
    struct splice *splice = data;

    (void)fd;
    (void)condition;
    if (!flush_to_fd(splice)) {
        close_splice(splice, true);
        return G_SOURCE_CONTINUE;
    }
    if (is_done(splice)) {
        close_splice(splice, false);
        return G_SOURCE_CONTINUE;
    }
    if (splice->to_fd->len) {
        return G_SOURCE_CONTINUE;
    }
    splice->write_source = 0;
    return G_SOURCE_REMOVE;
}

static void
watch_writes(struct splice *splice)
{
    if (!splice->write_source) {
        splice->write_source = g_unix_fd_add(splice->fd, G_IO_OUT, on_writable,
                                             splice);
    }
}

/* Moves data from the socket to the stack. Stops watching the socket while the
 * stack's send buffer is full; on_stack_sent starts it again. */
static gboolean
on_readable(gint fd, GIOCondition condition, gpointer data)
{
    struct splice *splice = data;
    char buffer[CHUNK_BYTES];
    size_t capacity = MIN(tcp_sndbuf(splice->pcb), sizeof buffer);

    (void)condition;
    if (capacity == 0) {
        splice->read_source = 0;
        return G_SOURCE_REMOVE;
    }
    ssize_t got = recv(fd, buffer, capacity, 0);
    if (got < 0) {
        if (errno == EAGAIN || errno == EINTR) {
            return G_SOURCE_CONTINUE;
        }
        close_splice(splice, true);
        return G_SOURCE_CONTINUE;
    }
    if (got == 0) {
        splice->fd_ended = true;
        splice->read_source = 0;
        if (!splice->stack_ended) {
            tcp_shutdown(splice->pcb, 0, 1);
        }
        watch_writes(splice);
        return G_SOURCE_REMOVE;
    }
    if (tcp_write(splice->pcb, buffer, (u16_t)got, TCP_WRITE_FLAG_COPY) !=
        ERR_OK) {
        close_splice(splice, true);
        return G_SOURCE_CONTINUE;
    }
    tcp_output(splice->pcb);
    return G_SOURCE_CONTINUE;
}

static err_t
on_stack_data(void *arg, struct tcp_pcb *pcb, struct pbuf *data, err_t err)
{
    struct splice *splice = arg;

    (void)pcb;
    (void)err;
    if (!data) {
        splice->stack_ended = true;
    }
    else {
        guint old = splice->to_fd->len;
        g_byte_array_set_size(splice->to_fd, old + data->tot_len);
        pbuf_copy_partial(data, splice->to_fd->data + old, data->tot_len, 0);
        pbuf_free(data);
    }
    watch_writes(splice);
    return ERR_OK;
}

static err_t
on_stack_sent(void *arg, struct tcp_pcb *pcb, u16_t len)
{
    (void)pcb;
    (void)len;
    watch_reads(arg);
    return ERR_OK;
}

static void
on_stack_error(void *arg, err_t err)
{
    struct splice *splice = arg;

    (void)err;
    splice->pcb = NULL;
    close_splice(splice, true);
}

void
splice_start(struct tcp_pcb *pcb, int fd)
{
    struct splice *splice = g_new0(struct splice, 1);

    splice->pcb = pcb;
    splice->fd = fd;
    splice->to_fd = g_byte_array_new();
    tcp_arg(pcb, splice);
    tcp_recv(pcb, on_stack_data);
    tcp_sent(pcb, on_stack_sent);
    tcp_err(pcb, on_stack_error);
    tcp_nagle_disable(pcb);
    watch_reads(splice);
}
