/* Loopback callers, the main loop and limits for the tests of ports. */
#include "sockets.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <gio/gio.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "check.h"

#define HERD_WAIT_MS 3000
#define US_PER_MS 1000
#define NS_PER_US 1000

static const char request[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
static const char answer_start[] = "HTTP/1.1 200 ";
static const char answer_end[] = "\r\n\r\nx";

static struct rlimit limit_at_start;
static int64_t skipped_us;

/* Replaces the clock of the C library, also for GLib: the tests of deadlines
 * need not wait for them. */
int
clock_gettime(clockid_t clock, struct timespec *now)
{
    long result = syscall(SYS_clock_gettime, clock, now);

    if (result == 0 && clock != CLOCK_REALTIME) {
        int64_t us = now->tv_nsec / NS_PER_US + skipped_us;
        now->tv_sec += us / G_USEC_PER_SEC;
        now->tv_nsec = us % G_USEC_PER_SEC * NS_PER_US;
    }
    return (int)result;
}

static struct sockaddr_in
make_address(uint16_t port)
{
    return (struct sockaddr_in){.sin_family = AF_INET,
                                .sin_port = htons(port),
                                .sin_addr.s_addr = htonl(LOOPBACK)};
}

uint16_t
find_tcp_port(void)
{
    struct sockaddr_in address = make_address(0);
    socklen_t len = sizeof address;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    assert_true(fd >= 0);
    assert_int_equal(bind(fd, (struct sockaddr *)&address, len), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&address, &len), 0);
    close(fd);
    return ntohs(address.sin_port);
}

/* The child's part: connects, tells so, and waits to be told to end. */
static void
run_herd(uint16_t port, unsigned count, int commands, int results)
{
    struct sockaddr_in address = make_address(port);
    char byte = 0;

    prctl(PR_SET_PDEATHSIG, SIGKILL);
    restore_descriptor_limit();
    for (unsigned i = 0; i < count; i++) {
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        if (fd < 0 ||
            connect(fd, (struct sockaddr *)&address, sizeof address) < 0) {
            _exit(1);
        }
    }
    if (write(results, &byte, 1) != 1) {
        _exit(1);
    }
    _exit(read(commands, &byte, 1) == 0 ? 0 : 1);
}

struct herd
start_herd(uint16_t port, unsigned count)
{
    int commands[2];
    int results[2];

    assert_int_equal(pipe2(commands, O_CLOEXEC), 0);
    assert_int_equal(pipe2(results, O_CLOEXEC), 0);
    pid_t child = fork();
    assert_true(child >= 0);
    if (child == 0) {
        close(commands[1]);
        close(results[0]);
        run_herd(port, count, commands[0], results[1]);
    }
    close(commands[0]);
    close(results[1]);
    return (struct herd){
        .child = child, .to_child = commands[1], .from_child = results[0]};
}

bool
wait_for_herd(const struct herd *herd)
{
    char byte;

    return run_until_readable(herd->from_child, HERD_WAIT_MS) &&
           read(herd->from_child, &byte, 1) == 1;
}

void
stop_herd(struct herd *herd)
{
    close(herd->to_child);
    close(herd->from_child);
    kill(herd->child, SIGKILL);
    waitpid(herd->child, NULL, 0);
}

int
start_connect(uint16_t port)
{
    struct sockaddr_in address = make_address(port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    assert_true(fd >= 0);
    if (connect(fd, (struct sockaddr *)&address, sizeof address) < 0) {
        assert_int_equal(errno, EINPROGRESS);
    }
    return fd;
}

bool
is_connected(int fd)
{
    struct pollfd entry = {.fd = fd, .events = POLLOUT};

    return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0 &&
           (entry.revents & (POLLERR | POLLHUP)) == 0;
}

static int64_t
read_real_time_us(void)
{
    return g_get_monotonic_time() - skipped_us;
}

unsigned
run_loop(unsigned ms)
{
    int64_t end = read_real_time_us() + (int64_t)ms * US_PER_MS;
    unsigned wakeups = 0;

    while (read_real_time_us() < end) {
        if (g_main_context_iteration(NULL, FALSE)) {
            wakeups++;
        }
        else {
            g_usleep(US_PER_MS);
        }
    }
    return wakeups;
}

static bool
is_readable(int fd)
{
    struct pollfd entry = {.fd = fd, .events = POLLIN};

    return poll(&entry, 1, 0) == 1;
}

bool
run_until_readable(int fd, unsigned ms)
{
    int64_t end = read_real_time_us() + (int64_t)ms * US_PER_MS;

    while (!is_readable(fd) && read_real_time_us() < end) {
        run_loop(1);
    }
    return is_readable(fd);
}

bool
has_ended(int fd)
{
    char byte;

    return is_readable(fd) && recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

void
send_text(int fd, const char *text)
{
    ssize_t len = (ssize_t)strlen(text);

    assert_int_equal(send(fd, text, (size_t)len, MSG_NOSIGNAL), len);
}

/* Counts the complete answers in a text; each ends like answer_end. */
static unsigned
count_answers(const char *text)
{
    unsigned count = 0;

    for (const char *at = text; (at = strstr(at, answer_end)) != NULL;
         at += sizeof answer_end - 1) {
        count++;
    }
    return count;
}

bool
receive_answers(int fd, unsigned count, unsigned ms)
{
    char answer[4096] = "";
    size_t len = 0;

    /* The head and the body may arrive apart. */
    while (count_answers(answer) < count) {
        if (!run_until_readable(fd, ms)) {
            return false;
        }
        ssize_t got = recv(fd, answer + len, sizeof answer - 1 - len,
                           MSG_DONTWAIT);
        if (got <= 0) {
            return false;
        }
        len += (size_t)got;
    }
    return g_str_has_prefix(answer, answer_start);
}

bool
ask_on(int fd, unsigned ms)
{
    return send(fd, request, sizeof request - 1, MSG_NOSIGNAL) ==
               (ssize_t)sizeof request - 1 &&
           receive_answers(fd, 1, ms);
}

bool
ask(uint16_t port, unsigned ms)
{
    int fd = start_connect(port);
    bool answered = is_connected(fd) && ask_on(fd, ms);

    close(fd);
    return answered;
}

int
find_listening_socket(uint16_t port)
{
    for (int fd = 0; fd < 4096; fd++) {
        struct sockaddr_in address = {0};
        socklen_t len = sizeof address;
        int listening = 0;
        socklen_t size = sizeof listening;
        if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) ==
                0 &&
            listening &&
            getsockname(fd, (struct sockaddr *)&address, &len) == 0 &&
            ntohs(address.sin_port) == port) {
            return fd;
        }
    }
    fail_msg("no socket listens on port %u", port);
    return -1;
}

unsigned
count_descriptors(void)
{
    unsigned count = 0;

    for (int fd = 0; fd < 4096; fd++) {
        count += fcntl(fd, F_GETFD) >= 0;
    }
    return count;
}

void
set_descriptor_limit(unsigned limit)
{
    struct rlimit lowered;

    if (limit_at_start.rlim_max == 0) {
        assert_int_equal(getrlimit(RLIMIT_NOFILE, &limit_at_start), 0);
    }
    lowered = limit_at_start;
    lowered.rlim_cur = limit;
    assert_int_equal(setrlimit(RLIMIT_NOFILE, &lowered), 0);
}

void
restore_descriptor_limit(void)
{
    if (limit_at_start.rlim_max != 0) {
        assert_int_equal(setrlimit(RLIMIT_NOFILE, &limit_at_start), 0);
    }
}

void
skip_time(unsigned ms)
{
    skipped_us += (int64_t)ms * US_PER_MS;
    run_loop(5);
}
