/* One replica of a replicated log, as in Raft, without I/O or a clock.
 *
 * The voters elect a leader. The leader orders the entries and commits an
 * entry once a quorum of the voters, a majority, has stored it. A committed
 * entry is never lost or changed, on any replica, whatever else fails. Beyond
 * plain Raft:
 *
 * - Pre-vote: before it raises its term, a replica asks whether it could win,
 *   so that a replica that was cut off does not depose the leader when it
 *   returns.
 * - Leader lease: a replica that has heard from a leader within the last
 *   election timeout votes for no other, and a leader that has lost its
 *   majority steps down. So a leader answers reads alone while its lease is
 *   valid.
 * - Startup election: if every member's process has restarted, no lease can
 *   still be valid and the replicas elect at once (rp_replica_startup.c).
 * - Members change one at a time, and a new member is a learner before it is
 *   a voter. A learner that has been silent for RP_MEMBER_SILENCE_TIMEOUT_US
 *   is removed.
 * - A replica that lost its disk has a new id and joins again as a new
 *   member. Its request is proof that the voter at its address is lost, and
 *   half of an even number of voters is a quorum then (rp_replica_quorum.c).
 * - While a change of the voters is not committed, a decision needs a quorum
 *   of the voters before it, too.
 * - A voter that the group can do without becomes a learner as soon as it does
 *   not answer, or says that it is about to stop (RpReplica_Leave): an even
 *   number of voters tolerates no loss more than the odd number below it, but
 *   needs one more of those that are left.
 *
 * Every call may add actions, which the caller carries out in order. What a
 * store action stores must be durable before any later action that sends or
 * applies; one sync may cover several store actions in a row.
 *
 * Times are in microseconds, on a clock of the caller that never runs
 * backwards.
 */
#ifndef RP_REPLICA_H
#define RP_REPLICA_H

#include <glib.h>

#include "rp_error.h"
#include "rp_msg.h"
#include "rp_time.h"

#define RP_REPLICA_MEMBERS_MAX 15 /* members of a group, learners included */
#define RP_HEARTBEAT_INTERVAL_US (100 * RP_US_PER_MS)
/* A follower that hears nothing from a leader starts a pre-vote after one to
 * two times this long, at random. Five heartbeats are missed by then, so a
 * pause of a few hundred milliseconds (a slow disk, an exhausted CPU quota)
 * does not depose a leader. After a power loss this is most of the time that
 * callers wait. */
#define RP_ELECTION_TIMEOUT_US (500 * RP_US_PER_MS)
/* How long a leader's lease lasts after it sent the last round that a
 * majority answered. Shorter than RP_ELECTION_TIMEOUT_US by the margin for
 * clocks that run at different speeds. */
#define RP_LEASE_US (400 * RP_US_PER_MS)
/* A replica that has heard from no leader for this long asks to join again. */
#define RP_REJOIN_TIMEOUT_US (10 * RP_ELECTION_TIMEOUT_US)
/* A learner that has not answered for this long is removed: a machine that
 * was replaced never comes back. */
#define RP_MEMBER_SILENCE_TIMEOUT_US (2 * RP_US_PER_SECOND)
#define RP_APPEND_MAX_ENTRIES 64
#define RP_APPEND_MAX_BYTES                                                   \
    (256u << 10) /* of data; one entry may be larger                          \
                  */
#define RP_SNAPSHOT_CHUNK_BYTES (256u << 10) /* bytes */

enum rp_replica_role {
    RP_REPLICA_FOLLOWER,
    RP_REPLICA_PRE_CANDIDATE, /* runs a pre-vote */
    RP_REPLICA_CANDIDATE,
    RP_REPLICA_LEADER
};

enum rp_replica_action_kind {
    RP_REPLICA_STORE_VOTE,     /* store term and voted_for */
    RP_REPLICA_STORE_ENTRY,    /* append entry */
    RP_REPLICA_STORE_TRUNCATE, /* delete the entries from index on */
    RP_REPLICA_STORE_SNAPSHOT, /* replace entries up to its index */
    RP_REPLICA_SEND,           /* send msg to the member with id `to` */
    RP_REPLICA_APPLY,          /* apply entry, which is committed */
    RP_REPLICA_REPORT_CHANGE,  /* log that this leader changes the members */
    RP_REPLICA_REPORT_LOST,    /* log that the disk of `member` is lost */
    /* Log that the leader's snapshot up to index does not decode. */
    RP_REPLICA_REPORT_BAD_SNAPSHOT
};

/* Why a leader changes the members. */
enum rp_member_change {
    RP_MEMBER_ADDED,     /* a new replica joins as a learner */
    RP_MEMBER_MOVED,     /* the replica has a new address */
    RP_MEMBER_DISK_LOST, /* removed: a replica with another id has its place */
    RP_MEMBER_PROMOTED,  /* the learner has caught up and becomes a voter */
    RP_MEMBER_DEMOTED,   /* the voter does not answer and becomes a learner */
    RP_MEMBER_LEAVING,   /* the voter is about to stop, becomes a learner */
    RP_MEMBER_SILENT     /* removed: it has not answered for too long */
};

/* One action. Its kind says which members are set. `entry` and `snapshot`
 * belong to the replica; they are valid until the next call that changes the
 * replica. */
struct rp_replica_action {
    enum rp_replica_action_kind kind;
    uint64_t term;
    uint64_t voted_for;
    uint64_t index;
    uint64_t to;
    const struct rp_log_entry *entry;
    const struct rp_snapshot *snapshot;
    struct rp_msg msg; /* owned by the action */
    enum rp_member_change change;
    struct rp_replica_member member; /* the one that changes */
    int64_t silent_since; /* when it was last in contact; 0: never */
};

struct rp_replica;

/* Creates a replica with an empty log, as a follower. `id` is not 0; `seed`
 * seeds the random part of its election timeouts. */
struct rp_replica *RpReplica_Create(uint64_t id, uint64_t seed, int64_t now);

void RpReplica_Free(struct rp_replica *replica);

/* Sets how many voters the group keeps whether they answer or not; to tolerate
 * n failures it takes 2 n + 1. 0, the default: not known, and the group can do
 * without a voter if it tolerates as many failures without it. */
void RpReplica_SetMinVoters(struct rp_replica *replica, size_t min_voters);

/* Load what the store actions stored before a restart, in the order in which
 * it was stored; the replica copies its arguments. RpReplica_LoadEntry
 * ignores an entry whose index the log has already, and returns
 * RP_ERR_CORRUPT if the entry leaves a gap: a stored entry is missing. */
void RpReplica_LoadVote(struct rp_replica *replica, uint64_t term,
                        uint64_t voted_for);
enum rp_code RpReplica_LoadEntry(struct rp_replica *replica,
                                 const struct rp_log_entry *entry);
void RpReplica_LoadTruncate(struct rp_replica *replica, uint64_t index);
void RpReplica_LoadSnapshot(struct rp_replica *replica,
                            const struct rp_snapshot *snapshot);

/* Starts a new group with this replica, which is empty, as its only member. */
void RpReplica_Bootstrap(struct rp_replica *replica,
                         const struct rp_replica_member *self);

/* Starts a new group whose members (struct rp_replica_member) are known in
 * advance. Call it on every one of them, while empty, with the same list. */
void RpReplica_BootstrapGroup(struct rp_replica *replica,
                              const GArray *members);

/* Runs the timers that have expired by `now`: elections, heartbeats and the
 * promotion of learners. Call it regularly, a few times per heartbeat
 * interval. */
void RpReplica_Tick(struct rp_replica *replica, int64_t now);

/* Handles a message from another replica; `msg` stays the caller's. Messages
 * addressed to another id are ignored. A join request counts as forwarded. */
void RpReplica_Receive(struct rp_replica *replica, int64_t now,
                       const struct rp_msg *msg);

/* Returns the id of the replica that sent `msg`; 0 if it is not a message
 * between replicas. */
uint64_t RpReplica_Sender(const struct rp_msg *msg);

/* On the leader: appends a command to the log, sets `*index` to its index and
 * replicates it. The command is committed once an RP_REPLICA_APPLY action has
 * an entry of that index and the current term. Returns RP_ERR_NO_LEADER on any
 * other replica. */
enum rp_code RpReplica_Propose(struct rp_replica *replica, int64_t now,
                               const GString *command, uint64_t *index);

/* On the leader: starts a round of heartbeats whose answers confirm that it
 * is still the leader, so that its state is current. Returns the round's
 * number, for RpReplica_ReadIsSafe; 0 if this replica is not the leader or has
 * not committed an entry of its own term. */
uint64_t RpReplica_StartRead(struct rp_replica *replica, int64_t now);

/* Whether a quorum of the voters has answered `round` or a later one, and
 * this replica has been the leader throughout. `term` is the term in which the
 * round was started. */
bool RpReplica_ReadIsSafe(const struct rp_replica *replica, uint64_t term,
                          uint64_t round);

/* On the leader: returns how many voters have answered `round` or a later one,
 * and how many have stored the entry at `index`, itself included; 0 on any
 * other replica. */
size_t RpReplica_CountAnswered(const struct rp_replica *replica,
                               uint64_t round);
size_t RpReplica_CountStored(const struct rp_replica *replica, uint64_t index);

/* Returns the leader of the current term if this replica knows it, else NULL.
 * The replica owns the result. */
const struct rp_replica_member *
RpReplica_Leader(const struct rp_replica *replica);

/* Returns the member with this id in the newest list in the log, or NULL. */
const struct rp_replica_member *
RpReplica_FindMember(const struct rp_replica *replica, uint64_t id);

/* Returns the leader if it is known to be alive: this replica heard it less
 * than RP_LEASE_US ago, or leads itself with a valid lease. Else NULL. */
const struct rp_replica_member *
RpReplica_LiveLeader(const struct rp_replica *replica, int64_t now);

/* Handles a request of `member` to join the group. The leader starts at most
 * one change of the members for it; the requester repeats the request until it
 * is a member. Any other replica forwards the request to the leader, which the
 * requester may not know, unless it was `forwarded` already. */
void RpReplica_HandleJoin(struct rp_replica *replica, int64_t now,
                          const struct rp_replica_member *member,
                          bool forwarded);

/* Reports that the connection to the replica with this id was closed or could
 * not be opened: until it answers again, it counts as one that does not
 * answer. */
void RpReplica_OnDisconnect(struct rp_replica *replica, int64_t now,
                            uint64_t id);

/* Prepares a planned stop: asks the leader to take this replica's vote from
 * it, so that the group loses no voter when it stops. The request is part of
 * this replica's answers to the leader and ends with the process. */
void RpReplica_Leave(struct rp_replica *replica);

/* Whether this replica can stop at once after RpReplica_Leave: it is no voter,
 * or the group can't do without its vote and has no learner that could take
 * its place. */
bool RpReplica_MayStop(const struct rp_replica *replica);

/* Replaces the log up to the last applied entry by a snapshot of `data`, the
 * state after that entry. Adds no action: the caller must store
 * RpReplica_Snapshot and the remaining entries. */
void RpReplica_Compact(struct rp_replica *replica, const GString *data);

/* Returns the actions (struct rp_replica_action) added since the last call;
 * free them with RpReplica_FreeActions. */
GArray *RpReplica_TakeActions(struct rp_replica *replica);
void RpReplica_FreeActions(GArray *actions);

/* Whether this replica's applied state is fresh. A leader is fresh while its
 * lease is valid and it has committed an entry of its own term. A follower is
 * fresh for RP_LEASE_US after an append from a leader with a valid lease, once
 * it has applied all that was committed then. */
bool RpReplica_IsFresh(const struct rp_replica *replica, int64_t now);

/* Returns "added", "moved", "disk_lost", "promoted", "demoted", "leaving" or
 * "silent". */
const char *RpReplica_ChangeName(enum rp_member_change change);

size_t RpReplica_VoterCount(const struct rp_replica *replica);

/* Returns how many voters must store an entry or grant a vote, see
 * rp_replica_quorum.c; while a change of the voters is not committed, as many
 * of the new ones. */
size_t RpReplica_Quorum(const struct rp_replica *replica);

/* Returns how many of the voters are known to have lost their disk. */
size_t RpReplica_LostVoterCount(const struct rp_replica *replica);

/* On the leader: returns how many more voters can fail before the group stops,
 * which counts as failed those that have not answered for
 * RP_ELECTION_TIMEOUT_US; -1 on any other replica. */
int RpReplica_FailuresTolerated(const struct rp_replica *replica, int64_t now);

uint64_t RpReplica_Id(const struct rp_replica *replica);
enum rp_replica_role RpReplica_Role(const struct rp_replica *replica);
/* Returns "leader", "candidate", "follower" or "learner". */
const char *RpReplica_RoleName(const struct rp_replica *replica);
uint64_t RpReplica_Term(const struct rp_replica *replica);
/* Returns the index of the last entry known to be committed. */
uint64_t RpReplica_CommitIndex(const struct rp_replica *replica);
uint64_t RpReplica_LastIndex(const struct rp_replica *replica);

/* Whether this replica should send join requests: it is not a member as far
 * as it knows, or it has heard from no leader for RP_REJOIN_TIMEOUT_US, so the
 * entry that made it a member may have been lost. */
bool RpReplica_WantsToJoin(const struct rp_replica *replica, int64_t now);

/* The members (struct rp_replica_member) of the newest list in the log,
 * committed or not; the replica itself may not be among them. The replica owns
 * the array. */
const GArray *RpReplica_Members(const struct rp_replica *replica);
bool RpReplica_IsMember(const struct rp_replica *replica);

/* Bytes of the entries in the log, and of the snapshot, both its decoded and
 * its encoded form. */
uint64_t RpReplica_LogBytes(const struct rp_replica *replica);
uint64_t RpReplica_SnapshotBytes(const struct rp_replica *replica);

/* What to store after RpReplica_Compact: the term and the vote, the snapshot
 * (NULL if there is none) and the entries after it, by position from 0. */
uint64_t RpReplica_VotedFor(const struct rp_replica *replica);
const struct rp_snapshot *RpReplica_Snapshot(const struct rp_replica *replica);
size_t RpReplica_EntryCount(const struct rp_replica *replica);
const struct rp_log_entry *RpReplica_Entry(const struct rp_replica *replica,
                                           size_t position);

#endif
