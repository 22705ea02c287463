/* Stand-in for callers: accepts TCP connections of real clients and relays
 * each one over a TCP connection of the lwIP stack to a service's address. The
 * stack's packets go to the fabric. */
#include <glib-unix.h>
#include <sys/socket.h>
#include <unistd.h>

#include "link.h"
#include "splice.h"
#include "standin.h"

#define MAX_MAPS 16

struct caller_settings {
    struct rp_endpoint address; /* the callers' IP; the port is not used */
    struct rp_endpoint listen;
    struct rp_endpoint fabric;
    struct rp_endpoints ports;    /* real clients connect here */
    struct rp_endpoints services; /* item i belongs to item i of `ports` */
};

static struct caller_settings settings;

static const struct rp_setting settings_table[] = {
    {.flag = "address",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct caller_settings, address),
     .value = "ADDR:PORT",
     .help = "address of the callers (any port)"},
    {.flag = "listen",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct caller_settings, listen),
     .value = "ADDR:PORT",
     .help = "address that receives datagrams from the fabric"},
    {.flag = "fabric",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct caller_settings, fabric),
     .value = "ADDR:PORT",
     .help = "the fabric's address for callers"},
    {.flag = "ports",
     .kind = RP_SETTING_ENDPOINTS,
     .offset = offsetof(struct caller_settings, ports),
     .value = "ADDR:PORT,…",
     .help = "addresses that accept real clients"},
    {.flag = "services",
     .kind = RP_SETTING_ENDPOINTS,
     .offset = offsetof(struct caller_settings, services),
     .value = "ADDR:PORT,…",
     .help = "service addresses, one for each of --ports"},
};

/* A real client whose connection to the service is not established yet. */
struct pending_client {
    int fd;
};

static err_t
on_connected(void *arg, struct tcp_pcb *pcb, err_t err)
{
    struct pending_client *pending_client = arg;

    (void)err;
    splice_start(pcb, pending_client->fd);
    g_free(pending_client);
    return ERR_OK;
}

/* The connection to the service failed: resets the client's connection. */
static void
on_connect_failed(void *arg, err_t err)
{
    struct pending_client *pending_client = arg;
    struct linger linger = {.l_onoff = 1, .l_linger = 0};

    (void)err;
    setsockopt(pending_client->fd, SOL_SOCKET, SO_LINGER, &linger,
               sizeof linger);
    close(pending_client->fd);
    g_free(pending_client);
}

static gboolean
on_client(gint fd, GIOCondition condition, gpointer data)
{
    const struct rp_endpoint *service = data;
    int client = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

    (void)condition;
    if (client < 0) {
        return G_SOURCE_CONTINUE;
    }
    struct pending_client *pending_client = g_new0(struct pending_client, 1);
    struct tcp_pcb *pcb = tcp_new();
    ip_addr_t from = link_address(settings.address.ip);
    ip_addr_t to = link_address(service->ip);
    pending_client->fd = client;
    tcp_arg(pcb, pending_client);
    tcp_err(pcb, on_connect_failed);
    if (tcp_bind(pcb, &from, 0) != ERR_OK ||
        tcp_connect(pcb, &to, service->port, on_connected) != ERR_OK) {
        tcp_abort(pcb);
    }
    return G_SOURCE_CONTINUE;
}

int
main(int argc, char **argv)
{
    standin_read_settings(settings_table, G_N_ELEMENTS(settings_table),
                          "standin-caller", argc, argv, &settings);
    if (!link_start(settings.address.ip, settings.listen, settings.fabric)) {
        return 1;
    }
    for (size_t i = 0; i < settings.ports.count; i++) {
        int fd = standin_listen(settings.ports.item[i]);
        g_unix_fd_add(fd, G_IO_IN, on_client, &settings.services.item[i]);
    }
    standin_run();
    return 0;
}
