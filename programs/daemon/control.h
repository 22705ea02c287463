/* The control role's own parts, shared by the control*.c files. */
#ifndef RP_CONTROL_H
#define RP_CONTROL_H

#include "control_replica.h"
#include "rp_daemon.h"
#include "rp_distribution.h"
#include "rp_registry.h"

struct control_settings {
    struct rp_common_settings common;
    struct rp_endpoint listen;
    struct rp_endpoints peers;
    GString *data;
    bool create;
    bool check_data;
};

struct control_links;

struct control {
    struct control_settings settings;
    struct rp_daemon daemon;
    struct rp_control_replica *replica;
    struct rp_registry *registry;
    struct rp_distribution *distribution;
    struct control_links *links;
    GSocketService *listener;
    GHashTable *clients; /* connection number -> struct client */
    GHashTable *pending; /* log index -> struct pending_change */
    bool was_fresh;
    int64_t cut_off_since;
    int64_t next_send_away; /* when nodes are next told to look elsewhere */
    int64_t next_report;    /* of what this replica's nodes run */
};

/* control_nodes.c: nodes, operators and other replicas that connect here. */
bool RpControl_Listen(struct control *control);
void RpControl_SendTable(void *user, uint64_t connection,
                         const struct rp_msg *msg);

/* A command has been applied: answers whoever waits for it and hands the
 * change to the nodes. */
void RpControl_Applied(void *user, const struct rp_log_entry *entry,
                       const struct rp_msg_change_reply *reply);

/* Closes the connections of all nodes, so that they try another replica. */
void RpControl_SendNodesAway(struct control *control);

/* Merges an announcement and tells those whom it concerns; `via` is the
 * replica that passed it on, or NULL. */
void RpControl_Announce(struct control *control,
                        const struct rp_msg_announce *announce,
                        const struct rp_name *via);

/* control_links.c: connections to the other replicas. */
struct control_links *RpControlLinks_Create(struct control *control);
void RpControlLinks_Tick(struct control_links *links, int64_t now);
void RpControlLinks_Send(struct control_links *links, uint64_t to,
                         const struct rp_msg *msg);

/* A replica with this id spoke under this name. */
void RpControlLinks_Heard(struct control_links *links, uint64_t id,
                          const struct rp_name *name);

/* Sends to every replica that is connected. */
void RpControlLinks_SendAll(struct control_links *links,
                            const struct rp_msg *msg);

/* Notes what another replica's nodes run at least. */
void RpControlLinks_Report(struct control_links *links, int64_t now,
                           const struct rp_name *name, uint64_t revision);

/* The lowest such revision of the replicas heard from lately, or `own`. */
uint64_t RpControlLinks_Lowest(const struct control_links *links, int64_t now,
                               uint64_t own);

#endif
