/* Decides where a control instance that cannot answer the operator itself
 * sends the operator: a replica that does not lead, or an instance without a
 * disk (a relay).
 *
 * The operator follows at most two redirects and loses a second with each
 * address that stays silent. So it is sent only to a replica that is known to
 * be alive now, if possible to the leader, and is refused at once if none is
 * known: it then turns to another instance. A relay that is told no leader by
 * a replica of an earlier release sends the operator to that replica, which
 * sends it on to the leader: two redirects.
 */
#ifndef RP_REFERRAL_H
#define RP_REFERRAL_H

#include <stdbool.h>

#include "rp_endpoint.h"
#include "rp_msg.h"

/* What an instance knows about the replicas at the moment. */
struct rp_referral_view {
    uint32_t self_ip; /* this instance's own address */
    /* Relay: the connection stands, and its replica has told whether it knows
     * the leader. Replica: it has heard the leader within the lease. */
    bool connected;
    struct rp_endpoint replica; /* relay: the other end of the connection */
    uint8_t leader_known;       /* enum rp_leader_known */
    struct rp_endpoint leader;
};

enum rp_referral_kind {
    RP_REFERRAL_TO_LEADER,
    RP_REFERRAL_TO_REPLICA,
    /* Refused: no replica is known to be alive. */
    RP_REFERRAL_NOT_CONNECTED,
    /* Refused: the replica knows no leader, or only this instance's own
     * address. */
    RP_REFERRAL_NO_LEADER
};

struct rp_referral {
    enum rp_referral_kind kind;
    uint32_t ip; /* where to send the operator; 0: refuse the request */
};

/* Decides by the rules at the top of this file. */
struct rp_referral RpReferral_Choose(const struct rp_referral_view *view);

#endif
