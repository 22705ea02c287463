/* Elections: a trial round first, then the votes. */
#include "rp_replica_internal.h"

static size_t
count_granted(const struct rp_replica *replica)
{
    size_t granted = RpReplica_IsVoter(replica, replica->id);

    for (guint i = 0; i < replica->peers->len; i++) {
        const struct rp_peer *peer = &g_array_index(replica->peers,
                                                    struct rp_peer, i);
        granted += peer->granted && RpReplica_IsVoter(replica, peer->id);
    }
    return granted;
}

static void
ask_for_votes(struct rp_replica *replica, uint64_t term, bool trial)
{
    for (guint i = 0; i < replica->peers->len; i++) {
        struct rp_peer *peer = &g_array_index(replica->peers, struct rp_peer,
                                              i);
        struct rp_msg msg = {.type = RP_MSG_VOTE,
                             .vote = {.from = replica->id,
                                      .to = peer->id,
                                      .term = term,
                                      .trial = trial,
                                      .last_index = RpLog_LastIndex(replica),
                                      .last_term = RpLog_LastTerm(replica)}};
        peer->granted = false;
        if (RpReplica_IsVoter(replica, peer->id)) {
            RpReplica_SendTo(replica, peer->id, &msg);
        }
    }
}

static void
start_election(struct rp_replica *replica, int64_t now)
{
    replica->role = RP_REPLICA_CANDIDATE;
    replica->leader = 0;
    replica->term++;
    replica->voted_for = replica->id;
    RpReplica_StoreVote(replica);
    ask_for_votes(replica, replica->term, false);
    if (count_granted(replica) >= RpReplica_Quorum(replica)) {
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
    ask_for_votes(replica, replica->term + 1, true);
    if (count_granted(replica) >= RpReplica_Quorum(replica)) {
        start_election(replica, now);
    }
}

static bool
is_up_to_date(const struct rp_replica *replica, const struct rp_msg_vote *vote)
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
RpReplica_OnVote(struct rp_replica *replica, int64_t now,
                 const struct rp_msg_vote *vote)
{
    bool free_to = !has_leader(replica, now);
    bool granted = false;

    if (!vote->trial && free_to && vote->term > replica->term) {
        RpReplica_BecomeFollower(replica, now, vote->term, 0);
    }
    if (vote->trial) {
        granted = free_to && vote->term > replica->term &&
                  is_up_to_date(replica, vote);
    }
    else if (free_to && vote->term == replica->term &&
             (replica->voted_for == 0 || replica->voted_for == vote->from) &&
             is_up_to_date(replica, vote)) {
        granted = true;
        replica->voted_for = vote->from;
        RpReplica_StoreVote(replica);
        RpReplica_ResetElection(replica, now);
    }
    struct rp_msg reply = {
        .type = RP_MSG_VOTE_REPLY,
        .vote_reply = {.from = replica->id,
                       .to = vote->from,
                       .term = granted ? vote->term : replica->term,
                       .trial = vote->trial,
                       .granted = granted}};
    RpReplica_SendTo(replica, vote->from, &reply);
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
    if (reply->trial && replica->role == RP_REPLICA_TRIAL &&
        reply->term == replica->term + 1) {
        peer->granted = true;
        if (count_granted(replica) >= RpReplica_Quorum(replica)) {
            start_election(replica, now);
        }
    }
    if (!reply->trial && replica->role == RP_REPLICA_CANDIDATE &&
        reply->term == replica->term) {
        peer->granted = true;
        if (count_granted(replica) >= RpReplica_Quorum(replica)) {
            RpReplica_StartLeading(replica, now);
        }
    }
}
