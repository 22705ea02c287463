/* State of the control role, and the functions that the control*.c files
 * provide to each other. */
#ifndef RP_CONTROL_H
#define RP_CONTROL_H

#include "control_replica.h"
#include "rp_daemon.h"
#include "rp_distribution.h"
#include "rp_platform.h"
#include "rp_registry.h"
#include "rp_disconnect_policy.h"

struct control_settings {
    struct rp_common_settings common;
    struct rp_endpoint listen;
    struct rp_endpoints peers;
    GString *data;
    bool create;
    bool check_data;
    bool bootstrap;
    /* Failures at the same time that the system is to tolerate. */
    uint32_t tolerate_instances;
    uint32_t tolerate_zones;
    uint32_t tolerate_regions;
    uint32_t control_port;
    uint32_t flow_lifetime_seconds;   /* 0: no limit */
    uint32_t memory_mb;               /* 0: as much as the machine has */
    struct rp_endpoint operator_http; /* port 0: no HTTP endpoint for the
                                       * operator */
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
    struct control_editions *editions; /* NULL: no HTTP endpoint for the
                                        * operator */
    uint64_t sent_members_digest; /* digest of the replica list that nodes were
                                   * last sent */
    struct rp_listener *listener;
    GHashTable *clients; /* connection number -> struct client */
    GHashTable *pending; /* log index -> struct pending_change */
    /* Leader: former targets up to this revision are forgotten at the
     * deadline; 0: none are waiting. */
    uint64_t former_revision;
    int64_t former_deadline;
    int64_t leave_deadline; /* of a planned stop; 0: none was requested */
    int64_t ticked_at;      /* when the last tick ran; 0: none yet */
    int64_t changed_at;     /* when the newest change was applied; 0: none */
    struct rp_disconnect_policy disconnect_policy;
    /* Role, leader and term in the last "replica_role" log line. */
    enum rp_replica_role logged_role;
    uint64_t logged_leader; /* replica id; 0: none known */
    uint64_t logged_term;
    uint64_t logged_members;        /* digest of the list in the last
                                     * "replica_members" log line */
    uint64_t logged_resident_bytes; /* in the last "memory_changed" line */
    int64_t next_periodic_run;      /* when to run the periodic tasks again */
};

/* control.c: returns the largest body of an edition to accept, in bytes. */
size_t RpControl_EditionMax(const struct control_settings *settings);

/* control_members.c: what the logs and metrics tell about the group of
 * replicas. */

/* Logs that this replica, the leader, changes the members, and why. */
void RpControl_LogMemberChange(void *user,
                               const struct rp_replica_action *action);

/* Logs the voters, the learners and the quorum when this replica's list of
 * members has changed. */
void RpControl_LogMembersIfChanged(struct control *control);

/* Writes the numbers of voters and learners, and on the leader how many more
 * failures the group tolerates. */
void RpControl_WriteMemberGauges(const struct control *control, GString *out);

/* control_memory.c: the sizes of the log, the snapshot and the queues of
 * connections. */
void RpControl_WriteMemoryGauges(const struct control *control, GString *out);

/* Logs them when the resident size has changed much since the last line. */
void RpControl_LogMemoryIfChanged(struct control *control);

/* control_nodes.c: accepts connections of nodes, operators and other
 * replicas. */

/* Listens for TCP connections. False after printing the error. */
bool RpControl_Listen(struct control *control);

/* Sends a message to the node on this connection, if it is still open. */
void RpControl_SendTable(void *user, uint64_t connection,
                         const struct rp_msg *msg);

/* Handles an applied command: sends changes to the nodes, and replies to the
 * operator that waits for the command. */
void RpControl_OnApplied(void *user, const struct rp_log_entry *entry,
                         const struct rp_msg_change_reply *reply);

/* Returns the bytes queued for nodes, operators and replicas on the
 * connections that they opened. */
uint64_t RpControl_QueuedBytes(const struct control *control);

/* Closes the connections of all nodes, so that they connect to another
 * replica. */
void RpControl_DisconnectNodes(struct control *control);

/* Merges an announcement into the registry. If it changes a table, updates the
 * affected nodes and, when it comes from an agent, forwards it to the other
 * replicas. `source_replica` is the replica that forwarded it, or NULL if it
 * comes from an agent connected here. */
enum rp_registry_change
RpControl_MergeAnnouncement(struct control *control,
                            const struct rp_msg_announce *announce,
                            const struct rp_name *source_replica);

/* Sends all nodes the addresses of the replicas, if the members have
 * changed. */
void RpControl_SendMembersIfChanged(struct control *control);

/* control_relay.c: runs a control instance without a disk; returns the
 * process's exit code. */
int RpControlRelay_Run(const struct control_settings *settings,
                       const struct rp_settings_source *source);

/* control_editions.c: serves the operator's configurations (editions) over
 * HTTP. Returns NULL and adds a finding on failure. */
struct control_editions *RpControlEditions_Open(struct control *control,
                                                struct rp_error *error);
void RpControlEditions_Close(struct control_editions *editions);

/* Answers each pending request that can be answered now or whose deadline has
 * passed. */
void RpControlEditions_AnswerPending(struct control_editions *editions,
                                     int64_t now);

/* Handles an applied edition: answers the request that proposed it. */
void RpControlEditions_OnApplied(struct control_editions *editions,
                                 const struct rp_log_entry *entry,
                                 const struct rp_msg_change_reply *reply);

/* control_links.c: connections to the other replicas. */
struct control_links *RpControlLinks_Create(struct control *control);

/* Connects to replicas that are not connected, and asks to join if this
 * replica is not a member. */
void RpControlLinks_Tick(struct control_links *links, int64_t now);

/* Sends to the replica with the id `to`, if it is connected. */
void RpControlLinks_Send(struct control_links *links, uint64_t to,
                         const struct rp_msg *msg);

/* Records the instance name of the replica with this id. */
void RpControlLinks_SetReplicaName(struct control_links *links, uint64_t id,
                                   const struct rp_name *name);

/* Handles an incoming connection from a replica at this address. An own
 * attempt to connect to it that began while its machine was down is restarted
 * at once. */
void RpControlLinks_OnPeerConnected(struct control_links *links, int64_t now,
                                    uint32_t ip);

/* Returns the bytes queued for the other replicas. */
uint64_t RpControlLinks_QueuedBytes(const struct control_links *links);

/* Sends to every connected replica. */
void RpControlLinks_SendAll(struct control_links *links,
                            const struct rp_msg *msg);

/* Records the lowest revision that all nodes of another replica have
 * confirmed. */
void RpControlLinks_SetConfirmed(struct control_links *links, int64_t now,
                                 const struct rp_name *name,
                                 uint64_t revision);

/* Returns the minimum of `own` and the revisions that replicas have reported
 * within the last 5 s. */
uint64_t RpControlLinks_LowestConfirmed(const struct control_links *links,
                                        int64_t now, uint64_t own);

#endif
