/* The leader's side: heartbeats, log replication, the commit index, and
 * snapshots for peers that need entries which the log no longer holds.
 *
 * Each broadcast of appends is a round with a number. Replies echo the
 * number, so the leader knows when the round that a peer has answered was
 * sent; its lease and confirmed reads rest on that. */
#include <stdlib.h>

#include "rp_replica_internal.h"

#define MAX_ROUND_SEND_TIMES 64 /* newest rounds whose send time is kept */

void
RpReplica_UpdatePeers(struct rp_replica *replica, int64_t now)
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
        const struct rp_peer peer = {
            .id = member->id,
            .next_index = RpReplicaLog_LastIndex(replica) + 1,
            .last_contact = now,
            .last_heard = now};
        if (member->id != replica->id &&
            !RpReplica_FindPeer(replica, member->id)) {
            g_array_append_val(replica->peers, peer);
        }
    }
}

void
RpReplica_BecomeLeader(struct rp_replica *replica, int64_t now)
{
    replica->role = RP_REPLICA_LEADER;
    replica->no_leader_since_start = false;
    replica->leader_id = replica->id;
    g_array_set_size(replica->peers, 0);
    RpReplica_UpdatePeers(replica, now);
    struct rp_peer *last_leader = RpReplica_FindPeer(replica,
                                                     replica->last_leader_id);
    if (last_leader) {
        /* Its silence began before this replica became the leader. */
        last_leader->last_heard = replica->last_leader_contact;
    }
    RpReplica_AppendEntry(replica, RP_ENTRY_NOOP, NULL);
    RpReplica_AdvanceCommit(replica);
    RpReplica_BroadcastAppend(replica, now, true);
}

/* Returns when a round was sent; 0 if that is no longer known or the round
 * does not exist. */
static int64_t
find_round_send_time(const struct rp_replica *replica, uint64_t round)
{
    uint64_t age = replica->round - round;

    if (round > replica->round || age >= replica->round_send_times->len) {
        return 0;
    }
    return g_array_index(replica->round_send_times, int64_t,
                         replica->round_send_times->len - 1 - age);
}

/* Starts a new round and records when it is sent. */
static void
begin_round(struct rp_replica *replica, int64_t now)
{
    replica->round++;
    if (replica->round_send_times->len == MAX_ROUND_SEND_TIMES) {
        g_array_remove_index(replica->round_send_times, 0);
    }
    g_array_append_val(replica->round_send_times, now);
}

static void
send_snapshot_chunk(struct rp_replica *replica, struct rp_peer *peer)
{
    const GString *bytes = replica->snapshot_bytes;
    uint64_t offset = MIN(peer->snapshot_offset, bytes->len);
    uint64_t len = MIN(bytes->len - offset, RP_SNAPSHOT_CHUNK_BYTES);
    struct rp_msg msg = {.type = RP_MSG_SNAPSHOT,
                         .snapshot = {.from = replica->id,
                                      .to = peer->id,
                                      .term = replica->term,
                                      .index = replica->snapshot->index,
                                      .offset = offset,
                                      .total = bytes->len,
                                      .data = g_string_new_len(
                                          bytes->str + offset, (gssize)len)}};

    RpReplica_QueueMessage(replica, peer->id, &msg);
}

/* Sends the entries from the peer's next index on, or none as a heartbeat;
 * a chunk of the snapshot if the log no longer holds the entry before. */
static void
send_append(struct rp_replica *replica, struct rp_peer *peer)
{
    struct rp_msg msg = {
        .type = RP_MSG_APPEND,
        .append = {.from = replica->id,
                   .to = peer->id,
                   .term = replica->term,
                   .previous_index = peer->next_index - 1,
                   .committed = replica->commit_index,
                   .round = replica->round,
                   .fresh = replica->lease_is_valid,
                   .entries = RpSchema_NewList(&rp_log_entry_schema)}};
    struct rp_msg_append *append = &msg.append;

    if (!RpReplicaLog_TermAt(replica, peer->next_index - 1,
                             &append->previous_term)) {
        RpMsg_Clear(&msg);
        send_snapshot_chunk(replica, peer);
        return;
    }
    for (uint64_t i = 0; i < RP_APPEND_MAX_ENTRIES; i++) {
        const struct rp_log_entry *entry = RpReplicaLog_EntryAt(
            replica, peer->next_index + i);
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
    peer->append_in_flight = true;
    RpReplica_QueueMessage(replica, peer->id, &msg);
}

void
RpReplica_BroadcastAppend(struct rp_replica *replica, int64_t now,
                          bool heartbeat)
{
    begin_round(replica, now);
    replica->lease_is_valid = RpReplica_IsFresh(replica, now);
    for (guint i = 0; i < replica->peers->len; i++) {
        struct rp_peer *peer = &g_array_index(replica->peers, struct rp_peer,
                                              i);
        if (heartbeat || !peer->append_in_flight) {
            send_append(replica, peer);
        }
    }
    replica->heartbeat_deadline = now + RP_HEARTBEAT_INTERVAL_US;
}

static int
compare_times_descending(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;

    return (left < right) - (left > right);
}

int64_t
RpReplica_LastQuorumContact(const struct rp_replica *replica)
{
    int64_t times[RP_REPLICA_MEMBERS_MAX];
    size_t count = 0;
    size_t other_votes_needed = RpReplica_Quorum(replica) -
                                RpReplica_IsVoter(replica, replica->id);

    if (other_votes_needed == 0) {
        return RP_NEVER;
    }
    for (guint i = 0; i < replica->peers->len; i++) {
        const struct rp_peer *peer = &g_array_index(replica->peers,
                                                    struct rp_peer, i);
        if (RpReplica_IsVoter(replica, peer->id)) {
            times[count++] = peer->last_contact;
        }
    }
    if (count < other_votes_needed) {
        return 0;
    }
    qsort(times, count, sizeof *times, compare_times_descending);
    return times[other_votes_needed - 1];
}

int
RpReplica_FailuresTolerated(const struct rp_replica *replica, int64_t now)
{
    int answering = RpReplica_IsVoter(replica, replica->id);

    if (replica->role != RP_REPLICA_LEADER) {
        return -1;
    }
    for (guint i = 0; i < replica->peers->len; i++) {
        const struct rp_peer *peer = &g_array_index(replica->peers,
                                                    struct rp_peer, i);
        answering += RpReplica_IsVoter(replica, peer->id) &&
                     peer->last_contact > now - RP_ELECTION_TIMEOUT_US;
    }
    return answering - (int)RpReplica_Quorum(replica);
}

void
RpReplica_LeaderTick(struct rp_replica *replica, int64_t now)
{
    if (RpReplica_LastQuorumContact(replica) <= now - RP_ELECTION_TIMEOUT_US) {
        RpReplica_BecomeFollower(replica, now, replica->term, 0);
        return;
    }
    RpReplica_UpdateMembers(replica, now);
    if (now >= replica->heartbeat_deadline) {
        RpReplica_BroadcastAppend(replica, now, true);
    }
}

/* Counts the voters, this replica included, that have stored the entry. */
static size_t
count_voters_with_entry(const struct rp_replica *replica, uint64_t index)
{
    size_t count = RpReplica_IsVoter(replica, replica->id);

    for (guint i = 0; i < replica->peers->len; i++) {
        const struct rp_peer *peer = &g_array_index(replica->peers,
                                                    struct rp_peer, i);
        count += peer->match_index >= index &&
                 RpReplica_IsVoter(replica, peer->id);
    }
    return count;
}

void
RpReplica_AdvanceCommit(struct rp_replica *replica)
{
    uint64_t term = 0;
    uint64_t index = RpReplicaLog_LastIndex(replica);

    /* A majority that stores an entry of an earlier term does not commit it:
     * a later leader could still overwrite it. Such entries are committed
     * together with the first entry of this leader's term. */
    while (index > replica->commit_index &&
           count_voters_with_entry(replica, index) <
               RpReplica_Quorum(replica)) {
        index--;
    }
    if (index > replica->commit_index &&
        RpReplicaLog_TermAt(replica, index, &term) && term == replica->term) {
        replica->commit_index = index;
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
    peer->last_heard = now;
    peer->append_in_flight = false;
    if (reply->round > peer->acked_round) {
        peer->acked_round = reply->round;
        peer->last_contact = MAX(peer->last_contact,
                                 find_round_send_time(replica, reply->round));
    }
    bool lease_was_valid = replica->lease_is_valid;
    replica->lease_is_valid = RpReplica_IsFresh(replica, now);
    if (!reply->accepted) {
        /* The peer's log does not hold the entry before next_index. Go back
         * by at least one entry, to the one after the index in the reply, but
         * not to entries that the peer is known to store. */
        peer->next_index = MIN(peer->next_index - 1, reply->match + 1);
        peer->next_index = MAX(peer->next_index, peer->match_index + 1);
        peer->snapshot_offset = 0;
        send_append(replica, peer);
        return;
    }
    peer->match_index = MAX(peer->match_index, reply->match);
    peer->next_index = MAX(peer->next_index, peer->match_index + 1);
    RpReplica_AdvanceCommit(replica);
    replica->lease_is_valid = RpReplica_IsFresh(replica, now);
    if (replica->lease_is_valid && !lease_was_valid) {
        /* A follower sends no node its first table until it knows that the
         * leader's lease is valid, so tell all followers now. */
        RpReplica_BroadcastAppend(replica, now, true);
        return;
    }
    if (peer->next_index <= RpReplicaLog_LastIndex(replica)) {
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
    peer->last_heard = now;
    replica->lease_is_valid = RpReplica_IsFresh(replica, now);
    peer->snapshot_offset = reply->offset;
    if (reply->offset < replica->snapshot_bytes->len) {
        send_snapshot_chunk(replica, peer);
        return;
    }
    peer->match_index = MAX(peer->match_index, reply->index);
    peer->next_index = MAX(peer->next_index, reply->index + 1);
    send_append(replica, peer);
}
