#include "control_store.h"

#include "rp_journal.h"

#define COMPACT_BYTES (4u << 20) /* journal size that asks for a snapshot */

enum record_kind { RECORD_COMMAND = 1, RECORD_SNAPSHOT };

struct rp_control_store {
    struct rp_catalog *catalog;
    struct rp_journal *journal;
    uint64_t compact_at;
};

static enum rp_code
visit(void *user, const struct rp_record *record, struct rp_error *error)
{
    struct rp_control_store *store = user;
    enum rp_code code = RP_ERR_FORMAT;

    if (record->kind == RECORD_SNAPSHOT) {
        code = RpCatalog_Restore(store->catalog, record->payload);
    }
    else if (record->kind == RECORD_COMMAND) {
        code = RpCatalog_Apply(store->catalog, record->payload, NULL);
    }
    if (code != RP_OK) {
        return RpError_Add(error, RP_ERR_CORRUPT, "journal",
                           "holds a record that cannot be applied");
    }
    return RP_OK;
}

struct rp_control_store *
RpControlStore_Open(const char *folder, struct rp_error *error)
{
    struct rp_control_store *store = g_new0(struct rp_control_store, 1);

    store->catalog = RpCatalog_Create();
    store->compact_at = COMPACT_BYTES;
    store->journal = RpJournal_Open(folder, visit, store, error);
    if (!store->journal) {
        RpControlStore_Close(store);
        return NULL;
    }
    return store;
}

void
RpControlStore_Close(struct rp_control_store *store)
{
    if (store) {
        RpJournal_Close(store->journal);
        RpCatalog_Free(store->catalog);
        g_free(store);
    }
}

const struct rp_catalog *
RpControlStore_Catalog(const struct rp_control_store *store)
{
    return store->catalog;
}

static enum rp_code
compact(struct rp_control_store *store, struct rp_error *error)
{
    GString *snapshot = RpCatalog_Snapshot(store->catalog);
    const struct rp_record record = {
        .kind = RECORD_SNAPSHOT,
        .payload = {.data = snapshot->str, .len = snapshot->len}};
    enum rp_code code = RpJournal_Rewrite(store->journal, &record, 1, error);

    store->compact_at = RpJournal_Size(store->journal) + COMPACT_BYTES;
    g_string_free(snapshot, TRUE);
    return code;
}

enum rp_code
RpControlStore_Commit(struct rp_control_store *store, const GString *command,
                      struct rp_msg_change_reply *reply,
                      struct rp_error *error)
{
    const struct rp_record record = {
        .kind = RECORD_COMMAND,
        .payload = {.data = command->str, .len = command->len}};

    RpJournal_Append(store->journal, &record);
    RP_FORWARD_IF_ERROR(RpJournal_Sync(store->journal, error));
    RP_FORWARD_IF_ERROR(
        RpCatalog_Apply(store->catalog, record.payload, reply));
    if (RpJournal_Size(store->journal) >= store->compact_at) {
        return compact(store, error);
    }
    return RP_OK;
}
