/* The gate in front of a host: which request goes in next.
 *
 * A connection is placed once, but its requests come at any time, so more
 * of them can be under way than the host has slots. Left alone they queue
 * in the host, short ones behind long ones. The gate keeps them instead,
 * lets short work in first, and lets work that is known to be long fill at
 * most a share of the slots. Nothing is dropped: what has waited until its
 * deadline goes in whatever the slots say.
 */
#ifndef RP_GATE_H
#define RP_GATE_H

#include <stdbool.h>
#include <stdint.h>

#include "rp_packet.h"
#include "rp_time.h"

/* Longest time that the gate keeps a request. */
#define RP_GATE_HOLD_US (2 * RP_US_PER_SECOND)
#define RP_GATE_MAX 4096 /* requests kept at once */

struct rp_gate;

/* A gate for `slots` slots, of which long work may fill `long_slots`. */
struct rp_gate *RpGate_Create(uint32_t slots, uint32_t long_slots);

void RpGate_Free(struct rp_gate *gate);

/* Changes the slots, as during a cold start. */
void RpGate_SetSlots(struct rp_gate *gate, uint32_t slots,
                     uint32_t long_slots);

/* A request of `caller` wants in. True: it is in now. False: it is kept
 * until RpGate_Next names its caller. */
bool RpGate_Enter(struct rp_gate *gate, int64_t now, struct rp_flow_key caller,
                  bool is_long);

/* A request that was in has its answer. */
void RpGate_Leave(struct rp_gate *gate, bool is_long);

/* The next kept request that goes in now; it counts as in. False if none
 * does. `*is_long` is how it was entered. */
bool RpGate_Next(struct rp_gate *gate, int64_t now, struct rp_flow_key *caller,
                 bool *is_long);

/* A kept request that will never come. False if it was not kept. */
bool RpGate_Cancel(struct rp_gate *gate, struct rp_flow_key caller);

/* The first time at which a kept request goes in whatever the slots say. */
int64_t RpGate_NextDeadline(const struct rp_gate *gate);

/* Requests kept, and requests in. */
uint32_t RpGate_Kept(const struct rp_gate *gate);
uint32_t RpGate_Inside(const struct rp_gate *gate);

#endif
