/* The follower's side: appends and snapshot chunks from the leader. */
#include <assert.h>

#include "rp_replica_internal.h"

/* Returns false if the message is from an earlier term. Otherwise follows
 * its sender as the leader of its term, records the contact and restarts the
 * election timer. */
static bool
accept_leader(struct rp_replica *replica, int64_t now, uint64_t term,
              uint64_t leader)
{
    if (term < replica->term) {
        return false;
    }
    assert(term > replica->term || replica->role != RP_REPLICA_LEADER);
    RpReplica_BecomeFollower(replica, now, term, leader);
    replica->last_leader_id = leader;
    replica->last_leader_contact = now;
    replica->no_leader_since_start = false;
    RpReplica_ResetElectionTimer(replica, now);
    return true;
}

static void
reply_append(struct rp_replica *replica, const struct rp_msg_append *append,
             bool accepted, uint64_t match)
{
    struct rp_msg msg = {.type = RP_MSG_APPEND_REPLY,
                         .append_reply = {.from = replica->id,
                                          .to = append->from,
                                          .term = replica->term,
                                          .round = append->round,
                                          .accepted = accepted,
                                          .match = match,
                                          .leaving = replica->leaving}};

    RpReplica_QueueMessage(replica, append->from, &msg);
}

/* Stores one entry of the leader. An entry of another term at its index is
 * truncated first, with all that follow it. */
static void
store_leader_entry(struct rp_replica *replica,
                   const struct rp_log_entry *entry)
{
    uint64_t term;

    if (RpReplicaLog_TermAt(replica, entry->index, &term)) {
        if (term == entry->term) {
            return;
        }
        RpReplica_AddAction(replica, RP_REPLICA_STORE_TRUNCATE)->index =
            entry->index;
        RpReplicaLog_Truncate(replica, entry->index);
    }
    const struct rp_log_entry *added = RpReplicaLog_Append(replica, entry);
    RpReplica_AddAction(replica, RP_REPLICA_STORE_ENTRY)->entry = added;
}

/* Whether the entries have consecutive indexes after the previous index. */
static bool
entries_are_consecutive(const struct rp_msg_append *append)
{
    for (guint i = 0; i < append->entries->len; i++) {
        const struct rp_log_entry *entry = &g_array_index(
            append->entries, struct rp_log_entry, i);
        if (entry->index != append->previous_index + 1 + i) {
            return false;
        }
    }
    return true;
}

void
RpReplica_OnAppend(struct rp_replica *replica, int64_t now,
                   const struct rp_msg_append *append)
{
    uint64_t term;
    uint64_t last = append->previous_index + append->entries->len;

    if (!accept_leader(replica, now, append->term, append->from)) {
        reply_append(replica, append, false, RpReplicaLog_LastIndex(replica));
        return;
    }
    if (append->fresh) {
        replica->last_fresh_contact = now;
        replica->leader_commit_index = append->committed;
    }
    /* Entries up to the snapshot's index are committed, so they match the
     * leader's log and need no check. */
    uint64_t snapshot_index = replica->snapshot ? replica->snapshot->index : 0;
    bool log_matches = append->previous_index < snapshot_index ||
                       (RpReplicaLog_TermAt(replica, append->previous_index,
                                            &term) &&
                        term == append->previous_term);
    if (!log_matches || !entries_are_consecutive(append)) {
        /* The reply's match index is where the leader retries from: before
         * the entry that does not match. */
        reply_append(
            replica, append, false,
            MIN(RpReplicaLog_LastIndex(replica),
                append->previous_index ? append->previous_index - 1 : 0));
        return;
    }
    for (guint i = 0; i < append->entries->len; i++) {
        const struct rp_log_entry *entry = &g_array_index(
            append->entries, struct rp_log_entry, i);
        if (entry->index > snapshot_index) {
            store_leader_entry(replica, entry);
        }
    }
    uint64_t match_index = MAX(last, snapshot_index);
    if (append->committed > replica->commit_index) {
        replica->commit_index = MIN(append->committed, match_index);
        replica->commit_index = MAX(replica->commit_index,
                                    replica->last_applied);
        RpReplica_ApplyCommitted(replica);
    }
    reply_append(replica, append, true, match_index);
}

/* Tells the leader how many bytes of the snapshot have arrived; it sends the
 * next chunk from there. */
static void
reply_snapshot(struct rp_replica *replica, const struct rp_msg_snapshot *chunk,
               uint64_t offset)
{
    struct rp_msg msg = {.type = RP_MSG_SNAPSHOT_REPLY,
                         .snapshot_reply = {.from = replica->id,
                                            .to = chunk->from,
                                            .term = replica->term,
                                            .index = chunk->index,
                                            .offset = offset}};

    RpReplica_QueueMessage(replica, chunk->from, &msg);
}

static void
discard_incoming_snapshot(struct rp_replica *replica)
{
    if (replica->incoming_snapshot) {
        g_string_free(replica->incoming_snapshot, TRUE);
    }
    replica->incoming_snapshot = NULL;
}

/* Decodes the complete snapshot and replaces the log and state by it if it
 * is ahead of the commit index. Returns false if it does not decode. */
static bool
install_snapshot(struct rp_replica *replica)
{
    struct rp_snapshot snapshot;
    struct rp_str bytes = {.data = replica->incoming_snapshot->str,
                           .len = replica->incoming_snapshot->len};

    if (!RpSchema_Decode(&rp_snapshot_schema, bytes, &snapshot)) {
        RpReplica_AddAction(replica, RP_REPLICA_REPORT_BAD_SNAPSHOT)->index =
            replica->incoming_snapshot_index;
        return false;
    }
    if (snapshot.index > replica->commit_index) {
        RpReplicaLog_SetSnapshot(replica, &snapshot);
        replica->commit_index = snapshot.index;
        replica->last_applied = snapshot.index;
        RpReplica_AddAction(replica, RP_REPLICA_STORE_SNAPSHOT)->snapshot =
            replica->snapshot;
    }
    RpSchema_Clear(&rp_snapshot_schema, &snapshot);
    return true;
}

void
RpReplica_OnSnapshot(struct rp_replica *replica, int64_t now,
                     const struct rp_msg_snapshot *chunk)
{
    if (!accept_leader(replica, now, chunk->term, chunk->from)) {
        reply_snapshot(replica, chunk, 0);
        return;
    }
    if (chunk->index <= replica->commit_index) {
        reply_snapshot(replica, chunk, chunk->total);
        return;
    }
    if (chunk->offset == 0 ||
        chunk->index != replica->incoming_snapshot_index) {
        discard_incoming_snapshot(replica);
        replica->incoming_snapshot = g_string_new(NULL);
        replica->incoming_snapshot_index = chunk->index;
    }
    if (chunk->offset != replica->incoming_snapshot->len) {
        reply_snapshot(replica, chunk, replica->incoming_snapshot->len);
        return;
    }
    g_string_append_len(replica->incoming_snapshot, chunk->data->str,
                        (gssize)chunk->data->len);
    uint64_t received = replica->incoming_snapshot->len;
    if (received >= chunk->total) {
        bool installed = install_snapshot(replica);
        discard_incoming_snapshot(replica);
        replica->incoming_snapshot_index = 0;
        if (!installed) {
            /* Unacknowledged, so that the leader does not count this replica
             * as one that stores it. */
            return;
        }
    }
    reply_snapshot(replica, chunk, received);
}
