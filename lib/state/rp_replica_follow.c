/* The follower's side: appends and snapshots from the leader. */
#include <assert.h>

#include "rp_replica_internal.h"

/* Whether a message comes from the leader of this or a later term; notes
 * the contact if so. */
static bool
note_leader(struct rp_replica *replica, int64_t now, uint64_t term,
            uint64_t leader)
{
    if (term < replica->term) {
        return false;
    }
    assert(term > replica->term || replica->role != RP_REPLICA_LEADER);
    RpReplica_BecomeFollower(replica, now, term, leader);
    replica->leader_seen = now;
    replica->restarted = false;
    RpReplica_ResetElection(replica, now);
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
                                          .match = match}};

    RpReplica_SendTo(replica, append->from, &msg);
}

/* Stores one entry of the leader, in place of one that differs. */
static void
take_entry(struct rp_replica *replica, const struct rp_log_entry *entry)
{
    uint64_t term;

    if (RpLog_TermAt(replica, entry->index, &term)) {
        if (term == entry->term) {
            return;
        }
        RpReplica_Act(replica, RP_REPLICA_STORE_TRUNCATE)->index =
            entry->index;
        RpLog_Truncate(replica, entry->index);
    }
    const struct rp_log_entry *added = RpLog_Add(replica, entry);
    RpReplica_Act(replica, RP_REPLICA_STORE_ENTRY)->entry = added;
}

/* Whether the entries follow one another from the previous one on. */
static bool
is_in_order(const struct rp_msg_append *append)
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

    if (!note_leader(replica, now, append->term, append->from)) {
        reply_append(replica, append, false, RpLog_LastIndex(replica));
        return;
    }
    if (append->fresh) {
        replica->fresh_seen = now;
        replica->leader_committed = append->committed;
    }
    /* What the snapshot covers is committed and agrees in any case. */
    uint64_t covered = replica->snapshot ? replica->snapshot->index : 0;
    bool agrees = append->previous_index < covered ||
                  (RpLog_TermAt(replica, append->previous_index, &term) &&
                   term == append->previous_term);
    if (!agrees || !is_in_order(append)) {
        reply_append(
            replica, append, false,
            MIN(RpLog_LastIndex(replica),
                append->previous_index ? append->previous_index - 1 : 0));
        return;
    }
    for (guint i = 0; i < append->entries->len; i++) {
        const struct rp_log_entry *entry = &g_array_index(
            append->entries, struct rp_log_entry, i);
        if (entry->index > covered) {
            take_entry(replica, entry);
        }
    }
    uint64_t agreed = MAX(last, covered);
    if (append->committed > replica->committed) {
        replica->committed = MIN(append->committed, agreed);
        replica->committed = MAX(replica->committed, replica->applied);
        RpReplica_ApplyCommitted(replica);
    }
    reply_append(replica, append, true, agreed);
}

static void
reply_snapshot(struct rp_replica *replica, const struct rp_msg_snapshot *part,
               uint64_t offset)
{
    struct rp_msg msg = {.type = RP_MSG_SNAPSHOT_REPLY,
                         .snapshot_reply = {.from = replica->id,
                                            .to = part->from,
                                            .term = replica->term,
                                            .index = part->index,
                                            .offset = offset}};

    RpReplica_SendTo(replica, part->from, &msg);
}

static void
drop_incoming(struct rp_replica *replica)
{
    if (replica->incoming) {
        g_string_free(replica->incoming, TRUE);
    }
    replica->incoming = NULL;
}

/* All parts are in: takes the snapshot if it is newer than what is here. */
static void
install(struct rp_replica *replica)
{
    struct rp_snapshot snapshot;
    struct rp_str bytes = {.data = replica->incoming->str,
                           .len = replica->incoming->len};

    if (!RpSchema_Decode(&rp_snapshot_schema, bytes, &snapshot)) {
        return;
    }
    if (snapshot.index > replica->committed) {
        RpLog_SetSnapshot(replica, &snapshot);
        replica->committed = snapshot.index;
        replica->applied = snapshot.index;
        RpReplica_Act(replica, RP_REPLICA_STORE_SNAPSHOT)->snapshot =
            replica->snapshot;
    }
    RpSchema_Clear(&rp_snapshot_schema, &snapshot);
}

void
RpReplica_OnSnapshot(struct rp_replica *replica, int64_t now,
                     const struct rp_msg_snapshot *part)
{
    if (!note_leader(replica, now, part->term, part->from)) {
        reply_snapshot(replica, part, 0);
        return;
    }
    if (part->index <= replica->committed) {
        reply_snapshot(replica, part, part->total);
        return;
    }
    if (part->offset == 0 || part->index != replica->incoming_index) {
        drop_incoming(replica);
        replica->incoming = g_string_new(NULL);
        replica->incoming_index = part->index;
    }
    if (part->offset != replica->incoming->len) {
        reply_snapshot(replica, part, replica->incoming->len);
        return;
    }
    g_string_append_len(replica->incoming, part->data->str,
                        (gssize)part->data->len);
    uint64_t got = replica->incoming->len;
    if (got >= part->total) {
        install(replica);
        drop_incoming(replica);
        replica->incoming_index = 0;
    }
    reply_snapshot(replica, part, got);
}
