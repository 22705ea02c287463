/* Elections right after a start.
 *
 * A replica must not vote as soon as it starts: it may have acknowledged a
 * leader before it stopped, and that leader may still run and rely on its
 * lease. If every member's process has restarted, no such leader exists and
 * there is no lease to wait for. To find that out, a replica that has not
 * heard from a leader since its start sends a startup pre-vote to all
 * members, learners included. A member grants it only if it has not heard
 * from a leader since its own start. The startup pre-vote succeeds once every
 * other member is known to have restarted and a majority of the voters has
 * granted it. A member that lost its disk has a new id and cannot answer
 * under the old one; a join request from its address proves that the old
 * process is gone.
 *
 * An answer never becomes wrong later: if a member that reported its restart
 * becomes leader afterwards, a majority has voted in a higher term and
 * refuses this candidate's term.
 *
 * A voter grants the startup pre-vote only to a candidate with priority over
 * itself: the more up-to-date log, then the lower id. So a single candidate
 * succeeds, and the election after it has no split vote. If no startup
 * pre-vote can succeed, the elections of rp_replica_vote.c follow when their
 * timeout expires. */
#include "rp_replica_internal.h"

/* Time between two startup pre-votes: two ticks of the control role, about as
 * long as replicas that start together need to connect to each other. */
#define STARTUP_PRE_VOTE_INTERVAL_US (40 * RP_US_PER_MS)

/* Whether every other member's process is known to have restarted. */
static bool
all_restarted(const struct rp_replica *replica)
{
    for (guint i = 0; i < replica->peers->len; i++) {
        if (!g_array_index(replica->peers, struct rp_peer, i).restarted) {
            return false;
        }
    }
    return true;
}

/* Starts the election if the startup pre-vote has succeeded. */
static void
start_election_if_all_restarted(struct rp_replica *replica, int64_t now)
{
    if (replica->no_leader_since_start &&
        replica->role == RP_REPLICA_FOLLOWER &&
        RpReplica_MayVote(replica, replica->id) && all_restarted(replica) &&
        RpReplica_HasVotes(replica)) {
        RpReplica_StartElection(replica, now, RP_VOTE_ALL_RESTARTED);
    }
}

void
RpReplica_StartupTick(struct rp_replica *replica, int64_t now)
{
    if (!replica->no_leader_since_start ||
        replica->role != RP_REPLICA_FOLLOWER ||
        now < replica->startup_pre_vote_deadline) {
        return;
    }
    replica->startup_pre_vote_deadline = now + STARTUP_PRE_VOTE_INTERVAL_US;
    RpReplica_UpdatePeers(replica, now);
    RpReplica_SendVoteRequests(replica, replica->term + 1,
                               RP_VOTE_STARTUP_PRE_VOTE);
}

/* Whether the candidate's log is more up to date than this replica's, or is
 * the same and the candidate's id is lower. */
static bool
candidate_has_priority(const struct rp_replica *replica,
                       const struct rp_msg_vote *vote)
{
    bool same_log = vote->last_term == RpReplicaLog_LastTerm(replica) &&
                    vote->last_index == RpReplicaLog_LastIndex(replica);

    return same_log ? vote->from < replica->id
                    : RpReplica_IsCandidateUpToDate(replica, vote);
}

void
RpReplica_OnStartupPreVote(struct rp_replica *replica,
                           const struct rp_msg_vote *vote)
{
    RpReplica_SendVoteReply(replica, vote,
                            replica->no_leader_since_start &&
                                vote->term > replica->term &&
                                (!RpReplica_MayVote(replica, replica->id) ||
                                 candidate_has_priority(replica, vote)));
}

void
RpReplica_OnStartupPreVoteReply(struct rp_replica *replica, int64_t now,
                                const struct rp_msg_vote_reply *reply)
{
    struct rp_peer *peer = RpReplica_FindPeer(replica, reply->from);

    if (peer && reply->term == replica->term + 1) {
        peer->vote_granted = true;
        peer->restarted = true;
        start_election_if_all_restarted(replica, now);
    }
}

void
RpReplica_MarkReplacedMembers(struct rp_replica *replica, int64_t now,
                              const struct rp_replica_member *successor)
{
    if (!replica->no_leader_since_start) {
        return;
    }
    RpReplica_UpdatePeers(replica, now);
    for (guint i = 0; i < replica->peers->len; i++) {
        struct rp_peer *peer = &g_array_index(replica->peers, struct rp_peer,
                                              i);
        const struct rp_replica_member *member = RpReplica_FindMember(
            replica, peer->id);
        if (member->id != successor->id && member->ip == successor->ip &&
            member->port == successor->port) {
            peer->restarted = true;
        }
    }
    start_election_if_all_restarted(replica, now);
}
