/* The lwIP network interface that carries packets as Geneve over UDP. */
#include "link.h"

#include <glib.h>
#include <sodium.h>
#include <stdio.h>

#include "lwip/init.h"
#include "lwip/netif.h"
#include "lwip/pbuf.h"
#include "lwip/timeouts.h"
#include "rp_geneve.h"
#include "rp_udp.h"

#define MTU 1400
#define TIMER_MS 5 /* period of lwIP's timers */

static struct netif netif;
static struct rp_udp *udp;
static struct rp_endpoint peer; /* receives the stack's packets */
static struct rp_counters counters;

static err_t
output(struct netif *interface, struct pbuf *packet, const ip4_addr_t *next)
{
    uint8_t header[RP_GENEVE_HEADROOM];
    uint8_t body[MTU + 100];

    (void)interface;
    (void)next;
    size_t header_len = RpGeneve_Write(header, RP_GENEVE_IPV4, NULL, NULL);
    u16_t len = pbuf_copy_partial(packet, body, sizeof body, 0);
    RpUdp_SendCopy(udp, peer, header, header_len, body, len);
    return ERR_OK;
}

static err_t
init_netif(struct netif *interface)
{
    interface->name[0] = 'g';
    interface->name[1] = 'v';
    interface->mtu = MTU;
    interface->output = output;
    return ERR_OK;
}

static void
on_datagram(void *user, uint8_t *data, size_t len, struct rp_endpoint from)
{
    struct rp_geneve geneve;
    enum rp_counter reason;

    (void)user;
    (void)from;
    if (!RpGeneve_Parse(data, len, RP_GENEVE_IPV4, &geneve, &reason)) {
        return;
    }
    struct pbuf *packet = pbuf_alloc(PBUF_RAW, (u16_t)geneve.inner_len,
                                     PBUF_RAM);
    if (!packet) {
        return;
    }
    pbuf_take(packet, geneve.inner, (u16_t)geneve.inner_len);
    if (netif.input(packet, &netif) != ERR_OK) {
        pbuf_free(packet);
    }
}

static gboolean
on_timer(gpointer data)
{
    (void)data;
    sys_check_timeouts();
    return G_SOURCE_CONTINUE;
}

ip_addr_t
link_address(uint32_t address)
{
    ip_addr_t out = IPADDR4_INIT(lwip_htonl(address));

    return out;
}

bool
link_start(uint32_t address, struct rp_endpoint listen, struct rp_endpoint to)
{
    ip4_addr_t ip = {.addr = lwip_htonl(address)};
    ip4_addr_t mask = {.addr = 0};
    ip4_addr_t gateway = {.addr = 0};
    struct rp_error error;

    RpError_Init(&error);
    peer = to;
    udp = RpUdp_Open(listen, on_datagram, NULL, &counters, &error);
    if (!udp) {
        GString *text = g_string_new(NULL);
        RpError_Format(&error, text);
        fputs(text->str, stderr);
        return false;
    }
    lwip_init();
    netif_add(&netif, &ip, &mask, &gateway, NULL, init_netif, ip4_input);
    netif_set_default(&netif);
    netif_set_up(&netif);
    netif_set_link_up(&netif);
    g_timeout_add(TIMER_MS, on_timer, NULL);
    return true;
}
