/* Quorums: how many voters must store an entry, grant a vote or answer a
 * round.
 *
 * A quorum is a majority of the voters, with two additions.
 *
 * A voter whose disk is known to be lost never stores or grants anything
 * again, and if the voters are 2 n, then n of the others are a quorum. Any two
 * such quorums share a replica that still has its disk: both are taken from
 * the 2 n - 1 voters that are left. So do such a quorum and an earlier
 * majority, n + 1 voters of which at most one is the lost one. What counts as
 * known is that a replica which is no member asks to join from the voter's
 * address: the voter's process is gone, and the one in its place started with
 * an empty disk. The lost disk must not come back later.
 *
 * Between n of 2 n voters and a majority of the voters after a change of the
 * members, a shared replica is not certain. So until a change of the voters
 * is committed, a decision needs a quorum of the voters before it as well.
 * The leader then appends the list of members once more: a replica that holds
 * the second copy knows that the first one is committed, also after a
 * restart, and asks only the voters that are listed there. */
#include "rp_replica_internal.h"

static bool
contains_voter(const GArray *members, uint64_t id)
{
    for (guint i = 0; i < members->len; i++) {
        const struct rp_replica_member *member = &g_array_index(
            members, struct rp_replica_member, i);
        if (member->id == id) {
            return member->voter != 0;
        }
    }
    return false;
}

static size_t
count_voters(const GArray *members)
{
    size_t voters = 0;

    for (guint i = 0; i < members->len; i++) {
        voters += g_array_index(members, struct rp_replica_member, i).voter !=
                  0;
    }
    return voters;
}

static bool
is_lost(const struct rp_replica *replica, uint64_t id)
{
    for (guint i = 0; i < replica->lost->len; i++) {
        if (g_array_index(replica->lost, uint64_t, i) == id) {
            return true;
        }
    }
    return false;
}

static bool
contains_lost_voter(const struct rp_replica *replica, const GArray *members)
{
    for (guint i = 0; i < members->len; i++) {
        const struct rp_replica_member *member = &g_array_index(
            members, struct rp_replica_member, i);
        if (member->voter && is_lost(replica, member->id)) {
            return true;
        }
    }
    return false;
}

/* Returns how many of the voters of `members` are a quorum. */
static size_t
quorum_of(const struct rp_replica *replica, const GArray *members)
{
    size_t voters = count_voters(members);
    bool half_suffices = voters % 2 == 0 && voters > 0 &&
                         contains_lost_voter(replica, members);

    return half_suffices ? voters / 2 : voters / 2 + 1;
}

static bool
have_same_voters(const GArray *a, const GArray *b)
{
    for (guint i = 0; i < a->len; i++) {
        const struct rp_replica_member *member = &g_array_index(
            a, struct rp_replica_member, i);
        if (member->voter && !contains_voter(b, member->id)) {
            return false;
        }
    }
    return count_voters(a) == count_voters(b);
}

bool
RpReplica_VotersChanged(const struct rp_replica *replica)
{
    return replica->previous_members->len > 0 &&
           !have_same_voters(replica->members, replica->previous_members);
}

/* Whether the voters before the last change must agree, too. */
static bool
needs_previous_voters(const struct rp_replica *replica)
{
    return replica->members_index > replica->commit_index &&
           RpReplica_VotersChanged(replica);
}

bool
RpReplica_MayVote(const struct rp_replica *replica, uint64_t id)
{
    return contains_voter(replica->members, id) ||
           (needs_previous_voters(replica) &&
            contains_voter(replica->previous_members, id));
}

size_t
RpReplica_CountAgreeing(const struct rp_replica *replica,
                        const GArray *members,
                        bool (*agrees)(const struct rp_peer *, uint64_t),
                        uint64_t value)
{
    size_t count = contains_voter(members, replica->id);

    for (guint i = 0; i < replica->peers->len; i++) {
        const struct rp_peer *peer = &g_array_index(replica->peers,
                                                    struct rp_peer, i);
        count += contains_voter(members, peer->id) &&
                 !is_lost(replica, peer->id) && agrees(peer, value);
    }
    return count;
}

bool
RpReplica_HasQuorum(const struct rp_replica *replica,
                    bool (*agrees)(const struct rp_peer *, uint64_t),
                    uint64_t value)
{
    const GArray *lists[] = {replica->members, replica->previous_members};
    size_t list_count = needs_previous_voters(replica) ? 2 : 1;

    for (size_t i = 0; i < list_count; i++) {
        if (RpReplica_CountAgreeing(replica, lists[i], agrees, value) <
            quorum_of(replica, lists[i])) {
            return false;
        }
    }
    return true;
}

size_t
RpReplica_VoterCount(const struct rp_replica *replica)
{
    return count_voters(replica->members);
}

size_t
RpReplica_Quorum(const struct rp_replica *replica)
{
    return quorum_of(replica, replica->members);
}

size_t
RpReplica_LostVoterCount(const struct rp_replica *replica)
{
    size_t count = 0;

    for (guint i = 0; i < replica->lost->len; i++) {
        count += RpReplica_IsVoter(replica,
                                   g_array_index(replica->lost, uint64_t, i));
    }
    return count;
}

/* Forgets lost replicas that are members no more. */
static void
forget_former_members(struct rp_replica *replica)
{
    for (guint i = replica->lost->len; i-- > 0;) {
        uint64_t id = g_array_index(replica->lost, uint64_t, i);
        if (!RpReplica_FindMember(replica, id) &&
            !contains_voter(replica->previous_members, id)) {
            g_array_remove_index(replica->lost, i);
        }
    }
}

void
RpReplica_MarkLost(struct rp_replica *replica,
                   const struct rp_replica_member *member)
{
    if (member->id == replica->id || is_lost(replica, member->id)) {
        return;
    }
    forget_former_members(replica);
    g_array_append_val(replica->lost, member->id);
    struct rp_replica_action *action = RpReplica_AddAction(
        replica, RP_REPLICA_REPORT_LOST);
    action->member = *member;
}

void
RpReplica_MarkLostMembers(struct rp_replica *replica,
                          const struct rp_replica_member *newcomer)
{
    /* A member at the address of another one has moved there. */
    if (newcomer->id == 0 || RpReplica_FindMember(replica, newcomer->id)) {
        return;
    }
    for (guint i = 0; i < replica->members->len; i++) {
        const struct rp_replica_member *member = &g_array_index(
            replica->members, struct rp_replica_member, i);
        if (member->ip == newcomer->ip && member->port == newcomer->port) {
            RpReplica_MarkLost(replica, member);
        }
    }
}

void
RpReplica_UnmarkLost(struct rp_replica *replica, uint64_t id)
{
    for (guint i = replica->lost->len; i-- > 0;) {
        if (g_array_index(replica->lost, uint64_t, i) == id) {
            g_array_remove_index(replica->lost, i);
        }
    }
}
