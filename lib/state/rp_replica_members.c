/* Changes of the members, one at a time: a new member joins as a learner and
 * becomes a voter once it has caught up and all voters answer; a voter that
 * does not answer or is about to stop becomes a learner if the group can do
 * without its vote or a learner takes its place; a learner that has been
 * silent for long is removed. */
#include "rp_replica_internal.h"

/* How many entries a learner may be behind the log when it becomes a voter. */
#define CAUGHT_UP_MAX_LAG 8
/* A group that does not know how many voters it must keep does not shrink
 * below this many: with fewer, one disk may hold the only copy of an entry. */
#define DEFAULT_MIN_VOTERS 3

/* How long ago a quorum must have answered when a change starts. */
#define CHANGE_CONTACT_MAX_AGE_US (2 * RP_HEARTBEAT_INTERVAL_US)

static bool
was_heard_since(const struct rp_peer *peer, uint64_t time)
{
    return peer->last_heard >= (int64_t)time;
}

/* A leader may start a change once the previous one is committed and it has
 * committed an entry of its own term. A quorum must be in contact: a change
 * that is stored, but not committed, keeps the replicas that store it from
 * electing a leader among the members before it. Voters that were cut off
 * together fall silent together, so a leader that can reach no quorum must not
 * go by the one that is found silent first. */
static bool
can_change_members(const struct rp_replica *replica, int64_t now)
{
    uint64_t term = 0;

    return replica->role == RP_REPLICA_LEADER &&
           replica->members_index <= replica->commit_index &&
           RpReplicaLog_TermAt(replica, replica->commit_index, &term) &&
           term == replica->term &&
           RpReplica_HasQuorum(replica, was_heard_since,
                               (uint64_t)(now - CHANGE_CONTACT_MAX_AGE_US));
}

const char *
RpReplica_ChangeName(enum rp_member_change change)
{
    static const char *const names[] = {
        [RP_MEMBER_ADDED] = "added",         [RP_MEMBER_MOVED] = "moved",
        [RP_MEMBER_DISK_LOST] = "disk_lost", [RP_MEMBER_PROMOTED] = "promoted",
        [RP_MEMBER_DEMOTED] = "demoted",     [RP_MEMBER_LEAVING] = "leaving",
        [RP_MEMBER_SILENT] = "silent"};

    return names[change];
}

/* Adds the action that reports a change of `member`. */
static void
report_change(struct rp_replica *replica, enum rp_member_change change,
              const struct rp_replica_member *member)
{
    const struct rp_peer *peer = RpReplica_FindPeer(replica, member->id);
    struct rp_replica_action *action = RpReplica_AddAction(
        replica, RP_REPLICA_REPORT_CHANGE);

    action->change = change;
    action->member = *member;
    action->silent_since = peer ? peer->last_heard : 0;
}

/* Reports the change of `member` and appends the new list, which takes effect
 * at once, and replicates it. */
static void
propose_members(struct rp_replica *replica, int64_t now, GArray *list,
                enum rp_member_change change,
                const struct rp_replica_member *member)
{
    const struct rp_replica_members members = {.list = list};
    GString *data = RpSchema_Encode(&rp_replica_members_schema, &members);

    report_change(replica, change, member);
    RpReplica_AppendEntry(replica, RP_ENTRY_MEMBERS, data);
    g_string_free(data, TRUE);
    RpReplica_UpdatePeers(replica, now);
    RpReplica_AdvanceCommit(replica);
    RpReplica_BroadcastAppend(replica, now, false);
}

void
RpReplica_ConfirmMembers(struct rp_replica *replica)
{
    if (replica->members_index > replica->commit_index ||
        !RpReplica_VotersChanged(replica)) {
        return;
    }
    const struct rp_replica_members members = {.list = replica->members};
    GString *data = RpSchema_Encode(&rp_replica_members_schema, &members);
    RpReplica_AppendEntry(replica, RP_ENTRY_MEMBERS, data);
    g_string_free(data, TRUE);
}

static GArray *
copy_members(const struct rp_replica *replica)
{
    GArray *list = RpSchema_NewList(&rp_replica_member_schema);

    g_array_append_vals(list, replica->members->data, replica->members->len);
    return list;
}

static const struct rp_replica_member *
member_at(const struct rp_replica *replica, guint position)
{
    return &g_array_index(replica->members, struct rp_replica_member,
                          position);
}

/* Returns the position of the member with this id; -1 if there is none. */
static int
find_position(const struct rp_replica *replica, uint64_t id)
{
    for (guint i = 0; i < replica->members->len; i++) {
        if (member_at(replica, i)->id == id) {
            return (int)i;
        }
    }
    return -1;
}

/* Returns the position of the member with another id whose name or address
 * `newcomer` has, because its disk is lost; -1 if there is none. */
static int
find_replaced(const struct rp_replica *replica,
              const struct rp_replica_member *newcomer)
{
    for (guint i = 0; i < replica->members->len; i++) {
        const struct rp_replica_member *other = member_at(replica, i);
        bool same_address = other->ip == newcomer->ip &&
                            other->port == newcomer->port;
        if (other->id != newcomer->id &&
            (same_address || RpName_Equal(&other->name, &newcomer->name))) {
            return (int)i;
        }
    }
    return -1;
}

/* Updates the address of a member, if it has changed. */
static void
update_address(struct rp_replica *replica, int64_t now, guint position,
               const struct rp_replica_member *member)
{
    GArray *list = copy_members(replica);
    struct rp_replica_member *updated = &g_array_index(
        list, struct rp_replica_member, position);

    if (updated->ip != member->ip || updated->port != member->port) {
        updated->ip = member->ip;
        updated->port = member->port;
        propose_members(replica, now, list, RP_MEMBER_MOVED, updated);
    }
    g_array_free(list, TRUE);
}

/* Adds a learner. Removes the member whose place it takes in the same change:
 * at most one voter differs, as learners count towards no quorum. */
static void
add_learner(struct rp_replica *replica, int64_t now,
            const struct rp_replica_member *newcomer)
{
    int replaced = find_replaced(replica, newcomer);
    struct rp_replica_member learner = *newcomer;
    GArray *list = copy_members(replica);

    learner.voter = 0;
    if (replaced >= 0) {
        RpReplica_MarkLost(replica, member_at(replica, (guint)replaced));
        report_change(replica, RP_MEMBER_DISK_LOST,
                      member_at(replica, (guint)replaced));
        g_array_remove_index(list, (guint)replaced);
    }
    g_array_append_val(list, learner);
    propose_members(replica, now, list, RP_MEMBER_ADDED, &learner);
    g_array_free(list, TRUE);
}

/* Sends the join request to the leader if it is known. */
static void
forward_join(struct rp_replica *replica,
             const struct rp_replica_member *member)
{
    struct rp_msg msg = {.type = RP_MSG_JOIN, .join = {.member = *member}};

    if (replica->leader_id != 0 && replica->leader_id != replica->id) {
        RpReplica_QueueMessage(replica, replica->leader_id, &msg);
    }
}

void
RpReplica_HandleJoin(struct rp_replica *replica, int64_t now,
                     const struct rp_replica_member *member, bool forwarded)
{
    RpReplica_MarkLostMembers(replica, member);
    if (replica->role != RP_REPLICA_LEADER) {
        if (!forwarded) {
            RpReplica_MarkReplacedMembers(replica, now, member);
            forward_join(replica, member);
        }
        return;
    }
    if (!can_change_members(replica, now) || member->id == 0) {
        return;
    }
    int known = find_position(replica, member->id);
    int replaced = find_replaced(replica, member);
    if (known >= 0) {
        update_address(replica, now, (guint)known, member);
    }
    else if (replaced >= 0
                 ? member_at(replica, (guint)replaced)->id != replica->id
                 : replica->members->len < RP_REPLICA_MEMBERS_MAX) {
        add_learner(replica, now, member);
    }
}

bool
RpReplica_IsCaughtUp(const struct rp_replica *replica,
                     const struct rp_peer *peer)
{
    return peer->match_index > 0 && peer->match_index + CAUGHT_UP_MAX_LAG >=
                                        RpReplicaLog_LastIndex(replica);
}

static bool
answers(const struct rp_peer *peer, int64_t now)
{
    return peer->last_heard > now - RP_ELECTION_TIMEOUT_US;
}

/* Whether a member has caught up, answers and is not about to stop; the leader
 * itself may have become a learner in a change that it could not commit before
 * it restarted. */
static bool
is_fit_to_vote(struct rp_replica *replica, int64_t now, uint64_t id)
{
    const struct rp_peer *peer = RpReplica_FindPeer(replica, id);

    if (id == replica->id) {
        return !replica->leaving;
    }
    return peer && RpReplica_IsCaughtUp(replica, peer) && answers(peer, now) &&
           !peer->leaving;
}

/* Returns the position of a learner that is fit to vote; -1 if there is
 * none. */
static int
find_caught_up_learner(struct rp_replica *replica, int64_t now)
{
    for (guint i = 0; i < replica->members->len; i++) {
        const struct rp_replica_member *member = member_at(replica, i);
        if (!member->voter && is_fit_to_vote(replica, now, member->id)) {
            return (int)i;
        }
    }
    return -1;
}

/* Returns the position of a voter that does not answer; -1 if there is
 * none. */
static int
find_unresponsive_voter(struct rp_replica *replica, int64_t now)
{
    for (guint i = 0; i < replica->members->len; i++) {
        const struct rp_replica_member *member = member_at(replica, i);
        const struct rp_peer *peer = RpReplica_FindPeer(replica, member->id);
        if (member->voter && peer && !answers(peer, now)) {
            return (int)i;
        }
    }
    return -1;
}

/* Whether every voter has answered a round that was sent after `round`. */
static bool
all_voters_answered_after(struct rp_replica *replica, uint64_t round)
{
    for (guint i = 0; i < replica->members->len; i++) {
        const struct rp_replica_member *member = member_at(replica, i);
        const struct rp_peer *peer = RpReplica_FindPeer(replica, member->id);
        if (member->voter && peer && peer->acked_round <= round) {
            return false;
        }
    }
    return true;
}

/* Returns the position of the learner to promote now; -1 if there is none.
 * Beside a voter that does not answer, another one raises the quorum: the
 * group would need each voter that is left, the new one included. Such a voter
 * either answers again or is demoted first. One that has answered before the
 * learner was ready may have stopped since. */
static int
find_promotable_learner(struct rp_replica *replica, int64_t now)
{
    bool lacks_voters = RpReplica_VoterCount(replica) < replica->min_voters;
    int learner = find_caught_up_learner(replica, now);

    if (learner < 0 || lacks_voters) {
        return learner;
    }
    const struct rp_peer *peer = RpReplica_FindPeer(
        replica, member_at(replica, (guint)learner)->id);
    return find_unresponsive_voter(replica, now) < 0 &&
                   all_voters_answered_after(replica,
                                             peer ? peer->caught_up_round : 0)
               ? learner
               : -1;
}

/* The entries must still be stored on so many disks that the failures that the
 * group is to tolerate lose none. */
bool
RpReplica_MayRemoveVoter(const struct rp_replica *replica)
{
    size_t voters = RpReplica_VoterCount(replica);

    if (replica->min_voters > 0) {
        return voters > replica->min_voters;
    }
    /* An even number of voters tolerates no more failures than the odd number
     * below it. */
    return voters % 2 == 0 && voters > DEFAULT_MIN_VOTERS;
}

/* Whether one voter is one too many: without it, either the group still
 * tolerates what it must, or a learner makes up for it with the next change.
 * 2 n voters need as many copies of an entry as 2 n + 1 do, and tolerate as
 * many failures as 2 n + 1 of which one has failed. */
static bool
can_spare_voter(struct rp_replica *replica, int64_t now)
{
    size_t voters = RpReplica_VoterCount(replica);
    size_t min_voters = replica->min_voters ? replica->min_voters
                                            : DEFAULT_MIN_VOTERS;

    return RpReplica_MayRemoveVoter(replica) ||
           (voters % 2 == 1 && voters >= min_voters &&
            find_caught_up_learner(replica, now) >= 0);
}

/* Returns the position of a learner that has not answered for
 * RP_MEMBER_SILENCE_TIMEOUT_US; -1 if there is none. */
static int
find_silent_learner(struct rp_replica *replica, int64_t now)
{
    for (guint i = 0; i < replica->members->len; i++) {
        const struct rp_replica_member *member = member_at(replica, i);
        const struct rp_peer *peer = RpReplica_FindPeer(replica, member->id);
        if (!member->voter && peer &&
            peer->last_heard < now - RP_MEMBER_SILENCE_TIMEOUT_US) {
            return (int)i;
        }
    }
    return -1;
}

/* Returns the position of a voter that is about to stop; -1 if there is
 * none. */
static int
find_leaving_voter(struct rp_replica *replica)
{
    for (guint i = 0; i < replica->members->len; i++) {
        const struct rp_replica_member *member = member_at(replica, i);
        const struct rp_peer *peer = RpReplica_FindPeer(replica, member->id);
        if (member->voter && (peer ? peer->leaving : replica->leaving)) {
            return (int)i;
        }
    }
    return -1;
}

static void
set_voter(struct rp_replica *replica, int64_t now, guint position, bool voter,
          enum rp_member_change change)
{
    GArray *list = copy_members(replica);
    struct rp_replica_member *member = &g_array_index(
        list, struct rp_replica_member, position);

    member->voter = voter;
    propose_members(replica, now, list, change, member);
    g_array_free(list, TRUE);
}

static void
remove_learner(struct rp_replica *replica, int64_t now, guint position)
{
    const struct rp_replica_member silent = *member_at(replica, position);
    GArray *list = copy_members(replica);

    g_array_remove_index(list, position);
    propose_members(replica, now, list, RP_MEMBER_SILENT, &silent);
    g_array_free(list, TRUE);
}

void
RpReplica_UpdateMembers(struct rp_replica *replica, int64_t now)
{
    if (!can_change_members(replica, now)) {
        return;
    }
    int learner = find_promotable_learner(replica, now);
    if (learner >= 0) {
        set_voter(replica, now, (guint)learner, true, RP_MEMBER_PROMOTED);
        return;
    }
    int unresponsive = find_unresponsive_voter(replica, now);
    if (unresponsive >= 0 && can_spare_voter(replica, now)) {
        set_voter(replica, now, (guint)unresponsive, false, RP_MEMBER_DEMOTED);
        return;
    }
    int leaving = find_leaving_voter(replica);
    if (leaving >= 0 && RpReplica_MayRemoveVoter(replica)) {
        set_voter(replica, now, (guint)leaving, false, RP_MEMBER_LEAVING);
        return;
    }
    int silent = find_silent_learner(replica, now);
    if (silent >= 0) {
        remove_learner(replica, now, (guint)silent);
    }
}
