/* Stand-in for the network fabric: sends each packet of a caller to a random
 * balancer, and the packets of agents and balancers to the callers. Loses,
 * delays (and so reorders) and duplicates packets at random, by a seed. */
#include <arpa/inet.h>
#include <errno.h>
#include <glib-unix.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rp_bytes.h"
#include "rp_geneve.h"
#include "rp_packet.h"
#include "rp_time.h"
#include "rp_udp.h"
#include "standin.h"

#define PERMILLE 1000
#define MAX_DELAY_MS 10
/* An unreachable balancer gets no packets for this long, then a probe. */
#define DOWN_US (500 * RP_US_PER_MS)
/* A probe without an error for this long puts the balancer back in use. */
#define PROBE_US (200 * RP_US_PER_MS)
#define BUFFER_BYTES 16384

struct fabric_settings {
    struct rp_endpoint callers; /* callers send here */
    struct rp_endpoint system;  /* agents send here */
    struct rp_endpoints balancers;
    uint32_t loss_permille;
    uint32_t reorder_permille;
    uint32_t duplicate_permille;
    uint32_t seed;
};

/* A balancer and the UDP socket connected to it. The connected socket reports
 * an error if no process listens on the balancer's port. */
struct balancer {
    int fd;
    int64_t down_until;  /* 0: in use */
    int64_t probe_until; /* 0: not being probed */
};

static struct fabric_settings settings;
static struct rp_udp *caller_side;
static struct rp_counters counters;
static struct balancer balancers[RP_ENDPOINTS_MAX];
/* Maps a caller's inner IP address to the endpoint its datagrams come from
 * (struct rp_endpoint). */
static GHashTable *callers;
static GRand *rng;

static const struct rp_setting settings_table[] = {
    {.flag = "callers",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct fabric_settings, callers),
     .value = "ADDR:PORT",
     .help = "address that receives the callers' datagrams"},
    {.flag = "system",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct fabric_settings, system),
     .value = "ADDR:PORT",
     .help = "address that receives the agents' datagrams"},
    {.flag = "balancers",
     .kind = RP_SETTING_ENDPOINTS,
     .offset = offsetof(struct fabric_settings, balancers),
     .value = "ADDR:PORT,…",
     .help = "addresses of the balancers"},
    {.flag = "loss-permille",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct fabric_settings, loss_permille),
     .value = "N",
     .help = "share of packets lost",
     .fallback = "0",
     .max = PERMILLE},
    {.flag = "reorder-permille",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct fabric_settings, reorder_permille),
     .value = "N",
     .help = "share of packets delayed behind later ones",
     .fallback = "0",
     .max = PERMILLE},
    {.flag = "duplicate-permille",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct fabric_settings, duplicate_permille),
     .value = "N",
     .help = "share of packets sent twice",
     .fallback = "0",
     .max = PERMILLE},
    {.flag = "seed",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct fabric_settings, seed),
     .value = "N",
     .help = "seed of the random number generator",
     .fallback = "1",
     .max = UINT32_MAX},
};

/* A datagram to forward, to any balancer or to one caller. */
struct datagram {
    bool to_balancer;
    struct rp_endpoint caller;
    size_t len;
    uint8_t data[];
};

/* Returns true with a probability of permille / 1000. */
static bool
draw_event(uint32_t permille)
{
    return permille && g_rand_int_range(rng, 0, PERMILLE) < (int)permille;
}

/* Stops sending to an unreachable balancer for DOWN_US. */
static void
mark_down(struct balancer *balancer, int64_t now)
{
    balancer->down_until = now + DOWN_US;
    balancer->probe_until = 0;
    printf("fabric: balancer %td unreachable\n", balancer - balancers);
    fflush(stdout);
}

/* Returns whether packets may go to a balancer. After DOWN_US an unreachable
 * balancer is probed with an empty datagram first, so that no caller's packet
 * is lost if it is still down. */
static bool
is_usable(struct balancer *balancer, int64_t now)
{
    if (balancer->down_until == 0) {
        return true;
    }
    if (now < balancer->down_until) {
        return false;
    }
    if (balancer->probe_until == 0) {
        balancer->probe_until = now + PROBE_US;
        if (send(balancer->fd, "", 0, 0) < 0) {
            mark_down(balancer, now);
        }
        return false;
    }
    if (now < balancer->probe_until) {
        return false;
    }
    balancer->down_until = 0;
    balancer->probe_until = 0;
    return true;
}

/* Sends a datagram to a random balancer; if that one is down, to the next. */
static void
send_to_balancer(const struct datagram *datagram)
{
    size_t count = settings.balancers.count;
    size_t first = (size_t)g_rand_int_range(rng, 0, (gint32)count);
    int64_t now = g_get_monotonic_time();

    for (size_t i = 0; i < count; i++) {
        struct balancer *balancer = &balancers[(first + i) % count];
        if (!is_usable(balancer, now)) {
            continue;
        }
        if (send(balancer->fd, datagram->data, datagram->len, 0) >= 0 ||
            errno == EAGAIN) {
            return;
        }
        mark_down(balancer, now);
    }
}

static void
deliver(const struct datagram *datagram)
{
    if (datagram->to_balancer) {
        send_to_balancer(datagram);
        return;
    }
    RpUdp_SendCopy(caller_side, datagram->caller, datagram->data, 0,
                   datagram->data, datagram->len);
}

static gboolean
on_delay_over(gpointer data)
{
    deliver(data);
    return G_SOURCE_REMOVE;
}

/* Sends a datagram on, after a random loss, duplication or delay. */
static void
forward(const struct datagram *datagram)
{
    if (draw_event(settings.loss_permille)) {
        return;
    }
    if (draw_event(settings.duplicate_permille)) {
        deliver(datagram);
    }
    if (draw_event(settings.reorder_permille)) {
        struct datagram *copy = g_memdup2(datagram,
                                          sizeof *datagram + datagram->len);
        guint delay = (guint)g_rand_int_range(rng, 1, MAX_DELAY_MS);
        g_timeout_add_full(G_PRIORITY_DEFAULT, delay, on_delay_over, copy,
                           g_free);
        return;
    }
    deliver(datagram);
}

/* Copies a Geneve datagram and parses its inner packet. Returns NULL if either
 * is malformed; the caller frees the copy. */
static struct datagram *
copy_datagram(const uint8_t *data, size_t len, struct rp_packet *packet)
{
    struct rp_geneve geneve;
    enum rp_counter reason;

    if (!RpGeneve_Parse(data, len, RP_GENEVE_IPV4, &geneve, &reason) ||
        !RpPacket_Parse(geneve.inner, geneve.inner_len, packet, &reason)) {
        return NULL;
    }
    struct datagram *datagram = g_malloc0(sizeof *datagram + len);
    datagram->len = len;
    memcpy(datagram->data, data, len);
    return datagram;
}

static void
on_caller_datagram(void *user, uint8_t *data, size_t len,
                   struct rp_endpoint from)
{
    struct rp_packet packet;
    struct datagram *datagram = copy_datagram(data, len, &packet);

    (void)user;
    if (!datagram) {
        return;
    }
    g_hash_table_replace(callers, GUINT_TO_POINTER(packet.key.src_ip),
                         g_memdup2(&from, sizeof from));
    datagram->to_balancer = true;
    forward(datagram);
    g_free(datagram);
}

static void
on_system_datagram(void *user, uint8_t *data, size_t len,
                   struct rp_endpoint from)
{
    struct rp_packet packet;
    struct datagram *datagram = copy_datagram(data, len, &packet);

    (void)user;
    (void)from;
    if (!datagram) {
        return;
    }
    const struct rp_endpoint *caller = g_hash_table_lookup(
        callers, GUINT_TO_POINTER(packet.key.dst_ip));
    if (caller) {
        datagram->caller = *caller;
        forward(datagram);
    }
    g_free(datagram);
}

/* A balancer sends a packet back itself only if it refuses the flow. */
static gboolean
on_balancer_reply(gint fd, GIOCondition condition, gpointer data)
{
    uint8_t buffer[BUFFER_BYTES];
    ssize_t got = recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);

    (void)condition;
    if (got < 0 && errno != EAGAIN) {
        /* The socket's pending error (port unreachable) is returned once, by
         * the first call after it: this one or the next send. */
        mark_down(data, g_get_monotonic_time());
    }
    if (got > 0) {
        on_system_datagram(NULL, buffer, (size_t)got, (struct rp_endpoint){0});
    }
    return G_SOURCE_CONTINUE;
}

static void
open_balancers(void)
{
    for (size_t i = 0; i < settings.balancers.count; i++) {
        struct rp_endpoint to = settings.balancers.item[i];
        struct sockaddr_in name = {.sin_family = AF_INET,
                                   .sin_port = htons(to.port),
                                   .sin_addr.s_addr = htonl(to.ip)};
        int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (connect(fd, (struct sockaddr *)&name, sizeof name)) {
            perror("connect");
        }
        balancers[i].fd = fd;
        g_unix_fd_add(fd, G_IO_IN, on_balancer_reply, &balancers[i]);
    }
}

int
main(int argc, char **argv)
{
    struct rp_error error;

    standin_read_settings(settings_table, G_N_ELEMENTS(settings_table),
                          "standin-fabric", argc, argv, &settings);
    RpError_Init(&error);
    rng = g_rand_new_with_seed(settings.seed);
    callers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    open_balancers();
    caller_side = RpUdp_Open(settings.callers, on_caller_datagram, NULL,
                             &counters, &error);
    if (!caller_side || !RpUdp_Open(settings.system, on_system_datagram, NULL,
                                    &counters, &error)) {
        fprintf(stderr, "standin-fabric: cannot open --callers or --system\n");
        return 1;
    }
    standin_run();
    return 0;
}
