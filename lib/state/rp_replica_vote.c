/* Elections: a pre-vote, then the election proper. The pre-vote asks the
 * voters whether they would grant a vote in the next term and changes no
 * term, so a replica that cannot win does not depose a working leader.
 * rp_replica_startup.c holds the faster election of a group whose members have
 * all just started. */
#include "rp_replica_internal.h"

static bool
has_granted_vote(const struct rp_peer *peer, uint64_t unused)
{
    (void)unused;
    return peer->vote_granted;
}

bool
RpReplica_HasVotes(const struct rp_replica *replica)
{
    return RpReplica_HasQuorum(replica, has_granted_vote, 0);
}

void
RpReplica_SendVoteRequests(struct rp_replica *replica, uint64_t term,
                           enum rp_vote_kind kind)
{
    for (guint i = 0; i < replica->peers->len; i++) {
        struct rp_peer *peer = &g_array_index(replica->peers, struct rp_peer,
                                              i);
        struct rp_msg msg = {
            .type = RP_MSG_VOTE,
            .vote = {.from = replica->id,
                     .to = peer->id,
                     .term = term,
                     .kind = (uint8_t)kind,
                     .last_index = RpReplicaLog_LastIndex(replica),
                     .last_term = RpReplicaLog_LastTerm(replica)}};
        peer->vote_granted = false;
        if (kind == RP_VOTE_STARTUP_PRE_VOTE ||
            RpReplica_MayVote(replica, peer->id)) {
            RpReplica_QueueMessage(replica, peer->id, &msg);
        }
    }
}

void
RpReplica_StartElection(struct rp_replica *replica, int64_t now,
                        enum rp_vote_kind kind)
{
    replica->role = RP_REPLICA_CANDIDATE;
    replica->leader_id = 0;
    replica->term++;
    replica->voted_for = replica->id;
    RpReplica_StoreVote(replica);
    RpReplica_SendVoteRequests(replica, replica->term, kind);
    if (RpReplica_HasVotes(replica)) {
        RpReplica_BecomeLeader(replica, now);
    }
}

void
RpReplica_StartPreVote(struct rp_replica *replica, int64_t now)
{
    replica->role = RP_REPLICA_PRE_CANDIDATE;
    replica->leader_id = 0;
    RpReplica_ResetElectionTimer(replica, now);
    RpReplica_UpdatePeers(replica, now);
    RpReplica_SendVoteRequests(replica, replica->term + 1, RP_VOTE_PRE_VOTE);
    if (RpReplica_HasVotes(replica)) {
        RpReplica_StartElection(replica, now, RP_VOTE_REAL);
    }
}

bool
RpReplica_IsCandidateUpToDate(const struct rp_replica *replica,
                              const struct rp_msg_vote *vote)
{
    uint64_t last_term = RpReplicaLog_LastTerm(replica);

    return vote->last_term > last_term ||
           (vote->last_term == last_term &&
            vote->last_index >= RpReplicaLog_LastIndex(replica));
}

/* Whether this replica has evidence of a working leader within the last
 * election timeout. A leader counts itself while a majority answers it. */
static bool
has_live_leader(const struct rp_replica *replica, int64_t now)
{
    if (replica->role == RP_REPLICA_LEADER) {
        return RpReplica_LastQuorumContact(replica) >
               now - RP_ELECTION_TIMEOUT_US;
    }
    return now - replica->last_leader_contact < RP_ELECTION_TIMEOUT_US;
}

void
RpReplica_SendVoteReply(struct rp_replica *replica,
                        const struct rp_msg_vote *vote, bool granted)
{
    struct rp_msg reply = {
        .type = RP_MSG_VOTE_REPLY,
        .vote_reply = {.from = replica->id,
                       .to = vote->from,
                       .term = granted ? vote->term : replica->term,
                       .kind = vote->kind,
                       .granted = granted}};

    RpReplica_QueueMessage(replica, vote->from, &reply);
}

/* Grants or refuses a pre-vote. This changes neither the term nor the stored
 * vote. */
static void
handle_pre_vote(struct rp_replica *replica, int64_t now,
                const struct rp_msg_vote *vote)
{
    RpReplica_SendVoteReply(replica, vote,
                            !has_live_leader(replica, now) &&
                                vote->term > replica->term &&
                                RpReplica_IsCandidateUpToDate(replica, vote));
}

/* Grants or refuses a vote that counts; stores the vote before the reply. */
static void
handle_vote_request(struct rp_replica *replica, int64_t now,
                    const struct rp_msg_vote *vote)
{
    /* A replica that has not heard from a leader since its start refuses
     * votes only because a leader from before the start may still hold a
     * lease. A candidate that has found that every member has restarted
     * knows that no such leader exists. */
    bool may_ignore_leader = vote->kind == RP_VOTE_ALL_RESTARTED &&
                             replica->no_leader_since_start;
    bool may_vote = may_ignore_leader || !has_live_leader(replica, now);
    bool granted = false;

    if (may_vote && vote->term > replica->term) {
        RpReplica_BecomeFollower(replica, now, vote->term, 0);
    }
    if (may_vote && vote->term == replica->term &&
        (replica->voted_for == 0 || replica->voted_for == vote->from) &&
        RpReplica_IsCandidateUpToDate(replica, vote)) {
        granted = true;
        replica->voted_for = vote->from;
        RpReplica_StoreVote(replica);
        RpReplica_ResetElectionTimer(replica, now);
    }
    RpReplica_SendVoteReply(replica, vote, granted);
}

void
RpReplica_OnVoteRequest(struct rp_replica *replica, int64_t now,
                        const struct rp_msg_vote *vote)
{
    switch ((enum rp_vote_kind)vote->kind) {
    case RP_VOTE_STARTUP_PRE_VOTE:
        RpReplica_OnStartupPreVote(replica, vote);
        break;
    case RP_VOTE_PRE_VOTE:
        handle_pre_vote(replica, now, vote);
        break;
    case RP_VOTE_REAL:
    case RP_VOTE_ALL_RESTARTED:
        handle_vote_request(replica, now, vote);
        break;
    }
}

/* Counts a granted pre-vote; a quorum starts the election. */
static void
handle_pre_vote_reply(struct rp_replica *replica, int64_t now,
                      struct rp_peer *peer,
                      const struct rp_msg_vote_reply *reply)
{
    if (replica->role != RP_REPLICA_PRE_CANDIDATE ||
        reply->term != replica->term + 1) {
        return;
    }
    peer->vote_granted = true;
    if (RpReplica_HasVotes(replica)) {
        RpReplica_StartElection(replica, now, RP_VOTE_REAL);
    }
}

/* Counts a granted vote; a quorum makes this replica the leader. */
static void
handle_vote_reply(struct rp_replica *replica, int64_t now,
                  struct rp_peer *peer, const struct rp_msg_vote_reply *reply)
{
    if (replica->role != RP_REPLICA_CANDIDATE ||
        reply->term != replica->term) {
        return;
    }
    peer->vote_granted = true;
    if (RpReplica_HasVotes(replica)) {
        RpReplica_BecomeLeader(replica, now);
    }
}

void
RpReplica_OnVoteReply(struct rp_replica *replica, int64_t now,
                      const struct rp_msg_vote_reply *reply)
{
    struct rp_peer *peer = RpReplica_FindPeer(replica, reply->from);

    if (!reply->granted && reply->term > replica->term) {
        RpReplica_BecomeFollower(replica, now, reply->term, 0);
        return;
    }
    if (!peer || !reply->granted) {
        return;
    }
    switch ((enum rp_vote_kind)reply->kind) {
    case RP_VOTE_STARTUP_PRE_VOTE:
        RpReplica_OnStartupPreVoteReply(replica, now, reply);
        break;
    case RP_VOTE_PRE_VOTE:
        handle_pre_vote_reply(replica, now, peer, reply);
        break;
    case RP_VOTE_REAL:
    case RP_VOTE_ALL_RESTARTED:
        handle_vote_reply(replica, now, peer, reply);
        break;
    }
}
