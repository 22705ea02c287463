/* Stand-in for an upstream host: receives the inner packets from its agent,
 * accepts the callers' TCP connections in the lwIP stack, and relays each one
 * to a real server on this machine. */
#include <glib.h>
#include <stdio.h>

#include "link.h"
#include "splice.h"
#include "standin.h"

struct host_settings {
    struct rp_endpoint address; /* the service's address */
    struct rp_endpoint listen;
    struct rp_endpoint agent;
    struct rp_endpoint server;
};

static struct host_settings settings;

static const struct rp_setting settings_table[] = {
    {.flag = "address",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct host_settings, address),
     .value = "ADDR:PORT",
     .help = "the service's address"},
    {.flag = "listen",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct host_settings, listen),
     .value = "ADDR:PORT",
     .help = "address that receives datagrams from the agent"},
    {.flag = "agent",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct host_settings, agent),
     .value = "ADDR:PORT",
     .help = "the agent's address for its host"},
    {.flag = "server",
     .kind = RP_SETTING_ENDPOINT,
     .offset = offsetof(struct host_settings, server),
     .value = "ADDR:PORT",
     .help = "address of the real server"},
};

static err_t
on_accept(void *arg, struct tcp_pcb *pcb, err_t err)
{
    (void)arg;
    (void)err;
    printf("event=accepted at_us=%" G_GINT64_FORMAT "\n", g_get_real_time());
    fflush(stdout);
    splice_start(pcb, standin_connect(settings.server));
    return ERR_OK;
}

int
main(int argc, char **argv)
{
    standin_read_settings(settings_table, G_N_ELEMENTS(settings_table),
                          "standin-host", argc, argv, &settings);
    if (!link_start(settings.address.ip, settings.listen, settings.agent)) {
        return 1;
    }
    ip_addr_t address = link_address(settings.address.ip);
    struct tcp_pcb *pcb = tcp_new();
    if (tcp_bind(pcb, &address, settings.address.port) != ERR_OK) {
        return 1;
    }
    pcb = tcp_listen(pcb);
    tcp_accept(pcb, on_accept);
    standin_run();
    return 0;
}
