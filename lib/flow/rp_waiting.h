/* Packets of callers that a balancer cannot route yet, because it has no table
 * or its table may lack members.
 *
 * After a loss of all power, callers send as soon as the first balancer runs,
 * some hundred milliseconds before the first table. A caller repeats a SYN
 * after 200 ms and again 400 ms later, and may wait no longer than 500 ms. A
 * SYN that is dropped therefore often costs the whole request. A packet that
 * waits here is routed when the table comes.
 *
 * Only the latest packet that opens a flow waits for that flow: its copies
 * would reach several hosts. The number, the bytes and the age of waiting
 * packets are bounded; the oldest packet makes room for a new one. Nothing
 * here does I/O or reads a clock: times are microseconds on one monotonic
 * clock. */
#ifndef RP_WAITING_H
#define RP_WAITING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rp_endpoint.h"
#include "rp_packet.h"
#include "rp_time.h"

#define RP_WAITING_MAX_PACKETS 1024
#define RP_WAITING_MAX_BYTES                                                  \
    (512 * 1024) /* of packets, without their records */
/* The longest gap between two copies of a SYN. A packet that has waited longer
 * has been repeated or given up. */
#define RP_WAITING_LIFETIME_US (400 * RP_US_PER_MS)

/* A waiting packet; `data` holds `len` bytes. */
struct rp_waiting_packet {
    struct rp_flow_key key;
    struct rp_endpoint from; /* who sent it to the balancer */
    bool opens;              /* it opens the flow */
    int64_t deadline;
    size_t len;
    uint8_t data[];
};

struct rp_waiting;

struct rp_waiting *RpWaiting_Create(void);

void RpWaiting_Free(struct rp_waiting *waiting);

/* Keeps a copy of the packet, which came from `from`. Returns the number of
 * packets that were dropped to make room, which includes the packet itself if
 * it is too large. */
size_t RpWaiting_Put(struct rp_waiting *waiting, int64_t now,
                     const struct rp_packet *packet, struct rp_endpoint from);

/* Puts a packet that was taken back, behind the others. It keeps its deadline:
 * to keep the order, return every packet that was taken in turn. */
void RpWaiting_Return(struct rp_waiting *waiting,
                      struct rp_waiting_packet *packet);

/* Drops the packets whose deadline has passed and returns their number. */
size_t RpWaiting_Expire(struct rp_waiting *waiting, int64_t now);

/* Removes the oldest packet and returns it, or NULL. The caller frees it with
 * g_free. */
struct rp_waiting_packet *RpWaiting_Take(struct rp_waiting *waiting);

/* Returns how many packets wait. */
size_t RpWaiting_Count(const struct rp_waiting *waiting);

#endif
