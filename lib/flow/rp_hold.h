/* Packets that an agent keeps for a moment: a SYN until its host answers,
 * or the packet with which a host was asked about a flow. One packet a
 * flow, bounded in number and size. */
#ifndef RP_HOLD_H
#define RP_HOLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rp_geneve.h"
#include "rp_packet.h"

#define RP_HOLD_MAX 16384       /* packets */
#define RP_HOLD_PACKET_MAX 2048 /* bytes; larger ones are not kept */

/* A kept packet with the candidates that came with it. */
struct rp_held {
    struct rp_chain chain;
    size_t len;
    uint8_t data[];
};

struct rp_hold;

struct rp_hold *RpHold_Create(void);

void RpHold_Free(struct rp_hold *hold);

/* Keeps a copy, in place of an earlier one of that caller. False if there
 * is no room or the packet is too large. */
bool RpHold_Put(struct rp_hold *hold, struct rp_flow_key caller,
                const struct rp_chain *chain, const uint8_t *data, size_t len);

/* Takes the caller's packet out; the caller of this function frees it with
 * g_free. NULL if there is none. */
struct rp_held *RpHold_Take(struct rp_hold *hold, struct rp_flow_key caller);

/* Drops the caller's packet, if any. */
void RpHold_Drop(struct rp_hold *hold, struct rp_flow_key caller);

#endif
