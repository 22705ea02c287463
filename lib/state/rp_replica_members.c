/* Changes of the members: one at a time, a learner before a voter. */
#include "rp_replica_internal.h"

/* How close to the end of the log a learner must be to get its vote. */
#define CAUGHT_UP_ENTRIES 8

/* A change may start when the last one is committed and the leader has
 * committed something in its own term. */
static bool
may_change(const struct rp_replica *replica)
{
    uint64_t term = 0;

    return replica->role == RP_REPLICA_LEADER &&
           replica->members_index <= replica->committed &&
           RpLog_TermAt(replica, replica->committed, &term) &&
           term == replica->term;
}

static void
propose_members(struct rp_replica *replica, int64_t now, GArray *list)
{
    const struct rp_replica_members members = {.list = list};
    GString *data = RpSchema_Encode(&rp_replica_members_schema, &members);

    RpReplica_AppendOwn(replica, RP_ENTRY_MEMBERS, data);
    g_string_free(data, TRUE);
    RpReplica_SyncPeers(replica, now);
    RpReplica_AdvanceCommit(replica);
    RpReplica_Broadcast(replica, now, false);
}

static GArray *
copy_members(const struct rp_replica *replica)
{
    GArray *list = RpSchema_NewList(&rp_replica_member_schema);

    g_array_append_vals(list, replica->members->data, replica->members->len);
    return list;
}

/* The position of the member with this name or at this address; -1 if there
 * is none. */
static int
find_same_seat(const struct rp_replica *replica,
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

static void
pass_on_join(struct rp_replica *replica,
             const struct rp_replica_member *member)
{
    struct rp_msg msg = {.type = RP_MSG_JOIN, .join = {.member = *member}};

    if (replica->leader != 0 && replica->leader != replica->id) {
        RpReplica_SendTo(replica, replica->leader, &msg);
    }
}

void
RpReplica_Join(struct rp_replica *replica, int64_t now,
               const struct rp_replica_member *member, bool passed_on)
{
    if (replica->role != RP_REPLICA_LEADER) {
        if (!passed_on) {
            RpReplica_NoteSuccessor(replica, now, member);
            pass_on_join(replica, member);
        }
        return;
    }
    const struct rp_replica_member *known = RpReplica_FindMember(replica,
                                                                 member->id);
    int same_seat = find_same_seat(replica, member);

    bool is_my_seat = same_seat >= 0 &&
                      g_array_index(replica->members, struct rp_replica_member,
                                    same_seat)
                              .id == replica->id;

    if (!may_change(replica) || member->id == 0 || is_my_seat ||
        (known && known->ip == member->ip && known->port == member->port)) {
        return;
    }
    GArray *list = copy_members(replica);
    if (known) {
        struct rp_replica_member *mine = &g_array_index(
            list, struct rp_replica_member, (guint)same_seat);
        mine->ip = member->ip;
        mine->port = member->port;
        propose_members(replica, now, list);
    }
    else if (same_seat >= 0) {
        /* Its disk was lost: the old one goes first. */
        g_array_remove_index(list, (guint)same_seat);
        propose_members(replica, now, list);
    }
    else if (list->len < RP_REPLICA_MAX) {
        struct rp_replica_member learner = *member;
        learner.voter = 0;
        g_array_append_val(list, learner);
        propose_members(replica, now, list);
    }
    g_array_free(list, TRUE);
}

/* Whether a member has stored all but the newest entries. */
static bool
is_caught_up(struct rp_replica *replica, uint64_t id)
{
    const struct rp_peer *peer = RpReplica_FindPeer(replica, id);

    return peer && peer->match > 0 &&
           peer->match + CAUGHT_UP_ENTRIES >= RpLog_LastIndex(replica);
}

static struct rp_replica_member *
first_learner(struct rp_replica *replica)
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

/* The position of a voter that has been silent for long; -1 if there is
 * none. */
static int
find_silent_voter(struct rp_replica *replica, int64_t now)
{
    for (guint i = 0; i < replica->members->len; i++) {
        const struct rp_replica_member *member = &g_array_index(
            replica->members, struct rp_replica_member, i);
        const struct rp_peer *peer = RpReplica_FindPeer(replica, member->id);
        if (member->voter && peer && peer->contact < now - RP_REPLACE_US) {
            return (int)i;
        }
    }
    return -1;
}

void
RpReplica_PromoteLearner(struct rp_replica *replica, int64_t now)
{
    struct rp_replica_member *learner = may_change(replica)
                                            ? first_learner(replica)
                                            : NULL;

    if (!learner) {
        return;
    }
    guint position =
        (guint)(learner -
                (struct rp_replica_member *)(void *)replica->members->data);
    int silent = find_silent_voter(replica, now);
    GArray *list = copy_members(replica);
    if (silent >= 0) {
        /* The learner is to take its place, not to stand beside it. */
        g_array_remove_index(list, (guint)silent);
    }
    else {
        g_array_index(list, struct rp_replica_member, position).voter = 1;
    }
    propose_members(replica, now, list);
    g_array_free(list, TRUE);
}
