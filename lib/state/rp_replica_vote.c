/* Elections: a trial round first, then the votes. Those of a group that has
 * just started are in rp_replica_start.c. */
#include "rp_replica_internal.h"

size_t
RpReplica_CountGranted(const struct rp_replica *replica)
{
    size_t granted = RpReplica_IsVoter(replica, replica->id);

    for (guint i = 0; i < replica->peers->len; i++) {
        const struct rp_peer *peer = &g_array_index(replica->peers,
                                                    struct rp_peer, i);
        granted += peer->granted && RpReplica_IsVoter(replica, peer->id);
    }
    return granted;
}

void
RpReplica_AskForVotes(struct rp_replica *replica, uint64_t term,
                      enum rp_vote_kind kind)
{
    for (guint i = 0; i < replica->peers->len; i++) {
        struct rp_peer *peer = &g_array_index(replica->peers, struct rp_peer,
                                              i);
        struct rp_msg msg = {.type = RP_MSG_VOTE,
                             .vote = {.from = replica->id,
                                      .to = peer->id,
                                      .term = term,
                                      .kind = (uint8_t)kind,
                                      .last_index = RpLog_LastIndex(replica),
                                      .last_term = RpLog_LastTerm(replica)}};
        peer->granted = false;
        if (kind == RP_VOTE_START_TRIAL ||
            RpReplica_IsVoter(replica, peer->id)) {
            RpReplica_SendTo(replica, peer->id, &msg);
        }
    }
}

void
RpReplica_StartElection(struct rp_replica *replica, int64_t now,
                        enum rp_vote_kind kind)
{
    replica->role = RP_REPLICA_CANDIDATE;
    replica->leader = 0;
    replica->term++;
    replica->voted_for = replica->id;
    RpReplica_StoreVote(replica);
    RpReplica_AskForVotes(replica, replica->term, kind);
    if (RpReplica_CountGranted(replica) >= RpReplica_Quorum(replica)) {
        RpReplica_StartLeading(replica, now);
    }
}

void
RpReplica_StartTrial(struct rp_replica *replica, int64_t now)
{
    replica->role = RP_REPLICA_TRIAL;
    replica->leader = 0;
    RpReplica_ResetElection(replica, now);
    RpReplica_SyncPeers(replica, now);
    RpReplica_AskForVotes(replica, replica->term + 1, RP_VOTE_TRIAL);
    if (RpReplica_CountGranted(replica) >= RpReplica_Quorum(replica)) {
        RpReplica_StartElection(replica, now, RP_VOTE_REAL);
    }
}

bool
RpReplica_IsUpToDate(const struct rp_replica *replica,
                     const struct rp_msg_vote *vote)
{
    uint64_t last_term = RpLog_LastTerm(replica);

    return vote->last_term > last_term ||
           (vote->last_term == last_term &&
            vote->last_index >= RpLog_LastIndex(replica));
}

/* Whether a leader is at work, as far as this replica knows. */
static bool
has_leader(const struct rp_replica *replica, int64_t now)
{
    if (replica->role == RP_REPLICA_LEADER) {
        return RpReplica_QuorumContact(replica) > now - RP_ELECTION_US;
    }
    return now - replica->leader_seen < RP_ELECTION_US;
}

void
RpReplica_ReplyVote(struct rp_replica *replica, const struct rp_msg_vote *vote,
                    bool granted)
{
    struct rp_msg reply = {
        .type = RP_MSG_VOTE_REPLY,
        .vote_reply = {.from = replica->id,
                       .to = vote->from,
                       .term = granted ? vote->term : replica->term,
                       .kind = vote->kind,
                       .granted = granted}};

    RpReplica_SendTo(replica, vote->from, &reply);
}

static void
on_trial(struct rp_replica *replica, int64_t now,
         const struct rp_msg_vote *vote)
{
    RpReplica_ReplyVote(replica, vote,
                        !has_leader(replica, now) &&
                            vote->term > replica->term &&
                            RpReplica_IsUpToDate(replica, vote));
}

static void
on_real_vote(struct rp_replica *replica, int64_t now,
             const struct rp_msg_vote *vote)
{
    /* Of what this process knows, only the time since its start speaks for a
     * leader, and the candidate knows that there is none. */
    bool knows_better = vote->kind == RP_VOTE_AFTER_START &&
                        replica->restarted;
    bool free_to = knows_better || !has_leader(replica, now);
    bool granted = false;

    if (free_to && vote->term > replica->term) {
        RpReplica_BecomeFollower(replica, now, vote->term, 0);
    }
    if (free_to && vote->term == replica->term &&
        (replica->voted_for == 0 || replica->voted_for == vote->from) &&
        RpReplica_IsUpToDate(replica, vote)) {
        granted = true;
        replica->voted_for = vote->from;
        RpReplica_StoreVote(replica);
        RpReplica_ResetElection(replica, now);
    }
    RpReplica_ReplyVote(replica, vote, granted);
}

void
RpReplica_OnVote(struct rp_replica *replica, int64_t now,
                 const struct rp_msg_vote *vote)
{
    switch ((enum rp_vote_kind)vote->kind) {
    case RP_VOTE_START_TRIAL:
        RpReplica_OnStartTrial(replica, vote);
        break;
    case RP_VOTE_TRIAL:
        on_trial(replica, now, vote);
        break;
    case RP_VOTE_REAL:
    case RP_VOTE_AFTER_START:
        on_real_vote(replica, now, vote);
        break;
    }
}

static void
on_trial_reply(struct rp_replica *replica, int64_t now, struct rp_peer *peer,
               const struct rp_msg_vote_reply *reply)
{
    if (replica->role != RP_REPLICA_TRIAL ||
        reply->term != replica->term + 1) {
        return;
    }
    peer->granted = true;
    if (RpReplica_CountGranted(replica) >= RpReplica_Quorum(replica)) {
        RpReplica_StartElection(replica, now, RP_VOTE_REAL);
    }
}

static void
on_real_reply(struct rp_replica *replica, int64_t now, struct rp_peer *peer,
              const struct rp_msg_vote_reply *reply)
{
    if (replica->role != RP_REPLICA_CANDIDATE ||
        reply->term != replica->term) {
        return;
    }
    peer->granted = true;
    if (RpReplica_CountGranted(replica) >= RpReplica_Quorum(replica)) {
        RpReplica_StartLeading(replica, now);
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
    case RP_VOTE_START_TRIAL:
        RpReplica_OnStartTrialReply(replica, now, reply);
        break;
    case RP_VOTE_TRIAL:
        on_trial_reply(replica, now, peer, reply);
        break;
    case RP_VOTE_REAL:
    case RP_VOTE_AFTER_START:
        on_real_reply(replica, now, peer, reply);
        break;
    }
}
