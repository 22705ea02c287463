/* The leader's side: heartbeats, log replication, the commit index, and
 * snapshots for peers that need entries which the log no longer holds.
 *
 * Entries and chunks are sent to a peer one message at a time, so that a peer
 * that does not answer has only that one in its queue.
 *
 * Each broadcast of appends is a round with a number. Replies echo the
 * number, so the leader knows when the round that a peer has answered was
 * sent; its lease and confirmed reads rest on that. */
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

/* Returns an append without entries that follows the entry `previous_index`,
 * of which only the term is left to fill in. */
static struct rp_msg
make_append(const struct rp_replica *replica, const struct rp_peer *peer,
            uint64_t previous_index)
{
    return (struct rp_msg){
        .type = RP_MSG_APPEND,
        .append = {.from = replica->id,
                   .to = peer->id,
                   .term = replica->term,
                   .previous_index = previous_index,
                   .committed = replica->commit_index,
                   .round = replica->round,
                   .fresh = replica->lease_is_valid,
                   .entries = RpSchema_NewList(&rp_log_entry_schema)}};
}

/* Appends copies of the entries from `index` on, as many as one append may
 * hold, and at least one if there is one. */
static void
append_entries(const struct rp_replica *replica, uint64_t index,
               GArray *entries)
{
    size_t bytes = 0;

    for (guint i = 0; i < RP_APPEND_MAX_ENTRIES; i++) {
        const struct rp_log_entry *entry = RpReplicaLog_EntryAt(replica,
                                                                index + i);
        if (!entry ||
            (i > 0 && bytes + entry->data->len > RP_APPEND_MAX_BYTES)) {
            return;
        }
        bytes += entry->data->len;
        g_array_set_size(entries, i + 1);
        struct rp_log_entry *copy = &g_array_index(entries,
                                                   struct rp_log_entry, i);
        *copy = *entry;
        copy->data = g_string_new_len(entry->data->str,
                                      (gssize)entry->data->len);
    }
}

/* Sends the entries from the peer's next index on; a chunk of the snapshot if
 * the log no longer holds the entry before. */
static void
send_data(struct rp_replica *replica, struct rp_peer *peer)
{
    struct rp_msg msg = make_append(replica, peer, peer->next_index - 1);
    struct rp_msg_append *append = &msg.append;

    peer->data_in_flight = true;
    peer->in_flight_until_round = replica->round + 1;
    if (!RpReplicaLog_TermAt(replica, peer->next_index - 1,
                             &append->previous_term)) {
        RpMsg_Clear(&msg);
        peer->in_flight_last = replica->snapshot->index;
        send_snapshot_chunk(replica, peer);
        return;
    }
    append_entries(replica, peer->next_index, append->entries);
    peer->in_flight_last = append->previous_index + append->entries->len;
    peer->told_commit_index = MIN(append->committed, peer->in_flight_last);
    RpReplica_QueueMessage(replica, peer->id, &msg);
}

/* Sends an append without entries, which the peer accepts whatever data is in
 * flight to it: it follows the last entry that the peer is known to store, or
 * none if the log no longer holds that one. */
static void
send_heartbeat(struct rp_replica *replica, struct rp_peer *peer)
{
    struct rp_msg msg = make_append(replica, peer, peer->match_index);

    if (!RpReplicaLog_TermAt(replica, peer->match_index,
                             &msg.append.previous_term)) {
        msg.append.previous_index = 0;
        msg.append.previous_term = 0;
    }
    peer->told_commit_index = MIN(msg.append.committed,
                                  msg.append.previous_index);
    RpReplica_QueueMessage(replica, peer->id, &msg);
}

/* Whether the peer lacks entries, or is not known to store them, and none are
 * in flight to it. */
static bool
needs_data(const struct rp_replica *replica, const struct rp_peer *peer)
{
    return !peer->data_in_flight &&
           peer->match_index < RpReplicaLog_LastIndex(replica);
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
        if (needs_data(replica, peer)) {
            send_data(replica, peer);
        }
        else if (heartbeat) {
            send_heartbeat(replica, peer);
        }
    }
    replica->heartbeat_deadline = now + RP_HEARTBEAT_INTERVAL_US;
}

/* Whether the peer has answered a round that was sent at `time` or later. */
static bool
is_in_contact_since(const struct rp_peer *peer, uint64_t time)
{
    return peer->last_contact >= (int64_t)time;
}

int64_t
RpReplica_LastQuorumContact(const struct rp_replica *replica)
{
    int64_t newest = 0;

    if (RpReplica_HasQuorum(replica, is_in_contact_since, RP_NEVER)) {
        return RP_NEVER;
    }
    for (guint i = 0; i < replica->peers->len; i++) {
        int64_t time =
            g_array_index(replica->peers, struct rp_peer, i).last_contact;
        if (time > newest && RpReplica_HasQuorum(replica, is_in_contact_since,
                                                 (uint64_t)time)) {
            newest = time;
        }
    }
    return newest;
}

int
RpReplica_FailuresTolerated(const struct rp_replica *replica, int64_t now)
{
    uint64_t since = (uint64_t)(now - RP_ELECTION_TIMEOUT_US + 1);

    if (replica->role != RP_REPLICA_LEADER) {
        return -1;
    }
    return (int)RpReplica_CountAgreeing(replica, replica->members,
                                        is_in_contact_since, since) -
           (int)RpReplica_Quorum(replica);
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

bool
RpReplica_HasStored(const struct rp_peer *peer, uint64_t index)
{
    return peer->match_index >= index;
}

/* Commits what a quorum has stored. Returns whether anything was committed. */
static bool
commit_stored_entries(struct rp_replica *replica)
{
    uint64_t term = 0;
    uint64_t index = RpReplicaLog_LastIndex(replica);

    /* A quorum that stores an entry of an earlier term does not commit it:
     * a later leader could still overwrite it. Such entries are committed
     * together with the first entry of this leader's term. */
    while (index > replica->commit_index &&
           !RpReplica_HasQuorum(replica, RpReplica_HasStored, index)) {
        index--;
    }
    if (index > replica->commit_index &&
        RpReplicaLog_TermAt(replica, index, &term) && term == replica->term) {
        replica->commit_index = index;
        RpReplica_ApplyCommitted(replica);
        return true;
    }
    return false;
}

void
RpReplica_AdvanceCommit(struct rp_replica *replica)
{
    while (commit_stored_entries(replica)) {
        RpReplica_ConfirmMembers(replica);
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
    peer->leaving = reply->leaving;
    /* An answer to a later round arrives after the one to the data, unless the
     * data was lost. */
    if (!reply->accepted || reply->match >= peer->in_flight_last ||
        reply->round >= peer->in_flight_until_round) {
        peer->data_in_flight = false;
    }
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
        send_data(replica, peer);
        return;
    }
    peer->match_index = MAX(peer->match_index, reply->match);
    peer->next_index = MAX(peer->next_index, peer->match_index + 1);
    if (peer->caught_up_round == 0 && RpReplica_IsCaughtUp(replica, peer)) {
        peer->caught_up_round = replica->round;
    }
    RpReplica_AdvanceCommit(replica);
    replica->lease_is_valid = RpReplica_IsFresh(replica, now);
    if (replica->lease_is_valid && !lease_was_valid) {
        /* A follower sends no node its first table until it knows that the
         * leader's lease is valid, so tell all followers now. */
        RpReplica_BroadcastAppend(replica, now, true);
        return;
    }
    if (needs_data(replica, peer)) {
        send_data(replica, peer);
    }
    else if (!peer->data_in_flight &&
             peer->told_commit_index < replica->commit_index) {
        send_heartbeat(replica, peer);
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
    if (reply->offset >= replica->snapshot_bytes->len) {
        peer->match_index = MAX(peer->match_index, reply->index);
        peer->next_index = MAX(peer->next_index, reply->index + 1);
    }
    send_data(replica, peer);
}
