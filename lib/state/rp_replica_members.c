/* Changes of the members, one at a time: a new member joins as a learner and
 * becomes a voter once it has caught up. */
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
    action->silent_since = peer ? peer->last_contact : 0;
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

/* Returns the position of the member with the same name or address; -1 if
 * there is none. */
static int
find_member_by_name_or_address(const struct rp_replica *replica,
                               const struct rp_replica_member *member)
{
    for (guint i = 0; i < replica->members->len; i++) {
        const struct rp_replica_member *other = &g_array_index(
            replica->members, struct rp_replica_member, i);
        bool same_address = other->ip == member->ip &&
                            other->port == member->port;
        if (same_address || RpName_Equal(&other->name, &member->name)) {
            return (int)i;
        }
    }
    return -1;
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
    const struct rp_replica_member *known = RpReplica_FindMember(replica,
                                                                 member->id);
    int position = find_member_by_name_or_address(replica, member);
    bool collides_with_self = position >= 0 &&
                              g_array_index(replica->members,
                                            struct rp_replica_member, position)
                                      .id == replica->id;

    if (!can_change_members(replica) || member->id == 0 ||
        collides_with_self ||
        (known && known->ip == member->ip && known->port == member->port)) {
        return;
    }
    GArray *list = copy_members(replica);
    if (known) {
        /* The replica has a new address. */
        struct rp_replica_member *updated = &g_array_index(
            list, struct rp_replica_member, (guint)position);
        updated->ip = member->ip;
        updated->port = member->port;
        propose_members(replica, now, list, RP_MEMBER_MOVED, member);
    }
    else if (position >= 0) {
        /* The replica lost its disk and has a new id: remove the member with
         * the old id. A later request adds the new one. */
        const struct rp_replica_member lost = g_array_index(
            list, struct rp_replica_member, (guint)position);
        g_array_remove_index(list, (guint)position);
        propose_members(replica, now, list, RP_MEMBER_DISK_LOST, &lost);
    }
    else if (list->len < RP_REPLICA_MEMBERS_MAX) {
        struct rp_replica_member learner = *member;
        learner.voter = 0;
        g_array_append_val(list, learner);
        propose_members(replica, now, list, RP_MEMBER_ADDED, &learner);
    }
    g_array_free(list, TRUE);
}

/* Whether a member lags by at most CAUGHT_UP_MAX_LAG entries. */
static bool
is_caught_up(struct rp_replica *replica, uint64_t id)
{
    const struct rp_peer *peer = RpReplica_FindPeer(replica, id);

    return peer && peer->match_index > 0 &&
           peer->match_index + CAUGHT_UP_MAX_LAG >=
               RpReplicaLog_LastIndex(replica);
}

static struct rp_replica_member *
find_caught_up_learner(struct rp_replica *replica)
{
    for (guint i = 0; i < replica->members->len; i++) {
        struct rp_replica_member *member = &g_array_index(
            replica->members, struct rp_replica_member, i);
        if (!member->voter && is_caught_up(replica, member->id)) {
            return member;
        }
    }
    return NULL;
}

/* Returns the position of a voter that has answered nothing sent within the
 * last RP_VOTER_REPLACE_TIMEOUT_US; -1 if there is none. */
static int
find_unresponsive_voter(struct rp_replica *replica, int64_t now)
{
    for (guint i = 0; i < replica->members->len; i++) {
        const struct rp_replica_member *member = &g_array_index(
            replica->members, struct rp_replica_member, i);
        const struct rp_peer *peer = RpReplica_FindPeer(replica, member->id);
        if (member->voter && peer &&
            peer->last_contact < now - RP_VOTER_REPLACE_TIMEOUT_US) {
            return (int)i;
        }
    }
    return -1;
}

void
RpReplica_PromoteLearner(struct rp_replica *replica, int64_t now)
{
    struct rp_replica_member *learner = can_change_members(replica)
                                            ? find_caught_up_learner(replica)
                                            : NULL;

    if (!learner) {
        return;
    }
    guint position =
        (guint)(learner -
                (struct rp_replica_member *)(void *)replica->members->data);
    int unresponsive = find_unresponsive_voter(replica, now);
    GArray *list = copy_members(replica);
    struct rp_replica_member changed = *learner;
    enum rp_member_change change = RP_MEMBER_PROMOTED;
    if (unresponsive >= 0) {
        /* Remove the unresponsive voter first; the learner becomes a voter in
         * the next change. Otherwise the dead voter would still count towards
         * the quorum. */
        changed = g_array_index(list, struct rp_replica_member,
                                (guint)unresponsive);
        change = RP_MEMBER_SILENT;
        g_array_remove_index(list, (guint)unresponsive);
    }
    else {
        g_array_index(list, struct rp_replica_member, position).voter = 1;
    }
    propose_members(replica, now, list, change, &changed);
    g_array_free(list, TRUE);
}
