/* A replica's standing: whether nodes are well served by it, and when those
 * that it has are sent to look for another one.
 *
 *   no log    it holds nothing, not even where the others are: it has lost
 *             its disk, or has not joined yet. It keeps no node.
 *   cut off   it holds a log, but has no majority behind it. Nodes stay for
 *             RP_SEND_AWAY_MIN_US, which an election takes at most; then
 *             they are sent away at growing intervals, since no other
 *             replica may be better off.
 *   fresh     it keeps its nodes.
 *
 * All times are in microseconds of one steady clock.
 */
#ifndef RP_STANDING_H
#define RP_STANDING_H

#include <stdbool.h>
#include <stdint.h>

#include "rp_time.h"

/* The longest wait before a replica asks for votes: twice RP_ELECTION_US. */
#define RP_SEND_AWAY_MIN_US (1 * RP_US_PER_SECOND)
/* Waits that double reach this after five minutes: in an hour, for which
 * regions may lose each other, nodes are sent away some 20 times. */
#define RP_SEND_AWAY_MAX_US (300 * RP_US_PER_SECOND)

struct rp_standing {
    bool has_log;
    bool fresh;
    int64_t cut_off_since;
    int64_t next_send_away;
};

/* A replica that has just started. */
void RpStanding_Init(struct rp_standing *standing, int64_t now);

/* Takes what is known now; true if it has become fresh or cut off. */
bool RpStanding_Update(struct rp_standing *standing, int64_t now, bool has_log,
                       bool fresh);

/* Whether a node that subscribes now may stay. */
bool RpStanding_KeepsNodes(const struct rp_standing *standing);

/* Whether to send all nodes away now; each time is told once. */
bool RpStanding_SendsAway(struct rp_standing *standing, int64_t now);

#endif
