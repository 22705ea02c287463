/* Packets that an agent keeps for a possible forward to the next agent: a SYN
 * until the host answers it, or the packet with which the agent queried the
 * host about an unknown flow. Also the packets with which it asks its host
 * later whether the host still has a flow. At most one packet for each flow,
 * bounded in number and size. */
#ifndef RP_HOLD_H
#define RP_HOLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rp_geneve.h"
#include "rp_packet.h"

#define RP_HOLD_MAX_PACKETS 16384    /* packets */
#define RP_HOLD_MAX_PACKET_SIZE 2048 /* bytes; larger packets are not kept */

/* A kept packet with the candidate chain that came with it. */
struct rp_held_packet {
    struct rp_chain chain;
    size_t len;
    uint8_t data[];
};

struct rp_hold;

struct rp_hold *RpHold_Create(void);

/* Frees `hold` and its packets; `hold` may be NULL. */
void RpHold_Free(struct rp_hold *hold);

/* Keeps a copy of the packet, which replaces an earlier packet of the same
 * flow. Returns false if RP_HOLD_MAX_PACKETS packets are kept or the packet is
 * larger than RP_HOLD_MAX_PACKET_SIZE. */
bool RpHold_Put(struct rp_hold *hold, struct rp_flow_key caller,
                const struct rp_chain *chain, const uint8_t *data, size_t len);

/* Returns the flow's packet, which stays valid until the next call that
 * changes it; NULL if there is none. */
const struct rp_held_packet *RpHold_Get(const struct rp_hold *hold,
                                        struct rp_flow_key caller);

/* Removes the flow's packet and returns it; the caller of this function frees
 * it with g_free. NULL if there is none. */
struct rp_held_packet *RpHold_Take(struct rp_hold *hold,
                                   struct rp_flow_key caller);

/* Removes and frees the flow's packet, if there is one. */
void RpHold_Drop(struct rp_hold *hold, struct rp_flow_key caller);

#endif
