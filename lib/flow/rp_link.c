/* A model of a machine's outgoing link. See rp_link.h. */
#include "rp_link.h"

#include <glib.h>
#include <math.h>

#define BITS_PER_BYTE 8
#define BITS_PER_MBIT 1e6
/* Spans without a datagram after which nothing of the measured shares is
 * left: each halves them. */
#define SPANS_REMEMBERED 8

bool
RpLink_SetRate(struct rp_link *link, double mbps)
{
    bool valid = isfinite(mbps) && mbps > 0 && mbps <= RP_LINK_MAX_MBPS;

    link->rate = valid ? (uint64_t)(mbps * BITS_PER_MBIT / BITS_PER_BYTE) : 0;
    return link->rate > 0;
}

int64_t
RpLink_Duration(const struct rp_link *link, uint64_t bytes)
{
    return link->rate > 0
               ? (int64_t)(bytes * (uint64_t)RP_US_PER_SECOND / link->rate)
               : 0;
}

int64_t
RpLink_Backlog(const struct rp_link *link, int64_t now)
{
    return MAX(link->free_at - now, 0);
}

/* Returns the mean of the share before and that of a span. */
static uint32_t
average_percent(const struct rp_link *link, uint32_t before, uint64_t bytes)
{
    uint64_t most = link->rate * RP_LINK_SPAN_US / RP_US_PER_SECOND;
    uint64_t share = most > 0 ? bytes * 100 / most : 0;

    return (uint32_t)((before + MIN(share, 1000)) / 2);
}

void
RpLink_Measure(struct rp_link *link, int64_t now)
{
    int64_t spans = (now - link->span_start) / RP_LINK_SPAN_US;

    for (int64_t i = 0; i < MIN(spans, SPANS_REMEMBERED); i++) {
        link->percent = average_percent(link, link->percent, link->span_bytes);
        link->urgent_percent = average_percent(link, link->urgent_percent,
                                               link->span_urgent);
        link->span_bytes = 0;
        link->span_urgent = 0;
    }
    if (spans > 0) {
        link->span_start += spans * RP_LINK_SPAN_US;
    }
}

void
RpLink_Send(struct rp_link *link, int64_t now, size_t len, bool urgent)
{
    uint64_t bytes = len + RP_LINK_OVERHEAD;

    if (!RpLink_IsLimited(link)) {
        return;
    }
    RpLink_Measure(link, now);
    link->span_bytes += bytes;
    link->span_urgent += urgent ? bytes : 0;
    link->free_at = MAX(link->free_at, now) + RpLink_Duration(link, bytes);
}
