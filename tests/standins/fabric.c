/* Stand-in for the network fabric: hands each packet of a caller to any
 * balancer at random, and packets of the system to the callers. Loses,
 * delays (and so reorders) and duplicates packets, by seed. */
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
#define DOWN_US (500 * RP_US_PER_MS)
#define PROBE_US (200 * RP_US_PER_MS) /* without an error: back in use */
#define BUFFER 16384

struct fabric_settings {
    struct rp_endpoint callers; /* callers send here */
    struct rp_endpoint system;  /* agents send here */
    struct rp_endpoints balancers;
    uint32_t loss_permille;
    uint32_t reorder_permille;
    uint32_t duplicate_permille;
    uint32_t seed;
};

/* One balancer behind a connected socket, which reports when nobody
 * listens at the other end. */
struct balancer {
    int fd;
    int64_t down_until;  /* 0: in use */
    int64_t probe_until; /* 0: not being probed */
};

static struct fabric_settings settings;
static struct rp_udp *caller_side;
static struct rp_counters counters;
static struct balancer balancers[RP_ENDPOINTS_MAX];
static GHashTable *callers; /* inner address -> struct rp_endpoint */
static GRand *dice;

static const struct rp_setting settings_table[] = {
    {.flag = "callers",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct fabric_settings, callers),
     .value = "ADDR:PORT",
     .help = "take callers' datagrams here"},
    {.flag = "system",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct fabric_settings, system),
     .value = "ADDR:PORT",
     .help = "take the system's datagrams here"},
    {.flag = "balancers",
     .kind = RP_SETTING_ENDPOINTS,
     .offset = offsetof(struct fabric_settings, balancers),
     .value = "ADDR:PORT,…",
     .help = "where balancers may be"},
    {.flag = "loss-permille",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct fabric_settings, loss_permille),
     .value = "N",
     .help = "packets lost",
     .fallback = "0",
     .max = PERMILLE},
    {.flag = "reorder-permille",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct fabric_settings, reorder_permille),
     .value = "N",
     .help = "packets delayed behind others",
     .fallback = "0",
     .max = PERMILLE},
    {.flag = "duplicate-permille",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct fabric_settings, duplicate_permille),
     .value = "N",
     .help = "packets sent twice",
     .fallback = "0",
     .max = PERMILLE},
    {.flag = "seed",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct fabric_settings, seed),
     .value = "N",
     .help = "of the dice",
     .fallback = "1",
     .max = UINT32_MAX},
};

/* A packet on its way: to any balancer, or to one caller. */
struct parcel {
    bool to_balancer;
    struct rp_endpoint caller;
    size_t len;
    uint8_t data[];
};

static bool
roll(uint32_t permille)
{
    return permille && g_rand_int_range(dice, 0, PERMILLE) < (int)permille;
}

/* Leaves a balancer that nobody answers for alone for a while. */
static void
mark_down(struct balancer *balancer, int64_t now)
{
    balancer->down_until = now + DOWN_US;
    balancer->probe_until = 0;
    printf("fabric: balancer %td unreachable\n", balancer - balancers);
    fflush(stdout);
}

/* Whether packets may go to a balancer. One that was down is tried with an
 * empty datagram first, so that no caller's packet is lost for it. */
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

static void
spray(const struct parcel *parcel)
{
    size_t count = settings.balancers.count;
    size_t first = (size_t)g_rand_int_range(dice, 0, (gint32)count);
    int64_t now = g_get_monotonic_time();

    for (size_t i = 0; i < count; i++) {
        struct balancer *balancer = &balancers[(first + i) % count];
        if (!is_usable(balancer, now)) {
            continue;
        }
        if (send(balancer->fd, parcel->data, parcel->len, 0) >= 0 ||
            errno == EAGAIN) {
            return;
        }
        mark_down(balancer, now);
    }
}

static void
deliver(const struct parcel *parcel)
{
    if (parcel->to_balancer) {
        spray(parcel);
        return;
    }
    RpUdp_SendCopy(caller_side, parcel->caller, parcel->data, 0, parcel->data,
                   parcel->len);
}

static gboolean
on_delay_over(gpointer data)
{
    deliver(data);
    return G_SOURCE_REMOVE;
}

static void
forward(const struct parcel *parcel)
{
    if (roll(settings.loss_permille)) {
        return;
    }
    if (roll(settings.duplicate_permille)) {
        deliver(parcel);
    }
    if (roll(settings.reorder_permille)) {
        struct parcel *copy = g_memdup2(parcel, sizeof *parcel + parcel->len);
        guint delay = (guint)g_rand_int_range(dice, 1, MAX_DELAY_MS);
        g_timeout_add_full(G_PRIORITY_DEFAULT, delay, on_delay_over, copy,
                           g_free);
        return;
    }
    deliver(parcel);
}

static struct parcel *
make_parcel(const uint8_t *data, size_t len, struct rp_packet *packet)
{
    struct rp_geneve geneve;
    enum rp_counter reason;

    if (!RpGeneve_Parse(data, len, RP_GENEVE_IPV4, &geneve, &reason) ||
        !RpPacket_Parse(geneve.inner, geneve.inner_len, packet, &reason)) {
        return NULL;
    }
    struct parcel *parcel = g_malloc0(sizeof *parcel + len);
    parcel->len = len;
    memcpy(parcel->data, data, len);
    return parcel;
}

static void
on_caller_datagram(void *user, uint8_t *data, size_t len,
                   struct rp_endpoint from)
{
    struct rp_packet packet;
    struct parcel *parcel = make_parcel(data, len, &packet);

    (void)user;
    if (!parcel) {
        return;
    }
    g_hash_table_replace(callers, GUINT_TO_POINTER(packet.key.src_ip),
                         g_memdup2(&from, sizeof from));
    parcel->to_balancer = true;
    forward(parcel);
    g_free(parcel);
}

static void
on_system_datagram(void *user, uint8_t *data, size_t len,
                   struct rp_endpoint from)
{
    struct rp_packet packet;
    struct parcel *parcel = make_parcel(data, len, &packet);

    (void)user;
    (void)from;
    if (!parcel) {
        return;
    }
    const struct rp_endpoint *caller = g_hash_table_lookup(
        callers, GUINT_TO_POINTER(packet.key.dst_ip));
    if (caller) {
        parcel->caller = *caller;
        forward(parcel);
    }
    g_free(parcel);
}

/* A balancer answers a packet itself only to refuse it. */
static gboolean
on_balancer_reply(gint fd, GIOCondition condition, gpointer data)
{
    uint8_t buffer[BUFFER];
    ssize_t got = recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);

    (void)condition;
    if (got < 0 && errno != EAGAIN) {
        /* The report that nobody listens comes here or at the next send,
         * whichever is first. */
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
    dice = g_rand_new_with_seed(settings.seed);
    callers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    open_balancers();
    caller_side = RpUdp_Open(settings.callers, on_caller_datagram, NULL,
                             &counters, &error);
    if (!caller_side || !RpUdp_Open(settings.system, on_system_datagram, NULL,
                                    &counters, &error)) {
        fprintf(stderr, "standin-fabric: cannot open its sockets\n");
        return 1;
    }
    standin_run();
    return 0;
}
