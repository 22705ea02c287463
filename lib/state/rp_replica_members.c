/* Changes of the members, one at a time: a new member joins as a learner and
 * becomes a voter once it has caught up; a member that has been silent for
 * long is removed if the group can do without it. */
#include "rp_replica_internal.h"

/* How many entries a learner may be behind the log when it becomes a voter. */
#define CAUGHT_UP_MAX_LAG 8

/* A leader may start a change once the previous one is committed and it has
 * committed an entry of its own term. */
static bool
can_change_members(const struct rp_replica *replica)
{
    uint64_t term = 0;

    return replica->role == RP_REPLICA_LEADER &&
           replica->members_index <= replica->commit_index &&
           RpReplicaLog_TermAt(replica, replica->commit_index, &term) &&
           term == replica->term;
}

const char *
RpReplica_ChangeName(enum rp_member_change change)
{
    static const char *const names[] = {[RP_MEMBER_ADDED] = "added",
                                        [RP_MEMBER_MOVED] = "moved",
                                        [RP_MEMBER_DISK_LOST] = "disk_lost",
                                        [RP_MEMBER_PROMOTED] = "promoted",
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
    if (replica->role != RP_REPLICA_LEADER) {
        if (!forwarded) {
            RpReplica_MarkReplacedMembers(replica, now, member);
            forward_join(replica, member);
        }
        return;
    }
    if (!can_change_members(replica) || member->id == 0) {
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

/* Whether a member lags by at most CAUGHT_UP_MAX_LAG entries. */
static bool
is_caught_up(const struct rp_replica *replica, const struct rp_peer *peer)
{
    return peer->match_index > 0 && peer->match_index + CAUGHT_UP_MAX_LAG >=
                                        RpReplicaLog_LastIndex(replica);
}

/* Returns the position of a learner that has caught up and answers; -1 if
 * there is none. */
static int
find_caught_up_learner(struct rp_replica *replica, int64_t now)
{
    for (guint i = 0; i < replica->members->len; i++) {
        const struct rp_replica_member *member = member_at(replica, i);
        const struct rp_peer *peer = RpReplica_FindPeer(replica, member->id);
        if (!member->voter && peer && is_caught_up(replica, peer) &&
            peer->last_heard > now - RP_ELECTION_TIMEOUT_US) {
            return (int)i;
        }
    }
    return -1;
}

/* Whether the group may go on with one voter less. The entries must still be
 * stored on so many disks that the failures it is to tolerate lose none. */
static bool
may_remove_voter(const struct rp_replica *replica)
{
    size_t voters = RpReplica_VoterCount(replica);

    if (replica->min_voters > 0) {
        return voters > replica->min_voters;
    }
    /* An even number of voters tolerates no more failures than the odd number
     * below it. */
    return voters % 2 == 0;
}

/* Returns the position of a member that has not answered for
 * RP_MEMBER_SILENCE_TIMEOUT_US and that the group can do without; -1 if there
 * is none. */
static int
find_removable_member(struct rp_replica *replica, int64_t now)
{
    for (guint i = 0; i < replica->members->len; i++) {
        const struct rp_replica_member *member = member_at(replica, i);
        const struct rp_peer *peer = RpReplica_FindPeer(replica, member->id);
        if (peer && peer->last_heard < now - RP_MEMBER_SILENCE_TIMEOUT_US &&
            (!member->voter || may_remove_voter(replica))) {
            return (int)i;
        }
    }
    return -1;
}

static void
promote_learner(struct rp_replica *replica, int64_t now, guint position)
{
    GArray *list = copy_members(replica);
    struct rp_replica_member *learner = &g_array_index(
        list, struct rp_replica_member, position);

    learner->voter = 1;
    propose_members(replica, now, list, RP_MEMBER_PROMOTED, learner);
    g_array_free(list, TRUE);
}

static void
remove_member(struct rp_replica *replica, int64_t now, guint position)
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
    if (!can_change_members(replica)) {
        return;
    }
    /* Promotes before it removes, so that the copies of an entry never become
     * fewer than necessary. */
    int learner = find_caught_up_learner(replica, now);
    if (learner >= 0) {
        promote_learner(replica, now, (guint)learner);
        return;
    }
    int removable = find_removable_member(replica, now);
    if (removable >= 0) {
        remove_member(replica, now, (guint)removable);
    }
}
