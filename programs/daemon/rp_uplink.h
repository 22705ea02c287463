/* A node's connection to control: it keeps a table up to date.
 *
 * The uplink tries the control instances in turn, those of its settings and
 * those that control has told it of, until one answers, asks
 * for the table, applies what comes and confirms each revision. While no
 * control instance answers, the node goes on with the table it has.
 */
#ifndef RP_UPLINK_H
#define RP_UPLINK_H

#include "rp_daemon.h"
#include "rp_table.h"

struct rp_uplink;

struct rp_uplink_ops {
    void (*connected)(void *user);
    void (*table_changed)(void *user);
    /* An operator's order; NULL where none is expected. */
    void (*ordered)(void *user, const struct rp_msg_order *order);
    /* Control knows a newer announcement of this upstream than the one it
     * was just sent; NULL where none is expected. */
    void (*overtaken)(void *user, const struct rp_msg_announce *newer);
};

/* Takes another list of control instances, as after a change of settings. */
void RpUplink_SetControls(struct rp_uplink *uplink,
                          const struct rp_endpoints *controls);

/* Members in `zone` count `weight` times as much when flows are placed. To
 * be called before the main loop runs. */
void RpUplink_PreferZone(struct rp_uplink *uplink, const struct rp_name *zone,
                         uint32_t weight);

/* `service` is empty for all services. Everything passed is borrowed. */
struct rp_uplink *RpUplink_Create(struct rp_daemon *daemon,
                                  const struct rp_endpoints *controls,
                                  const struct rp_name *service,
                                  const struct rp_uplink_ops *ops, void *user);

void RpUplink_Free(struct rp_uplink *uplink);

/* Sends a message if there is a connection; it is dropped otherwise. */
void RpUplink_Send(struct rp_uplink *uplink, const struct rp_msg *msg);

/* Where control is as it says itself; empty before the first answer. */
const struct rp_endpoints *RpUplink_Controls(const struct rp_uplink *uplink);

/* The table so far. */
const struct rp_table *RpUplink_Table(const struct rp_uplink *uplink);

/* Whether a control instance is connected, and bytes it has not taken. */
bool RpUplink_IsConnected(const struct rp_uplink *uplink);
size_t RpUplink_Queued(const struct rp_uplink *uplink);

#endif
