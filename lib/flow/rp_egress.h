/* Datagrams that wait for room on the outgoing link, in the order in which
 * they leave.
 *
 * A caller sends a whole window at once. On a thin link its last packets would
 * be lost in the link's own queue, and short requests of others behind them.
 * So a balancer that knows its link's rate keeps the link's queue short, and
 * lets packets wait here: openings, acknowledgements and resets first, then
 * short requests, then bulk; within each of these by the priority of the
 * address. Flows of the same rank take turns; packets of one flow stay in
 * order.
 *
 * A packet that is of no use any more is dropped instead of sent: a copy of
 * one that still waits, a SYN or a segment that has waited for too long, and
 * what a caller sent before its reset. Packets, bytes and ages are bounded.
 * Each drop has a counter. Nothing here does I/O or reads a clock. */
#ifndef RP_EGRESS_H
#define RP_EGRESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rp_counters.h"
#include "rp_endpoint.h"
#include "rp_link.h"
#include "rp_packet.h"

#define RP_EGRESS_MAX_PACKETS 1024
#define RP_EGRESS_MAX_BYTES (1024 * 1024)
/* A device's queue holds about 50 ms of a thin link's rate. Packets go out
 * while the link has less than RP_EGRESS_FULL_US to send, which leaves room
 * for a full datagram at 1 Mbit/s and for a late model. */
#define RP_EGRESS_FULL_US (30 * RP_US_PER_MS)
/* The link gets more when it has this much left to send: late enough that one
 * wake-up sends several datagrams, early enough that it never runs dry. */
#define RP_EGRESS_REFILL_US (10 * RP_US_PER_MS)
/* The longest gap between two copies of a SYN, and of a segment: a packet that
 * has waited longer has been repeated or given up. */
#define RP_EGRESS_SYN_LIFETIME_US (400 * RP_US_PER_MS)
#define RP_EGRESS_LIFETIME_US (1600 * RP_US_PER_MS)
/* Priorities of addresses above this count as this. */
#define RP_EGRESS_LOWEST_PRIORITY 3

enum rp_egress_class {
    RP_EGRESS_URGENT, /* without data: openings, acknowledgements, resets */
    RP_EGRESS_SHORT,  /* data of short requests */
    RP_EGRESS_BULK,
    RP_EGRESS_CLASSES
};

/* A packet of a caller on its way to an agent. */
struct rp_egress_offer {
    const struct rp_packet *packet;
    struct rp_endpoint to;
    const uint8_t *header; /* precedes the packet in the datagram */
    size_t header_len;
    enum rp_egress_class rank;
    uint32_t priority; /* of the address; 0 is the highest */
};

/* A datagram that has waited; `data` holds `len` bytes. */
struct rp_egress_packet {
    struct rp_flow_key key;
    struct rp_endpoint to;
    uint32_t seq;
    uint32_t payload_len;
    uint8_t flags;
    bool urgent;
    int64_t deadline;
    size_t len;
    uint8_t data[];
};

enum rp_egress_verdict {
    RP_EGRESS_SEND, /* send it at once */
    RP_EGRESS_KEPT, /* it was copied and waits */
    RP_EGRESS_DROPPED
};

struct rp_egress;

/* `link` and `counters` are borrowed. */
struct rp_egress *RpEgress_Create(struct rp_link *link,
                                  struct rp_counters *counters);

/* Frees the queue and its packets; `egress` may be NULL. */
void RpEgress_Free(struct rp_egress *egress);

/* Decides what becomes of a packet. Without a rate of the link, everything is
 * sent. */
enum rp_egress_verdict RpEgress_Offer(struct rp_egress *egress, int64_t now,
                                      const struct rp_egress_offer *offer);

/* Removes the next datagram for which the link has room and returns it, or
 * NULL. The caller frees it with g_free. */
struct rp_egress_packet *RpEgress_Take(struct rp_egress *egress, int64_t now);

/* As RpEgress_Take, but without regard to the link's room: for a process that
 * stops. */
struct rp_egress_packet *RpEgress_TakeAny(struct rp_egress *egress,
                                          int64_t now);

/* Returns when the link will have room for more; RP_NEVER if none waits. */
int64_t RpEgress_NextRefill(const struct rp_egress *egress);

/* Returns how many packets wait, and how many bytes they take on the link. */
size_t RpEgress_Count(const struct rp_egress *egress);
size_t RpEgress_Bytes(const struct rp_egress *egress);

/* Returns how many bytes wait that leave before bulk of this priority, and
 * before what comes after it in its rank. */
size_t RpEgress_BytesBefore(const struct rp_egress *egress, uint32_t priority);

#endif
