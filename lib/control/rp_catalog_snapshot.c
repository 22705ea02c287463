/* Snapshots: encodes the whole catalogue and restores it. */
#include <string.h>

#include "rp_catalog_internal.h"

/* A service with a document, as a snapshot stores it. */
struct stored_entry {
    uint32_t id;
    uint32_t incarnation;
    uint64_t revision;
    GString *text;
};

/* A service that an edition defines or has defined. Its limits are in the
 * edition in force if that lists it. */
struct stored_edition_service {
    struct rp_name name;
    uint32_t id;
    uint64_t revision;
    uint32_t flows_per_upstream;
    uint32_t warmup_ms;
    uint32_t cold_per_1000_s;
};

/* A former target of a virtual address. */
struct stored_former {
    uint32_t address;
    uint16_t port;
    uint32_t service_id;
    uint64_t revision;
};

struct stored_catalog {
    uint64_t revision;
    uint32_t next_id;
    uint8_t initialised;
    uint8_t hash_key[RP_HASH_KEY_SIZE];
    GArray *entries;    /* of struct stored_entry */
    GArray *answers;    /* of struct rp_catalog_answer, oldest first */
    GArray *quarantine; /* of struct rp_quarantined_address */
    GArray *plain;      /* of struct stored_edition_service */
    GString *edition;   /* encoded; empty: no edition yet */
    GArray *former;     /* of struct stored_former, by address */
    GArray *zones;      /* of struct rp_catalog_zone, by name */
};

static const struct rp_field answer_fields[] = {
    RP_FIELD(RP_FIELD_BLOB, rp_catalog_answer, id),
    RP_FIELD(RP_FIELD_UINT, rp_catalog_answer, code),
    RP_FIELD(RP_FIELD_UINT, rp_catalog_answer, revision),
    RP_FIELD(RP_FIELD_UINT, rp_catalog_answer, service_id),
    RP_FIELD(RP_FIELD_NAME, rp_catalog_answer, service),
};
static const struct rp_schema answer_schema = RP_SCHEMA(rp_catalog_answer,
                                                        answer_fields);

static const struct rp_field stored_entry_fields[] = {
    RP_FIELD(RP_FIELD_UINT, stored_entry, id),
    RP_FIELD(RP_FIELD_UINT, stored_entry, incarnation),
    RP_FIELD(RP_FIELD_UINT, stored_entry, revision),
    RP_FIELD(RP_FIELD_TEXT, stored_entry, text),
};
static const struct rp_schema stored_entry_schema = RP_SCHEMA(
    stored_entry, stored_entry_fields);

static const struct rp_field quarantine_fields[] = {
    RP_FIELD(RP_FIELD_UINT, rp_quarantined_address, address),
    RP_FIELD(RP_FIELD_UINT, rp_quarantined_address, port),
    RP_FIELD(RP_FIELD_UINT, rp_quarantined_address, revision),
    RP_FIELD(RP_FIELD_NAME, rp_quarantined_address, service),
};
static const struct rp_schema quarantine_schema = RP_SCHEMA(
    rp_quarantined_address, quarantine_fields);

static const struct rp_field edition_service_fields[] = {
    RP_FIELD(RP_FIELD_NAME, stored_edition_service, name),
    RP_FIELD(RP_FIELD_UINT, stored_edition_service, id),
    RP_FIELD(RP_FIELD_UINT, stored_edition_service, revision),
    RP_FIELD(RP_FIELD_UINT, stored_edition_service, flows_per_upstream),
    RP_FIELD(RP_FIELD_UINT, stored_edition_service, warmup_ms),
    RP_FIELD(RP_FIELD_UINT, stored_edition_service, cold_per_1000_s),
};
/* Snapshots of versions without former targets end before
 * `flows_per_upstream`, those without limits of cold hosts after it. */
static const struct rp_schema edition_service_schema = {
    .fields = edition_service_fields,
    .count = G_N_ELEMENTS(edition_service_fields),
    .required = G_N_ELEMENTS(edition_service_fields) - 3,
    .size = sizeof(struct stored_edition_service)};

static const struct rp_field former_fields[] = {
    RP_FIELD(RP_FIELD_UINT, stored_former, address),
    RP_FIELD(RP_FIELD_UINT, stored_former, port),
    RP_FIELD(RP_FIELD_UINT, stored_former, service_id),
    RP_FIELD(RP_FIELD_UINT, stored_former, revision),
};
static const struct rp_schema former_schema = RP_SCHEMA(stored_former,
                                                        former_fields);

static const struct rp_field stored_zone_fields[] = {
    RP_FIELD(RP_FIELD_NAME, rp_catalog_zone, name),
    RP_FIELD(RP_FIELD_UINT, rp_catalog_zone, evacuated),
    RP_FIELD(RP_FIELD_UINT, rp_catalog_zone, revision),
};
static const struct rp_schema stored_zone_schema = RP_SCHEMA(
    rp_catalog_zone, stored_zone_fields);

static const struct rp_field stored_catalog_fields[] = {
    RP_FIELD(RP_FIELD_UINT, stored_catalog, revision),
    RP_FIELD(RP_FIELD_UINT, stored_catalog, next_id),
    RP_FIELD(RP_FIELD_UINT, stored_catalog, initialised),
    RP_FIELD(RP_FIELD_BLOB, stored_catalog, hash_key),
    RP_FIELD_LIST_OF(stored_catalog, entries, &stored_entry_schema),
    RP_FIELD_LIST_OF(stored_catalog, answers, &answer_schema),
    RP_FIELD_LIST_OF(stored_catalog, quarantine, &quarantine_schema),
    RP_FIELD_LIST_OF(stored_catalog, plain, &edition_service_schema),
    RP_FIELD(RP_FIELD_TEXT, stored_catalog, edition),
    RP_FIELD_LIST_OF(stored_catalog, former, &former_schema),
    RP_FIELD_LIST_OF(stored_catalog, zones, &stored_zone_schema),
};
/* Snapshots of versions without former targets end before the last two fields,
 * those of versions without evacuations before the last one. */
static const struct rp_schema stored_catalog_schema = {
    .fields = stored_catalog_fields,
    .count = G_N_ELEMENTS(stored_catalog_fields),
    .required = G_N_ELEMENTS(stored_catalog_fields) - 2,
    .size = sizeof(struct stored_catalog)};

/* Appends services with a document to `rows`, and services of the edition to
 * `plain`. */
static void
store_entries(const struct rp_catalog *catalog, GArray *rows, GArray *plain)
{
    GPtrArray *entries = RpCatalog_List(catalog);

    for (guint i = 0; i < entries->len; i++) {
        const struct rp_catalog_entry *entry = g_ptr_array_index(entries, i);
        if (entry->from_edition) {
            const struct stored_edition_service service_row = {
                .name = entry->name,
                .id = entry->id,
                .revision = entry->revision,
                .flows_per_upstream = entry->document.flows_per_upstream,
                .warmup_ms = entry->document.warmup_ms,
                .cold_per_1000_s = entry->document.cold_per_1000_s};
            g_array_append_val(plain, service_row);
            continue;
        }
        struct stored_entry row = {
            .id = entry->id,
            .incarnation = entry->incarnation,
            .revision = entry->revision,
            .text = g_string_new_len(entry->text->str,
                                     (gssize)entry->text->len)};
        g_array_append_val(rows, row);
    }
    g_ptr_array_unref(entries);
}

static gint
compare_keys(gconstpointer a, gconstpointer b)
{
    guint64 left = *(const guint64 *)a;
    guint64 right = *(const guint64 *)b;

    return (left > right) - (left < right);
}

/* Appends the former targets in the order of their addresses, so that equal
 * catalogues have equal snapshots. */
static void
store_former(const struct rp_catalog *catalog, GArray *rows)
{
    GList *keys = g_list_sort(g_hash_table_get_keys(catalog->former),
                              compare_keys);

    for (const GList *link = keys; link; link = link->next) {
        const guint64 *key = link->data;
        const GArray *list = g_hash_table_lookup(catalog->former, key);
        for (guint j = 0; j < list->len; j++) {
            const struct rp_former_target *target = &g_array_index(
                list, struct rp_former_target, j);
            const struct stored_former row = {
                .address = (uint32_t)(*key >> 16),
                .port = (uint16_t)*key,
                .service_id = target->service_id,
                .revision = target->revision};
            g_array_append_val(rows, row);
        }
    }
    g_list_free(keys);
}

GString *
RpCatalog_Snapshot(const struct rp_catalog *catalog)
{
    struct stored_catalog stored = {
        .revision = catalog->revision,
        .next_id = catalog->next_id,
        .initialised = catalog->initialised,
        .entries = RpSchema_NewList(&stored_entry_schema),
        .answers = RpSchema_NewList(&answer_schema),
        .quarantine = RpSchema_NewList(&quarantine_schema),
        .plain = RpSchema_NewList(&edition_service_schema),
        .edition = g_string_new(NULL),
        .former = RpSchema_NewList(&former_schema),
        .zones = RpSchema_NewList(&stored_zone_schema)};

    memcpy(stored.hash_key, catalog->hash_key, RP_HASH_KEY_SIZE);
    store_entries(catalog, stored.entries, stored.plain);
    store_former(catalog, stored.former);
    if (catalog->edition_bytes) {
        g_string_append_len(stored.edition, catalog->edition_bytes->str,
                            (gssize)catalog->edition_bytes->len);
    }
    for (GList *link = catalog->answer_order.head; link; link = link->next) {
        g_array_append_vals(stored.answers, link->data, 1);
    }
    g_array_append_vals(stored.quarantine, catalog->quarantine->data,
                        catalog->quarantine->len);
    g_array_append_vals(stored.zones, catalog->zones->data,
                        catalog->zones->len);
    GString *out = RpSchema_Encode(&stored_catalog_schema, &stored);
    RpSchema_Clear(&stored_catalog_schema, &stored);
    return out;
}

/* Restores a service from its document. */
static enum rp_code
restore_entry(struct rp_catalog *catalog, const struct stored_entry *row)
{
    struct rp_document document;
    struct rp_str text = {.data = row->text->str, .len = row->text->len};

    RP_RETURN_IF_ERROR(RpDocument_Parse(text, &document, NULL));
    struct rp_catalog_entry *entry = g_new0(struct rp_catalog_entry, 1);
    entry->name = document.name;
    entry->id = row->id;
    entry->incarnation = row->incarnation;
    entry->revision = row->revision;
    entry->document = document;
    entry->text = g_string_new_len(text.data, (gssize)text.len);
    g_hash_table_replace(catalog->entries, &entry->name, entry);
    return RP_OK;
}

/* Finds a service of the edition in force; NULL if it does not list it. */
static const struct rp_edition_service *
find_edition_service(const struct rp_catalog *catalog,
                     const struct rp_name *name)
{
    const GArray *services = catalog->edition.services;

    for (guint i = 0; i < services->len; i++) {
        const struct rp_edition_service *service = &g_array_index(
            services, struct rp_edition_service, i);
        if (RpName_Equal(&service->name, name)) {
            return service;
        }
    }
    return NULL;
}

/* Restores the edition, its services and former targets. Services keep their
 * stored ids. */
static enum rp_code
restore_edition(struct rp_catalog *catalog,
                const struct stored_catalog *stored)
{
    struct rp_str bytes = {.data = stored->edition->str,
                           .len = stored->edition->len};

    if (bytes.len == 0) {
        return RP_OK;
    }
    if (!RpCatalog_SetEdition(catalog, bytes)) {
        return RP_ERR_FORMAT;
    }
    for (guint i = 0; i < stored->plain->len; i++) {
        const struct stored_edition_service *row = &g_array_index(
            stored->plain, struct stored_edition_service, i);
        const struct rp_edition_service former = {
            .name = row->name,
            .flows_per_upstream = row->flows_per_upstream,
            .warmup_ms = row->warmup_ms,
            .cold_per_1000_s = row->cold_per_1000_s};
        const struct rp_edition_service *service = find_edition_service(
            catalog, &row->name);
        RpCatalog_AddEditionService(catalog, service ? service : &former,
                                    row->id, row->revision);
    }
    for (guint i = 0; stored->former && i < stored->former->len; i++) {
        const struct stored_former *row = &g_array_index(
            stored->former, struct stored_former, i);
        RpCatalog_AddFormer(catalog,
                            RpEndpoint_Key((struct rp_endpoint){
                                .ip = row->address, .port = row->port}),
                            row->service_id, row->revision);
    }
    RpCatalog_RemoveUnusedServices(catalog);
    return RP_OK;
}

enum rp_code
RpCatalog_Restore(struct rp_catalog *catalog, struct rp_str snapshot)
{
    struct stored_catalog stored;
    enum rp_code code = RP_OK;

    if (!RpSchema_Decode(&stored_catalog_schema, snapshot, &stored)) {
        return RP_ERR_FORMAT;
    }
    RpCatalog_Clear(catalog);
    catalog->revision = stored.revision;
    catalog->next_id = stored.next_id;
    catalog->initialised = stored.initialised;
    memcpy(catalog->hash_key, stored.hash_key, RP_HASH_KEY_SIZE);
    for (guint i = 0; i < stored.entries->len && code == RP_OK; i++) {
        code = restore_entry(
            catalog, &g_array_index(stored.entries, struct stored_entry, i));
    }
    if (code == RP_OK) {
        code = restore_edition(catalog, &stored);
    }
    for (guint i = 0; i < stored.answers->len; i++) {
        RpCatalog_StoreAnswer(
            catalog,
            &g_array_index(stored.answers, struct rp_catalog_answer, i));
    }
    g_array_append_vals(catalog->quarantine, stored.quarantine->data,
                        stored.quarantine->len);
    if (stored.zones) {
        g_array_append_vals(catalog->zones, stored.zones->data,
                            stored.zones->len);
    }
    RpSchema_Clear(&stored_catalog_schema, &stored);
    return code;
}
