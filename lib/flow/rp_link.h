/* A model of a machine's outgoing link: how long what was handed to it takes
 * to leave.
 *
 * The kernel takes datagrams faster than a thin link sends them; what exceeds
 * the room of the link's queue is lost without an error. So a sender has to
 * count what it hands over, and wait.
 *
 * Nothing here does I/O or reads a clock. Times are microseconds on one
 * monotonic clock. */
#ifndef RP_LINK_H
#define RP_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rp_time.h"

/* What a datagram takes on an Ethernet link beside its UDP payload, in bytes:
 * IPv4 20, UDP 8, frame header 14, checksum 4, preamble 8, gap 12. */
#define RP_LINK_OVERHEAD 66
/* A higher rate counts as none: no sender of this kind fills such a link. */
#define RP_LINK_MAX_MBPS 1000000
/* The span over which shares of the link are measured. */
#define RP_LINK_SPAN_US (500 * RP_US_PER_MS)

struct rp_link {
    uint64_t rate;        /* bytes per second; 0: unknown, without limit */
    int64_t free_at;      /* when the link will have sent what it was given */
    int64_t span_start;   /* of the present span */
    uint64_t span_bytes;  /* given in the present span */
    uint64_t span_urgent; /* of these: bytes of urgent packets */
    uint32_t percent;     /* of the rate, in the last spans */
    uint32_t urgent_percent; /* of the rate, by urgent packets */
};

/* Sets the rate in Mbit/s. A rate that is not a number from above 0 to
 * RP_LINK_MAX_MBPS means that the link has no limit; returns false then. */
bool RpLink_SetRate(struct rp_link *link, double mbps);

/* Returns whether the link has a rate. */
static inline bool
RpLink_IsLimited(const struct rp_link *link)
{
    return link->rate > 0;
}

/* Records that a datagram with `len` bytes of payload was handed over. */
void RpLink_Send(struct rp_link *link, int64_t now, size_t len, bool urgent);

/* Returns how long what was handed over still takes, in microseconds. */
int64_t RpLink_Backlog(const struct rp_link *link, int64_t now);

/* Returns how long `bytes` on the link take, in microseconds. */
int64_t RpLink_Duration(const struct rp_link *link, uint64_t bytes);

/* Updates the measured shares of the link, as each datagram does. */
void RpLink_Measure(struct rp_link *link, int64_t now);

#endif
