/* Messages exchanged between control replicas, balancers, agents and the
 * command line.
 *
 * Every message type has a struct and a schema that describes its wire form.
 * `struct rp_msg` is a tagged union of all message types. A message is
 * encoded as a msgpack array of two elements: the number of the type and the
 * body (see rp_schema.h). Texts are length-counted. Times are durations in
 * milliseconds unless the name gives another unit. IPv4 addresses and ports
 * are numbers in host byte order.
 *
 * "Node" stands for a balancer or an agent, that is, any process that
 * subscribes to service tables.
 */
#ifndef RP_MSG_H
#define RP_MSG_H

#include <glib.h>
#include <stdint.h>

#include "rp_schema.h"
#include "rp_str.h"

#define RP_PROTOCOL_VERSION 1
#define RP_NONCE_SIZE 16     /* bytes */
#define RP_HASH_KEY_SIZE 16  /* bytes */
#define RP_CHANGE_ID_SIZE 16 /* bytes */

/* The kind of process at one end of a connection. */
enum rp_role {
    RP_ROLE_NONE,
    RP_ROLE_CONTROL,
    RP_ROLE_BALANCER,
    RP_ROLE_AGENT,
    RP_ROLE_OPERATOR,
    RP_ROLE_COUNT
};

/* State of an upstream, from the most to the least usable. */
enum rp_upstream_state {
    RP_UPSTREAM_READY = 1, /* takes new flows */
    RP_UPSTREAM_DRAINING,  /* finishes its open flows, takes no new ones */
    RP_UPSTREAM_LOST,      /* its lease has expired */
    RP_UPSTREAM_GONE,      /* has signed off; its entry will be removed */
    /* Only in announcements: the agent has started and not heard its host yet,
     * so it cannot tell whether there is a host. */
    RP_UPSTREAM_UNHEARD
};

/* First message in each direction of a connection. */
struct rp_msg_hello {
    uint8_t version;
    uint8_t role; /* enum rp_role */
    struct rp_name name;
    struct rp_name zone;
    uint8_t nonce[RP_NONCE_SIZE];
    /* The sender takes the messages of other replicas also on connections that
     * it has opened. 0: it is of an earlier release and closes them. */
    uint8_t two_way;
};

/* Agent to control: the state of its upstream, sent again before the lease
 * ends. Control replicas forward announcements to each other, and answer an
 * outdated announcement with the newer one that they hold. The pair
 * (incarnation, sequence) orders the announcements of one upstream. */
struct rp_msg_announce {
    struct rp_name upstream;
    struct rp_name service;
    struct rp_name zone;
    uint32_t agent_ip;
    uint16_t agent_port;
    uint32_t slots;
    uint8_t state; /* enum rp_upstream_state */
    uint64_t incarnation;
    uint64_t sequence;
    uint32_t lease_ms;
    uint32_t flows; /* open flows */
    uint32_t busy;  /* outstanding requests */
};

/* Node to control: requests a service table and its updates. */
struct rp_msg_subscribe {
    struct rp_name service; /* empty: all services */
    uint64_t revision; /* highest configuration revision the node has had */
};

/* One upstream in a table. */
struct rp_msg_member {
    struct rp_name upstream;
    uint32_t agent_ip;
    uint16_t agent_port;
    uint32_t slots;
    uint8_t state; /* enum rp_upstream_state */
    struct rp_name zone;
};

/* Kind of the requests that are sent to a virtual address. */
enum rp_request_kind {
    RP_REQUEST_UNKNOWN,
    RP_REQUEST_IDEMPOTENT,
    RP_REQUEST_NON_IDEMPOTENT,
    RP_REQUEST_DOWNLOAD,
    RP_REQUEST_UPLOAD
};

/* The service id that stands for former targets which a table has no room for.
 * No service has it, so an agent knows that it can't ask all owners. */
#define RP_TARGET_UNLISTED 0

/* A service behind a virtual address. */
struct rp_msg_target {
    uint32_t service_id;
    uint32_t weight; /* new flows are split in proportion to the weights */
};

/* One virtual address of an edition and the services behind it. */
struct rp_msg_vip {
    uint32_t address;
    uint16_t port;
    uint8_t kind;      /* enum rp_request_kind */
    uint32_t priority; /* 0 is the highest */
    uint32_t timeout_ms;
    uint32_t target_ms; /* target latency; 0: none given */
    GArray *targets;    /* of struct rp_msg_target */
};

/* A virtual address that is no longer served. */
struct rp_msg_removed_vip {
    uint32_t address;
    uint16_t port;
};

/* One service in a table. */
struct rp_msg_service {
    struct rp_name name;
    uint32_t id;
    uint32_t incarnation;
    uint32_t address;
    uint16_t port;
    uint64_t generation; /* incremented by each change of the members */
    uint32_t flows_per_upstream; /* limit of open flows at one upstream */
    uint32_t retries_percent;    /* retry budget, in percent of new flows */
    uint32_t silence_ms; /* a flow that is silent for so long is probed */
    uint32_t long_slots_percent; /* slots that long requests may occupy */
    GArray *members;             /* of struct rp_msg_member */
    uint32_t warmup_ms; /* cold start of hosts that do not report theirs */
    uint32_t cold_per_1000_s; /* new flows of a cold host per 1,000 s; 0: any
                               * number */
};

/* A service that was removed from the table. */
struct rp_msg_removed {
    uint32_t id;
};

/* A data centre. */
struct rp_msg_zone {
    struct rp_name name;
};

/* Control to node: the whole table, or the changes since the last one. */
struct rp_msg_table {
    uint64_t revision; /* configuration revision of this table */
    uint8_t complete;  /* 1: whole table, replaces the node's; 0: changes */
    uint8_t hash_key[RP_HASH_KEY_SIZE];
    GArray *services;     /* of struct rp_msg_service */
    GArray *removed;      /* of struct rp_msg_removed */
    GArray *vips;         /* of struct rp_msg_vip */
    GArray *removed_vips; /* of struct rp_msg_removed_vip */
    /* 1: this replica has just started and may not know all upstreams yet.
     * A node keeps the members that it knows until it gets a table with 0
     * here. */
    uint8_t gathering;
    /* 1: this replica is cut off from the majority, so there may be upstreams
     * that it does not know. */
    uint8_t cut_off;
    /* Of struct rp_msg_zone: all evacuated data centres, whose upstreams get
     * no new flows. NULL: from a replica of an earlier release, which does not
     * know them. */
    GArray *evacuated;
};

/* A service in an edition. */
struct rp_edition_service {
    struct rp_name name;
    uint32_t flows_per_upstream; /* limit of open flows at one upstream */
    uint32_t warmup_ms;          /* as in struct rp_msg_service */
    uint32_t cold_per_1000_s;    /* as in struct rp_msg_service */
};

/* A service behind a virtual address of an edition, and its weight. */
struct rp_edition_target {
    struct rp_name service;
    uint32_t weight;
};

/* A virtual address in an edition. */
struct rp_edition_vip {
    GString *name; /* the operator's name for it */
    uint32_t address;
    uint16_t port;
    uint8_t kind; /* enum rp_request_kind */
    uint32_t priority;
    uint32_t timeout_ms;
    uint32_t target_ms; /* target latency; 0: none given */
    GArray *targets;    /* of struct rp_edition_target */
};

/* An edition: a complete configuration (services, virtual addresses and
 * limits) that replaces the one before. */
struct rp_edition {
    uint64_t version; /* assigned by the operator */
    uint32_t idle_timeout_ms;
    GArray *services; /* of struct rp_edition_service */
    GArray *vips;     /* of struct rp_edition_vip */
    GString *content; /* the text as received; operators can read it back */
    /* Not encoded: optional values that the text has and that were left out,
     * because they are out of range or of the wrong type. */
    uint32_t ignored_values;
};

/* Address of a control replica. */
struct rp_msg_control_address {
    uint32_t ip;
    uint16_t port;
};

/* What a replica tells nodes about the leader. */
enum rp_leader_known {
    RP_LEADER_NOT_TOLD, /* by replicas of earlier releases, and by relays */
    RP_LEADER_NONE,     /* the replica has not heard a leader within the
                         * lease */
    RP_LEADER_KNOWN
};

/* Control to node: the current addresses of the control replicas. */
struct rp_msg_controls {
    GArray *list;         /* of struct rp_msg_control_address */
    uint8_t leader_known; /* enum rp_leader_known */
    uint32_t leader_ip;   /* RP_LEADER_KNOWN: the leader's address */
    uint16_t leader_port;
};

/* Node to control: the node has applied this configuration revision. Between
 * replicas: the lowest revision that the sender's nodes have applied. */
struct rp_msg_confirm {
    uint64_t revision;
    /* Between replicas: the lowest revision that a balancer may still route
     * by, also one that the sender has lost sight of; 0: not known. */
    uint64_t routed;
};

/* What a change does. */
enum rp_change_kind {
    RP_CHANGE_APPLY = 1, /* creates or replaces a service */
    RP_CHANGE_DELETE,    /* deletes a service */
    RP_CHANGE_EVACUATE,  /* evacuates a data centre */
    RP_CHANGE_RESTORE    /* ends the evacuation of a data centre */
};

/* Operator to control: one change of one service or data centre. */
struct rp_msg_change {
    uint8_t id[RP_CHANGE_ID_SIZE]; /* the same when a change is sent again */
    uint8_t kind;                  /* enum rp_change_kind */
    uint8_t has_base; /* 1: refused unless `base` is the current revision */
    uint64_t base;    /* the service revision that the change is based on */
    struct rp_name service;
    GString *document;
    struct rp_name zone; /* the data centre; not sent by earlier releases */
};

/* One error with its place (struct rp_finding in rp_error.h). */
struct rp_msg_finding {
    uint8_t code; /* enum rp_code */
    GString *place;
    GString *text;
};

/* Control to operator: the result of a change. */
struct rp_msg_change_reply {
    uint8_t id[RP_CHANGE_ID_SIZE];
    uint8_t code;      /* enum rp_code */
    uint8_t repeated;  /* 1: this id or version was decided before */
    uint64_t revision; /* applied: the new one; conflict: the current one */
    struct rp_name service;
    GArray *findings; /* of struct rp_msg_finding */
    uint32_t service_id;
    uint8_t is_change;   /* 1: the log entry was a change */
    uint8_t is_edition;  /* 1: the log entry was an edition */
    struct rp_name zone; /* the data centre of the change; empty: it was the
                          * change of a service */
    uint8_t unchanged;   /* 1: the data centre was in that state before */
};

enum rp_query_kind {
    RP_QUERY_SERVICES = 1, /* answered by struct rp_msg_services */
    RP_QUERY_DOCUMENT,     /* answered by struct rp_msg_document */
    RP_QUERY_STATUS,       /* answered by struct rp_msg_status */
    /* Answered by struct rp_msg_table: the whole table as a balancer gets it.
     * Replicas of earlier releases answer as to RP_QUERY_STATUS. */
    RP_QUERY_TABLE
};

/* Operator to control: requests information. */
struct rp_msg_query {
    uint8_t kind; /* enum rp_query_kind */
    struct rp_name service;
};

/* One service, its upstreams by state, and their load in total. */
struct rp_msg_service_info {
    struct rp_name name;
    uint32_t id;
    uint32_t address;
    uint16_t port;
    uint64_t revision;
    uint32_t ready;
    uint32_t draining;
    uint32_t lost;
    uint32_t slots;
    uint32_t flows;
    uint32_t busy;
};

/* Control to operator: all services. */
struct rp_msg_services {
    uint64_t revision;
    GArray *services; /* of struct rp_msg_service_info */
};

/* Control to operator: the accepted document of a service. */
struct rp_msg_document {
    uint8_t code; /* enum rp_code */
    uint64_t revision;
    struct rp_name service;
    GString *document;
};

/* One node and the configuration revision that it has applied. */
struct rp_msg_node_info {
    struct rp_name name;
    struct rp_name zone;
    uint8_t role; /* enum rp_role */
    uint64_t confirmed;
    uint32_t behind_ms; /* time since it fell behind; 0: up to date */
    uint8_t connected;  /* 1: connected to the replica that reports this */
};

/* One upstream with its state and load. */
struct rp_msg_upstream_info {
    struct rp_name upstream;
    struct rp_name service;
    struct rp_name zone;
    uint32_t agent_ip;
    uint16_t agent_port;
    uint8_t state; /* enum rp_upstream_state */
    uint32_t slots;
    uint32_t flows;
    uint32_t busy;
    /* 1: its agent is connected to the replica that reports this, and has
     * announced itself `age_ms` ago. 0: its replica passes on changes only. */
    uint8_t heard_here;
    uint32_t age_ms;
};

/* One control replica. */
struct rp_msg_replica_info {
    struct rp_name name;
    struct rp_name role; /* leader, follower, candidate, learner */
    uint64_t term;
    uint64_t committed;
};

/* Control to operator: the state of the whole system. */
struct rp_msg_status {
    uint64_t revision;
    GArray *replicas;  /* of struct rp_msg_replica_info */
    GArray *services;  /* of struct rp_msg_service_info */
    GArray *nodes;     /* of struct rp_msg_node_info */
    GArray *upstreams; /* of struct rp_msg_upstream_info */
    GArray *evacuated; /* of struct rp_msg_zone: evacuated data centres */
};

/* Keepalive, sent in either direction after some time without messages. */
struct rp_msg_ping {
    uint64_t number;
};

/* Operator to control, and control to the agent: drain this upstream, or
 * let it take new flows again. */
struct rp_msg_order {
    struct rp_name upstream;
    uint8_t draining; /* 1: drain; 0: take new flows again */
};

/* Control to operator: the result of an order. */
struct rp_msg_order_reply {
    uint8_t code; /* enum rp_code; RP_ERR_NOT_FOUND: the agent is not
                   * connected to this replica */
};

/* The content of an entry of the replicated log. */
enum rp_entry_kind {
    RP_ENTRY_COMMAND = 1, /* command for the state machine */
    RP_ENTRY_MEMBERS,     /* an encoded struct rp_replica_members */
    RP_ENTRY_NOOP         /* no-op entry at the start of a leader's term */
};

/* One entry of the replicated log. */
struct rp_log_entry {
    uint64_t index;
    uint64_t term;
    uint8_t kind; /* enum rp_entry_kind */
    GString *data;
};

/* One replica of the control state. A replica that has lost its disk joins
 * again under a new id. */
struct rp_replica_member {
    uint64_t id;
    struct rp_name name;
    uint32_t ip;
    uint16_t port;
    uint8_t voter; /* 1: voter; 0: learner */
};

/* All members of the replica group. */
struct rp_replica_members {
    GArray *list; /* of struct rp_replica_member */
};

/* Kinds of vote requests. */
enum rp_vote_kind {
    RP_VOTE_REAL,
    RP_VOTE_PRE_VOTE,         /* pre-vote: raises no term */
    RP_VOTE_STARTUP_PRE_VOTE, /* pre-vote of a replica that has just started */
    /* A real vote, requested by a candidate that knows that every member's
     * process has restarted, so that no earlier leader is left. */
    RP_VOTE_ALL_RESTARTED
};

/* Vote request. Messages between replicas carry the ids of the sender and
 * of the receiver, so that a replica ignores messages for an earlier replica
 * of the same name. */
struct rp_msg_vote {
    uint64_t from;
    uint64_t to;
    uint64_t term;
    uint8_t kind;        /* enum rp_vote_kind */
    uint64_t last_index; /* of the candidate's last log entry */
    uint64_t last_term;  /* of the candidate's last log entry */
};

/* Answer to a vote request. */
struct rp_msg_vote_reply {
    uint64_t from;
    uint64_t to;
    uint64_t term;
    uint8_t kind;    /* enum rp_vote_kind of the request */
    uint8_t granted; /* 1: the vote was granted */
};

/* Leader to follower: log entries, or none as a heartbeat. */
struct rp_msg_append {
    uint64_t from;
    uint64_t to;
    uint64_t term;
    uint64_t previous_index; /* of the entry before `entries` */
    uint64_t previous_term;  /* of the entry before `entries` */
    uint64_t committed;      /* the leader's commit index */
    uint64_t round;  /* number of this heartbeat round, echoed in replies */
    GArray *entries; /* of struct rp_log_entry */
    /* 1: the leader holds its lease, and `committed` covers all entries that
     * are committed. */
    uint8_t fresh;
};

/* Follower to leader: answer to struct rp_msg_append. */
struct rp_msg_append_reply {
    uint64_t from;
    uint64_t to;
    uint64_t term;
    uint64_t round;
    uint8_t accepted; /* 1: the entries were appended */
    /* If accepted, the last index at which the logs are known to agree; else
     * the last index of the follower's log. */
    uint64_t match;
    uint8_t leaving; /* 1: the follower is about to stop, as planned */
};

/* Leader to follower: a part of an encoded struct rp_snapshot. */
struct rp_msg_snapshot {
    uint64_t from;
    uint64_t to;
    uint64_t term;
    uint64_t index;  /* the last entry that the snapshot covers */
    uint64_t offset; /* of `data` in the snapshot, in bytes */
    uint64_t total;  /* size of the snapshot in bytes */
    GString *data;
};

/* Follower to leader: answer to struct rp_msg_snapshot. */
struct rp_msg_snapshot_reply {
    uint64_t from;
    uint64_t to;
    uint64_t term;
    uint64_t index;
    uint64_t offset; /* bytes received so far */
};

/* Sent by a replica to any other: asks to become a member. */
struct rp_msg_join {
    struct rp_replica_member member;
};

/* A snapshot of the replicated state; it replaces the log entries up to
 * `index`. */
struct rp_snapshot {
    uint64_t index;  /* of the last entry that it covers */
    uint64_t term;   /* of the last entry that it covers */
    GArray *members; /* of struct rp_replica_member */
    GString *data;   /* encoded state of the state machine */
};

/* All message types, in the order of their numbers on the wire: a new type
 * goes to the end. X(symbol, member) names the enum constant
 * RP_MSG_<symbol> and the member of struct rp_msg. */
/* clang-format off */
#define RP_MSG_LIST(X)                                                        \
    X(HELLO, hello)                                                           \
    X(PING, ping)                                                             \
    X(ANNOUNCE, announce)                                                     \
    X(SUBSCRIBE, subscribe)                                                   \
    X(TABLE, table)                                                           \
    X(CONFIRM, confirm)                                                       \
    X(CHANGE, change)                                                         \
    X(CHANGE_REPLY, change_reply)                                             \
    X(QUERY, query)                                                           \
    X(SERVICES, services)                                                     \
    X(DOCUMENT, document)                                                     \
    X(STATUS, status)                                                         \
    X(VOTE, vote)                                                             \
    X(VOTE_REPLY, vote_reply)                                                 \
    X(APPEND, append)                                                         \
    X(APPEND_REPLY, append_reply)                                             \
    X(SNAPSHOT, snapshot)                                                     \
    X(SNAPSHOT_REPLY, snapshot_reply)                                         \
    X(JOIN, join)                                                             \
    X(ORDER, order)                                                           \
    X(ORDER_REPLY, order_reply)                                               \
    X(CONTROLS, controls)
/* clang-format on */

enum rp_msg_type {
    RP_MSG_NONE,
#define RP_MSG_ENUM(symbol, member) RP_MSG_##symbol,
    RP_MSG_LIST(RP_MSG_ENUM)
#undef RP_MSG_ENUM
        RP_MSG_TYPE_COUNT
};

/* One message. RpMsg_Clear frees its lists and texts. */
struct rp_msg {
    enum rp_msg_type type;
    union {
#define RP_MSG_MEMBER(symbol, member) struct rp_msg_##member member;
        RP_MSG_LIST(RP_MSG_MEMBER)
#undef RP_MSG_MEMBER
    };
};

/* Schemas that are used outside rp_msg.c, to create lists and to encode
 * stored data. */
extern const struct rp_schema rp_msg_member_schema;
extern const struct rp_schema rp_msg_zone_schema;
extern const struct rp_schema rp_msg_target_schema;
extern const struct rp_schema rp_msg_vip_schema;
extern const struct rp_schema rp_msg_removed_vip_schema;
extern const struct rp_schema rp_edition_service_schema;
extern const struct rp_schema rp_edition_target_schema;
extern const struct rp_schema rp_edition_vip_schema;
extern const struct rp_schema rp_edition_schema;
extern const struct rp_schema rp_msg_control_address_schema;
extern const struct rp_schema rp_msg_service_schema;
extern const struct rp_schema rp_msg_removed_schema;
extern const struct rp_schema rp_msg_finding_schema;
extern const struct rp_schema rp_msg_change_schema;
extern const struct rp_schema rp_msg_change_reply_schema;
extern const struct rp_schema rp_msg_service_info_schema;
extern const struct rp_schema rp_msg_node_info_schema;
extern const struct rp_schema rp_msg_upstream_info_schema;
extern const struct rp_schema rp_msg_replica_info_schema;
extern const struct rp_schema rp_log_entry_schema;
extern const struct rp_schema rp_replica_member_schema;
extern const struct rp_schema rp_replica_members_schema;
extern const struct rp_schema rp_snapshot_schema;

/* Appends the encoded message to `out`. */
void RpMsg_Encode(const struct rp_msg *msg, GString *out);

/* Decodes one message, which must take up all of `bytes`. Returns false if
 * the bytes are malformed, and leaves `msg` cleared then. The caller frees a
 * decoded message with RpMsg_Clear. */
bool RpMsg_Decode(struct rp_str bytes, struct rp_msg *msg);

/* Frees the lists and texts of a message and sets its type to
 * RP_MSG_NONE. */
void RpMsg_Clear(struct rp_msg *msg);

/* Returns the lower-case name of a message type. */
const char *RpMsg_Name(enum rp_msg_type type);

/* Returns the lower-case name of a role. */
const char *RpRole_Name(enum rp_role role);

/* Returns the lower-case name of an upstream state. */
const char *RpUpstreamState_Name(enum rp_upstream_state state);

#endif
