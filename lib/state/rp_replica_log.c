/* The log in memory: an optional snapshot and the entries after it. */
#include <assert.h>

#include "rp_replica_internal.h"

static uint64_t
snapshot_index(const struct rp_replica *replica)
{
    return replica->snapshot ? replica->snapshot->index : 0;
}

uint64_t
RpReplicaLog_LastIndex(const struct rp_replica *replica)
{
    return snapshot_index(replica) + replica->log->len;
}

uint64_t
RpReplicaLog_LastTerm(const struct rp_replica *replica)
{
    uint64_t term = 0;

    RpReplicaLog_TermAt(replica, RpReplicaLog_LastIndex(replica), &term);
    return term;
}

const struct rp_log_entry *
RpReplicaLog_EntryAt(const struct rp_replica *replica, uint64_t index)
{
    uint64_t first = snapshot_index(replica) + 1;

    if (index < first || index > RpReplicaLog_LastIndex(replica)) {
        return NULL;
    }
    return g_ptr_array_index(replica->log, index - first);
}

bool
RpReplicaLog_TermAt(const struct rp_replica *replica, uint64_t index,
                    uint64_t *term)
{
    const struct rp_log_entry *entry = RpReplicaLog_EntryAt(replica, index);

    if (entry) {
        *term = entry->term;
        return true;
    }
    if (index == snapshot_index(replica)) {
        *term = replica->snapshot ? replica->snapshot->term : 0;
        return true;
    }
    return false;
}

const struct rp_log_entry *
RpReplicaLog_Append(struct rp_replica *replica,
                    const struct rp_log_entry *entry)
{
    struct rp_log_entry *copy = g_memdup2(entry, sizeof *entry);

    assert(entry->index == RpReplicaLog_LastIndex(replica) + 1);
    copy->data = g_string_new_len(entry->data->str, (gssize)entry->data->len);
    g_ptr_array_add(replica->log, copy);
    if (entry->kind == RP_ENTRY_MEMBERS) {
        RpReplicaLog_RefreshMembers(replica);
    }
    return copy;
}

void
RpReplicaLog_Truncate(struct rp_replica *replica, uint64_t index)
{
    uint64_t first = snapshot_index(replica) + 1;

    assert(index >= first && index > replica->commit_index);
    if (index <= RpReplicaLog_LastIndex(replica)) {
        g_ptr_array_set_size(replica->log, (gint)(index - first));
        RpReplicaLog_RefreshMembers(replica);
    }
}

void
RpReplicaLog_FreeSnapshot(struct rp_snapshot *snapshot)
{
    if (snapshot) {
        RpSchema_Clear(&rp_snapshot_schema, snapshot);
        g_free(snapshot);
    }
}

struct rp_snapshot *
RpReplicaLog_CopySnapshot(const struct rp_snapshot *snapshot)
{
    struct rp_snapshot *copy = g_new0(struct rp_snapshot, 1);

    copy->index = snapshot->index;
    copy->term = snapshot->term;
    copy->members = RpSchema_NewList(&rp_replica_member_schema);
    g_array_append_vals(copy->members, snapshot->members->data,
                        snapshot->members->len);
    copy->data = g_string_new_len(snapshot->data->str,
                                  (gssize)snapshot->data->len);
    return copy;
}

void
RpReplicaLog_SetSnapshot(struct rp_replica *replica,
                         const struct rp_snapshot *snapshot)
{
    uint64_t first = snapshot_index(replica) + 1;
    uint64_t term = 0;
    bool agrees = RpReplicaLog_TermAt(replica, snapshot->index, &term) &&
                  term == snapshot->term;

    /* Keep the entries after the snapshot only if the log holds the
     * snapshot's last entry with the same term. */
    if (!agrees) {
        g_ptr_array_set_size(replica->log, 0);
    }
    else if (snapshot->index >= first) {
        g_ptr_array_remove_range(replica->log, 0,
                                 (guint)(snapshot->index - first + 1));
    }
    struct rp_snapshot *copy = RpReplicaLog_CopySnapshot(snapshot);
    RpReplicaLog_FreeSnapshot(replica->snapshot);
    replica->snapshot = copy;
    if (replica->snapshot_bytes) {
        g_string_free(replica->snapshot_bytes, TRUE);
    }
    replica->snapshot_bytes = RpSchema_Encode(&rp_snapshot_schema, copy);
    RpReplicaLog_RefreshMembers(replica);
}

/* Appends the members that an entry lists to `list`. Returns false if the
 * entry is of another kind or does not decode. */
static bool
append_entry_members(const struct rp_log_entry *entry, GArray *list)
{
    struct rp_replica_members members;
    struct rp_str bytes = {.data = entry->data->str, .len = entry->data->len};

    if (entry->kind != RP_ENTRY_MEMBERS ||
        !RpSchema_Decode(&rp_replica_members_schema, bytes, &members)) {
        return false;
    }
    g_array_append_vals(list, members.list->data, members.list->len);
    RpSchema_Clear(&rp_replica_members_schema, &members);
    return true;
}

/* Does what RpReplicaLog_MembersAt does; also sets `*source_index` to the
 * index of the entry, or of the snapshot, that lists the members. */
static GArray *
find_members_at(const struct rp_replica *replica, uint64_t index,
                uint64_t *source_index)
{
    GArray *list = RpSchema_NewList(&rp_replica_member_schema);

    for (*source_index = index; *source_index > snapshot_index(replica);
         (*source_index)--) {
        if (append_entry_members(RpReplicaLog_EntryAt(replica, *source_index),
                                 list)) {
            return list;
        }
    }
    if (replica->snapshot) {
        g_array_append_vals(list, replica->snapshot->members->data,
                            replica->snapshot->members->len);
    }
    return list;
}

GArray *
RpReplicaLog_MembersAt(const struct rp_replica *replica, uint64_t index)
{
    uint64_t source_index;

    return find_members_at(replica, index, &source_index);
}

void
RpReplicaLog_RefreshMembers(struct rp_replica *replica)
{
    uint64_t previous_index;

    g_array_free(replica->members, TRUE);
    g_array_free(replica->previous_members, TRUE);
    replica->members = find_members_at(
        replica, RpReplicaLog_LastIndex(replica), &replica->members_index);
    replica->previous_members = find_members_at(
        replica, MAX(replica->members_index, 1) - 1, &previous_index);
}
