/* The leader's side: contacts, appends, commits, snapshots for those that
 * are far behind. */
#include <stdlib.h>

#include "rp_replica_internal.h"

#define ROUNDS_KEPT 64 /* contacts whose time is remembered */

void
RpReplica_SyncPeers(struct rp_replica *replica, int64_t now)
{
    for (guint i = replica->peers->len; i-- > 0;) {
        uint64_t id = g_array_index(replica->peers, struct rp_peer, i).id;
        if (!RpReplica_FindMember(replica, id)) {
            g_array_remove_index(replica->peers, i);
        }
    }
    for (guint i = 0; i < replica->members->len; i++) {
        const struct rp_replica_member *member = &g_array_index(
            replica->members, struct rp_replica_member, i);
        const struct rp_peer peer = {.id = member->id,
                                     .next = RpLog_LastIndex(replica) + 1,
                                     .contact = now};
        if (member->id != replica->id &&
            !RpReplica_FindPeer(replica, member->id)) {
            g_array_append_val(replica->peers, peer);
        }
    }
}

void
RpReplica_StartLeading(struct rp_replica *replica, int64_t now)
{
    replica->role = RP_REPLICA_LEADER;
    replica->restarted = false;
    replica->leader = replica->id;
    g_array_set_size(replica->peers, 0);
    RpReplica_SyncPeers(replica, now);
    RpReplica_AppendOwn(replica, RP_ENTRY_NOTHING, NULL);
    RpReplica_AdvanceCommit(replica);
    RpReplica_Broadcast(replica, now, true);
}

/* The time at which a contact was sent; only the last ones are kept. */
static int64_t
time_of_round(const struct rp_replica *replica, uint64_t round)
{
    uint64_t age = replica->round - round;

    if (round > replica->round || age >= replica->round_times->len) {
        return 0;
    }
    return g_array_index(replica->round_times, int64_t,
                         replica->round_times->len - 1 - age);
}

static void
start_round(struct rp_replica *replica, int64_t now)
{
    replica->round++;
    if (replica->round_times->len == ROUNDS_KEPT) {
        g_array_remove_index(replica->round_times, 0);
    }
    g_array_append_val(replica->round_times, now);
}

static void
send_snapshot_part(struct rp_replica *replica, struct rp_peer *peer)
{
    const GString *bytes = replica->snapshot_bytes;
    uint64_t offset = MIN(peer->snapshot_offset, bytes->len);
    uint64_t len = MIN(bytes->len - offset, RP_SNAPSHOT_CHUNK);
    struct rp_msg msg = {.type = RP_MSG_SNAPSHOT,
                         .snapshot = {.from = replica->id,
                                      .to = peer->id,
                                      .term = replica->term,
                                      .index = replica->snapshot->index,
                                      .offset = offset,
                                      .total = bytes->len,
                                      .data = g_string_new_len(
                                          bytes->str + offset, (gssize)len)}};

    RpReplica_SendTo(replica, peer->id, &msg);
}

static void
send_append(struct rp_replica *replica, struct rp_peer *peer)
{
    struct rp_msg msg = {
        .type = RP_MSG_APPEND,
        .append = {.from = replica->id,
                   .to = peer->id,
                   .term = replica->term,
                   .previous_index = peer->next - 1,
                   .committed = replica->committed,
                   .round = replica->round,
                   .fresh = replica->lease_holds,
                   .entries = RpSchema_NewList(&rp_log_entry_schema)}};
    struct rp_msg_append *append = &msg.append;

    if (!RpLog_TermAt(replica, peer->next - 1, &append->previous_term)) {
        RpMsg_Clear(&msg);
        send_snapshot_part(replica, peer);
        return;
    }
    for (uint64_t i = 0; i < RP_APPEND_MAX_ENTRIES; i++) {
        const struct rp_log_entry *entry = RpLog_At(replica, peer->next + i);
        if (!entry) {
            break;
        }
        g_array_set_size(append->entries, (guint)i + 1);
        struct rp_log_entry *copy = &g_array_index(append->entries,
                                                   struct rp_log_entry, i);
        *copy = *entry;
        copy->data = g_string_new_len(entry->data->str,
                                      (gssize)entry->data->len);
    }
    peer->waiting = true;
    RpReplica_SendTo(replica, peer->id, &msg);
}

void
RpReplica_Broadcast(struct rp_replica *replica, int64_t now, bool heartbeat)
{
    start_round(replica, now);
    replica->lease_holds = RpReplica_IsFresh(replica, now);
    for (guint i = 0; i < replica->peers->len; i++) {
        struct rp_peer *peer = &g_array_index(replica->peers, struct rp_peer,
                                              i);
        if (heartbeat || !peer->waiting) {
            send_append(replica, peer);
        }
    }
    replica->heartbeat_deadline = now + RP_HEARTBEAT_US;
}

static int
compare_times_down(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;

    return (left < right) - (left > right);
}

int64_t
RpReplica_QuorumContact(const struct rp_replica *replica)
{
    int64_t times[RP_REPLICA_MAX];
    size_t count = 0;
    size_t others = RpReplica_Quorum(replica) -
                    RpReplica_IsVoter(replica, replica->id);

    if (others == 0) {
        return RP_NEVER;
    }
    for (guint i = 0; i < replica->peers->len; i++) {
        const struct rp_peer *peer = &g_array_index(replica->peers,
                                                    struct rp_peer, i);
        if (RpReplica_IsVoter(replica, peer->id)) {
            times[count++] = peer->contact;
        }
    }
    if (count < others) {
        return 0;
    }
    qsort(times, count, sizeof *times, compare_times_down);
    return times[others - 1];
}

void
RpReplica_LeaderTick(struct rp_replica *replica, int64_t now)
{
    if (RpReplica_QuorumContact(replica) <= now - RP_ELECTION_US) {
        RpReplica_BecomeFollower(replica, now, replica->term, 0);
        return;
    }
    if (now >= replica->heartbeat_deadline) {
        RpReplica_PromoteLearner(replica, now);
        RpReplica_Broadcast(replica, now, true);
    }
}

static size_t
count_stored(const struct rp_replica *replica, uint64_t index)
{
    size_t stored = RpReplica_IsVoter(replica, replica->id);

    for (guint i = 0; i < replica->peers->len; i++) {
        const struct rp_peer *peer = &g_array_index(replica->peers,
                                                    struct rp_peer, i);
        stored += peer->match >= index && RpReplica_IsVoter(replica, peer->id);
    }
    return stored;
}

void
RpReplica_AdvanceCommit(struct rp_replica *replica)
{
    uint64_t term = 0;
    uint64_t index = RpLog_LastIndex(replica);

    /* Only entries of the leader's own term are committed by counting. */
    while (index > replica->committed &&
           count_stored(replica, index) < RpReplica_Quorum(replica)) {
        index--;
    }
    if (index > replica->committed && RpLog_TermAt(replica, index, &term) &&
        term == replica->term) {
        replica->committed = index;
        RpReplica_ApplyCommitted(replica);
    }
}

void
RpReplica_OnAppendReply(struct rp_replica *replica, int64_t now,
                        const struct rp_msg_append_reply *reply)
{
    struct rp_peer *peer = RpReplica_FindPeer(replica, reply->from);

    if (reply->term > replica->term) {
        RpReplica_BecomeFollower(replica, now, reply->term, 0);
        return;
    }
    if (replica->role != RP_REPLICA_LEADER || reply->term < replica->term ||
        !peer) {
        return;
    }
    peer->waiting = false;
    if (reply->round > peer->round) {
        peer->round = reply->round;
        peer->contact = MAX(peer->contact,
                            time_of_round(replica, reply->round));
    }
    bool held = replica->lease_holds;
    replica->lease_holds = RpReplica_IsFresh(replica, now);
    if (!reply->accepted) {
        peer->next = MIN(peer->next - 1, reply->match + 1);
        peer->next = MAX(peer->next, peer->match + 1);
        peer->snapshot_offset = 0;
        send_append(replica, peer);
        return;
    }
    peer->match = MAX(peer->match, reply->match);
    peer->next = MAX(peer->next, peer->match + 1);
    RpReplica_AdvanceCommit(replica);
    replica->lease_holds = RpReplica_IsFresh(replica, now);
    if (replica->lease_holds && !held) {
        /* Followers give out no first tables until they know. */
        RpReplica_Broadcast(replica, now, true);
        return;
    }
    if (peer->next <= RpLog_LastIndex(replica)) {
        send_append(replica, peer);
    }
}

void
RpReplica_OnSnapshotReply(struct rp_replica *replica, int64_t now,
                          const struct rp_msg_snapshot_reply *reply)
{
    struct rp_peer *peer = RpReplica_FindPeer(replica, reply->from);

    if (reply->term > replica->term) {
        RpReplica_BecomeFollower(replica, now, reply->term, 0);
        return;
    }
    if (replica->role != RP_REPLICA_LEADER || reply->term < replica->term ||
        !peer || !replica->snapshot ||
        reply->index != replica->snapshot->index) {
        return;
    }
    replica->lease_holds = RpReplica_IsFresh(replica, now);
    peer->snapshot_offset = reply->offset;
    if (reply->offset < replica->snapshot_bytes->len) {
        send_snapshot_part(replica, peer);
        return;
    }
    peer->match = MAX(peer->match, reply->index);
    peer->next = MAX(peer->next, reply->index + 1);
    send_append(replica, peer);
}
