/* Elections right after a start.
 *
 * A replica that starts must not vote at once: a leader that it answered
 * before may still live, and trust its lease. Where every member's process
 * has started anew, there is none, and nothing is to be waited for. To find
 * that out, replicas that have not known a leader since their start ask all
 * members, learners too, in a trial of its own. It is won only if each member
 * answers that it has not known a leader since its start either; a member
 * whose disk was lost cannot answer, but whoever asks to join from its
 * address shows that its process is gone. What was once heard stays true: a
 * process that has become leader since has a majority of a higher term behind
 * it, and that majority grants nothing.
 *
 * Each voter grants this trial only to a candidate that goes before itself:
 * the newest log, then the lowest id. So one of them wins it, and the real
 * election that follows is not split. Where it cannot be won, the elections
 * of rp_replica_vote.c come in their time. */
#include "rp_replica_internal.h"

/* Between two trials of this kind: two ticks of the control role, which is
 * about what a connection between replicas that start together takes. */
#define START_TRIAL_US (40 * RP_US_PER_MS)

/* Whether every member's process is known to have started anew. */
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

static void
elect_if_decided(struct rp_replica *replica, int64_t now)
{
    if (replica->restarted && replica->role == RP_REPLICA_FOLLOWER &&
        RpReplica_IsVoter(replica, replica->id) && all_restarted(replica) &&
        RpReplica_CountGranted(replica) >= RpReplica_Quorum(replica)) {
        RpReplica_StartElection(replica, now, RP_VOTE_AFTER_START);
    }
}

void
RpReplica_StartTick(struct rp_replica *replica, int64_t now)
{
    if (!replica->restarted || replica->role != RP_REPLICA_FOLLOWER ||
        now < replica->start_trial_deadline) {
        return;
    }
    replica->start_trial_deadline = now + START_TRIAL_US;
    RpReplica_SyncPeers(replica, now);
    RpReplica_AskForVotes(replica, replica->term + 1, RP_VOTE_START_TRIAL);
}

/* Whether the candidate goes before this replica. */
static bool
goes_first(const struct rp_replica *replica, const struct rp_msg_vote *vote)
{
    bool same_log = vote->last_term == RpLog_LastTerm(replica) &&
                    vote->last_index == RpLog_LastIndex(replica);

    return same_log ? vote->from < replica->id
                    : RpReplica_IsUpToDate(replica, vote);
}

void
RpReplica_OnStartTrial(struct rp_replica *replica,
                       const struct rp_msg_vote *vote)
{
    RpReplica_ReplyVote(replica, vote,
                        replica->restarted && vote->term > replica->term &&
                            (!RpReplica_IsVoter(replica, replica->id) ||
                             goes_first(replica, vote)));
}

void
RpReplica_OnStartTrialReply(struct rp_replica *replica, int64_t now,
                            const struct rp_msg_vote_reply *reply)
{
    struct rp_peer *peer = RpReplica_FindPeer(replica, reply->from);

    if (peer && reply->term == replica->term + 1) {
        peer->granted = true;
        peer->restarted = true;
        elect_if_decided(replica, now);
    }
}

void
RpReplica_NoteSuccessor(struct rp_replica *replica, int64_t now,
                        const struct rp_replica_member *successor)
{
    if (!replica->restarted) {
        return;
    }
    RpReplica_SyncPeers(replica, now);
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
    elect_if_decided(replica, now);
}
