/* The storage side of a replica: journal records, syncs, snapshots and
 * recovery from disk errors. */
#include "control_replica.h"

#include <sodium.h>
#include <string.h>

#include "rp_bytes.h"
#include "rp_clock.h"
#include "rp_journal.h"

/* Growth of the journal, in bytes, after which it is compacted. */
#define COMPACT_GROWTH_BYTES (4u << 20)
#define VOTE_SIZE 16
#define NUMBER_SIZE 8

enum record_kind {
    RECORD_IDENTITY = 1, /* the replica's id */
    RECORD_VOTE,         /* term and id that got the vote */
    RECORD_ENTRY,        /* struct rp_log_entry */
    RECORD_TRUNCATE,     /* index from which on entries are dropped */
    RECORD_SNAPSHOT      /* struct rp_snapshot */
};

struct rp_control_replica {
    const struct rp_control_replica_ops *ops;
    void *user;
    struct rp_counters *counters; /* NULL: durations are not recorded */
    char *folder;
    struct rp_journal *journal; /* NULL if reopening it failed */
    struct rp_replica *replica;
    struct rp_catalog *catalog;
    uint64_t id;
    size_t min_voters;   /* see RpReplica_SetMinVoters */
    uint64_t compact_at; /* size of the journal, in bytes */
    int64_t opened_at;
    bool unsynced; /* records were written after the last sync */
    /* The disk failed: until the journal is reopened, messages and join
     * requests are ignored and proposals are refused. */
    bool failed;
    int64_t retry_deadline; /* when to reopen a failed journal */
    /* run_actions is under way: a nested call returns at once, and the outer
     * call runs the actions that it left. */
    bool running_actions;
    bool leaving; /* RpControlReplica_Leave was called */
};

static struct rp_str
as_str(const GString *text)
{
    return (struct rp_str){.data = text->str, .len = text->len};
}

static enum rp_code
load_identity(struct rp_control_replica *self, struct rp_str payload)
{
    uint64_t seed;

    if (payload.len != NUMBER_SIZE || self->replica) {
        return RP_ERR_FORMAT;
    }
    self->id = RpBytes_Get64((const uint8_t *)payload.data);
    randombytes_buf(&seed, sizeof seed);
    self->replica = RpReplica_Create(self->id, seed, self->opened_at);
    return RP_OK;
}

static enum rp_code
load_vote(struct rp_control_replica *self, struct rp_str payload)
{
    const uint8_t *bytes = (const uint8_t *)payload.data;

    if (payload.len != VOTE_SIZE) {
        return RP_ERR_FORMAT;
    }
    RpReplica_LoadVote(self->replica, RpBytes_Get64(bytes),
                       RpBytes_Get64(bytes + NUMBER_SIZE));
    return RP_OK;
}

static enum rp_code
load_entry(struct rp_control_replica *self, struct rp_str payload)
{
    struct rp_log_entry entry;

    if (!RpSchema_Decode(&rp_log_entry_schema, payload, &entry)) {
        return RP_ERR_FORMAT;
    }
    enum rp_code code = RpReplica_LoadEntry(self->replica, &entry);
    RpSchema_Clear(&rp_log_entry_schema, &entry);
    return code;
}

static enum rp_code
load_snapshot(struct rp_control_replica *self, struct rp_str payload)
{
    struct rp_snapshot snapshot;

    if (!RpSchema_Decode(&rp_snapshot_schema, payload, &snapshot)) {
        return RP_ERR_FORMAT;
    }
    RpReplica_LoadSnapshot(self->replica, &snapshot);
    enum rp_code code = RpCatalog_Restore(self->catalog,
                                          as_str(snapshot.data));
    RpSchema_Clear(&rp_snapshot_schema, &snapshot);
    return code;
}

static enum rp_code
load_record(struct rp_control_replica *self, const struct rp_record *record)
{
    if (record->kind != RECORD_IDENTITY && !self->replica) {
        return RP_ERR_FORMAT;
    }
    switch ((enum record_kind)record->kind) {
    case RECORD_IDENTITY:
        return load_identity(self, record->payload);
    case RECORD_VOTE:
        return load_vote(self, record->payload);
    case RECORD_ENTRY:
        return load_entry(self, record->payload);
    case RECORD_TRUNCATE:
        if (record->payload.len != NUMBER_SIZE) {
            return RP_ERR_FORMAT;
        }
        RpReplica_LoadTruncate(
            self->replica,
            RpBytes_Get64((const uint8_t *)record->payload.data));
        return RP_OK;
    case RECORD_SNAPSHOT:
        return load_snapshot(self, record->payload);
    }
    return RP_ERR_FORMAT;
}

static enum rp_code
on_record(void *user, const struct rp_record *record, struct rp_error *error)
{
    if (load_record(user, record) != RP_OK) {
        return RpError_Add(error, RP_ERR_CORRUPT, "journal",
                           "contains a record that cannot be decoded");
    }
    return RP_OK;
}

static void
append_record(struct rp_control_replica *self, enum record_kind kind,
              struct rp_str payload)
{
    const struct rp_record record = {.kind = (uint8_t)kind,
                                     .payload = payload};

    RpJournal_Append(self->journal, &record);
    self->unsynced = true;
}

static void
enter_failed_state(struct rp_control_replica *self, struct rp_error *error)
{
    self->failed = true;
    self->retry_deadline = RpClock_Now() + RP_STORAGE_RETRY_US;
    self->ops->failed(self->user, error);
}

static void store_vote(struct rp_control_replica *self, uint64_t term,
                       uint64_t voted_for);

/* Opens the journal and proves that the disk takes writes. Without the proof a
 * replica with nothing to store answers, wins its vote back or leads, and
 * fails with the next change. */
static bool
open_and_write(struct rp_control_replica *self, struct rp_error *error)
{
    const struct rp_journal_reader reader = {.visit = on_record, .user = self};

    self->journal = RpJournal_Open(self->folder, &reader, error);
    if (!self->journal || !self->replica) {
        return false;
    }
    store_vote(self, RpReplica_Term(self->replica),
               RpReplica_VotedFor(self->replica));
    self->unsynced = false;
    return RpJournal_Sync(self->journal, error) == RP_OK;
}

/* Discards all state in memory and reads the journal again, as a restart of
 * the process does: after a failed sync it is unknown which records reached
 * the disk. */
static void
reopen_journal(struct rp_control_replica *self, int64_t now)
{
    uint64_t id = self->id;
    struct rp_error error;
    uint64_t seed;

    RpError_Init(&error);
    RpJournal_Close(self->journal);
    RpReplica_Free(self->replica);
    self->replica = NULL;
    RpCatalog_Reset(self->catalog);
    self->opened_at = now;
    self->unsynced = false;
    self->failed = !open_and_write(self, &error);
    if (!self->replica) {
        /* The journal could not be read, not even the replica's id. An empty
         * replica with the previous id stands in, and `failed` keeps it from
         * sending anything. */
        randombytes_buf(&seed, sizeof seed);
        self->replica = RpReplica_Create(id, seed, now);
    }
    RpReplica_SetMinVoters(self->replica, self->min_voters);
    if (self->leaving) {
        RpReplica_Leave(self->replica);
    }
    if (self->failed) {
        enter_failed_state(self, &error);
        self->retry_deadline = now + RP_STORAGE_RETRY_US;
    }
    else {
        self->compact_at = RpJournal_Size(self->journal) +
                           COMPACT_GROWTH_BYTES;
    }
    self->ops->restored(self->user);
    RpError_Clear(&error);
}

/* Syncs the journal if records were written after the last sync. Returns false
 * if the sync failed. */
static bool
sync_journal(struct rp_control_replica *self)
{
    struct rp_error error;
    bool synced = true;

    if (!self->unsynced) {
        return true;
    }
    int64_t started = RpClock_Now();
    RpError_Init(&error);
    if (RpJournal_Sync(self->journal, &error) != RP_OK) {
        enter_failed_state(self, &error);
        synced = false;
    }
    if (self->counters) {
        RpCounters_AddDuration(self->counters, RP_HISTOGRAM_DISK_SYNC,
                               RpClock_Now() - started);
    }
    RpError_Clear(&error);
    self->unsynced = false;
    return synced;
}

/* Gives a new folder an id (a random one if `id` is 0). A replica that lost
 * its disk thus returns under a new id, as a different replica. */
static bool
create_identity(struct rp_control_replica *self, uint64_t id,
                struct rp_error *error)
{
    uint8_t bytes[NUMBER_SIZE];

    RpBytes_Put64(bytes, id);
    while (RpBytes_Get64(bytes) == 0) {
        randombytes_buf(bytes, sizeof bytes);
    }
    struct rp_str payload = {.data = (char *)bytes, .len = sizeof bytes};
    append_record(self, RECORD_IDENTITY, payload);
    self->unsynced = false;
    return RpJournal_Sync(self->journal, error) == RP_OK &&
           load_identity(self, payload) == RP_OK;
}

struct rp_control_replica *
RpControlReplica_Open(const char *folder, uint64_t first_id, int64_t now,
                      const struct rp_control_replica_ops *ops, void *user,
                      struct rp_error *error)
{
    struct rp_control_replica *self = g_new0(struct rp_control_replica, 1);

    self->ops = ops;
    self->user = user;
    self->opened_at = now;
    self->folder = g_strdup(folder);
    self->catalog = RpCatalog_Create();
    const struct rp_journal_reader reader = {.visit = on_record, .user = self};
    self->journal = RpJournal_Open(folder, &reader, error);
    if (!self->journal ||
        (!self->replica && !create_identity(self, first_id, error))) {
        RpControlReplica_Close(self);
        return NULL;
    }
    self->compact_at = RpJournal_Size(self->journal) + COMPACT_GROWTH_BYTES;
    return self;
}

void
RpControlReplica_SetMinVoters(struct rp_control_replica *self,
                              size_t min_voters)
{
    self->min_voters = min_voters;
    RpReplica_SetMinVoters(self->replica, min_voters);
}

void
RpControlReplica_SetCounters(struct rp_control_replica *self,
                             struct rp_counters *counters)
{
    self->counters = counters;
}

void
RpControlReplica_Close(struct rp_control_replica *self)
{
    if (self) {
        RpJournal_Close(self->journal);
        RpReplica_Free(self->replica);
        RpCatalog_Free(self->catalog);
        g_free(self->folder);
        g_free(self);
    }
}

/* Replaces the journal by the id, the vote, the snapshot and the entries after
 * it. */
static void
rewrite_journal(struct rp_control_replica *self)
{
    size_t entries = RpReplica_EntryCount(self->replica);
    const struct rp_snapshot *snapshot = RpReplica_Snapshot(self->replica);
    GPtrArray *texts = g_ptr_array_new();
    GArray *records = g_array_new(FALSE, TRUE, sizeof(struct rp_record));
    uint8_t id[NUMBER_SIZE];
    uint8_t vote[VOTE_SIZE];
    struct rp_error error;

    RpBytes_Put64(id, self->id);
    RpBytes_Put64(vote, RpReplica_Term(self->replica));
    RpBytes_Put64(vote + NUMBER_SIZE, RpReplica_VotedFor(self->replica));
    struct rp_record record = {.kind = RECORD_IDENTITY,
                               .payload = {(char *)id, sizeof id}};
    g_array_append_val(records, record);
    record = (struct rp_record){.kind = RECORD_VOTE,
                                .payload = {(char *)vote, sizeof vote}};
    g_array_append_val(records, record);
    if (snapshot) {
        g_ptr_array_add(texts, RpSchema_Encode(&rp_snapshot_schema, snapshot));
        record = (struct rp_record){
            .kind = RECORD_SNAPSHOT,
            .payload = as_str(g_ptr_array_index(texts, 0))};
        g_array_append_val(records, record);
    }
    for (size_t i = 0; i < entries; i++) {
        GString *text = RpSchema_Encode(&rp_log_entry_schema,
                                        RpReplica_Entry(self->replica, i));
        g_ptr_array_add(texts, text);
        record = (struct rp_record){.kind = RECORD_ENTRY,
                                    .payload = as_str(text)};
        g_array_append_val(records, record);
    }
    RpError_Init(&error);
    if (RpJournal_Rewrite(self->journal,
                          (const struct rp_record *)records->data,
                          records->len, &error) != RP_OK) {
        enter_failed_state(self, &error);
    }
    RpError_Clear(&error);
    self->unsynced = false;
    self->compact_at = RpJournal_Size(self->journal) + COMPACT_GROWTH_BYTES;
    for (guint i = 0; i < texts->len; i++) {
        g_string_free(g_ptr_array_index(texts, i), TRUE);
    }
    g_ptr_array_unref(texts);
    g_array_free(records, TRUE);
}

static void
store_vote(struct rp_control_replica *self, uint64_t term, uint64_t voted_for)
{
    uint8_t vote[VOTE_SIZE];

    RpBytes_Put64(vote, term);
    RpBytes_Put64(vote + NUMBER_SIZE, voted_for);
    append_record(self, RECORD_VOTE,
                  (struct rp_str){(char *)vote, sizeof vote});
}

static void
store_truncate(struct rp_control_replica *self, uint64_t index)
{
    uint8_t bytes[NUMBER_SIZE];

    RpBytes_Put64(bytes, index);
    append_record(self, RECORD_TRUNCATE,
                  (struct rp_str){(char *)bytes, sizeof bytes});
}

static void
store_entry(struct rp_control_replica *self, const struct rp_log_entry *entry)
{
    GString *text = RpSchema_Encode(&rp_log_entry_schema, entry);

    append_record(self, RECORD_ENTRY, as_str(text));
    g_string_free(text, TRUE);
}

static void
apply_entry(struct rp_control_replica *self, const struct rp_log_entry *entry)
{
    struct rp_msg_change_reply reply = {0};

    if (entry->kind == RP_ENTRY_COMMAND) {
        RpCatalog_Apply(self->catalog, as_str(entry->data), &reply);
    }
    self->ops->applied(self->user, entry, &reply);
    RpSchema_Clear(&rp_msg_change_reply_schema, &reply);
}

static void
run_action(struct rp_control_replica *self,
           const struct rp_replica_action *action)
{
    switch (action->kind) {
    case RP_REPLICA_STORE_VOTE:
        store_vote(self, action->term, action->voted_for);
        break;
    case RP_REPLICA_STORE_ENTRY:
        store_entry(self, action->entry);
        break;
    case RP_REPLICA_STORE_TRUNCATE:
        store_truncate(self, action->index);
        break;
    case RP_REPLICA_STORE_SNAPSHOT:
        rewrite_journal(self);
        if (RpCatalog_Restore(self->catalog, as_str(action->snapshot->data)) ==
            RP_OK) {
            self->ops->restored(self->user);
        }
        break;
    case RP_REPLICA_SEND:
        if (sync_journal(self)) {
            self->ops->send(self->user, action->to, &action->msg);
        }
        break;
    case RP_REPLICA_APPLY:
        if (sync_journal(self)) {
            apply_entry(self, action->entry);
        }
        break;
    case RP_REPLICA_REPORT_CHANGE:
        self->ops->member_change(self->user, action);
        break;
    case RP_REPLICA_REPORT_LOST:
        self->ops->disk_lost(self->user, &action->member);
        break;
    case RP_REPLICA_REPORT_BAD_SNAPSHOT:
        self->ops->snapshot_refused(self->user, action->index);
        break;
    }
}

static void
compact_if_due(struct rp_control_replica *self)
{
    if (RpJournal_Size(self->journal) < self->compact_at) {
        return;
    }
    GString *state = RpCatalog_Snapshot(self->catalog);
    RpReplica_Compact(self->replica, state);
    g_string_free(state, TRUE);
    rewrite_journal(self);
}

static void
run_actions(struct rp_control_replica *self)
{
    if (self->running_actions) {
        return;
    }
    self->running_actions = true;
    for (;;) {
        GArray *actions = RpReplica_TakeActions(self->replica);
        guint count = actions->len;
        for (guint i = 0; i < count && !self->failed; i++) {
            run_action(self,
                       &g_array_index(actions, struct rp_replica_action, i));
        }
        RpReplica_FreeActions(actions);
        if (count == 0 || self->failed) {
            break;
        }
    }
    if (!self->failed && sync_journal(self)) {
        compact_if_due(self);
    }
    self->running_actions = false;
}

enum rp_code
RpControlReplica_Create(struct rp_control_replica *self,
                        const struct rp_replica_member *member,
                        struct rp_error *error)
{
    struct rp_replica_member with_id = *member;

    if (RpReplica_LastIndex(self->replica) > 0 ||
        RpReplica_Term(self->replica) > 0) {
        return RpError_Add(error, RP_ERR_SETTING, "--create",
                           "the data folder already belongs to a system");
    }
    with_id.id = self->id;
    RpReplica_Bootstrap(self->replica, &with_id);
    run_actions(self);
    return self->failed ? RP_ERR_IO : RP_OK;
}

void
RpControlReplica_CreateGroup(struct rp_control_replica *self,
                             const GArray *members)
{
    if (RpReplica_LastIndex(self->replica) == 0 &&
        RpReplica_Term(self->replica) == 0) {
        RpReplica_BootstrapGroup(self->replica, members);
        run_actions(self);
    }
}

const struct rp_catalog *
RpControlReplica_Catalog(const struct rp_control_replica *self)
{
    return self->catalog;
}

struct rp_replica *
RpControlReplica_Replica(const struct rp_control_replica *self)
{
    return self->replica;
}

bool
RpControlReplica_IsWorking(const struct rp_control_replica *self)
{
    return !self->failed;
}

void
RpControlReplica_Tick(struct rp_control_replica *self, int64_t now)
{
    if (self->failed) {
        if (now >= self->retry_deadline) {
            reopen_journal(self, now);
        }
        return;
    }
    RpReplica_Tick(self->replica, now);
    run_actions(self);
}

void
RpControlReplica_Receive(struct rp_control_replica *self, int64_t now,
                         const struct rp_msg *msg)
{
    if (!self->failed) {
        RpReplica_Receive(self->replica, now, msg);
        run_actions(self);
    }
}

void
RpControlReplica_Join(struct rp_control_replica *self, int64_t now,
                      const struct rp_replica_member *member, bool forwarded)
{
    if (!self->failed) {
        RpReplica_HandleJoin(self->replica, now, member, forwarded);
        run_actions(self);
    }
}

void
RpControlReplica_OnDisconnect(struct rp_control_replica *self, int64_t now,
                              uint64_t id)
{
    RpReplica_OnDisconnect(self->replica, now, id);
}

void
RpControlReplica_Leave(struct rp_control_replica *self)
{
    self->leaving = true;
    RpReplica_Leave(self->replica);
}

bool
RpControlReplica_MayStop(const struct rp_control_replica *self)
{
    return self->failed || RpReplica_MayStop(self->replica);
}

enum rp_code
RpControlReplica_Propose(struct rp_control_replica *self, int64_t now,
                         const GString *command, uint64_t *index,
                         uint64_t *term)
{
    if (self->failed) {
        return RP_ERR_NO_LEADER;
    }
    *term = RpReplica_Term(self->replica);
    return RpReplica_Propose(self->replica, now, command, index);
}

void
RpControlReplica_RunActions(struct rp_control_replica *self)
{
    run_actions(self);
}
