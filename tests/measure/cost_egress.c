/* Measures what a balancer's outgoing link costs a packet: flows counted, and
 * either sent at once (wide link) or kept and taken again (thin link). */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "rp_egress.h"
#include "rp_link_flows.h"

#define PACKETS 2000000
#define FLOWS 2000 /* that a balancer of the target's size sees in 500 ms */
#define LEN 584    /* of the packet, with 512 bytes of payload */

static void
measure(const char *name, double mbps)
{
    struct rp_link link = {0};
    struct rp_counters counters = {0};
    static const uint8_t bytes[LEN];
    static const uint8_t header[72];

    RpLink_SetRate(&link, mbps);
    struct rp_egress *egress = RpEgress_Create(&link, &counters);
    struct rp_link_flows *flows = RpLinkFlows_Create();
    struct rp_egress_packet *taken;
    clock_t start = clock();
    for (unsigned i = 0; i < PACKETS; i++) {
        int64_t now = i * INT64_C(10);
        const struct rp_packet packet = {
            .data = bytes,
            .len = LEN,
            .key = {.src_ip = 0x0a090000, .src_port = (uint16_t)(i % FLOWS)},
            .seq = i,
            .payload_len = 512,
            .flags = RP_TCP_ACK};
        const struct rp_egress_offer offer = {
            .packet = &packet,
            .header = header,
            .header_len = sizeof header,
            .rank = RpLinkFlows_Count(flows, now, &packet, 0,
                                      LEN + sizeof header)};
        RpEgress_Offer(egress, now, &offer);
        while (i % 8 == 7 && (taken = RpEgress_TakeAny(egress, now))) {
            g_free(taken);
        }
    }
    printf("cost egress link=%s flows=%d ns_per_packet=%.1f waited=%.2f\n",
           name, FLOWS,
           (double)(clock() - start) * 1e9 / CLOCKS_PER_SEC / PACKETS,
           (double)counters.value[RP_COUNT_EGRESS_WAITED] / PACKETS);
    RpLinkFlows_Free(flows);
    RpEgress_Free(egress);
}

int
main(void)
{
    measure("wide", 100000);
    measure("thin", 2.2);
    return 0;
}
