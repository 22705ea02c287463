/* Stand-ins for the users' platform, for the scripts of this review: a host
 * with its heartbeats, a client with its router, and an HTTP caller. They
 * speak what PROTOCOL.md says, over loopback addresses, and need nothing but
 * the C library.
 *
 *   lab host   APP OUTBOUND CONTROL SERVICE ID ZONE SLOTS BEAT_MS FIRST_SEQ
 *   lab client ADDRESS PORT BALANCERS VIP FLOWS FIRST_PORT TIMES UNTIL_MS
 *   lab router FILE READY=DATAGRAM...
 *   lab call   METHOD URL [BODY]
 *
 * APP, OUTBOUND, CONTROL and VIP are ADDR:PORT. TIMES are milliseconds after
 * the start of the client, separated by commas: when each open flow sends its
 * next request. The router asks each entry machine of a zone for its readiness
 * and writes those in rotation to FILE, which clients read if LAB_ROTATION
 * names it. Each line of the output begins with the Unix time.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD 31
#define DATA_MAX 1200
#define FIN 2
#define ACK 4
#define RST 8
#define SYN 16
#define BOUNCED 32
#define FLOWS_MAX 4096
#define WORK_MS 20 /* unless LAB_WORK_MS is set */
#define RESENDS_MAX 8
#define RESET_SPAN 76800
#define CALL_MS 1000

struct packet {
    uint32_t dst, src, sum, seq, ack, echo;
    uint16_t dport, sport, len;
    uint8_t flags;
    uint8_t data[DATA_MAX];
};

static volatile sig_atomic_t draining, ended;

static int64_t
now_ms(void)
{
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void say(const char *format, ...) __attribute__((format(printf, 1, 2)));

static void
say(const char *format, ...)
{
    struct timespec t;
    va_list args;

    clock_gettime(CLOCK_REALTIME, &t);
    printf("%lld.%03ld ", (long long)t.tv_sec, t.tv_nsec / 1000000);
    va_start(args, format);
    vprintf(format, args);
    va_end(args);
    putchar('\n');
    fflush(stdout);
}

static void
put(uint8_t *at, uint32_t value, int bytes)
{
    while (bytes-- > 0) {
        at[bytes] = (uint8_t)value;
        value >>= 8;
    }
}

static uint32_t
get(const uint8_t *at, int bytes)
{
    uint32_t value = 0;
    for (int i = 0; i < bytes; i++) {
        value = value << 8 | at[i];
    }
    return value;
}

/* The keyed sum, which only clients and hosts know. */
static uint32_t
sum_of(const uint8_t *bytes, size_t len)
{
    uint32_t sum = 0x5bd1e995;
    for (size_t i = 0; i < len; i++) {
        uint8_t byte = bytes[i];
        if (i >= 12 && i < 16) {
            byte = 0;
        }
        if (i >= 25 && i < 29) {
            byte = 0;
        }
        if (i == 24) {
            byte &= SYN | ACK | FIN | RST;
        }
        sum = (sum ^ byte) * 16777619u;
    }
    return sum | 1;
}

static size_t
pack(const struct packet *p, uint8_t out[HEAD + DATA_MAX])
{
    memset(out, 0, HEAD);
    put(out, p->dst, 4);
    put(out + 4, p->dport, 2);
    put(out + 6, p->src, 4);
    put(out + 10, p->sport, 2);
    put(out + 16, p->seq, 4);
    put(out + 20, p->ack, 4);
    out[24] = p->flags;
    put(out + 25, p->echo, 4);
    put(out + 29, p->len, 2);
    memcpy(out + HEAD, p->data, p->len);
    put(out + 12, sum_of(out, HEAD + p->len), 4);
    return HEAD + p->len;
}

/* Returns false if the bytes are no packet. */
static bool
unpack(const uint8_t *in, ssize_t len, struct packet *p)
{
    if (len < HEAD || (size_t)len != HEAD + get(in + 29, 2)) {
        return false;
    }
    *p = (struct packet){.dst = get(in, 4),
                         .dport = (uint16_t)get(in + 4, 2),
                         .src = get(in + 6, 4),
                         .sport = (uint16_t)get(in + 10, 2),
                         .sum = get(in + 12, 4),
                         .seq = get(in + 16, 4),
                         .ack = get(in + 20, 4),
                         .flags = in[24],
                         .echo = get(in + 25, 4),
                         .len = (uint16_t)get(in + 29, 2)};
    memcpy(p->data, in + HEAD, p->len);
    return true;
}

static struct sockaddr_in
parse(const char *text)
{
    char ip[64] = "";
    unsigned port = 0;
    struct sockaddr_in address = {.sin_family = AF_INET};

    if (sscanf(text, "%63[0-9.]:%u", ip, &port) != 2 ||
        inet_pton(AF_INET, ip, &address.sin_addr) != 1) {
        fprintf(stderr, "no address: %s\n", text);
        exit(2);
    }
    address.sin_port = htons((uint16_t)port);
    return address;
}

static int
open_socket(int type, const struct sockaddr_in *address)
{
    int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    int on = 1;

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd, (const struct sockaddr *)address, sizeof *address)) {
        perror("bind");
        exit(2);
    }
    return fd;
}

/* Makes one HTTP call. Returns the status, 0 if there is no answer within a
 * second. `where` gets the Location of a redirect, `body` the body. */
static int
call_once(const char *method, const char *url, const char *body, char *where,
          char *answer, size_t answer_max)
{
    char host[64] = "", request[512], buffer[65536];
    const char *path;
    int64_t deadline = now_ms() + CALL_MS;
    size_t got = 0, sent = 0, body_len = strlen(body);
    int status = 0;

    if (!strncmp(url, "http://", 7)) {
        url += 7;
    }
    path = strchr(url, '/');
    if (!path || (size_t)(path - url) >= sizeof host) {
        return 0;
    }
    memcpy(host, url, (size_t)(path - url));
    struct sockaddr_in to = parse(host);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (connect(fd, (struct sockaddr *)&to, sizeof to) &&
        errno != EINPROGRESS) {
        close(fd);
        return 0;
    }
    int head = snprintf(request, sizeof request,
                        "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: "
                        "application/json\r\nContent-Length: %zu\r\n"
                        "Connection: close\r\n\r\n",
                        method, path, host, body_len);
    size_t total = (size_t)head + body_len;
    while (now_ms() < deadline && got < sizeof buffer - 1) {
        struct pollfd p = {.fd = fd,
                           .events = sent < total ? POLLOUT : POLLIN};
        if (poll(&p, 1, (int)(deadline - now_ms())) <= 0) {
            break;
        }
        if (sent < total) {
            const char *from = sent < (size_t)head ? request + sent
                                                   : body + (sent - head);
            size_t n = sent < (size_t)head ? (size_t)head - sent
                                           : total - sent;
            ssize_t wrote = send(fd, from, n, MSG_NOSIGNAL);
            if (wrote <= 0) {
                break;
            }
            sent += (size_t)wrote;
            continue;
        }
        ssize_t n = recv(fd, buffer + got, sizeof buffer - 1 - got, 0);
        if (n <= 0) {
            break;
        }
        got += (size_t)n;
        buffer[got] = 0;
        const char *end = strstr(buffer, "\r\n\r\n");
        const char *length = strcasestr(buffer, "content-length:");
        if (end && length && length < end &&
            got >=
                (size_t)(end + 4 - buffer) + strtoul(length + 15, NULL, 10)) {
            break;
        }
    }
    close(fd);
    buffer[got] = 0;
    if (sscanf(buffer, "HTTP/1.%*d %d", &status) != 1) {
        return 0;
    }
    const char *location = strcasestr(buffer, "\nlocation:");
    if (where) {
        where[0] = 0;
        if (location) {
            sscanf(location + 10, " %255s", where);
        }
    }
    const char *end = strstr(buffer, "\r\n\r\n");
    if (answer) {
        snprintf(answer, answer_max, "%s", end ? end + 4 : "");
    }
    return status;
}

static int
run_call(int argc, char **argv)
{
    char where[256] = "", answer[65536] = "", url[256];
    int status = 0;

    if (argc < 2) {
        return 2;
    }
    snprintf(url, sizeof url, "%s", argv[1]);
    for (int hop = 0; hop < 3; hop++) {
        status = call_once(argv[0], url, argc > 2 ? argv[2] : "", where,
                           answer, sizeof answer);
        if (status != 307 || !where[0]) {
            break;
        }
        snprintf(url, sizeof url, "%s", where);
    }
    say("call %s %s status=%d body=%s", argv[0], argv[1], status,
        argc > 2 ? argv[2] : "");
    if (answer[0] && !strcmp(argv[0], "GET")) {
        puts(answer);
    }
    return status >= 200 && status < 300 ? 0 : 1;
}

/* One flow, at either end. */
struct flow {
    bool used, open, closed, fin_sent;
    uint32_t ip, dst; /* of the client, of the route */
    uint16_t port, dport;
    uint32_t peer_isn, isn, next, peer_next, acked;
    /* What was sent and is not acknowledged. */
    struct packet last;
    bool waits;
    int resends;
    int64_t resend_at, resend_ms;
    /* Host: when the answer goes out. Client: when the request was sent. */
    int64_t answer_at;
    char id[64];
    /* Client. */
    int64_t syn_at;
    int copies, requests, answers, next_time;
    bool reset, gave_up;
    char server[64];
};

static struct flow flows[FLOWS_MAX];
static size_t flow_count;

static void
start_resends(struct flow *f, const struct packet *p)
{
    f->last = *p;
    f->waits = true;
    f->resends = 0;
    f->resend_ms = 200;
    f->resend_at = now_ms() + 200;
}

/* ---- host ---- */

static int host_fd;
static struct sockaddr_in outbound;
static const char *host_id;
static int work_ms = WORK_MS;

static void
host_send(const struct packet *p)
{
    uint8_t bytes[HEAD + DATA_MAX];
    size_t len = pack(p, bytes);
    sendto(host_fd, bytes, len, 0, (struct sockaddr *)&outbound,
           sizeof outbound);
}

static struct flow *
find_flow(const struct packet *p)
{
    for (size_t i = 0; i < flow_count; i++) {
        struct flow *f = &flows[i];
        if (f->used && f->ip == p->src && f->port == p->sport &&
            f->dst == p->dst && f->dport == p->dport) {
            return f;
        }
    }
    return NULL;
}

static struct packet
to_client(const struct flow *f, uint8_t flags)
{
    return (struct packet){.dst = f->ip,
                           .dport = f->port,
                           .src = f->dst,
                           .sport = f->dport,
                           .seq = f->next,
                           .ack = f->peer_next,
                           .flags = flags};
}

static void
host_syn(const struct packet *p, struct flow *f)
{
    if (!f && flow_count < FLOWS_MAX) {
        f = &flows[flow_count++];
        *f = (struct flow){.used = true,
                           .ip = p->src,
                           .port = p->sport,
                           .dst = p->dst,
                           .dport = p->dport,
                           .peer_isn = p->seq,
                           .peer_next = p->seq + 1,
                           .isn = (uint32_t)random() ^ (uint32_t)random()
                                                           << 8};
        f->next = f->isn;
        say("host %s syn port=%u copy=%u", host_id, p->sport, p->ack);
    }
    if (!f) {
        return;
    }
    struct packet answer = to_client(f, SYN | ACK);
    answer.seq = f->isn;
    host_send(&answer);
    f->next = f->isn + 1;
}

static void
bounce(const uint8_t *bytes, ssize_t len)
{
    uint8_t copy[HEAD + DATA_MAX];
    memcpy(copy, bytes, (size_t)len);
    copy[24] = (copy[24] & (SYN | ACK | FIN | RST)) | BOUNCED;
    sendto(host_fd, copy, (size_t)len, 0, (struct sockaddr *)&outbound,
           sizeof outbound);
}

static void
host_packet(const uint8_t *bytes, ssize_t len)
{
    struct packet p;
    struct packet answer;

    if (!unpack(bytes, len, &p)) {
        return;
    }
    if (p.sum != sum_of(bytes, (size_t)len)) {
        say("host %s forged port=%u", host_id, p.sport);
        return;
    }
    struct flow *f = find_flow(&p);
    if (!(p.flags & SYN) && getenv("LAB_TRACE")) {
        say("host %s got flow=%08x:%u own=%d", host_id, p.src, p.sport,
            f && (f->open || p.ack == f->isn + 1));
    }
    if ((p.flags & SYN) && !(p.flags & ACK)) {
        if (!f || (f->peer_isn == p.seq && !f->closed)) {
            host_syn(&p, f);
        }
        return;
    }
    if (!f || (!f->open && p.ack != f->isn + 1)) {
        say("host %s bounces port=%u flags=%u len=%u", host_id, p.sport,
            p.flags, p.len);
        if (!(p.flags & RST)) {
            bounce(bytes, len);
        }
        return;
    }
    if (p.flags & RST) {
        say("host %s reset_by_client port=%u", host_id, p.sport);
        f->closed = true;
        f->waits = false;
        return;
    }
    if (f->closed) {
        answer = to_client(f, p.flags & FIN ? ACK : RST | ACK);
        host_send(&answer);
        return;
    }
    if (!f->open) {
        f->open = true;
        say("host %s open port=%u", host_id, p.sport);
    }
    if (f->waits && p.ack == f->next) {
        f->waits = false;
    }
    if (p.len && p.seq == f->peer_next) {
        const char *id = strstr((const char *)p.data,
                                "X-Radishport-Attempt-Id: ");
        f->peer_next += p.len;
        f->id[0] = 0;
        if (id) {
            sscanf(id + 25, "%63[^\r]", f->id);
        }
        f->answer_at = now_ms() + work_ms;
        say("host %s run id=%s port=%u", host_id, f->id, p.sport);
    }
    else if (p.len && f->waits) {
        host_send(&f->last);
    }
    else if (p.len && !f->answer_at) {
        answer = to_client(f, ACK);
        host_send(&answer);
    }
    if ((p.flags & FIN) && p.seq + p.len == f->peer_next) {
        f->peer_next++;
        f->closed = true;
        answer = to_client(f, FIN | ACK);
        host_send(&answer);
        f->next++;
        say("host %s closed port=%u", host_id, p.sport);
    }
}

static void
host_timers(int64_t now)
{
    for (size_t i = 0; i < flow_count; i++) {
        struct flow *f = &flows[i];
        if (f->closed) {
            continue;
        }
        if (f->answer_at && now >= f->answer_at) {
            char body[128];
            struct packet p = to_client(f, ACK);
            f->answer_at = 0;
            snprintf(body, sizeof body, "%s answers %s\n", host_id, f->id);
            p.len = (uint16_t)snprintf(
                (char *)p.data, DATA_MAX,
                "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n"
                "X-Radishport-Server-Seal: %s\r\n\r\n%s",
                strlen(body), host_id, body);
            if (draining) {
                /* It closes each flow after its next response. */
                p.flags |= FIN;
                f->fin_sent = true;
            }
            host_send(&p);
            f->next += p.len + (f->fin_sent ? 1u : 0u);
            start_resends(f, &p);
            continue;
        }
        if (f->waits && now >= f->resend_at) {
            if (f->resends++ >= RESENDS_MAX) {
                f->waits = false;
                f->closed = true;
                say("host %s gives_up port=%u", host_id, f->port);
                continue;
            }
            host_send(&f->last);
            f->resend_ms = f->resend_ms * 2 > 1600 ? 1600 : f->resend_ms * 2;
            f->resend_at = now + f->resend_ms;
        }
    }
}

static void
on_signal(int number)
{
    if (number == SIGUSR1) {
        draining = 1;
    }
    else {
        ended = 1;
    }
}

static void
answer_health(int listener)
{
    static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                             "Connection: close\r\n\r\n";
    char request[1024];
    int fd = accept(listener, NULL, NULL);

    if (fd >= 0) {
        struct pollfd p = {.fd = fd, .events = POLLIN};
        if (poll(&p, 1, 100) > 0) {
            (void)!recv(fd, request, sizeof request, 0);
            (void)!send(fd, ok, sizeof ok - 1, MSG_NOSIGNAL);
        }
        close(fd);
    }
}

static int
run_host(int argc, char **argv)
{
    struct timespec t;
    int64_t next_beat = 0;

    if (argc != 9) {
        return 2;
    }
    struct sockaddr_in app = parse(argv[0]);
    outbound = parse(argv[1]);
    host_id = argv[4];
    const char *work = getenv("LAB_WORK_MS");
    if (work) {
        work_ms = atoi(work);
    }
    long beat_ms = atol(argv[7]);
    long seq = atol(argv[8]);
    srandom((unsigned)(now_ms() ^ getpid()));
    clock_gettime(CLOCK_REALTIME, &t);
    long long born = (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
    host_fd = open_socket(SOCK_DGRAM, &app);
    int listener = open_socket(SOCK_STREAM, &app);
    listen(listener, 16);
    fcntl(listener, F_SETFL, O_NONBLOCK);
    say("host %s starts born=%lld", host_id, born);
    while (!ended) {
        int64_t now = now_ms();
        if (now >= next_beat) {
            char url[256], body[512];
            bool leaves = draining;
            next_beat = now + beat_ms;
            snprintf(url, sizeof url, "%s/-/instances/%s", argv[2], host_id);
            snprintf(body, sizeof body,
                     "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
                     "\"version\":\"v1\",\"slots\":%s,\"state\":\"%s\","
                     "\"cold-left-ms\":0,\"seq\":%ld,\"born\":%lld}",
                     argv[3], argv[0], argv[5], argv[6],
                     leaves ? "draining" : "ready", seq, born);
            int status = call_once("PUT", url, body, NULL, NULL, 0);
            say("host %s beat seq=%ld state=%s status=%d", host_id, seq,
                leaves ? "draining" : "ready", status);
            seq++;
        }
        host_timers(now_ms());
        struct pollfd p[2] = {{.fd = host_fd, .events = POLLIN},
                              {.fd = listener, .events = POLLIN}};
        if (poll(p, 2, 5) <= 0) {
            continue;
        }
        if (p[1].revents) {
            answer_health(listener);
        }
        for (int i = 0; p[0].revents && i < 256; i++) {
            uint8_t bytes[HEAD + DATA_MAX + 1];
            ssize_t len = recv(host_fd, bytes, sizeof bytes, MSG_DONTWAIT);
            if (len < 0) {
                break;
            }
            host_packet(bytes, len);
        }
    }
    unsigned open = 0;
    for (size_t i = 0; i < flow_count; i++) {
        open += flows[i].open && !flows[i].closed;
    }
    say("host %s ends open_flows=%u", host_id, open);
    return 0;
}

/* ---- client ---- */

static int client_fd;
static struct sockaddr_in balancers[16];
static size_t balancer_count;

static void
client_send(struct flow *f, const struct packet *p)
{
    uint8_t bytes[HEAD + DATA_MAX];
    size_t len = pack(p, bytes);
    size_t best = 0;
    uint32_t most = 0;
    for (size_t i = 0; i < balancer_count; i++) {
        uint32_t mix = (f->ip * 31 + f->port) * 2654435761u ^
                       balancers[i].sin_addr.s_addr * 2246822519u;
        mix = (mix ^ mix >> 15) * 3266489917u;
        mix ^= mix >> 13;
        if (mix >= most) {
            most = mix;
            best = i;
        }
    }
    if (balancer_count > 0) {
        sendto(client_fd, bytes, len, 0, (struct sockaddr *)&balancers[best],
               sizeof *balancers);
    }
}

static struct packet
to_route(const struct flow *f, uint8_t flags)
{
    return (struct packet){.dst = f->dst,
                           .dport = f->dport,
                           .src = f->ip,
                           .sport = f->port,
                           .seq = f->next,
                           .ack = f->peer_next,
                           .flags = flags};
}

static void
send_syn(struct flow *f)
{
    struct packet p = to_route(f, SYN);
    p.seq = f->isn;
    p.ack = (uint32_t)f->copies++;
    client_send(f, &p);
}

static void
client_packet(const uint8_t *bytes, ssize_t len)
{
    struct packet p;
    struct flow *f = NULL;

    if (!unpack(bytes, len, &p)) {
        return;
    }
    for (size_t i = 0; i < flow_count && !f; i++) {
        if (flows[i].port == p.dport && flows[i].dst == p.src &&
            flows[i].dport == p.sport) {
            f = &flows[i];
        }
    }
    if (!f || f->reset || f->closed) {
        return;
    }
    if ((p.flags & RST) && p.sum == 0) {
        int32_t off = (int32_t)(p.seq - f->peer_next);
        bool valid = !f->open || (off <= RESET_SPAN && off >= -RESET_SPAN);
        say("client reset_by_system port=%u open=%d valid=%d server=%s "
            "waiting=%d",
            f->port, f->open, valid, f->server[0] ? f->server : "-", f->waits);
        if (valid) {
            f->reset = true;
            f->waits = false;
        }
        return;
    }
    if (p.sum != sum_of(bytes, (size_t)len)) {
        say("client forged port=%u", f->port);
        return;
    }
    if (p.flags & RST) {
        say("client reset_by_host port=%u", f->port);
        f->reset = true;
        return;
    }
    if (p.flags & SYN) {
        if (!f->open && p.ack == f->isn + 1) {
            f->open = true;
            f->peer_isn = p.seq;
            f->peer_next = p.seq + 1;
            f->next = f->isn + 1;
            say("client open port=%u", f->port);
        }
        if (p.seq == f->peer_isn) {
            struct packet ack = to_route(f, ACK);
            client_send(f, &ack);
        }
        return;
    }
    if (f->waits && p.ack == f->next && p.len == 0) {
        f->resend_at = now_ms() + 100000; /* the answer follows */
    }
    if (p.len && p.seq == f->peer_next) {
        char id[64] = "", server[64] = "";
        const char *body = strstr((char *)p.data, "\r\n\r\n");
        f->peer_next += p.len;
        if (body) {
            sscanf(body + 4, "%63s answers %63s", server, id);
        }
        f->waits = false;
        f->answers++;
        snprintf(f->server, sizeof f->server, "%s", server);
        say("client answered id=%s by=%s port=%u%s", id, server, f->port,
            strcmp(id, f->id) ? " WRONG" : "");
    }
    if (p.flags & FIN) {
        f->peer_next++;
        struct packet fin = to_route(f, ACK | FIN);
        client_send(f, &fin);
        f->closed = true;
        f->waits = false;
        say("client closed_by_host port=%u", f->port);
        return;
    }
    if (p.len) {
        struct packet ack = to_route(f, ACK);
        client_send(f, &ack);
    }
}

static void
send_request(struct flow *f)
{
    struct packet p = to_route(f, ACK);
    snprintf(f->id, sizeof f->id, "a-%u-%d", f->port, ++f->requests);
    p.len = (uint16_t)snprintf((char *)p.data, DATA_MAX,
                               "GET /x HTTP/1.1\r\nHost: x\r\n"
                               "X-Radishport-Attempt-Id: %s\r\n\r\n",
                               f->id);
    client_send(f, &p);
    f->next += p.len;
    start_resends(f, &p);
    say("client sent id=%s port=%u", f->id, f->port);
}

/* Reads which entry machines are in rotation. */
static void
read_rotation(const char *path)
{
    char text[512] = "";
    FILE *file = fopen(path, "r");

    if (!file) {
        return;
    }
    if (fgets(text, sizeof text, file)) {
        balancer_count = 0;
        for (char *part = strtok(text, ",\n"); part;
             part = strtok(NULL, ",\n")) {
            balancers[balancer_count++] = parse(part);
        }
    }
    fclose(file);
}

static int
run_client(int argc, char **argv)
{
    static const int copies_ms[] = {0, 200, 600, 1400};
    int64_t times[128], start = now_ms();
    int time_count = 0;
    char text[1024];

    if (argc != 8) {
        return 2;
    }
    snprintf(text, sizeof text, "%s:%s", argv[0], argv[1]);
    struct sockaddr_in self = parse(text);
    snprintf(text, sizeof text, "%s", argv[2]);
    for (char *part = strtok(text, ","); part; part = strtok(NULL, ",")) {
        balancers[balancer_count++] = parse(part);
    }
    struct sockaddr_in vip = parse(argv[3]);
    flow_count = (size_t)atol(argv[4]);
    snprintf(text, sizeof text, "%s", argv[6]);
    for (char *part = strtok(text, ","); part; part = strtok(NULL, ",")) {
        times[time_count++] = atol(part);
    }
    int64_t until = start + atol(argv[7]);
    srandom((unsigned)(now_ms() ^ getpid()));
    client_fd = open_socket(SOCK_DGRAM, &self);
    for (size_t i = 0; i < flow_count; i++) {
        flows[i] = (struct flow){.used = true,
                                 .ip = ntohl(self.sin_addr.s_addr),
                                 .port = (uint16_t)(atol(argv[5]) + (long)i),
                                 .dst = ntohl(vip.sin_addr.s_addr),
                                 .dport = ntohs(vip.sin_port),
                                 .isn = (uint32_t)random(),
                                 .syn_at = start + (int64_t)i * 10};
    }
    const char *rotation = getenv("LAB_ROTATION");
    int64_t next_look = 0;
    while (!ended && now_ms() < until) {
        int64_t now = now_ms();
        if (rotation && now >= next_look) {
            read_rotation(rotation);
            next_look = now + 50;
        }
        for (size_t i = 0; i < flow_count; i++) {
            struct flow *f = &flows[i];
            if (f->reset || f->gave_up || f->closed) {
                continue;
            }
            if (!f->open) {
                if (f->copies < 3 && now >= f->syn_at + copies_ms[f->copies]) {
                    send_syn(f);
                }
                else if (f->copies == 3 && now >= f->syn_at + copies_ms[3]) {
                    f->gave_up = true;
                    say("client not_open port=%u", f->port);
                }
                continue;
            }
            if (!f->waits && f->next_time < time_count &&
                now >= start + times[f->next_time] + (int64_t)i * 10) {
                f->next_time++;
                send_request(f);
            }
            if (f->waits && now >= f->resend_at) {
                client_send(f, &f->last);
                f->resends++;
                f->resend_ms = f->resend_ms * 2 > 1600 ? 1600
                                                       : f->resend_ms * 2;
                f->resend_at = now + f->resend_ms;
            }
        }
        struct pollfd p = {.fd = client_fd, .events = POLLIN};
        if (poll(&p, 1, 5) <= 0) {
            continue;
        }
        for (int i = 0; i < 256; i++) {
            uint8_t bytes[HEAD + DATA_MAX + 1];
            ssize_t got = recv(client_fd, bytes, sizeof bytes, MSG_DONTWAIT);
            if (got < 0) {
                break;
            }
            client_packet(bytes, got);
        }
    }
    unsigned open = 0, reset = 0, answers = 0, waiting = 0, none = 0;
    for (size_t i = 0; i < flow_count; i++) {
        open += flows[i].open;
        reset += flows[i].reset && flows[i].open;
        answers += (unsigned)flows[i].answers;
        waiting += flows[i].waits;
        none += !flows[i].open;
    }
    say("client ends flows=%zu opened=%u not_opened=%u answers=%u "
        "unanswered=%u reset_while_open=%u",
        flow_count, open, none, answers, waiting, reset);
    return 0;
}

/* ---- router ---- */

static int
run_router(int argc, char **argv)
{
    int misses[16] = {0};
    char before[512] = "", text[512], name[512];

    if (argc < 2 || argc > 17) {
        return 2;
    }
    snprintf(name, sizeof name, "%s.new", argv[0]);
    while (!ended) {
        int64_t next = now_ms() + 500;
        int ready = 0;
        text[0] = 0;
        for (int i = 1; i < argc; i++) {
            char url[128];
            int len = (int)strcspn(argv[i], "=");
            snprintf(url, sizeof url, "%.*s/-/readiness", len, argv[i]);
            bool ok = call_once("GET", url, "", NULL, NULL, 0) == 200;
            misses[i - 1] = ok ? 0 : misses[i - 1] + 1;
            ready += misses[i - 1] < 2;
        }
        /* With fewer than half of the zone's nodes ready, all are used. */
        for (int i = 1; i < argc; i++) {
            if (misses[i - 1] < 2 || ready * 2 < argc - 1) {
                size_t at = strlen(text);
                snprintf(text + at, sizeof text - at, "%s%s", at ? "," : "",
                         strchr(argv[i], '=') + 1);
            }
        }
        if (strcmp(text, before)) {
            FILE *file = fopen(name, "w");
            if (file) {
                fputs(text, file);
                fclose(file);
                rename(name, argv[0]);
            }
            say("router rotation=%s", text);
            snprintf(before, sizeof before, "%s", text);
        }
        if (next > now_ms()) {
            usleep((useconds_t)(next - now_ms()) * 1000);
        }
    }
    return 0;
}

int
main(int argc, char **argv)
{
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    signal(SIGUSR1, on_signal);
    signal(SIGPIPE, SIG_IGN);
    if (argc > 1 && !strcmp(argv[1], "host")) {
        return run_host(argc - 2, argv + 2);
    }
    if (argc > 1 && !strcmp(argv[1], "client")) {
        return run_client(argc - 2, argv + 2);
    }
    if (argc > 1 && !strcmp(argv[1], "router")) {
        return run_router(argc - 2, argv + 2);
    }
    if (argc > 1 && !strcmp(argv[1], "call")) {
        return run_call(argc - 2, argv + 2);
    }
    return 2;
}
