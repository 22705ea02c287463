/* A node's connection to control, which keeps the node's table up to date.
 *
 * The uplink tries the control instances in turn, both those from the settings
 * and those that control has told, until one answers (rp_contacts.h). It then
 * subscribes, applies the tables that arrive and confirms each revision. While
 * no control instance answers, the node keeps its last table. An instance
 * without a disk answers with the addresses of the replicas, which the uplink
 * tries next.
 */
#ifndef RP_UPLINK_H
#define RP_UPLINK_H

#include "rp_daemon.h"
#include "rp_referral.h"
#include "rp_table.h"

struct rp_uplink;

struct rp_uplink_ops {
    /* A control instance has accepted the connection. */
    void (*connected)(void *user);
    /* A table was applied to RpUplink_Table. */
    void (*table_changed)(void *user);
    /* An operator's order arrived. NULL: orders are unexpected and close the
     * connection. */
    void (*order_received)(void *user, const struct rp_msg_order *order);
    /* Control sent an announcement of this upstream that is newer than the one
     * it received. NULL: announcements are unexpected and close the
     * connection. */
    void (*newer_announcement)(void *user,
                               const struct rp_msg_announce *newer);
};

/* Replaces the control instances from the settings, after these have changed.
 * An open connection stays. */
void RpUplink_SetControls(struct rp_uplink *uplink,
                          const struct rp_endpoints *controls);

/* Gives members in `zone` `weight` times the weight of others in the placement
 * of flows. Call it before the main loop runs. */
void RpUplink_PreferZone(struct rp_uplink *uplink, const struct rp_name *zone,
                         uint32_t weight);

/* Creates an uplink and starts to connect. `self` is the address at which this
 * process answers other nodes, with port 0 if it answers none; it is not
 * tried. `service` is the service to subscribe to, or empty for all. `daemon`,
 * `ops` and `user` are borrowed, the rest is copied. Free with RpUplink_Free.
 */
struct rp_uplink *RpUplink_Create(struct rp_daemon *daemon,
                                  struct rp_endpoint self,
                                  const struct rp_endpoints *controls,
                                  const struct rp_name *service,
                                  const struct rp_uplink_ops *ops, void *user);

/* Closes the connection, waits until it is closed and frees the uplink. */
void RpUplink_Free(struct rp_uplink *uplink);

/* Sends a message, or drops it if no control instance is connected. */
void RpUplink_Send(struct rp_uplink *uplink, const struct rp_msg *msg);

/* Returns the addresses of the replicas that a replica told last; none until
 * then. Those from instances without a disk are not among them. */
const struct rp_endpoints *
RpUplink_ToldControls(const struct rp_uplink *uplink);

/* Sets what the view says about the connected replica and the leader. The
 * replica counts as connected once it has told on this connection who the
 * replicas are. */
void RpUplink_FillReferralView(const struct rp_uplink *uplink,
                               struct rp_referral_view *view);

/* The current table; revision 0 until the first one arrives. */
const struct rp_table *RpUplink_Table(const struct rp_uplink *uplink);

/* Whether a control instance is connected, and the number of bytes that it has
 * not received yet. */
bool RpUplink_IsConnected(const struct rp_uplink *uplink);
size_t RpUplink_Queued(const struct rp_uplink *uplink);

#endif
