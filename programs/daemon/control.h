/* State of the control role, and the functions that the control*.c files
 * provide to each other. */
#ifndef RP_CONTROL_H
#define RP_CONTROL_H

#include "control_replica.h"
#include "rp_daemon.h"
#include "rp_distribution.h"
#include "rp_former_expiry.h"
#include "rp_platform.h"
#include "rp_registry.h"
#include "rp_disconnect_policy.h"

#define RP_QUORUM_LINE_INTERVAL_US (2 * RP_US_PER_SECOND)

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
    uint32_t flow_lifetime_seconds; /* 0: no limit */
    uint32_t memory_mb;             /* 0: as much as the machine has */
    GString *zones;                 /* names, separated by commas; NULL: any */
    struct rp_endpoint operator_http; /* port 0: no HTTP endpoint for the
                                       * operator */
};

struct control_links;
struct control_editions;

/* A read, a write or an order of the operator, for the line that tells its
 * answer. */
struct control_call {
    uint64_t number; /* from 1, in the order in which calls arrived */
    bool is_write;
    struct rp_endpoint caller;
    uint64_t version;    /* of the edition that it brought; 0: a read */
    struct rp_name zone; /* of an order for a data centre; empty: none */
    bool evacuate;       /* of an order: evacuate, not restore */
    int64_t received_at;
};

struct control {
    struct control_settings settings;
    struct rp_daemon daemon;
    struct rp_control_replica *replica;
    struct rp_registry *registry;
    struct rp_distribution *distribution;
    struct control_links *links;
    struct control_editions *editions; /* NULL: no HTTP endpoint for the
                                        * operator */
    uint64_t sent_members_digest; /* digest of the replicas and the leader that
                                   * nodes were last told */
    struct rp_listener *listener;
    GHashTable *clients; /* connection number -> struct client */
    GHashTable *pending; /* log index -> struct pending_change */
    struct rp_former_expiry former_expiry; /* used by the leader */
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
    int64_t quorum_lost_at;         /* since when it knows no leader or is not
                                     * fresh; 0: it does and is */
    int64_t next_quorum_line;       /* "replica_without_quorum" is not logged
                                     * before */
    int64_t next_periodic_run;      /* when to run the periodic tasks again */
};

/* control.c: returns the largest body of an edition to accept, in bytes. */
size_t RpControl_EditionMax(const struct control_settings *settings);

/* control.c: sets what the log tells about the settings. */
void RpControl_DescribeSettings(struct rp_daemon *daemon,
                                const struct control_settings *settings);

/* control_members.c: what the logs and metrics tell about the group of
 * replicas. */

/* Logs that this replica, the leader, changes the members, and why. */
void RpControl_LogMemberChange(void *user,
                               const struct rp_replica_action *action);

/* Logs that the disk of a member is lost. */
void RpControl_LogDiskLost(void *user, const struct rp_replica_member *member);

/* Logs the voters, the learners and the quorum when this replica's list of
 * members has changed. */
void RpControl_LogMembersIfChanged(struct control *control);

/* Returns the instance name of a member, "none" for NULL. The list of the
 * first members has placeholders, which are returned until a member was in
 * contact. */
const char *RpControl_MemberName(const struct control *control,
                                 const struct rp_replica_member *member);

/* Logs which voters do not answer while this replica knows no leader or is not
 * fresh, at most once in RP_QUORUM_LINE_INTERVAL_US. */
void RpControl_LogLackOfQuorum(struct control *control, int64_t now);

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

/* Handles a message that another replica has sent on the connection that this
 * one opened to it. */
void RpControl_OnLinkMessage(struct control *control, struct rp_conn *conn,
                             const struct rp_name *sender, struct rp_msg *msg);

/* Sends on an accepted connection. Returns false if it is closed, or if its
 * peer takes nothing there. */
bool RpControl_SendOnConnection(const struct control *control,
                                uint64_t connection, const struct rp_msg *msg);

/* Sends to every replica that has connected to this one, on the connection
 * that it has opened. */
void RpControl_SendToConnectedReplicas(const struct control *control,
                                       const struct rp_msg *msg);

/* Handles a wish to join that `sender` has sent on `conn`. A replica that asks
 * for itself is told the members on the same connection: the leader may be
 * none of those that its settings or its log name. */
void RpControl_OnJoin(struct control *control, struct rp_conn *conn,
                      const struct rp_msg_hello *sender,
                      const struct rp_replica_member *member);

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

/* Sends all nodes the addresses of the replicas and the leader, if these have
 * changed. */
void RpControl_SendMembersIfChanged(struct control *control);

/* control_relay.c: runs a control instance without a disk; returns the
 * process's exit code. */
int RpControlRelay_Run(const struct control_settings *settings,
                       const struct rp_settings_source *source);

/* control_calls.c: tells what each call of the operator was answered with. */

/* Returns a call that has just arrived from `caller`. */
struct control_call RpControlCall_Begin(bool is_write, uint64_t version,
                                        struct rp_endpoint caller);
struct control_call RpControlCall_BeginOrder(const struct rp_name *zone,
                                             bool evacuate,
                                             struct rp_endpoint caller);

/* Logs event=edition_answered, or event=zone_answered for an order. `version`
 * is that of the edition in force here, or that was written; 0: none. `pairs`
 * are key=value pairs that say what decided the answer. */
void RpControlCall_LogAnswer(const struct rp_daemon *daemon,
                             const struct control_call *call, uint64_t version,
                             const char *result, const char *pairs);

/* Logs that an unreadable edition was refused: event=edition_refused with the
 * findings, then event=edition_answered. */
void RpControlCall_RefuseUnreadable(struct rp_daemon *daemon,
                                    const char *message,
                                    struct rp_endpoint caller,
                                    const struct rp_error *error,
                                    const char *pairs);

/* control_editions.c: serves the operator's configurations (editions) over
 * HTTP. Returns NULL and adds a finding on failure. */
struct control_editions *RpControlEditions_Open(struct control *control,
                                                struct rp_error *error);
void RpControlEditions_Close(struct control_editions *editions);

/* Answers each pending request that can be answered now or whose deadline has
 * passed. */
void RpControlEditions_AnswerPending(struct control_editions *editions,
                                     int64_t now);

/* Handles an applied edition or change of a data centre: answers the request
 * that proposed it. */
void RpControlEditions_OnApplied(struct control_editions *editions,
                                 const struct rp_log_entry *entry,
                                 const struct rp_msg_change_reply *reply);

/* control_zones.c: orders for data centres. */

/* Returns whether an order for this data centre is to be proposed: RP_OK, or
 * RP_ERR_NOT_FOUND with a finding if there is no such data centre. A replica
 * that may not know the newest state returns RP_ERR_NO_LEADER instead of the
 * latter. */
enum rp_code RpControlZones_Check(const struct control *control,
                                  const struct rp_name *zone,
                                  struct rp_error *error);

/* Logs an applied change of a data centre, and sends the nodes what it
 * changed. */
void RpControlZones_Publish(struct control *control,
                            const struct rp_msg_change_reply *reply);

/* control_links.c: connections to the other replicas. */
struct control_links *RpControlLinks_Create(struct control *control);

/* Connects to replicas that are not connected, closes links to those that have
 * long left, and asks to join if this replica is not a member. */
void RpControlLinks_Tick(struct control_links *links, int64_t now);

/* Sends to the replica with the id `to`, if it is connected. */
void RpControlLinks_Send(struct control_links *links, uint64_t to,
                         const struct rp_msg *msg);

/* Records the instance name of the replica with this id, and the number of the
 * connection on which its last message came. */
void RpControlLinks_SetHeard(struct control_links *links, uint64_t id,
                             const struct rp_name *name, uint64_t connection);

/* Returns when the last message of the replicated log came from the replica
 * with this id; 0: none since the start. */
int64_t RpControlLinks_LastHeard(const struct control_links *links,
                                 uint64_t id);

/* Returns the instance name of the replica with this id; NULL if it was never
 * in contact. */
const struct rp_name *
RpControlLinks_ReplicaName(const struct control_links *links, uint64_t id);

/* Returns whether the own connection to the replica with this id is open. */
bool RpControlLinks_IsConnected(const struct control_links *links,
                                uint64_t id);

/* Handles an incoming connection from a replica at this address. An own
 * attempt to connect to it that began while its machine was down is restarted
 * at once. */
void RpControlLinks_OnPeerConnected(struct control_links *links, int64_t now,
                                    uint32_t ip);

/* Returns the number of addresses that this replica keeps connections to or
 * tries to. */
guint RpControlLinks_Count(const struct control_links *links);

/* Asks a replica that has connected to this one to let it join, if this
 * replica wants to join. */
void RpControlLinks_AskPeer(const struct control_links *links,
                            struct rp_conn *conn);

/* Handles the answer to a wish to join: the addresses of the members. */
void RpControlLinks_OnMembersTold(struct control_links *links,
                                  const struct rp_msg_controls *controls);

/* Returns the bytes queued for the other replicas. */
uint64_t RpControlLinks_QueuedBytes(const struct control_links *links);

/* Sends to every connected replica. */
void RpControlLinks_SendAll(struct control_links *links,
                            const struct rp_msg *msg);

/* Records what another replica tells of its nodes. */
void RpControlLinks_SetConfirmed(struct control_links *links, int64_t now,
                                 const struct rp_name *name,
                                 const struct rp_msg_confirm *confirm);

/* Returns the minimum of `own` and the revisions that replicas have reported
 * within the last 5 s. */
uint64_t RpControlLinks_LowestConfirmed(const struct control_links *links,
                                        int64_t now, uint64_t own);

/* Returns the minimum of `own` and the revisions that balancers of the other
 * replicas may still route by. A replica that reports no longer counts with
 * its last report for RP_NODE_ROUTING_US. */
uint64_t RpControlLinks_LowestRouted(const struct control_links *links,
                                     int64_t now, uint64_t own);

#endif
