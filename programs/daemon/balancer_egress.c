/* The outgoing link of a balancer's machine. See balancer_egress.h. */
#include "balancer_egress.h"

#include <math.h>

#include "rp_clock.h"
#include "rp_egress.h"
#include "rp_link_admission.h"
#include "rp_link_flows.h"
#include "rp_timer.h"

/* Shortest time between two log lines about packets that waited. */
#define SUMMARY_INTERVAL_US (5 * RP_US_PER_SECOND)

struct rp_balancer_egress {
    struct rp_daemon *daemon;
    struct rp_udp *udp;
    struct rp_link link;
    struct rp_egress *queue;
    struct rp_link_flows *flows;
    struct rp_link_admission *admission;
    struct rp_timer *timer; /* fires when the link has room */
    int64_t next_summary;
    uint64_t summarised; /* RP_COUNT_EGRESS_WAITED at the last summary */
};

/* Takes waiting packets with `take` and sends them in batches. */
static void
send_waiting(struct rp_balancer_egress *egress,
             struct rp_egress_packet *(*take)(struct rp_egress *, int64_t))
{
    struct rp_egress_packet *batch[RP_UDP_BATCH];
    int64_t now = RpClock_Now();
    size_t count;

    do {
        for (count = 0;
             count < RP_UDP_BATCH && (batch[count] = take(egress->queue, now));
             count++) {
            RpUdp_Send(egress->udp, batch[count]->to, batch[count]->data, 0,
                       batch[count]->data, batch[count]->len);
        }
        RpUdp_Flush(egress->udp);
        for (size_t i = 0; i < count; i++) {
            g_free(batch[i]);
        }
    } while (count == RP_UDP_BATCH);
}

/* Logs how many packets have waited since the last summary. */
static void
log_summary(struct rp_balancer_egress *egress, int64_t now)
{
    const uint64_t *count = egress->daemon->counters.value;
    uint64_t waited = count[RP_COUNT_EGRESS_WAITED];

    if (now < egress->next_summary || waited == egress->summarised) {
        return;
    }
    RpLog_Event(
        egress->daemon->log, RP_LOG_INFO, "egress_waited",
        "packets=%" G_GUINT64_FORMAT " waiting=%zu link_percent=%u "
        "urgent_percent=%u copies=%" G_GUINT64_FORMAT
        " late=%" G_GUINT64_FORMAT " full=%" G_GUINT64_FORMAT
        " packet_bytes=%" G_GUINT64_FORMAT " header_bytes=%" G_GUINT64_FORMAT,
        waited - egress->summarised, RpEgress_Count(egress->queue),
        egress->link.percent, egress->link.urgent_percent,
        count[RP_COUNT_DROP_EGRESS_COPY], count[RP_COUNT_DROP_EGRESS_LATE],
        count[RP_COUNT_DROP_EGRESS_FULL], count[RP_COUNT_LINK_BYTES_PACKETS],
        count[RP_COUNT_LINK_BYTES_HEADERS]);
    egress->summarised = waited;
    egress->next_summary = now + SUMMARY_INTERVAL_US;
}

/* Sends what the link has room for. */
static void
refill_link(void *user)
{
    struct rp_balancer_egress *egress = user;

    send_waiting(egress, RpEgress_Take);
    log_summary(egress, RpClock_Now());
    RpTimer_RunBy(egress->timer, RpEgress_NextRefill(egress->queue));
}

struct rp_balancer_egress *
RpBalancerEgress_Create(struct rp_daemon *daemon, struct rp_udp *udp)
{
    struct rp_balancer_egress *egress = g_new0(struct rp_balancer_egress, 1);

    egress->daemon = daemon;
    egress->udp = udp;
    egress->queue = RpEgress_Create(&egress->link, &daemon->counters);
    egress->flows = RpLinkFlows_Create();
    egress->admission = RpLinkAdmission_Create(&egress->link, egress->queue,
                                               egress->flows);
    egress->timer = RpTimer_Create(refill_link, egress);
    return egress;
}

void
RpBalancerEgress_Free(struct rp_balancer_egress *egress)
{
    if (egress) {
        send_waiting(egress, RpEgress_TakeAny);
        RpTimer_Free(egress->timer);
        RpLinkAdmission_Free(egress->admission);
        RpLinkFlows_Free(egress->flows);
        RpEgress_Free(egress->queue);
        g_free(egress);
    }
}

void
RpBalancerEgress_SetRate(struct rp_balancer_egress *egress, double mbps)
{
    uint64_t before = egress->link.rate;

    if (!RpLink_SetRate(&egress->link, mbps)) {
        send_waiting(egress, RpEgress_TakeAny);
        if (isnan(mbps)) {
            RpLog_Event(egress->daemon->log, RP_LOG_WARN, "setting_ignored",
                        "setting=link-rate reason=\"not a rate\"");
        }
    }
    if (egress->link.rate != before) {
        RpLog_Event(egress->daemon->log, RP_LOG_INFO, "link_rate",
                    "bytes_per_second=%" G_GUINT64_FORMAT, egress->link.rate);
    }
}

bool
RpBalancerEgress_Takes(struct rp_balancer_egress *egress,
                       const struct rp_table *table,
                       const struct rp_packet *packet)
{
    return RpLinkAdmission_Takes(
        egress->admission, RpClock_Now(), packet,
        RpTable_FindVip(table, RpFlowKey_Destination(packet->key)));
}

void
RpBalancerEgress_Send(struct rp_balancer_egress *egress,
                      const struct rp_table *table,
                      const struct rp_packet *packet, struct rp_endpoint to,
                      const uint8_t *header, size_t header_len,
                      bool stays_valid)
{
    struct rp_egress_offer offer = {.packet = packet,
                                    .to = to,
                                    .header = header,
                                    .header_len = header_len};
    int64_t now;

    if (RpLink_IsLimited(&egress->link)) {
        const struct rp_vip *vip = RpTable_FindVip(
            table, RpFlowKey_Destination(packet->key));
        now = RpClock_Now();
        offer.priority = vip ? vip->priority : 0;
        offer.rank = RpLinkFlows_Count(
            egress->flows, now, packet, offer.priority,
            header_len + packet->len + RP_LINK_OVERHEAD);
        enum rp_egress_verdict verdict = RpEgress_Offer(egress->queue, now,
                                                        &offer);
        if (verdict != RP_EGRESS_DROPPED) {
            uint64_t *count = egress->daemon->counters.value;
            count[RP_COUNT_LINK_BYTES_PACKETS] += packet->len;
            count[RP_COUNT_LINK_BYTES_HEADERS] += header_len +
                                                  RP_LINK_OVERHEAD;
        }
        if (verdict != RP_EGRESS_SEND) {
            RpTimer_RunBy(egress->timer, RpEgress_NextRefill(egress->queue));
            return;
        }
    }
    if (stays_valid) {
        RpUdp_Send(egress->udp, to, header, header_len, packet->data,
                   packet->len);
    }
    else {
        RpUdp_SendCopy(egress->udp, to, header, header_len, packet->data,
                       packet->len);
    }
}

void
RpBalancerEgress_WriteGauges(const struct rp_balancer_egress *egress,
                             GString *out)
{
    if (RpLink_IsLimited(&egress->link)) {
        g_string_append_printf(
            out,
            "link_backlog_us %" G_GINT64_FORMAT "\nlink_percent %u\n"
            "link_urgent_percent %u\negress_packets %zu\negress_bytes %zu\n",
            RpLink_Backlog(&egress->link, RpClock_Now()), egress->link.percent,
            egress->link.urgent_percent, RpEgress_Count(egress->queue),
            RpEgress_Bytes(egress->queue));
    }
}
