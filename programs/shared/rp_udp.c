/* Batched UDP with recvmmsg and sendmmsg. */
#include "rp_udp.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <gio/gio.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

/* One byte more than a datagram may have, to detect truncation. */
#define BUFFER_SIZE (RP_DATAGRAM_MAX + 1)
/* Requested size of the socket's buffers, in bytes; the kernel may allow
 * less. */
#define SOCKET_BUFFER_SIZE (4 << 20)
/* Limits the work of one dispatch, so that other sources of the main loop get
 * to run. */
#define MAX_BATCHES_PER_WAKEUP 4

/* One datagram that waits to be sent. */
struct outgoing {
    struct sockaddr_in to;
    uint8_t header[RP_GENEVE_HEADROOM];
    struct iovec parts[2];
};

struct rp_udp {
    GSocket *socket;
    guint source;
    struct rp_udp *partner;
    RpUdp_Receive receive;
    void *user;
    struct rp_counters *counters;
    struct mmsghdr in[RP_UDP_BATCH];
    struct iovec in_parts[RP_UDP_BATCH];
    struct sockaddr_in in_from[RP_UDP_BATCH];
    uint8_t (*in_data)[BUFFER_SIZE];
    size_t out_count;
    struct mmsghdr out[RP_UDP_BATCH];
    struct outgoing outgoing[RP_UDP_BATCH];
};

static void
prepare_receive(struct rp_udp *udp)
{
    udp->in_data = g_malloc((size_t)RP_UDP_BATCH * BUFFER_SIZE);
    for (size_t i = 0; i < RP_UDP_BATCH; i++) {
        udp->in_parts[i] = (struct iovec){.iov_base = udp->in_data[i],
                                          .iov_len = BUFFER_SIZE};
        udp->in[i].msg_hdr = (struct msghdr){
            .msg_name = &udp->in_from[i],
            .msg_namelen = sizeof udp->in_from[i],
            .msg_iov = &udp->in_parts[i],
            .msg_iovlen = 1};
    }
}

static void
deliver(struct rp_udp *udp, size_t index)
{
    const struct sockaddr_in *from = &udp->in_from[index];
    size_t len = udp->in[index].msg_len;

    RpCounters_Add(udp->counters, RP_COUNT_PACKETS_IN);
    if (len > RP_DATAGRAM_MAX) {
        RpCounters_Add(udp->counters, RP_COUNT_DROP_OVERSIZED);
        return;
    }
    udp->receive(udp->user, udp->in_data[index], len,
                 (struct rp_endpoint){.ip = ntohl(from->sin_addr.s_addr),
                                      .port = ntohs(from->sin_port)});
}

static gboolean
on_readable(gint fd, GIOCondition condition, gpointer data)
{
    struct rp_udp *udp = data;

    (void)condition;
    for (int batch = 0; batch < MAX_BATCHES_PER_WAKEUP; batch++) {
        int got = recvmmsg(fd, udp->in, RP_UDP_BATCH, MSG_DONTWAIT, NULL);
        if (got <= 0) {
            break;
        }
        for (int i = 0; i < got; i++) {
            deliver(udp, (size_t)i);
            udp->in[i].msg_hdr.msg_namelen = sizeof udp->in_from[i];
        }
        RpUdp_Flush(udp);
        if (udp->partner) {
            RpUdp_Flush(udp->partner);
        }
        if (got < RP_UDP_BATCH) {
            break;
        }
    }
    return G_SOURCE_CONTINUE;
}

static GSocket *
open_socket(struct rp_endpoint listen, struct rp_error *error)
{
    GError *socket_error = NULL;
    char text[RP_ENDPOINT_TEXT_MAX];
    GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
                                   G_SOCKET_TYPE_DATAGRAM,
                                   G_SOCKET_PROTOCOL_UDP, &socket_error);

    if (socket) {
        GSocketAddress *address = g_inet_socket_address_new_from_string(
            RpIp_Format(listen.ip, text), listen.port);
        if (!g_socket_bind(socket, address, FALSE, &socket_error)) {
            g_clear_object(&socket);
        }
        g_object_unref(address);
    }
    if (!socket) {
        RpError_Add(error, RP_ERR_IO, RpEndpoint_Format(listen, text),
                    "cannot open UDP socket: %s", socket_error->message);
        g_error_free(socket_error);
        return NULL;
    }
    g_socket_set_blocking(socket, FALSE);
    g_socket_set_option(socket, SOL_SOCKET, SO_RCVBUF, SOCKET_BUFFER_SIZE,
                        NULL);
    g_socket_set_option(socket, SOL_SOCKET, SO_SNDBUF, SOCKET_BUFFER_SIZE,
                        NULL);
    return socket;
}

struct rp_udp *
RpUdp_Open(struct rp_endpoint listen, RpUdp_Receive receive, void *user,
           struct rp_counters *counters, struct rp_error *error)
{
    GSocket *socket = open_socket(listen, error);

    if (!socket) {
        return NULL;
    }
    struct rp_udp *udp = g_new0(struct rp_udp, 1);
    udp->socket = socket;
    udp->receive = receive;
    udp->user = user;
    udp->counters = counters;
    prepare_receive(udp);
    udp->source = g_unix_fd_add(g_socket_get_fd(socket), G_IO_IN, on_readable,
                                udp);
    return udp;
}

void
RpUdp_ReceivePending(struct rp_udp *udp)
{
    on_readable(g_socket_get_fd(udp->socket), G_IO_IN, udp);
}

void
RpUdp_Close(struct rp_udp *udp)
{
    if (!udp) {
        return;
    }
    RpUdp_Flush(udp);
    g_source_remove(udp->source);
    g_object_unref(udp->socket);
    g_free(udp->in_data);
    g_free(udp);
}

void
RpUdp_Send(struct rp_udp *udp, struct rp_endpoint to, const uint8_t *header,
           size_t header_len, const uint8_t *body, size_t body_len)
{
    assert(header_len <= RP_GENEVE_HEADROOM);
    if (udp->out_count == RP_UDP_BATCH) {
        RpUdp_Flush(udp);
    }
    struct outgoing *slot = &udp->outgoing[udp->out_count];
    slot->to = (struct sockaddr_in){.sin_family = AF_INET,
                                    .sin_port = htons(to.port),
                                    .sin_addr.s_addr = htonl(to.ip)};
    memcpy(slot->header, header, header_len);
    slot->parts[0] = (struct iovec){.iov_base = slot->header,
                                    .iov_len = header_len};
    slot->parts[1] = (struct iovec){.iov_base = (void *)body,
                                    .iov_len = body_len};
    udp->out[udp->out_count++].msg_hdr = (struct msghdr){
        .msg_name = &slot->to,
        .msg_namelen = sizeof slot->to,
        .msg_iov = slot->parts,
        .msg_iovlen = 2};
}

void
RpUdp_SendCopy(struct rp_udp *udp, struct rp_endpoint to,
               const uint8_t *header, size_t header_len, const uint8_t *body,
               size_t body_len)
{
    RpUdp_Send(udp, to, header, header_len, body, body_len);
    RpUdp_Flush(udp);
}

void
RpUdp_SetPartner(struct rp_udp *udp, struct rp_udp *partner)
{
    udp->partner = partner;
}

void
RpUdp_Flush(struct rp_udp *udp)
{
    size_t done = 0;
    int fd = g_socket_get_fd(udp->socket);

    while (done < udp->out_count) {
        int sent = sendmmsg(fd, udp->out + done,
                            (unsigned)(udp->out_count - done), MSG_DONTWAIT);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent <= 0) {
            /* The first datagram could not be sent: count it and continue with
             * the next one. */
            RpCounters_Add(udp->counters, errno == ECONNREFUSED
                                              ? RP_COUNT_PEER_UNREACHABLE
                                              : RP_COUNT_SEND_FAILED);
            sent = 1;
        }
        else {
            udp->counters->value[RP_COUNT_PACKETS_OUT] += (uint64_t)sent;
        }
        done += (size_t)sent;
    }
    udp->out_count = 0;
}
