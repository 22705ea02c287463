/* Searches for the owner of an open flow that no agent on the way owned.
 *
 * The searching agent sends the caller's packet to every agent that may own
 * the flow. Each answers whether it owns the flow; the owner also handles the
 * packet. If all answer that they do not, the flow has died with its host, and
 * its caller can be told. One missing or unsure answer ends the search without
 * a result: a silent machine may still own the flow.
 *
 * Searches are bounded in number at a time and in rate. Nothing here does I/O
 * or reads a clock: times are microseconds on one monotonic clock. */
#ifndef RP_OWNER_SEARCH_H
#define RP_OWNER_SEARCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "rp_geneve.h"
#include "rp_packet.h"
#include "rp_time.h"

#define RP_SEARCH_MAX 128        /* searches at a time */
#define RP_SEARCH_MAX_AGENTS 512 /* agents asked in one search */
#define RP_SEARCH_RATE 50        /* searches begun in a second */
#define RP_SEARCH_BURST 100      /* searches begun at once after a pause */
#define RP_SEARCH_TIMEOUT_US (100 * RP_US_PER_MS)

enum rp_search_result {
    RP_SEARCH_PENDING,  /* other agents have not answered yet */
    RP_SEARCH_NO_OWNER, /* all agents answered that they do not own it */
    RP_SEARCH_ENDED     /* the owner was found, an agent is not sure, or the
                         * search is not known (any more) */
};

struct rp_owner_search;

struct rp_owner_search *RpOwnerSearch_Create(void);

void RpOwnerSearch_Free(struct rp_owner_search *searches);

/* Begins a search for the owner of the packet's flow among `agents`, an array
 * of struct rp_endpoint without repeats and not empty. Returns its id, or 0 if
 * there are too many agents or searches, or a search for this flow is under
 * way. */
uint32_t RpOwnerSearch_Begin(struct rp_owner_search *searches, int64_t now,
                             const struct rp_packet *packet,
                             const GArray *agents);

/* Handles an agent's answer. Sets `*packet` to the packet of the search, whose
 * `data` is NULL, if the result is not RP_SEARCH_ENDED. A search with another
 * result than RP_SEARCH_PENDING is over. */
enum rp_search_result RpOwnerSearch_Answer(struct rp_owner_search *searches,
                                           int64_t now, uint32_t id,
                                           struct rp_endpoint agent,
                                           enum rp_search_verdict verdict,
                                           struct rp_packet *packet);

/* Returns how many searches are under way. */
size_t RpOwnerSearch_Count(const struct rp_owner_search *searches);

#endif
