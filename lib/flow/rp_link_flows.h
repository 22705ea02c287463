/* What callers' flows send over the outgoing link: what a flow to an address
 * usually sends, and what the flows that have just opened will still send.
 *
 * A flow counts from its first packet until it has sent nothing for
 * RP_LINK_FLOW_IDLE_US, so what is learned is the size of one request, also
 * where flows stay open for many. Copies of a segment count once. The tables
 * are bounded; what they lose is learned again. Times are microseconds on one
 * monotonic clock, sizes are bytes on the link. */
#ifndef RP_LINK_FLOWS_H
#define RP_LINK_FLOWS_H

#include <stddef.h>
#include <stdint.h>

#include "rp_egress.h"
#include "rp_packet.h"

#define RP_LINK_FLOWS_MAX 4096     /* flows that are counted at once */
#define RP_LINK_ADDRESSES_MAX 4096 /* addresses whose requests are learned */
/* Above the gap between the copies of a SYN and the first copies of a
 * segment. */
#define RP_LINK_FLOW_IDLE_US (500 * RP_US_PER_MS)
/* How far ahead of the others a segment may be, in bytes: above any window
 * that a caller has in flight on a link this thin. */
#define RP_LINK_FLOW_AHEAD_MAX (256 * 1024)
/* A request up to this size is short: four full segments, which a caller sends
 * before it gets the first acknowledgement (RFC 3390). */
#define RP_LINK_SHORT_BYTES 6000
/* A sample's weight in the mean size is 1 / RP_LINK_SIZE_WINDOW; the first
 * samples all weigh the same. */
#define RP_LINK_SIZE_WINDOW 32

struct rp_link_flows;

struct rp_link_flows *RpLinkFlows_Create(void);

/* NULL does nothing. */
void RpLinkFlows_Free(struct rp_link_flows *flows);

/* Counts a caller's packet of `bytes` bytes to the address that `priority` is
 * of, and returns in which class it leaves. */
enum rp_egress_class RpLinkFlows_Count(struct rp_link_flows *flows,
                                       int64_t now,
                                       const struct rp_packet *packet,
                                       uint32_t priority, size_t bytes);

/* Returns the mean size of the requests to an address; 0 if none is known. */
uint64_t RpLinkFlows_MeanSize(const struct rp_link_flows *flows,
                              struct rp_endpoint address);

/* Returns what the counted flows to addresses of this priority or a higher one
 * will still send here, if they send as usual. */
uint64_t RpLinkFlows_Outstanding(struct rp_link_flows *flows, int64_t now,
                                 uint32_t priority);

#endif
