/* Typed messages between the system's processes.
 *
 * Every message is a struct with a schema; `struct rp_msg` is one of them
 * with its type. The wire form of a message is a msgpack array of two: the
 * type's number and the body (see rp_schema.h). Texts are length-counted,
 * times are durations in milliseconds unless a name says otherwise.
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

/* What a process says it is. */
enum rp_role {
    RP_ROLE_NONE,
    RP_ROLE_CONTROL,
    RP_ROLE_BALANCER,
    RP_ROLE_AGENT,
    RP_ROLE_OPERATOR,
    RP_ROLE_COUNT
};

/* How far an upstream may be used. The order is that of use: READY takes
 * new flows, DRAINING only finishes its own, LOST is out of lease. */
enum rp_upstream_state {
    RP_UPSTREAM_READY = 1,
    RP_UPSTREAM_DRAINING,
    RP_UPSTREAM_LOST,
    RP_UPSTREAM_GONE /* said goodbye; its entry is about to be dropped */
};

/* First message in each direction. */
struct rp_msg_hello {
    uint8_t version;
    uint8_t role; /* enum rp_role */
    struct rp_name name;
    struct rp_name zone;
    uint8_t nonce[RP_NONCE_SIZE];
};

/* Agent to control: what it serves, renewed before the lease ends.
 * (incarnation, sequence) orders what one instance says about itself. */
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
    uint32_t flows;
    uint32_t busy;
};

/* Node to control: which table it wants, and what it has already. */
struct rp_msg_subscribe {
    struct rp_name service; /* empty: all services */
    uint64_t revision;      /* highest configuration revision it has run */
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

/* What the requests of a virtual address are; admission orders by it. */
enum rp_request_kind {
    RP_REQUEST_UNKNOWN,
    RP_REQUEST_IDEMPOTENT,
    RP_REQUEST_NON_IDEMPOTENT,
    RP_REQUEST_DOWNLOAD
};

/* A service behind a virtual address, with its share of new flows. */
struct rp_msg_target {
    uint32_t service_id;
    uint32_t weight;
};

/* One virtual address of an edition and where its flows go. */
struct rp_msg_vip {
    uint32_t address;
    uint16_t port;
    uint8_t kind;      /* enum rp_request_kind */
    uint32_t priority; /* 0 is the highest */
    uint32_t timeout_ms;
    uint32_t target_ms; /* latency that callers hope for */
    GArray *targets;    /* of struct rp_msg_target */
};

/* A virtual address that is not served any more. */
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
    uint64_t generation; /* grows with each change of the members */
    uint32_t flows_per_upstream;
    uint32_t retries_percent;
    uint32_t silence_ms;
    uint32_t long_slots_percent;
    GArray *members; /* of struct rp_msg_member */
};

/* A service that a table no longer has. */
struct rp_msg_removed {
    uint32_t id;
};

/* Control to node: the whole table, or what changed since the last one. */
struct rp_msg_table {
    uint64_t revision; /* configuration revision it contains */
    uint8_t complete;  /* 1: replaces everything */
    uint8_t hash_key[RP_HASH_KEY_SIZE];
    GArray *services;     /* of struct rp_msg_service */
    GArray *removed;      /* of struct rp_msg_removed */
    GArray *vips;         /* of struct rp_msg_vip */
    GArray *removed_vips; /* of struct rp_msg_removed_vip */
    /* 1: this replica has not heard of all upstreams yet, for it has just
     * started. Members that a node knows stay until a table without it. */
    uint8_t gathering;
};

/* A service as an edition names it. */
struct rp_edition_service {
    struct rp_name name;
    uint32_t flows_per_upstream;
};

struct rp_edition_target {
    struct rp_name service;
    uint32_t weight;
};

struct rp_edition_vip {
    GString *name; /* as the operator calls it */
    uint32_t address;
    uint16_t port;
    uint8_t kind; /* enum rp_request_kind */
    uint32_t priority;
    uint32_t timeout_ms;
    uint32_t target_ms;
    GArray *targets; /* of struct rp_edition_target */
};

/* A whole configuration at once: services, virtual addresses and
 * limits, under a version that the operator chose. */
struct rp_edition {
    uint64_t version;
    uint32_t idle_timeout_ms;
    GArray *services; /* of struct rp_edition_service */
    GArray *vips;     /* of struct rp_edition_vip */
    GString *content; /* as it was sent, to be read back */
};

/* Control to node: where the control instances are now. */
struct rp_msg_control_address {
    uint32_t ip;
    uint16_t port;
};

struct rp_msg_controls {
    GArray *list; /* of struct rp_msg_control_address */
};

/* Node to control: this revision is in force here. */
struct rp_msg_confirm {
    uint64_t revision;
};

enum rp_change_kind { RP_CHANGE_APPLY = 1, RP_CHANGE_DELETE };

/* Operator to control: one change of one service. */
struct rp_msg_change {
    uint8_t id[RP_CHANGE_ID_SIZE];
    uint8_t kind; /* enum rp_change_kind */
    uint8_t has_base;
    uint64_t base; /* the service revision that the change is based on */
    struct rp_name service;
    GString *document;
};

/* One finding, as in rp_error.h. */
struct rp_msg_finding {
    uint8_t code; /* enum rp_code */
    GString *place;
    GString *text;
};

/* Control to operator: what became of a change. */
struct rp_msg_change_reply {
    uint8_t id[RP_CHANGE_ID_SIZE];
    uint8_t code;      /* enum rp_code */
    uint8_t repeated;  /* 1: the answer given to this id before */
    uint64_t revision; /* applied: the new one; conflict: the current one */
    struct rp_name service;
    GArray *findings; /* of struct rp_msg_finding */
    uint32_t service_id;
    uint8_t is_change;  /* 0: the command was not a change */
    uint8_t is_edition; /* 1: it was a whole edition */
};

enum rp_query_kind {
    RP_QUERY_SERVICES = 1,
    RP_QUERY_DOCUMENT,
    RP_QUERY_STATUS
};

/* Operator to control. */
struct rp_msg_query {
    uint8_t kind; /* enum rp_query_kind */
    struct rp_name service;
};

/* One service as operators see it. */
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

struct rp_msg_services {
    uint64_t revision;
    GArray *services; /* of struct rp_msg_service_info */
};

/* A service's document as it was accepted. */
struct rp_msg_document {
    uint8_t code; /* enum rp_code */
    uint64_t revision;
    struct rp_name service;
    GString *document;
};

/* One node (balancer or agent) and the revision in force there. */
struct rp_msg_node_info {
    struct rp_name name;
    struct rp_name zone;
    uint8_t role; /* enum rp_role */
    uint64_t confirmed;
    uint32_t behind_ms; /* how long it has been behind; 0 if it is not */
    uint8_t connected;  /* to the replica that says this */
};

/* One upstream as operators see it. */
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
};

/* One control replica. */
struct rp_msg_replica_info {
    struct rp_name name;
    struct rp_name role; /* leader, follower, candidate, learner */
    uint64_t term;
    uint64_t committed;
};

struct rp_msg_status {
    uint64_t revision;
    GArray *replicas;  /* of struct rp_msg_replica_info */
    GArray *services;  /* of struct rp_msg_service_info */
    GArray *nodes;     /* of struct rp_msg_node_info */
    GArray *upstreams; /* of struct rp_msg_upstream_info */
};

/* Either way, when there was nothing else to say for a while. */
struct rp_msg_ping {
    uint64_t number;
};

/* Operator to control, and control to the agent: drain this upstream, or
 * let it take new flows again. */
struct rp_msg_order {
    struct rp_name upstream;
    uint8_t draining;
};

/* Control to operator. */
struct rp_msg_order_reply {
    uint8_t code; /* enum rp_code; RP_ERR_NOT_FOUND: not connected here */
};

/* What an entry of the replicated log holds. */
enum rp_entry_kind {
    RP_ENTRY_COMMAND = 1, /* for the state machine */
    RP_ENTRY_MEMBERS,     /* an encoded struct rp_replica_members */
    RP_ENTRY_NOTHING      /* marks the begin of a leader's term */
};

struct rp_log_entry {
    uint64_t index;
    uint64_t term;
    uint8_t kind; /* enum rp_entry_kind */
    GString *data;
};

/* One replica of the control state. A replica that lost its disk comes
 * back under a new id. */
struct rp_replica_member {
    uint64_t id;
    struct rp_name name;
    uint32_t ip;
    uint16_t port;
    uint8_t voter; /* 0: a learner */
};

struct rp_replica_members {
    GArray *list; /* of struct rp_replica_member */
};

/* What a vote is for. */
enum rp_vote_kind {
    RP_VOTE_REAL,
    RP_VOTE_TRIAL,       /* asks only, changes no term */
    RP_VOTE_START_TRIAL, /* the same, of a replica that has just started */
    RP_VOTE_AFTER_START  /* real; no process of before the start is left */
};

/* Messages between replicas name both ids, so that none meant for an
 * earlier replica of the same name is taken. */
struct rp_msg_vote {
    uint64_t from;
    uint64_t to;
    uint64_t term;
    uint8_t kind; /* enum rp_vote_kind */
    uint64_t last_index;
    uint64_t last_term;
};

struct rp_msg_vote_reply {
    uint64_t from;
    uint64_t to;
    uint64_t term;
    uint8_t kind; /* of the vote */
    uint8_t granted;
};

struct rp_msg_append {
    uint64_t from;
    uint64_t to;
    uint64_t term;
    uint64_t previous_index;
    uint64_t previous_term;
    uint64_t committed;
    uint64_t round;  /* numbers the leader's contacts, echoed in the reply */
    GArray *entries; /* of struct rp_log_entry */
    uint8_t fresh;   /* 1: the leader's lease holds, and `committed` is all */
};

struct rp_msg_append_reply {
    uint64_t from;
    uint64_t to;
    uint64_t term;
    uint64_t round;
    uint8_t accepted;
    uint64_t match; /* accepted: last index known to agree; else the last */
};

/* A part of an encoded struct rp_snapshot. */
struct rp_msg_snapshot {
    uint64_t from;
    uint64_t to;
    uint64_t term;
    uint64_t index; /* the last entry that the snapshot covers */
    uint64_t offset;
    uint64_t total;
    GString *data;
};

struct rp_msg_snapshot_reply {
    uint64_t from;
    uint64_t to;
    uint64_t term;
    uint64_t index;
    uint64_t offset; /* how much of it has arrived */
};

/* A replica asks any other to be let in. */
struct rp_msg_join {
    struct rp_replica_member member;
};

/* A whole state: what a log is cut down to. */
struct rp_snapshot {
    uint64_t index;
    uint64_t term;
    GArray *members; /* of struct rp_replica_member */
    GString *data;
};

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

/* One message. Clear it with RpMsg_Clear. */
struct rp_msg {
    enum rp_msg_type type;
    union {
#define RP_MSG_MEMBER(symbol, member) struct rp_msg_##member member;
        RP_MSG_LIST(RP_MSG_MEMBER)
#undef RP_MSG_MEMBER
    };
};

/* Schemas of the parts that callers build lists of. */
extern const struct rp_schema rp_msg_member_schema;
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

/* Appends the message's wire form to `out`. */
void RpMsg_Encode(const struct rp_msg *msg, GString *out);

/* Decodes a whole wire form; false leaves `msg` cleared. */
bool RpMsg_Decode(struct rp_str bytes, struct rp_msg *msg);

/* Frees what the message owns and sets its type to RP_MSG_NONE. */
void RpMsg_Clear(struct rp_msg *msg);

/* The type's lower-case name. */
const char *RpMsg_Name(enum rp_msg_type type);

/* The role's lower-case name. */
const char *RpRole_Name(enum rp_role role);

/* The state's lower-case name. */
const char *RpUpstreamState_Name(enum rp_upstream_state state);

#endif
