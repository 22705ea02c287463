/* Measures the main loop and reads what the kernel knows of this process. */
#include "rp_process.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "rp_clock.h"
#include "rp_descriptors.h"
#include "rp_endpoint.h"

/* Listening sockets are opened at the start, so their numbers are low. Those
 * that are opened again later take the lowest number that is free. */
#define LISTENER_NUMBER_MAX 1024

static struct {
    struct rp_counters *counters;
    RpProcess_Paused paused;
    void *user;
    int64_t polled_at;  /* when the last poll returned; 0: none yet */
    int64_t longest_us; /* pause since the last scrape */
} loop;

static void
record_pause(int64_t pause_us)
{
    RpCounters_AddDuration(loop.counters, RP_HISTOGRAM_LOOP_HELD, pause_us);
    loop.longest_us = MAX(loop.longest_us, pause_us);
    if (pause_us >= RP_PROCESS_PAUSE_US && loop.paused) {
        loop.paused(loop.user, pause_us);
    }
}

/* Polls as the loop does, and measures how long the handlers before it ran and
 * how late it returns. */
static gint
poll_and_measure(GPollFD *fds, guint count, gint timeout_ms)
{
    int64_t began = RpClock_Now();

    if (loop.polled_at) {
        record_pause(began - loop.polled_at);
    }
    gint ready = g_poll(fds, count, timeout_ms);
    int poll_errno = errno;
    loop.polled_at = RpClock_Now();
    int64_t late_us = loop.polled_at - began - timeout_ms * RP_US_PER_MS;
    if (timeout_ms >= 0 && late_us >= RP_US_PER_MS) {
        record_pause(late_us);
    }
    errno = poll_errno;
    return ready;
}

void
RpProcess_WatchLoop(struct rp_counters *counters, RpProcess_Paused paused,
                    void *user)
{
    loop.counters = counters;
    loop.paused = paused;
    loop.user = user;
    g_main_context_set_poll_func(NULL, poll_and_measure);
}

static void
append_gauge(const char *role, const char *name, uint64_t value, GString *out)
{
    g_string_append_printf(out,
                           "# TYPE radishport_%s gauge\n"
                           "radishport_%s{role=\"%s\"} %" G_GUINT64_FORMAT
                           "\n",
                           name, name, role, value);
}

static void
format_descriptors(const char *role, GString *out)
{
    unsigned count = RpDescriptors_CountOpen();

    if (count > 0) {
        append_gauge(role, "descriptors_open", count, out);
    }
    append_gauge(role, "descriptors_max", RpDescriptors_ReadLimit(NULL), out);
}

/* Reads the queue of a listening TCP socket. Returns false if `number` is
 * something else. */
static bool
read_listener(int number, struct rp_endpoint *at, struct tcp_info *info)
{
    struct sockaddr_in address = {0};
    socklen_t address_len = sizeof address;
    socklen_t info_len = sizeof *info;
    int listens = 0;
    socklen_t listens_len = sizeof listens;

    if (getsockopt(number, SOL_SOCKET, SO_ACCEPTCONN, &listens,
                   &listens_len) ||
        !listens ||
        getsockopt(number, IPPROTO_TCP, TCP_INFO, info, &info_len) ||
        getsockname(number, (struct sockaddr *)&address, &address_len) ||
        address.sin_family != AF_INET) {
        return false;
    }
    *at = (struct rp_endpoint){.ip = ntohl(address.sin_addr.s_addr),
                               .port = ntohs(address.sin_port)};
    return true;
}

/* In TCP_INFO of a listening socket, tcpi_unacked is the number of connections
 * that wait to be accepted, and tcpi_sacked the size of that queue. */
static void
format_listeners(const char *role, GString *out)
{
    GString *sizes = g_string_new("# TYPE radishport_accept_queue gauge\n");

    g_string_append(out, "# TYPE radishport_accept_waiting gauge\n");
    for (int number = 0; number < LISTENER_NUMBER_MAX; number++) {
        struct rp_endpoint at;
        struct tcp_info info = {0};
        char text[RP_ENDPOINT_TEXT_MAX];
        if (!read_listener(number, &at, &info)) {
            continue;
        }
        RpEndpoint_Format(at, text);
        g_string_append_printf(
            out, "radishport_accept_waiting{role=\"%s\",listen=\"%s\"} %u\n",
            role, text, info.tcpi_unacked);
        g_string_append_printf(
            sizes, "radishport_accept_queue{role=\"%s\",listen=\"%s\"} %u\n",
            role, text, info.tcpi_sacked);
    }
    g_string_append_len(out, sizes->str, (gssize)sizes->len);
    g_string_free(sizes, TRUE);
}

void
RpProcess_FormatGauges(const char *role, GString *out)
{
    format_descriptors(role, out);
    if (loop.counters) {
        append_gauge(role, "loop_longest_held_ms",
                     (uint64_t)(loop.longest_us / RP_US_PER_MS), out);
        loop.longest_us = 0;
    }
    format_listeners(role, out);
}
