/* The request queue in front of a host: limits how many requests the host
 * serves at once.
 *
 * A connection is placed once, but its requests come at any time, so more
 * requests can be outstanding than the host has slots. Without a limit they
 * queue in the host, short ones behind long ones. This queue holds them back
 * instead. It starts short requests first, and requests that are expected to
 * be long occupy at most some of the slots. No request is dropped: at its
 * deadline a waiting request starts even if no slot is free.
 */
#ifndef RP_REQUEST_QUEUE_H
#define RP_REQUEST_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "rp_packet.h"
#include "rp_time.h"

/* Longest time that a request waits, in microseconds. */
#define RP_REQUEST_MAX_WAIT_US (2 * RP_US_PER_SECOND)
#define RP_REQUEST_QUEUE_MAX 4096 /* most requests waiting */

struct rp_request_queue;

/* Creates the queue of a host with `slots` slots, of which long requests may
 * occupy `long_slots`. Release it with RpRequestQueue_Free. */
struct rp_request_queue *RpRequestQueue_Create(uint32_t slots,
                                               uint32_t long_slots);

void RpRequestQueue_Free(struct rp_request_queue *queue);

/* Changes the number of slots, for example during a cold start. Both numbers
 * become at least 1, and `long_slots` at most `slots`. */
void RpRequestQueue_SetSlots(struct rp_request_queue *queue, uint32_t slots,
                             uint32_t long_slots);

/* Adds a new request of `caller`. Returns true if the request starts now,
 * because a slot is free and no request of its kind (short or long) waits, or
 * because RP_REQUEST_QUEUE_MAX requests wait. Returns false if the request
 * waits until RpRequestQueue_StartNext returns its caller. `now` is in
 * microseconds. */
bool RpRequestQueue_StartOrEnqueue(struct rp_request_queue *queue, int64_t now,
                                   struct rp_flow_key caller, bool is_long);

/* Frees the slot of a started request that is answered or has ended without
 * an answer. `is_long` must be as it was when the request started. */
void RpRequestQueue_Finish(struct rp_request_queue *queue, bool is_long);

/* Starts the next waiting request that has a free slot or whose deadline has
 * passed. Returns false if there is none. `*is_long` becomes the value that
 * RpRequestQueue_StartOrEnqueue got. */
bool RpRequestQueue_StartNext(struct rp_request_queue *queue, int64_t now,
                              struct rp_flow_key *caller, bool *is_long);

/* Removes a waiting request. Returns false if `caller` has none. */
bool RpRequestQueue_Cancel(struct rp_request_queue *queue,
                           struct rp_flow_key caller);

/* Returns the earliest deadline of the waiting requests, or RP_NEVER. */
int64_t RpRequestQueue_NextDeadline(const struct rp_request_queue *queue);

/* Returns the number of waiting requests. */
uint32_t RpRequestQueue_CountWaiting(const struct rp_request_queue *queue);

/* Returns the number of started requests, which occupy slots. */
uint32_t RpRequestQueue_CountStarted(const struct rp_request_queue *queue);

#endif
