/* Stand-in for the operator of the platform. It calls control instances over
 * HTTP in one of three modes:
 *
 *   --write       sends configurations with rising versions until SIGTERM,
 *                 each one until it is acknowledged
 *   --read        reads the configuration again and again
 *   --probe ADDR  reads PROBES times, and turns to no other instance
 *
 * It picks instances at random from a list that lags, follows a redirect
 * twice, and turns to another instance, with increasing backoff, after a
 * failure or a second without a response. Every hop is recorded on standard
 * output. Each line of the list is an address, the Unix millisecond since
 * which it is listed, and the one at which it was taken off (0: it is still
 * listed). */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin.h"

#define MAX_REDIRECTS 2
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 1000
#define ANSWER_MS 1000
#define LARGE_BODY (64u << 10) /* bytes; such a call is given more time */
#define LARGE_ANSWER_MS 3000
/* A call ends without success after this time. */
#define READ_BUDGET_MS 6000
#define WRITE_BUDGET_MS 20000
#define READ_PAUSE_MS 200
#define WRITE_PAUSE_MS 250
#define ROUTES 50
#define MORE_ROUTES 1400 /* in every LARGE_EVERY-th configuration */
#define LARGE_EVERY 7
#define PROBES 6
#define ANSWER_MAX (4u << 20)

struct operator_settings {
    GString *list;
    uint32_t port;
    uint32_t lag_ms;
    uint32_t seed;
    bool write;
    bool read;
    GString *probe;
    uint32_t version;
    uint32_t calm_s;
    uint32_t seconds;
};

struct address {
    char ip[INET_ADDRSTRLEN];
};

struct reply {
    int status;         /* 0: none */
    const char *reason; /* why there is no status */
    struct address to;  /* of a redirect */
    GString *body;
};

static struct operator_settings settings;
static volatile sig_atomic_t stopping;
static unsigned calls;

static const struct rp_setting settings_table[] = {
    {.flag = "list",
     .kind = RP_SETTING_TEXT,
     .offset = offsetof(struct operator_settings, list),
     .value = "FILE",
     .help = "list of the control instances"},
    {.flag = "port",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct operator_settings, port),
     .value = "N",
     .help = "port of all instances",
     .max = 65535},
    {.flag = "lag-ms",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct operator_settings, lag_ms),
     .value = "N",
     .help = "how long ago the list that is seen was in force",
     .fallback = "3000",
     .max = 60000},
    {.flag = "seed",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct operator_settings, seed),
     .value = "N",
     .help = "seed of the random choices",
     .fallback = "1",
     .max = UINT32_MAX},
    {.flag = "write",
     .kind = RP_SETTING_SWITCH,
     .offset = offsetof(struct operator_settings, write),
     .help = "send configurations"},
    {.flag = "read",
     .kind = RP_SETTING_SWITCH,
     .offset = offsetof(struct operator_settings, read),
     .help = "read the configuration"},
    {.flag = "probe",
     .kind = RP_SETTING_TEXT,
     .offset = offsetof(struct operator_settings, probe),
     .value = "ADDR",
     .help = "read from this instance only",
     .optional = true},
    {.flag = "version",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct operator_settings, version),
     .value = "N",
     .help = "newest acknowledged version",
     .fallback = "0",
     .max = UINT32_MAX},
    {.flag = "calm-seconds",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct operator_settings, calm_s),
     .value = "N",
     .help = "reads that start earlier are recorded, not judged: seconds "
             "after the start",
     .fallback = "0",
     .max = 3600},
    {.flag = "seconds",
     .kind = RP_SETTING_UINT,
     .offset = offsetof(struct operator_settings, seconds),
     .value = "N",
     .help = "how long reads are judged",
     .fallback = "6",
     .max = 3600},
};

static void
on_signal(int number)
{
    (void)number;
    stopping = 1;
}

/* Returns Unix milliseconds. */
static int64_t
now_ms(void)
{
    return g_get_real_time() / 1000;
}

static void
sleep_ms(int64_t ms)
{
    if (ms > 0) {
        g_usleep((gulong)ms * 1000);
    }
}

/* Returns the configuration of a version; two runs of this program make the
 * same one. */
static GString *
make_configuration(uint32_t version)
{
    unsigned routes = ROUTES + (version % LARGE_EVERY == 0 ? MORE_ROUTES : 0);
    GString *out = g_string_new(NULL);

    g_string_printf(out, "{\"version\":%u,\"routes\":[", version);
    for (unsigned i = 0; i < routes; i++) {
        g_string_append_printf(
            out,
            "%s{\"name\":\"r-%u\",\"host\":\"198.18.%u.%u\",\"path-prefix\":"
            "\"/%u/\",\"route-type\":\"idempotent\",\"timeout-ms\":%u,"
            "\"target-latency-ms\":120,\"priority\":1,\"service\":\"%s\","
            "\"max-attempts\":2}",
            i == 0 ? "" : ",", i, i / 250, 1 + i % 250, 8080 + i % 3,
            1000 + version % 500, i % 2 == 0 ? "lens" : "prism");
    }
    g_string_append(
        out,
        "],\"services\":[{\"name\":\"lens\",\"health-path\":\"/health\","
        "\"max-conns\":2000,\"protocol\":\"h1\",\"tls\":false},"
        "{\"name\":\"prism\",\"health-path\":\"/health\",\"max-conns\":2000,"
        "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":"
        "16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,"
        "\"idle-timeout-ms\":15000}}");
    return out;
}

/* Picks an instance from the list as it stood `lag_ms` ago. Returns whether
 * there is one. */
static bool
pick_instance(struct address *out)
{
    int64_t at = now_ms() - settings.lag_ms;
    unsigned seen = 0;
    char ip[INET_ADDRSTRLEN];
    long long from;
    long long until;
    FILE *file = fopen(settings.list->str, "re");

    while (file && fscanf(file, "%15s %lld %lld", ip, &from, &until) == 3) {
        if (from <= at && (until == 0 || until > at) &&
            g_random_int_range(0, (gint32)++seen) == 0) {
            g_strlcpy(out->ip, ip, sizeof out->ip);
        }
    }
    if (file) {
        fclose(file);
    }
    return seen > 0;
}

/* Waits until a socket is ready. Returns false at the deadline. */
static bool
wait_for(int fd, short events, int64_t deadline)
{
    struct pollfd ready = {.fd = fd, .events = events};
    int64_t left = deadline - now_ms();

    return left > 0 && poll(&ready, 1, (int)left) == 1;
}

/* Returns whether the whole answer has arrived. */
static bool
is_complete(const GString *in)
{
    const char *end = strstr(in->str, "\r\n\r\n");
    const char *length = strstr(in->str, "Content-Length: ");

    if (!end || !length || length > end) {
        return false;
    }
    length += sizeof "Content-Length: " - 1;
    return in->len >= (gsize)(end - in->str) + 4 + strtoul(length, NULL, 10);
}

static void
parse_answer(const GString *in, struct reply *reply)
{
    static const char head[] = "Location: http://";
    const char *location = strstr(in->str, head);

    reply->status = atoi(in->str + sizeof "HTTP/1.1");
    if (location) {
        location += sizeof head - 1;
        g_strlcpy(reply->to.ip, location,
                  MIN(sizeof reply->to.ip, strcspn(location, ":/") + 1));
    }
    g_string_assign(reply->body, strstr(in->str, "\r\n\r\n") + 4);
}

static bool
send_all(int fd, const GString *out, int64_t deadline, struct reply *reply)
{
    gsize sent = 0;

    while (sent < out->len) {
        if (!wait_for(fd, POLLOUT, deadline)) {
            reply->reason = "silence";
            return false;
        }
        ssize_t count = send(fd, out->str + sent, out->len - sent,
                             MSG_NOSIGNAL);
        if (count < 0 && errno != EAGAIN) {
            reply->reason = errno == ECONNREFUSED ? "refused" : "closed";
            return false;
        }
        sent += count > 0 ? (gsize)count : 0;
    }
    return true;
}

static void
receive_answer(int fd, int64_t deadline, struct reply *reply)
{
    char buffer[16384];
    GString *in = g_string_new(NULL);

    while (!is_complete(in)) {
        if (!wait_for(fd, POLLIN, deadline)) {
            reply->reason = "silence";
            break;
        }
        ssize_t count = recv(fd, buffer, sizeof buffer, 0);
        if (count == 0 || (count < 0 && errno != EAGAIN) ||
            in->len > ANSWER_MAX) {
            reply->reason = "closed";
            break;
        }
        g_string_append_len(in, buffer, count > 0 ? count : 0);
    }
    if (is_complete(in)) {
        parse_answer(in, reply);
    }
    g_string_free(in, TRUE);
}

/* Sends one request to one instance and waits for the answer. `body` is NULL
 * for a read. */
static void
call_instance(const struct address *at, const GString *body,
              struct reply *reply)
{
    struct rp_endpoint to = {.ip = ntohl(inet_addr(at->ip)),
                             .port = (uint16_t)settings.port};
    int64_t deadline = now_ms() + (body && body->len > LARGE_BODY
                                       ? LARGE_ANSWER_MS
                                       : ANSWER_MS);
    GString *out = g_string_new(NULL);
    int error = 0;
    socklen_t len = sizeof error;
    int fd = standin_connect(to);

    g_string_printf(out,
                    "%s /-/config HTTP/1.1\r\nHost: %s\r\nContent-Type: "
                    "application/json\r\nContent-Length: %zu\r\n\r\n%s",
                    body ? "PUT" : "GET", at->ip, body ? body->len : 0,
                    body ? body->str : "");
    reply->status = 0;
    reply->reason = "silence";
    reply->to.ip[0] = 0;
    if (wait_for(fd, POLLOUT, deadline)) {
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len);
        reply->reason = "refused";
        if (error == 0 && send_all(fd, out, deadline, reply)) {
            receive_answer(fd, deadline, reply);
        }
    }
    close(fd);
    g_string_free(out, TRUE);
}

/* Calls an instance and follows its redirects. Returns whether the last answer
 * is a 200. */
static bool
call_and_follow(struct address at, const GString *body, unsigned attempt,
                struct reply *reply)
{
    for (int hop = 0; hop <= MAX_REDIRECTS; hop++) {
        int64_t start = now_ms();
        call_instance(&at, body, reply);
        char status[16];
        snprintf(status, sizeof status, "%d", reply->status);
        printf("hop call=%u try=%u hop=%d time=%lld at=%s status=%s ms=%lld "
               "to=%s\n",
               calls, attempt, hop, (long long)start, at.ip,
               reply->status ? status : reply->reason,
               (long long)(now_ms() - start),
               reply->to.ip[0] ? reply->to.ip : "-");
        fflush(stdout);
        if (reply->status != 307) {
            break;
        }
        at = reply->to;
    }
    return reply->status == 200;
}

/* Calls one instance after the other until one answers, or refuses the
 * request for good, or the time is over. */
static bool
call_until_answered(const GString *body, int64_t budget_ms,
                    struct reply *reply)
{
    int64_t deadline = now_ms() + budget_ms;
    int64_t backoff = BACKOFF_MIN_MS;
    struct address at;

    calls++;
    for (unsigned attempt = 1; now_ms() < deadline; attempt++) {
        if (pick_instance(&at)) {
            if (call_and_follow(at, body, attempt, reply)) {
                return true;
            }
            if (reply->status >= 400 && reply->status < 500) {
                return false;
            }
        }
        sleep_ms(backoff);
        backoff = MIN(backoff * 2, BACKOFF_MAX_MS);
    }
    return false;
}

/* Sends configurations until SIGTERM arrives. Returns false if one was refused
 * or not acknowledged in time. */
static bool
write_configurations(struct reply *reply)
{
    uint32_t version = settings.version;

    while (!stopping) {
        version += 1 + (uint32_t)g_random_int_range(0, 3);
        GString *body = make_configuration(version);
        int64_t start = now_ms();
        bool done = call_until_answered(body, WRITE_BUDGET_MS, reply);
        g_string_free(body, TRUE);
        printf("write version=%u acknowledged=%d time=%lld ms=%lld\n", version,
               done, (long long)start, (long long)(now_ms() - start));
        fflush(stdout);
        if (!done) {
            return false;
        }
        for (int i = 0; i < WRITE_PAUSE_MS / 10 && !stopping; i++) {
            sleep_ms(10);
        }
    }
    return true;
}

/* Whether a read returned the configuration that was acknowledged. */
static bool
is_newest(const struct reply *reply)
{
    GString *body = make_configuration(settings.version);
    bool same = g_string_equal(body, reply->body);

    g_string_free(body, TRUE);
    return same;
}

/* Reads and prints the result. From `calm` on the configuration must come; a
 * read that starts earlier is given up then. */
static bool
read_once(int64_t calm, struct reply *reply)
{
    int64_t start = now_ms();
    bool judged = start >= calm;
    int64_t budget = judged ? READ_BUDGET_MS
                            : MIN(READ_BUDGET_MS, calm - start);
    bool came = call_until_answered(NULL, budget, reply);
    bool newest = came && is_newest(reply);

    printf("read call=%u judged=%d came=%d newest=%d time=%lld ms=%lld "
           "last=%s\n",
           calls, judged, came, newest, (long long)start,
           (long long)(now_ms() - start),
           reply->status ? "answered" : reply->reason);
    fflush(stdout);
    return !judged || newest;
}

static bool
read_configurations(struct reply *reply)
{
    int64_t calm = now_ms() + (int64_t)settings.calm_s * 1000;
    int64_t end = calm + (int64_t)settings.seconds * 1000;
    bool good = true;

    while (now_ms() < end) {
        good = read_once(calm, reply) && good;
        sleep_ms(READ_PAUSE_MS);
    }
    return good;
}

static bool
probe_instance(struct reply *reply)
{
    struct address at;
    int good = 0;

    g_strlcpy(at.ip, settings.probe->str, sizeof at.ip);
    for (int i = 0; i < PROBES; i++) {
        calls++;
        /* Without the random pause all probes of a run would call the leader
         * in the same millisecond. */
        sleep_ms(g_random_int_range(0, 2 * READ_PAUSE_MS));
        good += call_and_follow(at, NULL, 1, reply) && is_newest(reply);
    }
    printf("probe at=%s good=%d of=%d last=%d\n", at.ip, good, PROBES,
           reply->status);
    return good == PROBES;
}

int
main(int argc, char **argv)
{
    struct sigaction action = {.sa_handler = on_signal};

    standin_read_settings(settings_table, G_N_ELEMENTS(settings_table),
                          "standin-operator", argc, argv, &settings);
    sigaction(SIGTERM, &action, NULL);
    g_random_set_seed(settings.seed);
    struct reply reply = {.reason = "none", .body = g_string_new(NULL)};
    bool good = settings.probe   ? probe_instance(&reply)
                : settings.write ? write_configurations(&reply)
                                 : read_configurations(&reply);
    g_string_free(reply.body, TRUE);
    return good ? 0 : 1;
}
