/* See lab.h. */
#include "lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HEAD 31
#define DATA_MAX 1200
#define WINDOW 16
#define F_FIN 2
#define F_ACK 4
#define F_RST 8
#define F_SYN 16
#define F_BOUNCED 32
#define BEAT_MS 1200
#define GRACE_S 6.0
#define SYN_GIVE_UP 1.4
#define MAX_ANSWER 400000

static const char *const zone_names[] = {"z-a", "z-b", "z-c"};

/* --- state --- */
struct packet {
    uint32_t dst, src, sum, seq, ack, echo;
    uint16_t dport, sport, len;
    uint8_t flags, pad;
    uint8_t data[DATA_MAX];
};

/* One end's stream of bytes that it sends. */
struct sender {
    uint8_t *bytes;
    uint32_t len;     /* bytes queued in all */
    uint32_t acked;   /* by the peer */
    uint32_t sent;    /* highest sent */
    double resend_at; /* 0: nothing outstanding */
    double interval;
    int resends;
};

struct host_flow {
    bool used, open, ended;
    uint32_t client_ip, route_ip;
    uint16_t client_port, route_port;
    uint32_t isn, client_isn;
    uint32_t got;       /* bytes of the client received in order */
    char request[8192]; /* the current request's bytes */
    uint32_t request_len;
    double answer_at; /* 0: none is being worked on */
    char id[64];
    struct sender out;
};

struct host {
    bool used, running, draining, drain_acked, ended, acked;
    int zone;
    char service[64], ip[32], id[64];
    uint64_t born, seq;
    char held[512]; /* the body of the first call, if it is held on its way */
    unsigned acks;
    int udp;
    pid_t agent;
    int agent_starts;
    int runs;
    struct host_flow flows[512];
    pthread_t beats;
};

struct client_flow {
    bool used;
    enum lab_flow_state state;
    uint32_t route_ip;
    uint16_t route_port, port;
    int zone, copies, host;
    uint32_t isn, host_isn;
    double syn_at, reset_at;
    uint32_t got;
    uint8_t *in;
    bool asked;
    uint32_t answer_end; /* bytes of `in` that end the last answer */
    char id[64];
    struct sender out;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *record;
static char dir[256], repo[512];
static int net_base; /* second byte of all addresses */
static uint16_t port_datagram, port_ready, port_control, port_outbound,
    port_app, port_internal0, port_internal1;
static pid_t controls[LAB_EDGES_MAX], balancers[LAB_EDGES_MAX];
static bool edge_ready[LAB_EDGES_MAX];
static bool edge_used[LAB_EDGES_MAX];       /* in the operator's list */
static bool edge_serves[LAB_EDGES_MAX];     /* has a balancer */
static unsigned edge_probes[LAB_EDGES_MAX]; /* that were answered with 200 */
static struct host hosts[LAB_MAX_HOSTS];
static struct client_flow flows[LAB_MAX_FLOWS];
static int flow_count;
static uint16_t next_port = 20000;
static int client_udp[3]; /* a client address in each zone */
static int work_ms = 20, answer_bytes = 600;
static bool hold_first_calls;
static int broken_count;
static double started;
static uint64_t rng_state = 88172645463325252ull;

static double
clock_s(void)
{
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

double
lab_now_s(void)
{
    return clock_s() - started;
}

void
lab_sleep(double seconds)
{
    struct timespec t = {(time_t)seconds,
                         (long)((seconds - (double)(time_t)seconds) * 1e9)};
    while (nanosleep(&t, &t) && errno == EINTR) {
    }
}

static uint32_t
draw(void)
{
    rng_state ^= rng_state << 13;
    rng_state ^= rng_state >> 7;
    rng_state ^= rng_state << 17;
    return (uint32_t)(rng_state >> 16);
}

static void note_v(const char *format, va_list args)
    __attribute__((format(printf, 1, 0)));

static void
note_v(const char *format, va_list args)
{
    static pthread_mutex_t out = PTHREAD_MUTEX_INITIALIZER;
    pthread_mutex_lock(&out);
    fprintf(record, "%8.3f ", lab_now_s());
    vfprintf(record, format, args);
    fputc('\n', record);
    fflush(record);
    pthread_mutex_unlock(&out);
}

void
lab_note(const char *format, ...)
{
    va_list args;
    va_start(args, format);
    note_v(format, args);
    va_end(args);
}

bool
lab_trouble(void)
{
    const char *t = getenv("TROUBLE");
    return !t || strcmp(t, "0") != 0;
}

static void
stop_all(void)
{
    for (int i = 0; i < LAB_EDGES_MAX; i++) {
        pid_t p[2] = {balancers[i], controls[i]};
        for (int j = 0; j < 2; j++) {
            if (p[j] > 0) {
                kill(p[j], SIGKILL);
                waitpid(p[j], NULL, 0);
            }
        }
    }
    for (int i = 0; i < LAB_MAX_HOSTS; i++) {
        if (hosts[i].agent > 0) {
            kill(hosts[i].agent, SIGKILL);
            waitpid(hosts[i].agent, NULL, 0);
        }
    }
}

void
lab_cannot(const char *format, ...)
{
    va_list args;
    va_start(args, format);
    note_v(format, args);
    va_end(args);
    lab_note("the case could not run");
    stop_all();
    fclose(record);
    _exit(2);
}

void
lab_broken(const char *rule, const char *format, ...)
{
    char text[512];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    lab_note("BROKEN %s: %s", rule, text);
    broken_count++;
}

/* --- packets --- */
static void
put32(uint8_t *p, uint32_t v)
{
    p[0] = (uint8_t)(v >> 24);
    p[1] = (uint8_t)(v >> 16);
    p[2] = (uint8_t)(v >> 8);
    p[3] = (uint8_t)v;
}
static uint32_t
get32(const uint8_t *p)
{
    return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 | (uint32_t)p[2] << 8 |
           p[3];
}
static void
put16(uint8_t *p, uint16_t v)
{
    p[0] = (uint8_t)(v >> 8);
    p[1] = (uint8_t)v;
}
static uint16_t
get16(const uint8_t *p)
{
    return (uint16_t)(p[0] << 8 | p[1]);
}

/* The keyed sum of the two ends: over all but sum, echo, pad and BOUNCED. */
static uint32_t
sum_of(const uint8_t *b, size_t len)
{
    uint64_t h = 0x9ae16a3b2f90404full;
    for (size_t i = 0; i < len; i++) {
        uint8_t c = b[i];
        if ((i >= 12 && i < 16) || (i >= 25 && i < 29)) {
            continue;
        }
        if (i == 24) {
            c &= (uint8_t)~F_BOUNCED;
        }
        h = (h ^ c) * 0x100000001b3ull;
        h ^= h >> 29;
    }
    uint32_t s = (uint32_t)(h >> 20);
    return s ? s : 1;
}

static size_t
encode(const struct packet *p, uint8_t *b)
{
    put32(b, p->dst);
    put16(b + 4, p->dport);
    put32(b + 6, p->src);
    put16(b + 10, p->sport);
    put32(b + 16, p->seq);
    put32(b + 20, p->ack);
    b[24] = p->flags;
    put32(b + 25, 0);
    put16(b + 29, p->len);
    memcpy(b + HEAD, p->data, p->len);
    put32(b + 12, sum_of(b, HEAD + (size_t)p->len));
    return HEAD + (size_t)p->len;
}

static bool
decode(const uint8_t *b, size_t len, struct packet *p)
{
    if (len < HEAD || get16(b + 29) != len - HEAD || len - HEAD > DATA_MAX) {
        return false;
    }
    p->dst = get32(b);
    p->dport = get16(b + 4);
    p->src = get32(b + 6);
    p->sport = get16(b + 10);
    p->sum = get32(b + 12);
    p->seq = get32(b + 16);
    p->ack = get32(b + 20);
    p->flags = b[24];
    p->len = get16(b + 29);
    memcpy(p->data, b + HEAD, p->len);
    return true;
}

static uint32_t
ip_of(const char *text)
{
    struct in_addr a;
    inet_pton(AF_INET, text, &a);
    return ntohl(a.s_addr);
}

static int
edge_zone(int edge)
{
    return edge >= LAB_FRONT_ONLY ? 0
           : edge < LAB_EDGES     ? edge
                                  : LAB_EDGES - 1;
}

/* The number of an edge machine in its zone. */
static int
edge_number(int edge)
{
    return edge >= LAB_FRONT_ONLY ? edge - LAB_FRONT_ONLY + 1
           : edge < LAB_EDGES     ? 0
                                  : 1;
}

static void
edge_ip(int edge, char *out)
{
    sprintf(out, "127.%d.%d.%d", net_base, edge_zone(edge) + 1,
            10 + edge_number(edge));
}

static void
client_ip(int zone, char *out)
{
    sprintf(out, "127.%d.%d.200", net_base, zone + 1);
}

static struct sockaddr_in
address(const char *ip, uint16_t port)
{
    struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};
    inet_pton(AF_INET, ip, &a.sin_addr);
    return a;
}

static int
open_udp(const char *ip, uint16_t port)
{
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    struct sockaddr_in a = address(ip, port);
    int size = 4 << 20;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    if (fd < 0 || bind(fd, (struct sockaddr *)&a, sizeof a)) {
        lab_cannot("cannot open a datagram port: %s", strerror(errno));
    }
    return fd;
}

/* --- hosts: flows --- */
static void
host_send(struct host *h, const struct packet *p)
{
    uint8_t b[HEAD + DATA_MAX];
    size_t len = encode(p, b);
    struct sockaddr_in to = address(h->ip, port_outbound);
    sendto(h->udp, b, len, 0, (struct sockaddr *)&to, sizeof to);
}

static void
host_reply(struct host *h, struct host_flow *f, uint8_t flags, uint32_t seq,
           const uint8_t *data, uint16_t len)
{
    struct packet p = {.dst = f->client_ip,
                       .dport = f->client_port,
                       .src = f->route_ip,
                       .sport = f->route_port,
                       .seq = seq,
                       .ack = f->client_isn + 1 +
                              ((flags & F_SYN) ? 0 : f->got),
                       .flags = flags,
                       .len = len};
    if (len) {
        memcpy(p.data, data, len);
    }
    host_send(h, &p);
}

/* Returns a caller's packet with BOUNCED set. */
static void
host_bounce(struct host *h, uint8_t *b, size_t len)
{
    struct sockaddr_in to = address(h->ip, port_outbound);
    b[24] |= F_BOUNCED;
    sendto(h->udp, b, len, 0, (struct sockaddr *)&to, sizeof to);
}

static struct host_flow *
find_host_flow(struct host *h, const struct packet *p)
{
    for (size_t i = 0; i < sizeof h->flows / sizeof *h->flows; i++) {
        struct host_flow *f = &h->flows[i];
        if (f->used && f->client_ip == p->src && f->client_port == p->sport &&
            f->route_ip == p->dst && f->route_port == p->dport) {
            return f;
        }
    }
    return NULL;
}

/* Sends what the window allows; `again` repeats from the last acknowledged
 * byte. */
static void
host_pump(struct host *h, struct host_flow *f, bool again)
{
    struct sender *o = &f->out;
    double now = clock_s();
    if (again) {
        o->sent = o->acked;
    }
    while (o->sent < o->len && o->sent - o->acked < WINDOW * DATA_MAX) {
        uint32_t n = o->len - o->sent < DATA_MAX ? o->len - o->sent : DATA_MAX;
        host_reply(h, f, F_ACK, f->isn + 1 + o->sent, o->bytes + o->sent,
                   (uint16_t)n);
        o->sent += n;
    }
    if (o->acked < o->len && o->resend_at == 0) {
        o->interval = 0.2;
        o->resend_at = now + o->interval;
    }
}

static void
sender_append(struct sender *o, const void *data, uint32_t len)
{
    o->bytes = realloc(o->bytes, o->len + len);
    memcpy(o->bytes + o->len, data, len);
    o->len += len;
}

static void
host_answer(struct host *h, struct host_flow *f)
{
    static char body[MAX_ANSWER];
    char head[256];
    memset(body, 'x', sizeof body);
    int n = snprintf(head, sizeof head,
                     "HTTP/1.1 200 OK\r\nX-Radishport-Server-Seal: %s:%s\r\n"
                     "Content-Length: %d\r\n\r\n",
                     h->id, f->id, answer_bytes);
    sender_append(&f->out, head, (uint32_t)n);
    sender_append(&f->out, body, (uint32_t)answer_bytes);
    lab_note("host %s (%s) answers request %s", h->id, h->service, f->id);
    f->answer_at = 0;
    f->request_len = 0;
    host_pump(h, f, false);
}

static void
host_take(struct host *h, struct host_flow *f, const struct packet *p)
{
    uint32_t offset = p->seq - (f->client_isn + 1);
    if (p->len && offset == f->got &&
        f->request_len + p->len < sizeof f->request) {
        memcpy(f->request + f->request_len, p->data, p->len);
        f->request_len += p->len;
        f->got += p->len;
        f->request[f->request_len] = 0;
        char *end = strstr(f->request, "\r\n\r\n");
        char *id = strstr(f->request, "X-Radishport-Attempt-Id: ");
        if (end && id && f->answer_at == 0) {
            char *length = strstr(f->request, "Content-Length: ");
            uint32_t need = (uint32_t)(end + 4 - f->request) +
                            (length ? (uint32_t)atoi(length + 16) : 0);
            if (f->request_len >= need) {
                sscanf(id + 25, "%63[^\r]", f->id);
                h->runs++;
                lab_note("host %s (%s) runs request %s", h->id, h->service,
                         f->id);
                f->answer_at = clock_s() + work_ms / 1e3;
            }
        }
    }
    if (p->len) {
        host_reply(h, f, F_ACK, f->isn + 1 + f->out.sent, NULL, 0);
    }
}

static void
host_packet(struct host *h, uint8_t *b, size_t len)
{
    struct packet p;
    if (!decode(b, len, &p)) {
        return;
    }
    if (p.sum != sum_of(b, len)) {
        lab_broken("UNASKED", "host %s got a packet that nobody wrote so",
                   h->id);
        return;
    }
    struct host_flow *f = find_host_flow(h, &p);
    if ((p.flags & (F_SYN | F_ACK)) == F_SYN) {
        if (!f) {
            for (size_t i = 0; i < sizeof h->flows / sizeof *h->flows; i++) {
                if (!h->flows[i].used) {
                    f = &h->flows[i];
                    break;
                }
            }
            if (!f) {
                host_bounce(h, b, len);
                return;
            }
            memset(f, 0, sizeof *f);
            f->used = true;
            f->client_ip = p.src;
            f->client_port = p.sport;
            f->route_ip = p.dst;
            f->route_port = p.dport;
            f->client_isn = p.seq;
            f->isn = draw();
        }
        host_reply(h, f, F_SYN | F_ACK, f->isn, NULL, 0);
        return;
    }
    if (!f) {
        host_bounce(h, b, len);
        return;
    }
    if (!f->open) {
        if (p.ack != f->isn + 1) {
            host_bounce(h, b, len);
            return;
        }
        f->open = true;
        lab_note("flow %u is open at host %s (%s)", f->client_port, h->id,
                 h->service);
    }
    if (p.flags & F_RST) {
        lab_note("host %s: flow %u ended by its client", h->id,
                 f->client_port);
        f->used = false;
        return;
    }
    uint32_t acked = p.ack - (f->isn + 1);
    if (acked > f->out.acked && acked <= f->out.len) {
        f->out.acked = acked;
        f->out.resends = 0;
        f->out.resend_at = 0;
        if (f->out.sent < acked) {
            f->out.sent = acked;
        }
        host_pump(h, f, false);
    }
    host_take(h, f, &p);
}

static void
host_timers(struct host *h)
{
    double now = clock_s();
    for (size_t i = 0; i < sizeof h->flows / sizeof *h->flows; i++) {
        struct host_flow *f = &h->flows[i];
        if (!f->used) {
            continue;
        }
        if (f->answer_at != 0 && now >= f->answer_at) {
            host_answer(h, f);
        }
        if (f->out.resend_at != 0 && now >= f->out.resend_at) {
            if (++f->out.resends > 8) {
                lab_note("host %s gives up flow %u", h->id, f->client_port);
                f->used = false;
                continue;
            }
            f->out.interval *= 2;
            if (f->out.interval > 1.6) {
                f->out.interval = 1.6;
            }
            f->out.resend_at = now + f->out.interval;
            host_pump(h, f, true);
        }
    }
}

/* --- the router --- */
/* A node's rank for a flow; the highest one takes it. */
static uint64_t
rank_of(int edge, uint16_t port)
{
    uint64_t x = ((uint64_t)port << 8 | (uint64_t)edge) +
                 0x9e3779b97f4a7c15ull;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
    return x ^ (x >> 31);
}

/* The node that gets a client's packet: of those of the zone that are in
 * rotation; of all of the zone's, if fewer than half are; of another zone's,
 * if none is. */
static int
choose_edge(int zone, uint16_t port)
{
    for (int i = 0; i < LAB_EDGES; i++) {
        int all = 0, ready = 0, best = -1;
        for (int e = 0; e < LAB_EDGES_MAX; e++) {
            if (edge_serves[e] && edge_zone(e) == (zone + i) % LAB_EDGES) {
                all++;
                ready += edge_ready[e];
            }
        }
        for (int e = 0; ready > 0 && e < LAB_EDGES_MAX; e++) {
            if (edge_serves[e] && edge_zone(e) == (zone + i) % LAB_EDGES &&
                (edge_ready[e] || 2 * ready < all) &&
                (best < 0 || rank_of(e, port) > rank_of(best, port))) {
                best = e;
            }
        }
        if (best >= 0) {
            return best;
        }
    }
    return zone;
}

/* --- clients --- */
static void
client_send(struct client_flow *f, uint8_t flags, uint32_t seq, uint32_t ack,
            const uint8_t *data, uint16_t len)
{
    struct packet p = {.dst = f->route_ip,
                       .dport = f->route_port,
                       .sport = f->port,
                       .seq = seq,
                       .ack = ack,
                       .flags = flags,
                       .len = len};
    uint8_t b[HEAD + DATA_MAX];
    char ip[32];
    client_ip(f->zone, ip);
    p.src = ip_of(ip);
    if (len) {
        memcpy(p.data, data, len);
    }
    size_t n = encode(&p, b);
    int edge = choose_edge(f->zone, f->port);
    edge_ip(edge, ip);
    struct sockaddr_in to = address(ip, port_datagram);
    sendto(client_udp[f->zone], b, n, 0, (struct sockaddr *)&to, sizeof to);
}

static uint32_t
client_ack(const struct client_flow *f)
{
    return f->host_isn + 1 + f->got;
}

static void
client_pump(struct client_flow *f, bool again)
{
    struct sender *o = &f->out;
    if (again) {
        o->sent = o->acked;
    }
    while (o->sent < o->len && o->sent - o->acked < WINDOW * DATA_MAX) {
        uint32_t n = o->len - o->sent < DATA_MAX ? o->len - o->sent : DATA_MAX;
        client_send(f, F_ACK, f->isn + 1 + o->sent, client_ack(f),
                    o->bytes + o->sent, (uint16_t)n);
        o->sent += n;
    }
    if (o->acked < o->len && o->resend_at == 0) {
        o->interval = 0.2;
        o->resend_at = clock_s() + o->interval;
    }
}

static void
client_reset(struct client_flow *f, const struct packet *p, int number)
{
    if (p->sum != 0) {
        f->state = LAB_FLOW_HOST_RESET;
        lab_note("flow %u (%d): reset by its host", f->port, number);
        return;
    }
    uint32_t distance = p->seq - client_ack(f);
    if (f->state == LAB_FLOW_OPENING) {
        f->state = LAB_FLOW_REFUSED;
        lab_note("flow %u (%d): refused by the system", f->port, number);
    }
    else if (distance <= 76800 || distance >= (uint32_t)-76800) {
        f->state = LAB_FLOW_RESET;
        lab_note("flow %u (%d): RESET BY THE SYSTEM while open", f->port,
                 number);
    }
    else {
        return;
    }
    f->reset_at = lab_now_s();
}

static void
client_packet(const uint8_t *b, size_t len)
{
    struct packet p;
    if (!decode(b, len, &p)) {
        return;
    }
    struct client_flow *f = NULL;
    int i;
    for (i = 0; i < flow_count; i++) {
        if (flows[i].used && flows[i].port == p.dport) {
            f = &flows[i];
            break;
        }
    }
    if (!f || f->route_ip != p.src || f->route_port != p.sport ||
        (f->state != LAB_FLOW_OPENING && f->state != LAB_FLOW_OPEN)) {
        return;
    }
    if (p.flags & F_RST) {
        client_reset(f, &p, i);
        return;
    }
    if (p.sum != sum_of(b, len)) {
        lab_broken("MIXED", "flow %u got a packet that nobody wrote so",
                   f->port);
        return;
    }
    if ((p.flags & (F_SYN | F_ACK)) == (F_SYN | F_ACK)) {
        if (f->state == LAB_FLOW_OPENING) {
            f->state = LAB_FLOW_OPEN;
            f->host_isn = p.seq;
            lab_note("flow %u (%d) opens", f->port, i);
        }
        /* Repeated, it shows that the host lacks the acknowledgement, unless
         * the host has gone on since: then it is an old one. */
        if (p.seq == f->host_isn && f->got == 0) {
            client_send(f, F_ACK, f->isn + 1 + f->out.sent, client_ack(f),
                        NULL, 0);
        }
        return;
    }
    if (f->state != LAB_FLOW_OPEN) {
        return;
    }
    uint32_t acked = p.ack - (f->isn + 1);
    if (acked > f->out.acked && acked <= f->out.len) {
        f->out.acked = acked;
        f->out.resends = 0;
        f->out.resend_at = 0;
        if (f->out.sent < acked) {
            f->out.sent = acked;
        }
        client_pump(f, false);
    }
    uint32_t offset = p.seq - (f->host_isn + 1);
    if (p.len && offset == f->got && f->got + p.len < MAX_ANSWER * 4u) {
        memcpy(f->in + f->got, p.data, p.len);
        f->got += p.len;
        f->in[f->got] = 0;
    }
    if (p.len) {
        client_send(f, F_ACK, f->isn + 1 + f->out.sent, client_ack(f), NULL,
                    0);
    }
    if (f->asked) {
        char *head = (char *)f->in + f->answer_end;
        char *end = strstr(head, "\r\n\r\n");
        char *length = strstr(head, "Content-Length: ");
        if (end && length) {
            uint32_t need = (uint32_t)(end + 4 - (char *)f->in) +
                            (uint32_t)atoi(length + 16);
            if (f->got >= need) {
                char seal[160];
                snprintf(seal, sizeof seal, ":%s\r\n", f->id);
                if (!strstr(head, seal)) {
                    lab_broken("MIXED", "request %s got another's answer",
                               f->id);
                }
                lab_note("flow %u: request %s is answered", f->port, f->id);
                f->answer_end = need;
                f->asked = false;
            }
        }
    }
}

static void
client_timers(void)
{
    double now = clock_s();
    for (int i = 0; i < flow_count; i++) {
        struct client_flow *f = &flows[i];
        static const double copy_at[] = {0, 0.2, 0.6};
        if (f->state == LAB_FLOW_OPENING) {
            if (f->copies < 3 && now >= f->syn_at + copy_at[f->copies]) {
                client_send(f, F_SYN, f->isn, (uint32_t)f->copies, NULL, 0);
                f->copies++;
            }
            if (now >= f->syn_at + SYN_GIVE_UP) {
                f->state = LAB_FLOW_REFUSED;
                lab_note("flow %u (%d): no answer to its SYN", f->port, i);
            }
        }
        else if (f->state == LAB_FLOW_OPEN && f->out.resend_at != 0 &&
                 now >= f->out.resend_at) {
            f->out.resends++;
            f->out.interval *= 2;
            if (f->out.interval > 1.6) {
                f->out.interval = 1.6;
            }
            f->out.resend_at = now + f->out.interval;
            client_pump(f, true);
        }
    }
}

static void *
net_thread(void *unused)
{
    (void)unused;
    uint8_t b[65536];
    for (;;) {
        struct pollfd fds[LAB_MAX_HOSTS + 3];
        int who[LAB_MAX_HOSTS + 3];
        int n = 0;
        pthread_mutex_lock(&lock);
        for (int i = 0; i < 3; i++) {
            fds[n] = (struct pollfd){.fd = client_udp[i], .events = POLLIN};
            who[n++] = -1;
        }
        for (int i = 0; i < LAB_MAX_HOSTS; i++) {
            if (hosts[i].used && hosts[i].running) {
                fds[n] = (struct pollfd){.fd = hosts[i].udp, .events = POLLIN};
                who[n++] = i;
            }
        }
        pthread_mutex_unlock(&lock);
        poll(fds, (nfds_t)n, 3);
        pthread_mutex_lock(&lock);
        for (int i = 0; i < n; i++) {
            if (!(fds[i].revents & POLLIN)) {
                continue;
            }
            for (int k = 0; k < 64; k++) {
                ssize_t got = recv(fds[i].fd, b, sizeof b, 0);
                if (got < 0) {
                    break;
                }
                if (who[i] < 0) {
                    client_packet(b, (size_t)got);
                }
                else if (hosts[who[i]].running) {
                    host_packet(&hosts[who[i]], b, (size_t)got);
                }
            }
        }
        for (int i = 0; i < LAB_MAX_HOSTS; i++) {
            if (hosts[i].used && hosts[i].running) {
                host_timers(&hosts[i]);
            }
        }
        client_timers();
        pthread_mutex_unlock(&lock);
    }
    return NULL;
}

/* --- HTTP --- */
/* One call on a new connection. Returns the status; 0 without an answer. */
static int
http(const char *ip, uint16_t port, const char *method, const char *path,
     const char *body, double patience, char *out, size_t out_size,
     char *location, size_t location_size)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    struct sockaddr_in a = address(ip, port);
    double until = clock_s() + patience;
    size_t body_len = body ? strlen(body) : 0;
    char *request = malloc(body_len + 1024);
    int len = snprintf(request, body_len + 1024,
                       "%s %s HTTP/1.1\r\nHost: %s:%u\r\n"
                       "Content-Type: application/json\r\n"
                       "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
                       method, path, ip, port, body_len, body ? body : "");
    size_t total = (size_t)len, sent = 0, got = 0;
    static const size_t room = 1 << 20;
    char *answer = malloc(room);
    int status = 0;
    bool connecting = true;
    if (connect(fd, (struct sockaddr *)&a, sizeof a) && errno != EINPROGRESS) {
        goto out;
    }
    while (clock_s() < until) {
        struct pollfd p = {.fd = fd,
                           .events = (short)(sent < total ? POLLOUT : POLLIN)};
        int wait = (int)((until - clock_s()) * 1e3) + 1;
        if (poll(&p, 1, wait) <= 0) {
            break;
        }
        if (connecting) {
            int error = 0;
            socklen_t size = sizeof error;
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
            if (error) {
                break;
            }
            connecting = false;
        }
        if (sent < total) {
            ssize_t n = send(fd, request + sent, total - sent, MSG_NOSIGNAL);
            if (n < 0 && errno != EAGAIN) {
                break;
            }
            sent += n > 0 ? (size_t)n : 0;
            continue;
        }
        ssize_t n = recv(fd, answer + got, room - 1 - got, 0);
        if (n < 0 && errno == EAGAIN) {
            continue;
        }
        if (n <= 0) {
            break;
        }
        got += (size_t)n;
        answer[got] = 0;
        char *end = strstr(answer, "\r\n\r\n");
        if (!end) {
            continue;
        }
        char *length = strcasestr(answer, "content-length:");
        size_t need = (size_t)(end + 4 - answer) +
                      (length && length < end ? (size_t)atoi(length + 15) : 0);
        if (got >= need) {
            sscanf(answer, "HTTP/1.%*d %d", &status);
            if (out) {
                snprintf(out, out_size, "%s", end + 4);
            }
            char *to = strcasestr(answer, "location: http://");
            if (location) {
                location[0] = 0;
                if (to && to < end) {
                    to += strlen("location: http://");
                    snprintf(location, location_size, "%.*s",
                             (int)strcspn(to, ":/\r"), to);
                }
            }
            break;
        }
    }
out:
    close(fd);
    free(request);
    free(answer);
    return status;
}

/* A call of the operator: follows a 307 twice. */
static int
operator_call(int edge, const char *method, const char *path, const char *body,
              char *out, size_t size)
{
    char ip[32], to[64] = "";
    int status = 0;
    edge_ip(edge, ip);
    for (int i = 0; i < 3; i++) {
        status = http(ip, port_control, method, path, body, 1.0, out, size, to,
                      sizeof to);
        if (status != 307 || !to[0]) {
            return status;
        }
        snprintf(ip, sizeof ip, "%.31s", to);
    }
    return status;
}

/* Draws an edge machine that serves control. */
static int
draw_edge(void)
{
    for (;;) {
        int edge = (int)(draw() % LAB_EDGES_MAX);
        if (edge_used[edge]) {
            return edge;
        }
    }
}

int
lab_find_leader(void)
{
    for (int i = 0; i < LAB_EDGES_MAX; i++) {
        char ip[32];
        edge_ip(i, ip);
        if (edge_used[i] && http(ip, port_control, "GET", "/-/config", NULL,
                                 1.0, NULL, 0, NULL, 0) == 200) {
            return i;
        }
    }
    return -1;
}

int
lab_put_config(const char *json, double seconds)
{
    double until = clock_s() + seconds;
    int edge = draw_edge();
    while (clock_s() < until) {
        int status = operator_call(edge, "PUT", "/-/config", json, NULL, 0);
        int version = 0;
        sscanf(json, "{\"version\":%d", &version);
        lab_note("operator: version %d at edge %d: %d", version, edge, status);
        if (status == 200 || (status >= 400 && status < 500)) {
            return status;
        }
        do {
            edge = (edge + 1) % LAB_EDGES_MAX;
        } while (!edge_used[edge]);
        lab_sleep(0.1);
    }
    return 0;
}

int
lab_get_config(int edge, char *out, size_t size)
{
    return operator_call(edge < 0 ? draw_edge() : edge, "GET", "/-/config",
                         NULL, out, size);
}

/* --- beats, readiness --- */
static void *
beat_thread(void *data)
{
    struct host *h = data;
    uint64_t calls = 0;
    for (;;) {
        pthread_mutex_lock(&lock);
        bool stop = !h->running;
        char body[512], path[128], ip[32];
        bool draining = h->draining;
        h->seq = ++calls;
        snprintf(body, sizeof body,
                 "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%s\","
                 "\"version\":\"v1\",\"slots\":7,\"state\":\"%s\","
                 "\"cold-left-ms\":0,\"born\":%llu,\"seq\":%llu}",
                 h->service, h->ip, port_app, zone_names[h->zone],
                 draining ? "draining" : "ready", (unsigned long long)h->born,
                 (unsigned long long)h->seq);
        snprintf(path, sizeof path, "/-/instances/%s", h->id);
        snprintf(ip, sizeof ip, "%s", h->ip);
        bool held = calls == 1 && hold_first_calls;
        if (held) {
            snprintf(h->held, sizeof h->held, "%s", body);
        }
        pthread_mutex_unlock(&lock);
        if (stop) {
            return NULL;
        }
        if (held) {
            lab_note("host %s: call 1 is held on its way", h->id);
            lab_sleep(1.0);
            continue;
        }
        int status = http(ip, port_control, "PUT", path, body, 1.0, NULL, 0,
                          NULL, 0);
        bool good = status >= 200 && status < 300;
        pthread_mutex_lock(&lock);
        if (good && draining && !h->drain_acked) {
            h->drain_acked = true;
            lab_note("host %s: draining is acknowledged", h->id);
        }
        h->acked = h->acked || good;
        h->acks += good;
        pthread_mutex_unlock(&lock);
        lab_sleep(good ? BEAT_MS / 1e3 * (0.95 + 0.1 * (draw() % 100) / 100.0)
                       : 0.3);
    }
}

static void *
ready_thread(void *arg)
{
    int i = (int)(intptr_t)arg, misses = 0;
    for (;;) {
        double next = clock_s() + 0.5;
        if (edge_serves[i]) {
            char ip[32];
            edge_ip(i, ip);
            int status = http(ip, port_ready, "GET", "/-/readiness", NULL, 0.4,
                              NULL, 0, NULL, 0);
            misses = status == 200 ? 0 : misses + 1;
        }
        pthread_mutex_lock(&lock);
        edge_probes[i] += edge_serves[i] && misses == 0;
        if (!edge_serves[i]) {
            edge_ready[i] = false;
        }
        else if (misses == 0 || misses >= 2) {
            edge_ready[i] = misses == 0;
        }
        pthread_mutex_unlock(&lock);
        while (clock_s() < next) {
            lab_sleep(0.01);
        }
    }
    return NULL;
}

/* --- settings and processes --- */
static char *
replace(char *text, const char *from, const char *to)
{
    char *at;
    while ((at = strstr(text, from)) != NULL) {
        size_t head = (size_t)(at - text);
        size_t size = strlen(text) + strlen(to) + 1;
        char *next = malloc(size);
        snprintf(next, size, "%.*s%s%s", (int)head, text, to,
                 at + strlen(from));
        free(text);
        text = next;
    }
    return text;
}

/* Removes the section between two marks, marks included. */
static char *
drop_section(char *text, const char *open, const char *close)
{
    char *a = strstr(text, open), *b = a ? strstr(a, close) : NULL;
    if (b) {
        memmove(a, b + strlen(close), strlen(b + strlen(close)) + 1);
    }
    return text;
}

static void
fill(const char *template, const char *role, const char *id, const char *ip,
     int zone, const char *service, bool bootstrap, char *path, size_t size)
{
    char from[600], seeds[200] = "", value[700];
    snprintf(from, sizeof from, "%s/%s", repo, template);
    FILE *f = fopen(from, "r");
    if (!f) {
        lab_cannot("no template %s", template);
    }
    char *text = calloc(1, 65536);
    size_t got = fread(text, 1, 65535, f);
    text[got] = 0;
    fclose(f);
    for (int i = 0; i < LAB_EDGES; i++) {
        char edge[32];
        edge_ip(i, edge);
        sprintf(seeds + strlen(seeds), "%s%s:%u", i ? "," : "", edge,
                port_control);
    }
#define VALUE(format, ...)                                                    \
    (snprintf(value, sizeof value, format, __VA_ARGS__), value)
    text = replace(text, "{{node-id}}", id);
    text = replace(text, "{{zone}}", zone_names[zone]);
    text = replace(text, "{{ip}}", ip);
    text = replace(text, "{{service}}", service);
    text = replace(text, "{{listen.datagram-addr}}",
                   VALUE("%s:%u", ip, port_datagram));
    text = replace(text, "{{listen.ready}}", VALUE("%s:%u", ip, port_ready));
    text = replace(text, "{{listen.control}}",
                   VALUE("%s:%u", ip, port_control));
    text = replace(text, "{{listen.outbound}}",
                   VALUE("%s:%u", ip, port_outbound));
    text = replace(text, "{{app}}", VALUE("%s:%u", ip, port_app));
    text = replace(text, "{{beat-interval-ms}}", VALUE("%d", BEAT_MS));
    text = replace(text, "{{#seeds}}{{.}}{{,}}{{/seeds}}", seeds);
    text = replace(text, "{{internal-ports.0}}", VALUE("%u", port_internal0));
    text = replace(text, "{{internal-ports.1}}", VALUE("%u", port_internal1));
    text = replace(text, "{{limits.link-mbps}}", "1000.0");
    text = drop_section(text, "{{#bounds.evacuate-ms}}\n",
                        "{{/bounds.evacuate-ms}}\n");
    text = replace(text, "{{data-dir}}", VALUE("%s/data-%s", dir, id));
    text = replace(text, "{{bootstrap}}", bootstrap ? "true" : "false");
    text = replace(text, "{{bounds.flow-max-s}}", "60");
    text = replace(text, "{{fault-tolerance.machines}}", "1");
    text = replace(text, "{{fault-tolerance.zones}}", "0");
    text = replace(text, "{{fault-tolerance.regions}}", "0");
    text = replace(text, "{{#zones}}{{@}}{{,}}{{/zones}}", "z-a,z-b,z-c");
    if (strstr(text, "{{")) {
        lab_cannot("a field of %s is not known here: %.40s", template,
                   strstr(text, "{{"));
    }
    snprintf(path, size, "%s/%s-%s.conf", dir, role, id);
    f = fopen(path, "w");
    fputs(text, f);
    fclose(f);
    free(text);
}

static pid_t
spawn(const char *role, const char *id, const char *settings)
{
    char program[600], log[600];
    snprintf(program, sizeof program, "%s/target/programs/radishportd", repo);
    snprintf(log, sizeof log, "%s/%s-%s.log", dir, role, id);
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(fd, 1);
        dup2(fd, 2);
        setenv("RADISHPORT_SETTINGS", settings, 1);
        if (chdir(repo)) {
            _exit(127);
        }
        execl(program, program, role, (char *)NULL);
        _exit(127);
    }
    lab_note("start %s %s", role, id);
    return pid;
}

static void
edge_id(int edge, char *out, size_t size)
{
    snprintf(out, size, "edge-%s-%d", zone_names[edge_zone(edge)],
             edge_number(edge) + 1);
}

void
lab_start_control(int edge, bool bootstrap)
{
    char ip[32], id[32], path[600];
    edge_ip(edge, ip);
    edge_id(edge, id, sizeof id);
    edge_used[edge] = true;
    fill("deploy/control.conf", "control", id, ip, edge_zone(edge), "",
         bootstrap, path, sizeof path);
    controls[edge] = spawn("control", id, path);
}

void
lab_start_balancer(int edge)
{
    char ip[32], id[32], path[600];
    edge_ip(edge, ip);
    edge_id(edge, id, sizeof id);
    fill("deploy/balancer.conf", "balancer", id, ip, edge_zone(edge), "",
         false, path, sizeof path);
    balancers[edge] = spawn("balancer", id, path);
    edge_serves[edge] = true;
}

void
lab_start_edges(void)
{
    for (int i = 0; i < LAB_EDGES; i++) {
        lab_start_control(i, true);
        lab_start_balancer(i);
    }
}

void
lab_start_fronts(void)
{
    for (int i = LAB_FRONT_ONLY; i < LAB_EDGES_MAX; i++) {
        lab_start_balancer(i);
    }
}

void
lab_add_edge(void)
{
    lab_start_control(LAB_EDGES, false);
    lab_start_balancer(LAB_EDGES);
}

void
lab_remove_edge(int edge)
{
    char id[32];
    edge_id(edge, id, sizeof id);
    lab_note("machine %s is gone for good", id);
    lab_signal("control", controls[edge], SIGKILL);
    lab_signal("balancer", balancers[edge], SIGKILL);
    controls[edge] = 0;
    balancers[edge] = 0;
    edge_used[edge] = false;
    edge_serves[edge] = false;
}

void
lab_wipe_control(int edge, double down_s)
{
    char id[32], path[400];
    edge_id(edge, id, sizeof id);
    lab_note("machine %s loses its disk", id);
    lab_signal("control", controls[edge], SIGKILL);
    controls[edge] = 0;
    snprintf(path, sizeof path, "%s/data-%s/journal", dir, id);
    unlink(path);
    snprintf(path, sizeof path, "%s/data-%s/journal.new", dir, id);
    unlink(path);
    lab_sleep(down_s);
    lab_start_control(edge, false);
}

pid_t
lab_control_pid(int edge)
{
    return controls[edge];
}

pid_t
lab_balancer_pid(int edge)
{
    return balancers[edge];
}

void
lab_wait_probe(int edge)
{
    unsigned before, now;
    pthread_mutex_lock(&lock);
    before = now = edge_probes[edge];
    pthread_mutex_unlock(&lock);
    for (int i = 0; i < 500 && now == before; i++) {
        lab_sleep(0.005);
        pthread_mutex_lock(&lock);
        now = edge_probes[edge];
        pthread_mutex_unlock(&lock);
    }
}

void
lab_signal(const char *what, pid_t pid, int sig)
{
    lab_note("signal %d to %s", sig, what);
    if (pid > 0) {
        kill(pid, sig);
    }
    if (sig == SIGKILL) {
        waitpid(pid, NULL, 0);
    }
}

static void
terminate(const char *what, pid_t pid)
{
    double until = clock_s() + GRACE_S;
    lab_signal(what, pid, SIGTERM);
    while (clock_s() < until) {
        if (waitpid(pid, NULL, WNOHANG) == pid) {
            lab_note("%s has ended", what);
            return;
        }
        lab_sleep(0.01);
    }
    lab_signal(what, pid, SIGKILL);
}

void
lab_restart_control(int edge)
{
    terminate("control", controls[edge]);
    lab_sleep(0.3);
    lab_start_control(edge, false);
}

void
lab_restart_balancer(int edge)
{
    terminate("balancer", balancers[edge]);
    lab_sleep(0.3);
    lab_start_balancer(edge);
}

void
lab_hold_first_calls(bool hold)
{
    pthread_mutex_lock(&lock);
    hold_first_calls = hold;
    pthread_mutex_unlock(&lock);
}

int
lab_deliver_held_call(int host)
{
    struct host *h = &hosts[host];
    char path[128];
    snprintf(path, sizeof path, "/-/instances/%s", h->id);
    int status = http(h->ip, port_control, "PUT", path, h->held, 1.0, NULL, 0,
                      NULL, 0);
    lab_note("host %s: its held call 1 is delivered: %d", h->id, status);
    return status;
}

void
lab_wait_beat(int host)
{
    unsigned before, now;
    pthread_mutex_lock(&lock);
    before = now = hosts[host].acks;
    pthread_mutex_unlock(&lock);
    for (int i = 0; i < 500 && now == before; i++) {
        lab_sleep(0.005);
        pthread_mutex_lock(&lock);
        now = hosts[host].acks;
        pthread_mutex_unlock(&lock);
    }
}

void
lab_start_agent(int host)
{
    struct host *h = &hosts[host];
    char id[32], path[600];
    snprintf(id, sizeof id, "side-%s-%d", zone_names[h->zone], host);
    fill("deploy/agent.conf", "agent", id, h->ip, h->zone, h->service, false,
         path, sizeof path);
    h->agent = spawn("agent", id, path);
    h->agent_starts++;
}

void
lab_restart_agent(int host)
{
    terminate("agent", hosts[host].agent);
    lab_sleep(0.3);
    lab_start_agent(host);
}

void
lab_kill_agent(int host, double down_s)
{
    lab_signal("agent", hosts[host].agent, SIGKILL);
    lab_sleep(down_s);
    lab_start_agent(host);
}

int
lab_add_host(const char *service, int zone)
{
    struct timespec t;
    int n = 0;
    while (n < LAB_MAX_HOSTS && hosts[n].used) {
        n++;
    }
    if (n == LAB_MAX_HOSTS) {
        lab_cannot("too many hosts");
    }
    struct host *h = &hosts[n];
    pthread_mutex_lock(&lock);
    memset(h, 0, sizeof *h);
    h->zone = zone;
    snprintf(h->service, sizeof h->service, "%s", service);
    snprintf(h->ip, sizeof h->ip, "127.%d.%d.%d", net_base, zone + 1, 20 + n);
    snprintf(h->id, sizeof h->id, "i-%08x", draw());
    h->udp = open_udp(h->ip, port_app);
    h->used = true;
    h->running = true;
    pthread_mutex_unlock(&lock);
    lab_start_agent(n);
    /* The host starts when its machine is up. */
    lab_sleep(0.4);
    clock_gettime(CLOCK_REALTIME, &t);
    h->born = (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
    pthread_create(&h->beats, NULL, beat_thread, h);
    return n;
}

void
lab_drain_host(int host)
{
    pthread_mutex_lock(&lock);
    hosts[host].draining = true;
    pthread_mutex_unlock(&lock);
    lab_note("host %s says that it drains", hosts[host].id);
}

void
lab_end_host(int host)
{
    struct host *h = &hosts[host];
    char path[128];
    snprintf(path, sizeof path, "/-/instances/%s", h->id);
    http(h->ip, port_control, "DELETE", path, NULL, 1.0, NULL, 0, NULL, 0);
    pthread_mutex_lock(&lock);
    h->running = false;
    close(h->udp);
    pthread_mutex_unlock(&lock);
    lab_note("host %s has ended", h->id);
    terminate("agent", h->agent);
    h->agent = 0;
}

bool
lab_host_beats_acked(int host)
{
    pthread_mutex_lock(&lock);
    bool acked = hosts[host].acked;
    pthread_mutex_unlock(&lock);
    return acked;
}

int
lab_requests_run(int host)
{
    pthread_mutex_lock(&lock);
    int runs = hosts[host].runs;
    pthread_mutex_unlock(&lock);
    return runs;
}

void
lab_set_answer(int ms, int bytes)
{
    pthread_mutex_lock(&lock);
    work_ms = ms;
    answer_bytes = bytes;
    pthread_mutex_unlock(&lock);
}

/* --- the clients' interface --- */
static int
open_flow(const char *route_ip, uint16_t route_port, int zone, uint16_t port)
{
    pthread_mutex_lock(&lock);
    if (flow_count == LAB_MAX_FLOWS) {
        lab_cannot("too many flows");
    }
    int n = flow_count;
    struct client_flow *f = &flows[n];
    *f = (struct client_flow){.used = true,
                              .route_ip = ip_of(route_ip),
                              .route_port = route_port,
                              .port = port,
                              .zone = zone,
                              .isn = draw(),
                              .syn_at = clock_s(),
                              .host = -1};
    f->in = malloc(MAX_ANSWER * 4 + DATA_MAX);
    flow_count++;
    lab_note("flow %u (%d): SYN to %s:%u", f->port, n, route_ip, route_port);
    pthread_mutex_unlock(&lock);
    return n;
}

int
lab_open_flow(const char *route_ip, uint16_t route_port, int zone)
{
    return open_flow(route_ip, route_port, zone, next_port++);
}

int
lab_open_flow_through(int edge, const char *route_ip, uint16_t route_port)
{
    for (;;) {
        uint16_t port = next_port++;
        bool is_best = true;
        for (int e = 0; e < LAB_EDGES_MAX; e++) {
            is_best = is_best &&
                      (!edge_serves[e] || edge_zone(e) != edge_zone(edge) ||
                       rank_of(e, port) <= rank_of(edge, port));
        }
        if (is_best) {
            return open_flow(route_ip, route_port, edge_zone(edge), port);
        }
    }
}

enum lab_flow_state
lab_flow_state(int flow)
{
    pthread_mutex_lock(&lock);
    enum lab_flow_state state = flows[flow].state;
    pthread_mutex_unlock(&lock);
    return state;
}

bool
lab_wait_open(int flow, double seconds)
{
    double until = clock_s() + seconds;
    while (clock_s() < until && lab_flow_state(flow) == LAB_FLOW_OPENING) {
        lab_sleep(0.005);
    }
    return lab_flow_state(flow) == LAB_FLOW_OPEN;
}

bool
lab_send_request(int flow, const char *method)
{
    struct client_flow *f = &flows[flow];
    char request[512];
    bool sent = false;
    pthread_mutex_lock(&lock);
    if (!f->asked && f->state == LAB_FLOW_OPEN) {
        snprintf(f->id, sizeof f->id, "%08x%08x", draw(), draw());
        int n = snprintf(request, sizeof request,
                         "%s /x HTTP/1.1\r\nHost: r\r\n"
                         "X-Radishport-Attempt-Id: %s\r\n"
                         "Content-Length: 0\r\n\r\n",
                         method, f->id);
        sender_append(&f->out, request, (uint32_t)n);
        f->asked = true;
        sent = true;
        lab_note("flow %u: request %s is sent", f->port, f->id);
        client_pump(f, false);
    }
    pthread_mutex_unlock(&lock);
    return sent;
}

bool
lab_answered(int flow)
{
    pthread_mutex_lock(&lock);
    bool answered = !flows[flow].asked;
    pthread_mutex_unlock(&lock);
    return answered;
}

bool
lab_wait_answered(int flow, double seconds)
{
    double until = clock_s() + seconds;
    while (clock_s() < until && !lab_answered(flow) &&
           lab_flow_state(flow) == LAB_FLOW_OPEN) {
        lab_sleep(0.005);
    }
    return lab_answered(flow);
}

int
lab_flow_host(int flow)
{
    int found = -1;
    pthread_mutex_lock(&lock);
    struct client_flow *c = &flows[flow];
    for (int i = 0; i < LAB_MAX_HOSTS; i++) {
        for (size_t k = 0; hosts[i].used && hosts[i].running &&
                           k < sizeof hosts[i].flows / sizeof *hosts[i].flows;
             k++) {
            struct host_flow *f = &hosts[i].flows[k];
            if (f->used && f->open && f->client_port == c->port &&
                f->isn == c->host_isn) {
                found = i;
            }
        }
    }
    pthread_mutex_unlock(&lock);
    return found;
}

double
lab_reset_at(int flow)
{
    return flows[flow].reset_at;
}

/* Chooses addresses that no other run uses. The socket that claims them is
 * kept until the program ends. */
static void
choose_net(void)
{
    int first = (int)(draw() % 120);
    for (int i = 0; i < 120; i++) {
        char ip[32];
        net_base = 64 + (first + i) % 120;
        sprintf(ip, "127.%d.250.250", net_base);
        struct sockaddr_in a = address(ip, 8159);
        int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        if (bind(fd, (struct sockaddr *)&a, sizeof a) == 0) {
            return;
        }
        close(fd);
    }
    lab_cannot("no free addresses");
}

/* Whether a port is free for both protocols at an address. */
static bool
is_free(uint16_t port)
{
    char ip[32];
    edge_ip(0, ip);
    struct sockaddr_in a = address(ip, port);
    bool good = true;
    for (int type = 0; type < 2; type++) {
        int fd = socket(AF_INET, type ? SOCK_STREAM : SOCK_DGRAM, 0);
        good = good && bind(fd, (struct sockaddr *)&a, sizeof a) == 0;
        close(fd);
    }
    return good;
}

int
main(int argc, char **argv)
{
    if (argc != 4) {
        fprintf(stderr, "usage: case REPOSITORY FOLDER RECORD\n");
        return 2;
    }
    snprintf(repo, sizeof repo, "%s", argv[1]);
    snprintf(dir, sizeof dir, "%s", argv[2]);
    record = fopen(argv[3], "w");
    if (!record) {
        return 2;
    }
    started = clock_s();
    signal(SIGPIPE, SIG_IGN);
    rng_state ^= (uint64_t)getpid() << 32 ^ (uint64_t)time(NULL);
    choose_net();
    uint16_t port = 8160;
    uint16_t *ports[] = {&port_datagram, &port_ready, &port_control,
                         &port_outbound, &port_app,   &port_internal0,
                         &port_internal1};
    for (size_t i = 0; i < sizeof ports / sizeof *ports; i++) {
        while (!is_free(port)) {
            port++;
        }
        *ports[i] = port++;
    }
    for (int i = 0; i < 3; i++) {
        char ip[32];
        client_ip(i, ip);
        client_udp[i] = open_udp(ip, port_datagram);
    }
    pthread_t thread;
    pthread_create(&thread, NULL, net_thread, NULL);
    for (int i = 0; i < LAB_EDGES_MAX; i++) {
        pthread_create(&thread, NULL, ready_thread, (void *)(intptr_t)i);
    }
    run_case();
    stop_all();
    lab_note("the end: %s", broken_count ? "a rule was broken" : "rules held");
    fclose(record);
    _exit(broken_count ? 1 : 0);
}
