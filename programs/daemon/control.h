/* The control role's own parts, shared by the control*.c files. */
#ifndef RP_CONTROL_H
#define RP_CONTROL_H

#include "control_replica.h"
#include "rp_daemon.h"
#include "rp_distribution.h"
#include "rp_platform.h"
#include "rp_registry.h"
#include "rp_standing.h"

struct control_settings {
    struct rp_common_settings common;
    struct rp_endpoint listen;
    struct rp_endpoints peers;
    GString *data;
    bool create;
    bool check_data;
    bool bootstrap;
    uint32_t control_port;
    struct rp_endpoint operator_http; /* port 0: not served */
};

struct control_links;
struct control_editions;

struct control {
    struct control_settings settings;
    struct rp_daemon daemon;
    struct rp_control_replica *replica;
    struct rp_registry *registry;
    struct rp_distribution *distribution;
    struct control_links *links;
    struct control_editions *editions; /* NULL: not served */
    uint64_t told_members; /* what nodes were last told of the replicas */
    GSocketService *listener;
    GHashTable *clients; /* connection number -> struct client */
    GHashTable *pending; /* log index -> struct pending_change */
    int64_t changed_at;  /* when the newest change was decided; 0: none */
    struct rp_standing standing;
    enum rp_replica_role was_role;
    uint64_t was_leader; /* id; 0: none known */
    uint64_t was_term;
    int64_t next_report; /* of what this replica's nodes run */
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
enum rp_registry_change
RpControl_Announce(struct control *control,
                   const struct rp_msg_announce *announce,
                   const struct rp_name *via);

/* Tells all nodes where the replicas are, if that has changed. */
void RpControl_TellMembers(struct control *control);

/* control_relay.c: a control instance without a disk; returns the process's
 * exit code. */
int RpControlRelay_Run(const struct control_settings *settings,
                       const struct rp_settings_source *source);

/* control_editions.c: the operator's editions. NULL with a finding on
 * failure. */
struct control_editions *RpControlEditions_Open(struct control *control,
                                                struct rp_error *error);
void RpControlEditions_Close(struct control_editions *editions);

/* Answers what can be answered now, and what has waited too long. */
void RpControlEditions_Review(struct control_editions *editions, int64_t now);

/* An edition was applied: answers whoever sent it. */
void RpControlEditions_Applied(struct control_editions *editions,
                               const struct rp_log_entry *entry,
                               const struct rp_msg_change_reply *reply);

/* control_links.c: connections to the other replicas. */
struct control_links *RpControlLinks_Create(struct control *control);
void RpControlLinks_Tick(struct control_links *links, int64_t now);
void RpControlLinks_Send(struct control_links *links, uint64_t to,
                         const struct rp_msg *msg);

/* A replica with this id spoke under this name. */
void RpControlLinks_Heard(struct control_links *links, uint64_t id,
                          const struct rp_name *name);

/* A replica at this address has connected to us: what was tried while its
 * machine was down is tried again at once. */
void RpControlLinks_PeerCalled(struct control_links *links, int64_t now,
                               uint32_t ip);

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
