/* The state of a replica and the functions that the rp_replica*.c files share;
 * not for other code. */
#ifndef RP_REPLICA_INTERNAL_H
#define RP_REPLICA_INTERNAL_H

#include "rp_replica.h"

/* What this replica knows about another member: a leader its replication
 * progress, a candidate its vote. */
struct rp_peer {
    uint64_t id;
    uint64_t next_index;  /* of the next entry to send */
    uint64_t match_index; /* last entry known to be stored there */
    uint64_t acked_round; /* newest round that it has answered */
    /* The newest round when the leader first found that the peer had caught
     * up; 0: it has not. */
    uint64_t caught_up_round;
    /* When that round was sent; at first, when the peer was added. */
    int64_t last_contact;
    int64_t last_heard; /* when its last reply of any kind came; same */
    /* Entries, or a chunk of the snapshot, are sent and not answered yet:
     * their last index, and the first round whose answer would come after
     * theirs. */
    bool data_in_flight;
    uint64_t in_flight_last;
    uint64_t in_flight_until_round;
    uint64_t told_commit_index; /* as far as the newest append to it reaches */
    uint64_t snapshot_offset;   /* of the next chunk to send */
    bool leaving;               /* it says that it is about to stop */
    bool vote_granted;          /* in the current vote or pre-vote */
    /* Its vote reply says that it has heard from no leader since its start, or
     * its process is gone, because another one asks to join from its
     * address. */
    bool restarted;
};

struct rp_replica {
    uint64_t id;
    size_t min_voters; /* 0: not known */
    bool leaving;      /* about to stop, as planned */
    GRand *rng;        /* for random election timeouts */
    GArray *actions;   /* of struct rp_replica_action */

    /* Stored by store actions, and loaded after a restart. */
    uint64_t term;
    uint64_t voted_for;
    GPtrArray *log; /* of struct rp_log_entry, after the snapshot */
    struct rp_snapshot *snapshot;
    GString *snapshot_bytes; /* `snapshot` encoded, for sending */

    /* Lost with the process. */
    enum rp_replica_role role;
    uint64_t leader_id; /* 0: unknown */
    uint64_t commit_index;
    uint64_t last_applied;
    uint64_t leader_commit_index; /* as of `last_fresh_contact` */
    GArray *members;              /* of struct rp_replica_member */
    GArray *previous_members;     /* same, of the list before; may be empty */
    GArray *lost;                 /* of uint64_t: ids of members whose disk is
                                   * lost, some of them former members */
    GArray *peers;                /* of struct rp_peer */
    uint64_t last_leader_id;      /* of the leader heard last; 0: none */
    int64_t last_leader_contact;  /* when a leader's last message came */
    int64_t last_fresh_contact;   /* same, of a leader with a valid lease */
    bool lease_is_valid;          /* leader: as of the last event */
    int64_t election_deadline;
    bool no_leader_since_start; /* neither heard from one nor become one */
    int64_t startup_pre_vote_deadline;
    int64_t heartbeat_deadline;
    uint64_t round;             /* leader: number of the newest broadcast */
    GArray *round_send_times;   /* of int64_t, of the newest rounds */
    uint64_t members_index;     /* of the entry that lists `members` */
    GString *incoming_snapshot; /* the bytes received so far, or NULL */
    uint64_t incoming_snapshot_index;
};

/* rp_replica_log.c: the log in memory. */
/* Index and term of the last entry, or of the snapshot if no entry follows it;
 * 0 if the log is empty. */
uint64_t RpReplicaLog_LastIndex(const struct rp_replica *replica);
uint64_t RpReplicaLog_LastTerm(const struct rp_replica *replica);
/* Sets `*term` to the term of an entry. Returns false if the log does not hold
 * the entry: it was compacted or is not written yet. */
bool RpReplicaLog_TermAt(const struct rp_replica *replica, uint64_t index,
                         uint64_t *term);
/* Returns an entry, which the log owns; NULL if the log does not hold it. */
const struct rp_log_entry *
RpReplicaLog_EntryAt(const struct rp_replica *replica, uint64_t index);
/* Appends a copy of `entry`, which has the next index, without a store
 * action. Returns the copy. */
const struct rp_log_entry *
RpReplicaLog_Append(struct rp_replica *replica,
                    const struct rp_log_entry *entry);
/* Deletes the entries from `index` on, none of which is committed, without a
 * store action. */
void RpReplicaLog_Truncate(struct rp_replica *replica, uint64_t index);
/* Replaces the log up to the snapshot's index by a copy of it. Entries after
 * it stay if the log agrees with the snapshot. */
void RpReplicaLog_SetSnapshot(struct rp_replica *replica,
                              const struct rp_snapshot *snapshot);
/* Frees a snapshot that RpReplicaLog_CopySnapshot made; NULL is allowed. */
void RpReplicaLog_FreeSnapshot(struct rp_snapshot *snapshot);
struct rp_snapshot *
RpReplicaLog_CopySnapshot(const struct rp_snapshot *snapshot);
/* Returns the members (struct rp_replica_member) as of the entry at `index`,
 * without later changes. Free the list with g_array_free. */
GArray *RpReplicaLog_MembersAt(const struct rp_replica *replica,
                               uint64_t index);
/* Sets the members from the newest entry that lists them, or else from the
 * snapshot, and the previous members from the one before. */
void RpReplicaLog_RefreshMembers(struct rp_replica *replica);

/* rp_replica.c: actions, the term and the role, members and quorum. */
/* Adds an empty action of this kind, for the caller to fill in. */
struct rp_replica_action *
RpReplica_AddAction(struct rp_replica *replica,
                    enum rp_replica_action_kind kind);
/* Adds an action that sends `msg`, and takes over what it owns. */
void RpReplica_QueueMessage(struct rp_replica *replica, uint64_t to,
                            struct rp_msg *msg);
/* Becomes a follower of `leader` (0: unknown); a higher `term` becomes the
 * current term, with no vote cast in it. */
void RpReplica_BecomeFollower(struct rp_replica *replica, int64_t now,
                              uint64_t term, uint64_t leader);
/* Adds an action that stores the term and the vote. */
void RpReplica_StoreVote(struct rp_replica *replica);
/* Restarts the election timer with a new random timeout. */
void RpReplica_ResetElectionTimer(struct rp_replica *replica, int64_t now);
/* Adds apply actions for the committed entries that are not applied yet. */
void RpReplica_ApplyCommitted(struct rp_replica *replica);
/* Appends a new entry of the current term, with a copy of `data` (NULL:
 * empty), and adds the action that stores it. */
const struct rp_log_entry *RpReplica_AppendEntry(struct rp_replica *replica,
                                                 enum rp_entry_kind kind,
                                                 const GString *data);
/* Returns the peer with this id, or NULL. */
struct rp_peer *RpReplica_FindPeer(struct rp_replica *replica, uint64_t id);
bool RpReplica_IsVoter(const struct rp_replica *replica, uint64_t id);

/* rp_replica_quorum.c: quorums, and voters whose disk is lost. */
/* Whether this replica and the peers for which `agrees(peer, value)` holds are
 * a quorum. */
bool RpReplica_HasQuorum(const struct rp_replica *replica,
                         bool (*agrees)(const struct rp_peer *, uint64_t),
                         uint64_t value);
/* Counts the voters of `members` that agree, this replica among them. */
size_t RpReplica_CountAgreeing(
    const struct rp_replica *replica, const GArray *members,
    bool (*agrees)(const struct rp_peer *, uint64_t), uint64_t value);
/* Whether the vote of the replica with this id may count, now or once a change
 * of the voters is committed. */
bool RpReplica_MayVote(const struct rp_replica *replica, uint64_t id);
/* Whether the voters differ from those of the list before. */
bool RpReplica_VotersChanged(const struct rp_replica *replica);
/* Records that the disk of `member` is lost, and reports it. */
void RpReplica_MarkLost(struct rp_replica *replica,
                        const struct rp_replica_member *member);
/* Records that the disk of a member is lost if `newcomer`, a replica that is
 * no member, asks to join from its address. */
void RpReplica_MarkLostMembers(struct rp_replica *replica,
                               const struct rp_replica_member *newcomer);
/* Records that the replica with this id has its disk: it sent a message. */
void RpReplica_UnmarkLost(struct rp_replica *replica, uint64_t id);

/* rp_replica_vote.c: pre-votes and elections. */
/* Whether a quorum has granted the current vote or pre-vote; this replica
 * grants its own. */
bool RpReplica_HasVotes(const struct rp_replica *replica);
/* Forgets the votes granted so far and sends a request to all voters, or to
 * all members for a startup pre-vote. */
void RpReplica_SendVoteRequests(struct rp_replica *replica, uint64_t term,
                                enum rp_vote_kind kind);
/* Becomes a candidate of the next term, votes for itself and sends vote
 * requests of this kind. */
void RpReplica_StartElection(struct rp_replica *replica, int64_t now,
                             enum rp_vote_kind kind);
/* Answers a vote, a pre-vote or a startup pre-vote. */
void RpReplica_SendVoteReply(struct rp_replica *replica,
                             const struct rp_msg_vote *vote, bool granted);
/* Whether the candidate's log is at least as up to date as this replica's. */
bool RpReplica_IsCandidateUpToDate(const struct rp_replica *replica,
                                   const struct rp_msg_vote *vote);
/* Sends a pre-vote; a majority of grants starts the election. */
void RpReplica_StartPreVote(struct rp_replica *replica, int64_t now);
/* These handle a message of this kind that is addressed to this replica, here
 * and below. A higher term in a reply makes this replica a follower. */
void RpReplica_OnVoteRequest(struct rp_replica *replica, int64_t now,
                             const struct rp_msg_vote *vote);
void RpReplica_OnVoteReply(struct rp_replica *replica, int64_t now,
                           const struct rp_msg_vote_reply *reply);

/* rp_replica_startup.c: elections right after a start. */
/* Sends a startup pre-vote if one is due. */
void RpReplica_StartupTick(struct rp_replica *replica, int64_t now);
void RpReplica_OnStartupPreVote(struct rp_replica *replica,
                                const struct rp_msg_vote *vote);
void RpReplica_OnStartupPreVoteReply(struct rp_replica *replica, int64_t now,
                                     const struct rp_msg_vote_reply *reply);
/* Records that the process of any other member at the address of `successor`
 * is gone, because another process uses that address now. If that was the last
 * member not known to have restarted, and the startup pre-vote has a majority,
 * starts the election. Does nothing if this replica has had a leader since its
 * start. */
void RpReplica_MarkReplacedMembers(struct rp_replica *replica, int64_t now,
                                   const struct rp_replica_member *successor);

/* rp_replica_lead.c: the leader's side. */
/* Becomes the leader of the current term and appends an empty entry, whose
 * commit also commits the entries of earlier terms. */
void RpReplica_BecomeLeader(struct rp_replica *replica, int64_t now);
/* Removes peers that are no longer members and adds those that are new. */
void RpReplica_UpdatePeers(struct rp_replica *replica, int64_t now);
/* Starts a round: sends the next entries to the peers that lack some and have
 * none in flight, and if it is a heartbeat an empty append to the others. */
void RpReplica_BroadcastAppend(struct rp_replica *replica, int64_t now,
                               bool heartbeat);
/* Steps down if no majority has answered for RP_ELECTION_TIMEOUT_US; changes
 * the members if that is due, whether or not other traffic puts off the
 * heartbeats; sends heartbeats that are due. */
void RpReplica_LeaderTick(struct rp_replica *replica, int64_t now);
/* Whether the peer is known to store the entry. */
bool RpReplica_HasStored(const struct rp_peer *peer, uint64_t index);
/* Raises the commit index to the last entry that a quorum has stored, if
 * that entry is of the current term, and applies what is committed. */
void RpReplica_AdvanceCommit(struct rp_replica *replica);
/* Returns when the newest round that a majority has answered was sent;
 * RP_NEVER if the leader is the only voter. */
int64_t RpReplica_LastQuorumContact(const struct rp_replica *replica);
void RpReplica_OnAppendReply(struct rp_replica *replica, int64_t now,
                             const struct rp_msg_append_reply *reply);
void RpReplica_OnSnapshotReply(struct rp_replica *replica, int64_t now,
                               const struct rp_msg_snapshot_reply *reply);

/* rp_replica_follow.c: the follower's side. */
void RpReplica_OnAppend(struct rp_replica *replica, int64_t now,
                        const struct rp_msg_append *append);
void RpReplica_OnSnapshot(struct rp_replica *replica, int64_t now,
                          const struct rp_msg_snapshot *chunk);

/* rp_replica_members.c: changes of the members. */
/* On the leader: starts the next change that is due, if any: makes a learner
 * that has caught up a voter, takes the vote of a member that does not answer
 * or is about to stop, or removes a silent learner. */
void RpReplica_UpdateMembers(struct rp_replica *replica, int64_t now);
/* Whether the peer's log lags by a few entries at most. */
bool RpReplica_IsCaughtUp(const struct rp_replica *replica,
                          const struct rp_peer *peer);
/* On the leader: once a change of the voters is committed, appends the list
 * once more, to show that to those that hold it. The entry goes out with the
 * next round. */
void RpReplica_ConfirmMembers(struct rp_replica *replica);
/* Whether the group may go on with one voter less. */
bool RpReplica_MayRemoveVoter(const struct rp_replica *replica);

#endif
