/* Shared code of the stand-ins: settings, TCP sockets and the main loop. */
#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

void
standin_read_settings(const struct rp_setting *settings, size_t count,
                      const char *program, int argc, char **argv, void *target)
{
    struct rp_error error;

    RpError_Init(&error);
    enum rp_settings_result result = RpSettings_Read(
        settings, count, program, "A stand-in for tests.", argc, argv, target,
        &error);
    if (result == RP_SETTINGS_READY) {
        return;
    }
    GString *text = g_string_new(NULL);
    RpError_Format(&error, text);
    fputs(text->str, stderr);
    exit(result == RP_SETTINGS_DONE ? 0 : 2);
}

static struct sockaddr_in
make_sockaddr(struct rp_endpoint address)
{
    return (struct sockaddr_in){.sin_family = AF_INET,
                                .sin_port = htons(address.port),
                                .sin_addr.s_addr = htonl(address.ip)};
}

static int
open_tcp(void)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int on = 1;

    if (fd < 0) {
        perror("socket");
        exit(1);
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

int
standin_listen(struct rp_endpoint address)
{
    struct sockaddr_in name = make_sockaddr(address);
    int fd = open_tcp();
    int on = 1;

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd, (struct sockaddr *)&name, sizeof name) ||
        listen(fd, SOMAXCONN)) {
        perror("listen");
        exit(1);
    }
    return fd;
}

int
standin_connect(struct rp_endpoint address)
{
    struct sockaddr_in name = make_sockaddr(address);
    int fd = open_tcp();

    if (connect(fd, (struct sockaddr *)&name, sizeof name) &&
        errno != EINPROGRESS) {
        perror("connect");
    }
    return fd;
}

static gboolean
on_stop(gpointer data)
{
    g_main_loop_quit(data);
    return G_SOURCE_CONTINUE;
}

void
standin_run(void)
{
    GMainLoop *loop = g_main_loop_new(NULL, FALSE);

    g_unix_signal_add(SIGTERM, on_stop, loop);
    g_unix_signal_add(SIGINT, on_stop, loop);
    g_main_loop_run(loop);
    g_main_loop_unref(loop);
}
