/* Agreement: one replica of a replicated log, without I/O or clock.
 *
 * The replicas elect a leader, which orders entries and commits those that
 * a majority of the voters has stored. What is committed is never lost or
 * changed, on any replica, whatever else fails. In short:
 *
 * - terms, with a trial round of votes first, so that a replica that was
 *   cut off does not disturb the others when it returns;
 * - a replica that heard from a leader lately votes for nobody else, and a
 *   leader that lost its majority steps down: so a leader may answer reads
 *   by itself while its lease holds;
 * - where every process has started anew there is no lease to wait for, and
 *   they elect at once (rp_replica_start.c);
 * - one change of the members at a time; a new one learns before it votes;
 * - a replica whose disk was lost has a new id and is let in again.
 *
 * Every call may leave actions, to be carried out in their order. Those
 * that store something must be durable (one sync for a run of them) before
 * any later action that sends or applies.
 */
#ifndef RP_REPLICA_H
#define RP_REPLICA_H

#include <glib.h>

#include "rp_error.h"
#include "rp_msg.h"
#include "rp_time.h"

#define RP_REPLICA_MAX 15 /* members */
#define RP_HEARTBEAT_US (100 * RP_US_PER_MS)
/* A follower waits one to two times this long for its leader: five missed
 * heartbeats, so that a pause of a few hundred milliseconds (a slow disk, a
 * used-up share of the processor) deposes nobody. After a loss of power
 * callers wait for this and little else. */
#define RP_ELECTION_US (500 * RP_US_PER_MS)
/* How long a leader may trust its last contact with a majority. Shorter
 * than RP_ELECTION_US by what clocks may differ in speed. */
#define RP_LEASE_US (400 * RP_US_PER_MS)
/* After this long without a leader a replica asks to be let in again. */
#define RP_REJOIN_US (10 * RP_ELECTION_US)
/* A voter that has been silent this long gives its place to a learner that
 * waits for one: a machine that was replaced never comes back, and until it
 * is out one loss less can be borne. Half of the four seconds that users
 * give a successor to catch up. */
#define RP_REPLACE_US (2 * RP_US_PER_SECOND)
#define RP_APPEND_MAX_ENTRIES 64
#define RP_SNAPSHOT_CHUNK (256u << 10) /* bytes */

enum rp_replica_role {
    RP_REPLICA_FOLLOWER,
    RP_REPLICA_TRIAL, /* asks whether an election could be won */
    RP_REPLICA_CANDIDATE,
    RP_REPLICA_LEADER
};

enum rp_replica_action_kind {
    RP_REPLICA_STORE_VOTE,     /* term and voted_for */
    RP_REPLICA_STORE_ENTRY,    /* entry */
    RP_REPLICA_STORE_TRUNCATE, /* drop entries from index on */
    RP_REPLICA_STORE_SNAPSHOT, /* snapshot replaces all up to its index */
    RP_REPLICA_SEND,           /* msg, to the member with id `to` */
    RP_REPLICA_APPLY           /* entry is committed: apply it */
};

/* One thing to do. Pointers are valid until the next call. */
struct rp_replica_action {
    enum rp_replica_action_kind kind;
    uint64_t term;
    uint64_t voted_for;
    uint64_t index;
    uint64_t to;
    const struct rp_log_entry *entry;
    const struct rp_snapshot *snapshot;
    struct rp_msg msg; /* owned by the action */
};

struct rp_replica;

/* A replica with nothing stored. `id` is not 0; `seed` spreads elections. */
struct rp_replica *RpReplica_Create(uint64_t id, uint64_t seed, int64_t now);

void RpReplica_Free(struct rp_replica *replica);

/* What was stored before, in the order in which it was stored. An entry that
 * leaves a gap is RP_ERR_CORRUPT: something that was stored is missing. */
void RpReplica_LoadVote(struct rp_replica *replica, uint64_t term,
                        uint64_t voted_for);
enum rp_code RpReplica_LoadEntry(struct rp_replica *replica,
                                 const struct rp_log_entry *entry);
void RpReplica_LoadTruncate(struct rp_replica *replica, uint64_t index);
void RpReplica_LoadSnapshot(struct rp_replica *replica,
                            const struct rp_snapshot *snapshot);

/* Makes the first replica of a new system, with itself as only member. */
void RpReplica_Bootstrap(struct rp_replica *replica,
                         const struct rp_replica_member *self);

/* Makes one of the first replicas of a new system, all of which are given
 * the same list; their ids are known beforehand. */
void RpReplica_BootstrapGroup(struct rp_replica *replica,
                              const GArray *members);

/* Time has passed. */
void RpReplica_Tick(struct rp_replica *replica, int64_t now);

/* A message of another replica. Messages to another id are ignored. */
void RpReplica_Receive(struct rp_replica *replica, int64_t now,
                       const struct rp_msg *msg);

/* The id of the replica that sent a message between replicas; else 0. */
uint64_t RpReplica_Sender(const struct rp_msg *msg);

/* Leader: adds a command. Its index goes to `*index`; it is accepted once
 * RP_REPLICA_APPLY names that index with this term. RP_ERR_NO_LEADER on
 * any other replica. */
enum rp_code RpReplica_Propose(struct rp_replica *replica, int64_t now,
                               const GString *command, uint64_t *index);

/* Leader: starts to make sure that its state is the newest there is, by a
 * contact with a majority that begins now. Returns the number of that
 * contact; 0 on any other replica, and until a new leader has committed an
 * entry of its own. */
uint64_t RpReplica_StartRead(struct rp_replica *replica, int64_t now);

/* Whether a majority has answered that contact, or a later one, while this
 * replica has led all along. */
bool RpReplica_ReadIsSafe(const struct rp_replica *replica, uint64_t term,
                          uint64_t round);

/* The member that leads as far as this replica knows, or NULL. */
const struct rp_replica_member *
RpReplica_Leader(const struct rp_replica *replica);

/* A replica wants to be a member. The leader lets it in, in steps; it asks
 * again until it is one. Any other passes the wish on to the leader, which
 * the new one may not know, unless it was `passed_on` already. */
void RpReplica_Join(struct rp_replica *replica, int64_t now,
                    const struct rp_replica_member *member, bool passed_on);

/* Replaces the log up to the last applied entry by `data`, the state that
 * they lead to. Store RpReplica_Snapshot and the entries left. */
void RpReplica_Compact(struct rp_replica *replica, const GString *data);

/* The actions since the last call; free with RpReplica_FreeActions. */
GArray *RpReplica_TakeActions(struct rp_replica *replica);
void RpReplica_FreeActions(GArray *actions);

/* Whether this replica's applied state is fresh: a leader whose lease
 * holds, or a follower that a leader reached within the lease and that has
 * applied all that was committed then. */
bool RpReplica_IsFresh(const struct rp_replica *replica, int64_t now);

uint64_t RpReplica_Id(const struct rp_replica *replica);
enum rp_replica_role RpReplica_Role(const struct rp_replica *replica);
const char *RpReplica_RoleName(const struct rp_replica *replica);
uint64_t RpReplica_Term(const struct rp_replica *replica);
uint64_t RpReplica_Committed(const struct rp_replica *replica);
uint64_t RpReplica_LastIndex(const struct rp_replica *replica);

/* Whether this replica should ask others to let it in: it is no member as
 * far as it knows, or it has not heard from a leader for so long that the
 * entry which made it one may have been lost. */
bool RpReplica_WantsToJoin(const struct rp_replica *replica, int64_t now);

/* The members in force; the replica itself may not be among them. */
const GArray *RpReplica_Members(const struct rp_replica *replica);
bool RpReplica_IsMember(const struct rp_replica *replica);

/* What to store after RpReplica_Compact: the vote, the snapshot (NULL if
 * there is none) and the entries behind it, by position. */
uint64_t RpReplica_VotedFor(const struct rp_replica *replica);
const struct rp_snapshot *RpReplica_Snapshot(const struct rp_replica *replica);
size_t RpReplica_EntryCount(const struct rp_replica *replica);
const struct rp_log_entry *RpReplica_Entry(const struct rp_replica *replica,
                                           size_t position);

#endif
