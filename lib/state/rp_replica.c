/* The replica's public calls: life cycle, reload after a restart, timers,
 * dispatch of received messages, proposals, confirmed reads and compaction.
 * Elections, replication and changes of the members are in the other
 * rp_replica_*.c files. */
#include "rp_replica.h"

#include <assert.h>
#include <string.h>

#include "rp_replica_internal.h"

static void
free_entry(gpointer data)
{
    struct rp_log_entry *entry = data;

    g_string_free(entry->data, TRUE);
    g_free(entry);
}

static void
clear_action(gpointer data)
{
    struct rp_replica_action *action = data;

    RpMsg_Clear(&action->msg);
}

static GArray *
new_actions(void)
{
    GArray *actions = g_array_new(FALSE, TRUE,
                                  sizeof(struct rp_replica_action));

    g_array_set_clear_func(actions, clear_action);
    return actions;
}

struct rp_replica *
RpReplica_Create(uint64_t id, uint64_t seed, int64_t now)
{
    struct rp_replica *replica = g_new0(struct rp_replica, 1);
    const guint32 seeds[2] = {(guint32)seed, (guint32)(seed >> 32)};

    assert(id != 0);
    replica->id = id;
    replica->rng = g_rand_new_with_seed_array(seeds, 2);
    replica->actions = new_actions();
    replica->log = g_ptr_array_new_with_free_func(free_entry);
    replica->members = g_array_new(FALSE, TRUE,
                                   sizeof(struct rp_replica_member));
    replica->previous_members = g_array_new(FALSE, TRUE,
                                            sizeof(struct rp_replica_member));
    replica->lost = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    replica->peers = g_array_new(FALSE, TRUE, sizeof(struct rp_peer));
    replica->round_send_times = g_array_new(FALSE, TRUE, sizeof(int64_t));
    /* This replica may have acknowledged a leader's heartbeat just before it
     * stopped, so it must not vote until that leader's lease has expired. A
     * longer wait gains nothing: a leader that still runs sends a heartbeat
     * by then, and the pre-vote keeps an election from deposing it. If all
     * members have restarted, the election starts earlier
     * (rp_replica_startup.c). */
    replica->last_leader_contact = now - RP_ELECTION_TIMEOUT_US + RP_LEASE_US;
    replica->election_deadline = now + RP_LEASE_US +
                                 (int64_t)(g_rand_double(replica->rng) *
                                           (double)RP_LEASE_US / 2);
    replica->no_leader_since_start = true;
    return replica;
}

void
RpReplica_Free(struct rp_replica *replica)
{
    if (!replica) {
        return;
    }
    g_rand_free(replica->rng);
    g_array_free(replica->actions, TRUE);
    g_ptr_array_unref(replica->log);
    g_array_free(replica->members, TRUE);
    g_array_free(replica->previous_members, TRUE);
    g_array_free(replica->lost, TRUE);
    g_array_free(replica->peers, TRUE);
    g_array_free(replica->round_send_times, TRUE);
    RpReplicaLog_FreeSnapshot(replica->snapshot);
    if (replica->snapshot_bytes) {
        g_string_free(replica->snapshot_bytes, TRUE);
    }
    if (replica->incoming_snapshot) {
        g_string_free(replica->incoming_snapshot, TRUE);
    }
    g_free(replica);
}

void
RpReplica_SetMinVoters(struct rp_replica *replica, size_t min_voters)
{
    replica->min_voters = min_voters;
}

void
RpReplica_LoadVote(struct rp_replica *replica, uint64_t term,
                   uint64_t voted_for)
{
    replica->term = term;
    replica->voted_for = voted_for;
}

enum rp_code
RpReplica_LoadEntry(struct rp_replica *replica,
                    const struct rp_log_entry *entry)
{
    uint64_t next = RpReplicaLog_LastIndex(replica) + 1;

    if (entry->index > next) {
        return RP_ERR_CORRUPT;
    }
    if (entry->index == next) {
        RpReplicaLog_Append(replica, entry);
    }
    return RP_OK;
}

void
RpReplica_LoadTruncate(struct rp_replica *replica, uint64_t index)
{
    RpReplicaLog_Truncate(replica, index);
}

void
RpReplica_LoadSnapshot(struct rp_replica *replica,
                       const struct rp_snapshot *snapshot)
{
    RpReplicaLog_SetSnapshot(replica, snapshot);
    replica->commit_index = snapshot->index;
    replica->last_applied = snapshot->index;
}

struct rp_replica_action *
RpReplica_AddAction(struct rp_replica *replica,
                    enum rp_replica_action_kind kind)
{
    guint last = replica->actions->len;

    g_array_set_size(replica->actions, last + 1);
    struct rp_replica_action *action = &g_array_index(
        replica->actions, struct rp_replica_action, last);
    action->kind = kind;
    return action;
}

void
RpReplica_QueueMessage(struct rp_replica *replica, uint64_t to,
                       struct rp_msg *msg)
{
    struct rp_replica_action *action = RpReplica_AddAction(replica,
                                                           RP_REPLICA_SEND);

    action->to = to;
    action->msg = *msg;
    msg->type = RP_MSG_NONE;
}

GArray *
RpReplica_TakeActions(struct rp_replica *replica)
{
    GArray *actions = replica->actions;

    replica->actions = new_actions();
    return actions;
}

void
RpReplica_FreeActions(GArray *actions)
{
    g_array_free(actions, TRUE);
}

void
RpReplica_StoreVote(struct rp_replica *replica)
{
    struct rp_replica_action *action = RpReplica_AddAction(
        replica, RP_REPLICA_STORE_VOTE);

    action->term = replica->term;
    action->voted_for = replica->voted_for;
}

void
RpReplica_ResetElectionTimer(struct rp_replica *replica, int64_t now)
{
    double jitter = g_rand_double(replica->rng);

    replica->election_deadline = now + RP_ELECTION_TIMEOUT_US +
                                 (int64_t)(jitter *
                                           (double)RP_ELECTION_TIMEOUT_US);
}

void
RpReplica_BecomeFollower(struct rp_replica *replica, int64_t now,
                         uint64_t term, uint64_t leader)
{
    if (term > replica->term) {
        replica->term = term;
        replica->voted_for = 0;
        RpReplica_StoreVote(replica);
    }
    if (replica->role != RP_REPLICA_FOLLOWER) {
        RpReplica_ResetElectionTimer(replica, now);
    }
    replica->role = RP_REPLICA_FOLLOWER;
    replica->leader_id = leader;
}

const struct rp_replica_member *
RpReplica_FindMember(const struct rp_replica *replica, uint64_t id)
{
    for (guint i = 0; i < replica->members->len; i++) {
        const struct rp_replica_member *member = &g_array_index(
            replica->members, struct rp_replica_member, i);
        if (member->id == id) {
            return member;
        }
    }
    return NULL;
}

struct rp_peer *
RpReplica_FindPeer(struct rp_replica *replica, uint64_t id)
{
    for (guint i = 0; i < replica->peers->len; i++) {
        struct rp_peer *peer = &g_array_index(replica->peers, struct rp_peer,
                                              i);
        if (peer->id == id) {
            return peer;
        }
    }
    return NULL;
}

bool
RpReplica_IsVoter(const struct rp_replica *replica, uint64_t id)
{
    const struct rp_replica_member *member = RpReplica_FindMember(replica, id);

    return member && member->voter;
}

void
RpReplica_ApplyCommitted(struct rp_replica *replica)
{
    while (replica->last_applied < replica->commit_index) {
        const struct rp_log_entry *entry = RpReplicaLog_EntryAt(
            replica, replica->last_applied + 1);
        assert(entry);
        RpReplica_AddAction(replica, RP_REPLICA_APPLY)->entry = entry;
        replica->last_applied++;
    }
}

const struct rp_log_entry *
RpReplica_AppendEntry(struct rp_replica *replica, enum rp_entry_kind kind,
                      const GString *data)
{
    GString *no_data = g_string_new(NULL);
    const struct rp_log_entry entry = {
        .index = RpReplicaLog_LastIndex(replica) + 1,
        .term = replica->term,
        .kind = (uint8_t)kind,
        .data = data ? (GString *)data : no_data};
    const struct rp_log_entry *added = RpReplicaLog_Append(replica, &entry);

    RpReplica_AddAction(replica, RP_REPLICA_STORE_ENTRY)->entry = added;
    g_string_free(no_data, TRUE);
    return added;
}

void
RpReplica_Bootstrap(struct rp_replica *replica,
                    const struct rp_replica_member *self)
{
    struct rp_replica_members members = {
        .list = RpSchema_NewList(&rp_replica_member_schema)};
    struct rp_replica_member voter = *self;

    assert(RpReplicaLog_LastIndex(replica) == 0 && self->id == replica->id);
    voter.voter = 1;
    g_array_append_val(members.list, voter);
    GString *data = RpSchema_Encode(&rp_replica_members_schema, &members);
    replica->term = 1;
    replica->voted_for = replica->id;
    RpReplica_StoreVote(replica);
    RpReplica_AppendEntry(replica, RP_ENTRY_MEMBERS, data);
    g_string_free(data, TRUE);
    RpSchema_Clear(&rp_replica_members_schema, &members);
}

void
RpReplica_BootstrapGroup(struct rp_replica *replica, const GArray *members)
{
    const struct rp_replica_members list = {.list = (GArray *)members};

    assert(RpReplicaLog_LastIndex(replica) == 0 && replica->term == 0);
    GString *data = RpSchema_Encode(&rp_replica_members_schema, &list);
    replica->term = 1;
    RpReplica_StoreVote(replica);
    RpReplica_AppendEntry(replica, RP_ENTRY_MEMBERS, data);
    g_string_free(data, TRUE);
}

/* Whether this replica is the only member. A learner may be the leader that
 * has just given up its vote and still has a lease. */
static bool
is_sole_member(const struct rp_replica *replica)
{
    return replica->members->len == 1 && RpReplica_IsMember(replica);
}

void
RpReplica_Tick(struct rp_replica *replica, int64_t now)
{
    if (replica->role == RP_REPLICA_LEADER) {
        RpReplica_LeaderTick(replica, now);
        return;
    }
    if (!RpReplica_MayVote(replica, replica->id)) {
        return;
    }
    /* A sole member can have no other leader, so it does not wait. */
    if (now >= replica->election_deadline || is_sole_member(replica)) {
        RpReplica_StartPreVote(replica, now);
        return;
    }
    RpReplica_StartupTick(replica, now);
}

/* Returns the id of the replica that a message is addressed to; 0 if the
 * message is not one between replicas. */
static uint64_t
recipient_of(const struct rp_msg *msg)
{
    switch (msg->type) {
    case RP_MSG_VOTE:
        return msg->vote.to;
    case RP_MSG_VOTE_REPLY:
        return msg->vote_reply.to;
    case RP_MSG_APPEND:
        return msg->append.to;
    case RP_MSG_APPEND_REPLY:
        return msg->append_reply.to;
    case RP_MSG_SNAPSHOT:
        return msg->snapshot.to;
    case RP_MSG_SNAPSHOT_REPLY:
        return msg->snapshot_reply.to;
    default:
        return 0;
    }
}

uint64_t
RpReplica_Sender(const struct rp_msg *msg)
{
    switch (msg->type) {
    case RP_MSG_VOTE:
        return msg->vote.from;
    case RP_MSG_VOTE_REPLY:
        return msg->vote_reply.from;
    case RP_MSG_APPEND:
        return msg->append.from;
    case RP_MSG_APPEND_REPLY:
        return msg->append_reply.from;
    case RP_MSG_SNAPSHOT:
        return msg->snapshot.from;
    case RP_MSG_SNAPSHOT_REPLY:
        return msg->snapshot_reply.from;
    default:
        return 0;
    }
}

void
RpReplica_Receive(struct rp_replica *replica, int64_t now,
                  const struct rp_msg *msg)
{
    if (msg->type == RP_MSG_JOIN) {
        RpReplica_HandleJoin(replica, now, &msg->join.member, true);
        return;
    }
    if (recipient_of(msg) != replica->id) {
        return;
    }
    RpReplica_UnmarkLost(replica, RpReplica_Sender(msg));
    switch (msg->type) {
    case RP_MSG_VOTE:
        RpReplica_OnVoteRequest(replica, now, &msg->vote);
        break;
    case RP_MSG_VOTE_REPLY:
        RpReplica_OnVoteReply(replica, now, &msg->vote_reply);
        break;
    case RP_MSG_APPEND:
        RpReplica_OnAppend(replica, now, &msg->append);
        break;
    case RP_MSG_APPEND_REPLY:
        RpReplica_OnAppendReply(replica, now, &msg->append_reply);
        break;
    case RP_MSG_SNAPSHOT:
        RpReplica_OnSnapshot(replica, now, &msg->snapshot);
        break;
    default: /* RP_MSG_SNAPSHOT_REPLY: the other types have no recipient */
        RpReplica_OnSnapshotReply(replica, now, &msg->snapshot_reply);
    }
}

enum rp_code
RpReplica_Propose(struct rp_replica *replica, int64_t now,
                  const GString *command, uint64_t *index)
{
    if (replica->role != RP_REPLICA_LEADER) {
        return RP_ERR_NO_LEADER;
    }
    *index = RpReplica_AppendEntry(replica, RP_ENTRY_COMMAND, command)->index;
    RpReplica_AdvanceCommit(replica);
    RpReplica_BroadcastAppend(replica, now, false);
    return RP_OK;
}

uint64_t
RpReplica_StartRead(struct rp_replica *replica, int64_t now)
{
    uint64_t term = 0;

    if (replica->role != RP_REPLICA_LEADER ||
        !RpReplicaLog_TermAt(replica, replica->commit_index, &term) ||
        term != replica->term) {
        return 0;
    }
    RpReplica_BroadcastAppend(replica, now, true);
    return replica->round;
}

static bool
has_answered(const struct rp_peer *peer, uint64_t round)
{
    return peer->acked_round >= round;
}

size_t
RpReplica_CountAnswered(const struct rp_replica *replica, uint64_t round)
{
    return replica->role == RP_REPLICA_LEADER
               ? RpReplica_CountAgreeing(replica, replica->members,
                                         has_answered, round)
               : 0;
}

size_t
RpReplica_CountStored(const struct rp_replica *replica, uint64_t index)
{
    return replica->role == RP_REPLICA_LEADER
               ? RpReplica_CountAgreeing(replica, replica->members,
                                         RpReplica_HasStored, index)
               : 0;
}

bool
RpReplica_ReadIsSafe(const struct rp_replica *replica, uint64_t term,
                     uint64_t round)
{
    return replica->role == RP_REPLICA_LEADER && replica->term == term &&
           RpReplica_HasQuorum(replica, has_answered, round);
}

const struct rp_replica_member *
RpReplica_Leader(const struct rp_replica *replica)
{
    return RpReplica_FindMember(replica, replica->leader_id);
}

const struct rp_replica_member *
RpReplica_LiveLeader(const struct rp_replica *replica, int64_t now)
{
    bool alive = replica->role == RP_REPLICA_LEADER
                     ? RpReplica_IsFresh(replica, now)
                     : now - replica->last_leader_contact < RP_LEASE_US;

    return alive ? RpReplica_Leader(replica) : NULL;
}

void
RpReplica_OnDisconnect(struct rp_replica *replica, int64_t now, uint64_t id)
{
    struct rp_peer *peer = RpReplica_FindPeer(replica, id);

    if (peer) {
        peer->last_heard = MIN(peer->last_heard, now - RP_ELECTION_TIMEOUT_US);
    }
}

void
RpReplica_Leave(struct rp_replica *replica)
{
    replica->leaving = true;
}

bool
RpReplica_MayStop(const struct rp_replica *replica)
{
    if (!RpReplica_IsVoter(replica, replica->id)) {
        return replica->members_index <= replica->commit_index;
    }
    return !RpReplica_MayRemoveVoter(replica) &&
           RpReplica_VoterCount(replica) == replica->members->len;
}

void
RpReplica_Compact(struct rp_replica *replica, const GString *data)
{
    struct rp_snapshot snapshot = {
        .index = replica->last_applied,
        .members = RpReplicaLog_MembersAt(replica, replica->last_applied),
        .data = (GString *)data};
    bool known = RpReplicaLog_TermAt(replica, replica->last_applied,
                                     &snapshot.term);

    assert(known);
    RpReplicaLog_SetSnapshot(replica, &snapshot);
    g_array_free(snapshot.members, TRUE);
}

bool
RpReplica_IsFresh(const struct rp_replica *replica, int64_t now)
{
    uint64_t term = 0;

    if (replica->role == RP_REPLICA_LEADER) {
        RpReplicaLog_TermAt(replica, replica->commit_index, &term);
        return term == replica->term &&
               RpReplica_LastQuorumContact(replica) > now - RP_LEASE_US;
    }
    /* An append counts only if the leader's lease was valid and the leader
     * had committed an entry of its own term: otherwise another leader may
     * have committed entries that the sender does not know. */
    return replica->leader_id != 0 && replica->last_fresh_contact != 0 &&
           now - replica->last_fresh_contact < RP_LEASE_US &&
           replica->last_applied >= replica->leader_commit_index;
}

uint64_t
RpReplica_Id(const struct rp_replica *replica)
{
    return replica->id;
}

enum rp_replica_role
RpReplica_Role(const struct rp_replica *replica)
{
    return replica->role;
}

const char *
RpReplica_RoleName(const struct rp_replica *replica)
{
    switch (replica->role) {
    case RP_REPLICA_LEADER:
        return "leader";
    case RP_REPLICA_PRE_CANDIDATE:
    case RP_REPLICA_CANDIDATE:
        return "candidate";
    default:
        return RpReplica_IsVoter(replica, replica->id) ? "follower"
                                                       : "learner";
    }
}

uint64_t
RpReplica_Term(const struct rp_replica *replica)
{
    return replica->term;
}

uint64_t
RpReplica_CommitIndex(const struct rp_replica *replica)
{
    return replica->commit_index;
}

uint64_t
RpReplica_LastIndex(const struct rp_replica *replica)
{
    return RpReplicaLog_LastIndex(replica);
}

const GArray *
RpReplica_Members(const struct rp_replica *replica)
{
    return replica->members;
}

bool
RpReplica_IsMember(const struct rp_replica *replica)
{
    return RpReplica_FindMember(replica, replica->id) != NULL;
}

bool
RpReplica_WantsToJoin(const struct rp_replica *replica, int64_t now)
{
    return !RpReplica_IsMember(replica) ||
           (replica->role != RP_REPLICA_LEADER &&
            now - replica->last_leader_contact > RP_REJOIN_TIMEOUT_US);
}

uint64_t
RpReplica_LogBytes(const struct rp_replica *replica)
{
    uint64_t bytes = 0;

    for (guint i = 0; i < replica->log->len; i++) {
        const struct rp_log_entry *entry = g_ptr_array_index(replica->log, i);
        bytes += entry->data->len;
    }
    return bytes;
}

uint64_t
RpReplica_SnapshotBytes(const struct rp_replica *replica)
{
    return replica->snapshot
               ? replica->snapshot->data->len + replica->snapshot_bytes->len
               : 0;
}

uint64_t
RpReplica_VotedFor(const struct rp_replica *replica)
{
    return replica->voted_for;
}

const struct rp_snapshot *
RpReplica_Snapshot(const struct rp_replica *replica)
{
    return replica->snapshot;
}

size_t
RpReplica_EntryCount(const struct rp_replica *replica)
{
    return replica->log->len;
}

const struct rp_log_entry *
RpReplica_Entry(const struct rp_replica *replica, size_t position)
{
    return g_ptr_array_index(replica->log, position);
}
