/* The replica's own parts, shared by the rp_replica*.c files. */
#ifndef RP_REPLICA_INTERNAL_H
#define RP_REPLICA_INTERNAL_H

#include "rp_replica.h"

/* What a leader knows of another member, and a candidate of a voter. */
struct rp_peer {
    uint64_t id;
    uint64_t next;   /* index to send next */
    uint64_t match;  /* last index known to be stored there */
    uint64_t round;  /* last contact that it has answered */
    int64_t contact; /* when that contact was sent */
    bool waiting;    /* an append is under way */
    uint64_t snapshot_offset;
    bool granted;
    bool restarted; /* has said so, or another process has its address */
};

struct rp_replica {
    uint64_t id;
    GRand *dice;
    GArray *actions; /* of struct rp_replica_action */

    /* Stored. */
    uint64_t term;
    uint64_t voted_for;
    GPtrArray *log; /* of struct rp_log_entry, behind the snapshot */
    struct rp_snapshot *snapshot;
    GString *snapshot_bytes; /* the same, encoded, for sending */

    /* Not stored. */
    enum rp_replica_role role;
    uint64_t leader;
    uint64_t committed;
    uint64_t applied;
    uint64_t leader_committed; /* as of the last contact */
    GArray *members;           /* of struct rp_replica_member */
    GArray *peers;             /* of struct rp_peer */
    int64_t leader_seen;       /* last contact with a leader */
    int64_t fresh_seen;        /* the last one while its lease held */
    bool lease_holds;          /* leader: as of the last event */
    int64_t election_deadline;
    bool restarted; /* has not known a leader since its start */
    int64_t start_trial_deadline;
    int64_t heartbeat_deadline;
    uint64_t round;
    GArray *round_times;    /* of int64_t, for the last rounds */
    uint64_t members_index; /* entry that the members come from */
    GString *incoming;      /* snapshot that is being received */
    uint64_t incoming_index;
};

/* rp_replica_log.c */
uint64_t RpLog_LastIndex(const struct rp_replica *replica);
uint64_t RpLog_LastTerm(const struct rp_replica *replica);
/* The term of an entry; false if it is not there (compacted or future). */
bool RpLog_TermAt(const struct rp_replica *replica, uint64_t index,
                  uint64_t *term);
const struct rp_log_entry *RpLog_At(const struct rp_replica *replica,
                                    uint64_t index);
/* Adds a copy at the end, without a store action. */
const struct rp_log_entry *RpLog_Add(struct rp_replica *replica,
                                     const struct rp_log_entry *entry);
void RpLog_Truncate(struct rp_replica *replica, uint64_t index);
void RpLog_SetSnapshot(struct rp_replica *replica,
                       const struct rp_snapshot *snapshot);
void RpLog_FreeSnapshot(struct rp_snapshot *snapshot);
struct rp_snapshot *RpLog_CopySnapshot(const struct rp_snapshot *snapshot);
/* The members as of an entry: a later change of them is not in it. Free the
 * list with g_array_free. */
GArray *RpLog_MembersAt(const struct rp_replica *replica, uint64_t index);
/* Takes the members from the newest entry or snapshot that has them. */
void RpLog_RefreshMembers(struct rp_replica *replica);

/* rp_replica.c */
struct rp_replica_action *RpReplica_Act(struct rp_replica *replica,
                                        enum rp_replica_action_kind kind);
void RpReplica_SendTo(struct rp_replica *replica, uint64_t to,
                      struct rp_msg *msg);
void RpReplica_BecomeFollower(struct rp_replica *replica, int64_t now,
                              uint64_t term, uint64_t leader);
void RpReplica_StoreVote(struct rp_replica *replica);
void RpReplica_ResetElection(struct rp_replica *replica, int64_t now);
void RpReplica_ApplyCommitted(struct rp_replica *replica);
/* Leader: adds an entry of its term and stores it. */
const struct rp_log_entry *RpReplica_AppendOwn(struct rp_replica *replica,
                                               enum rp_entry_kind kind,
                                               const GString *data);
const struct rp_replica_member *
RpReplica_FindMember(const struct rp_replica *replica, uint64_t id);
/* A peer by id, or NULL. */
struct rp_peer *RpReplica_FindPeer(struct rp_replica *replica, uint64_t id);
bool RpReplica_IsVoter(const struct rp_replica *replica, uint64_t id);
size_t RpReplica_Quorum(const struct rp_replica *replica);

/* rp_replica_vote.c */
size_t RpReplica_CountGranted(const struct rp_replica *replica);
/* Asks the voters, or all members in a trial after a start. */
void RpReplica_AskForVotes(struct rp_replica *replica, uint64_t term,
                           enum rp_vote_kind kind);
void RpReplica_StartElection(struct rp_replica *replica, int64_t now,
                             enum rp_vote_kind kind);
void RpReplica_ReplyVote(struct rp_replica *replica,
                         const struct rp_msg_vote *vote, bool granted);
bool RpReplica_IsUpToDate(const struct rp_replica *replica,
                          const struct rp_msg_vote *vote);
void RpReplica_StartTrial(struct rp_replica *replica, int64_t now);
void RpReplica_OnVote(struct rp_replica *replica, int64_t now,
                      const struct rp_msg_vote *vote);
void RpReplica_OnVoteReply(struct rp_replica *replica, int64_t now,
                           const struct rp_msg_vote_reply *reply);

/* rp_replica_start.c: elections right after a start. */
void RpReplica_StartTick(struct rp_replica *replica, int64_t now);
void RpReplica_OnStartTrial(struct rp_replica *replica,
                            const struct rp_msg_vote *vote);
void RpReplica_OnStartTrialReply(struct rp_replica *replica, int64_t now,
                                 const struct rp_msg_vote_reply *reply);
/* Another process listens at this address now. */
void RpReplica_NoteSuccessor(struct rp_replica *replica, int64_t now,
                             const struct rp_replica_member *successor);

/* rp_replica_lead.c */
void RpReplica_StartLeading(struct rp_replica *replica, int64_t now);
void RpReplica_SyncPeers(struct rp_replica *replica, int64_t now);
void RpReplica_Broadcast(struct rp_replica *replica, int64_t now,
                         bool heartbeat);
void RpReplica_LeaderTick(struct rp_replica *replica, int64_t now);
void RpReplica_AdvanceCommit(struct rp_replica *replica);
/* When a majority was last in contact; RP_NEVER if the leader is alone. */
int64_t RpReplica_QuorumContact(const struct rp_replica *replica);
void RpReplica_OnAppendReply(struct rp_replica *replica, int64_t now,
                             const struct rp_msg_append_reply *reply);
void RpReplica_OnSnapshotReply(struct rp_replica *replica, int64_t now,
                               const struct rp_msg_snapshot_reply *reply);

/* rp_replica_follow.c */
void RpReplica_OnAppend(struct rp_replica *replica, int64_t now,
                        const struct rp_msg_append *append);
void RpReplica_OnSnapshot(struct rp_replica *replica, int64_t now,
                          const struct rp_msg_snapshot *part);

/* rp_replica_members.c */
void RpReplica_PromoteLearner(struct rp_replica *replica, int64_t now);

#endif
