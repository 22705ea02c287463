/* The catalogue: encoding and applying of commands, and queries. */
#include "rp_catalog.h"

#include <string.h>

#include "rp_bytes.h"
#include "rp_catalog_internal.h"

enum command_kind {
    COMMAND_INIT = 1,
    COMMAND_CHANGE,
    COMMAND_RELEASE,
    COMMAND_EDITION,
    COMMAND_EXPIRE_FORMER
};

static void
free_entry(gpointer data)
{
    struct rp_catalog_entry *entry = data;

    g_string_free(entry->text, TRUE);
    g_free(entry);
}

static guint
hash_change_id(gconstpointer key)
{
    guint hash;

    memcpy(&hash, key, sizeof hash);
    return hash;
}

static gboolean
equal_change_ids(gconstpointer a, gconstpointer b)
{
    return !memcmp(a, b, RP_CHANGE_ID_SIZE);
}

struct rp_catalog *
RpCatalog_Create(void)
{
    struct rp_catalog *catalog = g_new0(struct rp_catalog, 1);

    catalog->next_id = 1;
    catalog->entries = g_hash_table_new_full(RpName_Hash, RpName_EqualKeys,
                                             NULL, free_entry);
    catalog->answers = g_hash_table_new(hash_change_id, equal_change_ids);
    catalog->quarantine = g_array_new(FALSE, TRUE,
                                      sizeof(struct rp_quarantined_address));
    catalog->zones = g_array_new(FALSE, TRUE, sizeof(struct rp_catalog_zone));
    catalog->former = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                            g_free, RpCatalog_FreeFormerList);
    g_queue_init(&catalog->answer_order);
    return catalog;
}

void
RpCatalog_Clear(struct rp_catalog *catalog)
{
    g_hash_table_remove_all(catalog->entries);
    g_hash_table_remove_all(catalog->answers);
    g_queue_clear_full(&catalog->answer_order, g_free);
    g_array_set_size(catalog->quarantine, 0);
    g_array_set_size(catalog->zones, 0);
    g_hash_table_remove_all(catalog->former);
    RpEdition_Clear(&catalog->edition);
    if (catalog->edition_bytes) {
        g_string_free(catalog->edition_bytes, TRUE);
        catalog->edition_bytes = NULL;
    }
}

void
RpCatalog_Reset(struct rp_catalog *catalog)
{
    RpCatalog_Clear(catalog);
    catalog->revision = 0;
    catalog->next_id = 1;
    catalog->initialised = false;
}

void
RpCatalog_Free(struct rp_catalog *catalog)
{
    if (!catalog) {
        return;
    }
    RpCatalog_Clear(catalog);
    g_hash_table_destroy(catalog->entries);
    g_hash_table_destroy(catalog->answers);
    g_hash_table_destroy(catalog->former);
    g_array_free(catalog->quarantine, TRUE);
    g_array_free(catalog->zones, TRUE);
    g_free(catalog);
}

/* A command is one byte with its kind, followed by its body. */
static GString *
encode_command(enum command_kind kind, const void *body, size_t len)
{
    GString *out = g_string_sized_new(len + 1);

    g_string_append_c(out, (gchar)kind);
    g_string_append_len(out, body, (gssize)len);
    return out;
}

GString *
RpCatalog_EncodeInit(const uint8_t hash_key[RP_HASH_KEY_SIZE])
{
    return encode_command(COMMAND_INIT, hash_key, RP_HASH_KEY_SIZE);
}

GString *
RpCatalog_EncodeChange(const struct rp_msg_change *change)
{
    GString *body = RpSchema_Encode(&rp_msg_change_schema, change);
    GString *out = encode_command(COMMAND_CHANGE, body->str, body->len);

    g_string_free(body, TRUE);
    return out;
}

GString *
RpCatalog_EncodeEdition(const struct rp_edition *edition)
{
    GString *body = RpSchema_Encode(&rp_edition_schema, edition);
    GString *out = encode_command(COMMAND_EDITION, body->str, body->len);

    g_string_free(body, TRUE);
    return out;
}

/* Encodes a command whose body is a revision. */
static GString *
encode_revision_command(enum command_kind kind, uint64_t revision)
{
    uint8_t body[sizeof revision];

    RpBytes_Put64(body, revision);
    return encode_command(kind, body, sizeof body);
}

GString *
RpCatalog_EncodeRelease(uint64_t revision)
{
    return encode_revision_command(COMMAND_RELEASE, revision);
}

GString *
RpCatalog_EncodeExpireFormer(uint64_t revision)
{
    return encode_revision_command(COMMAND_EXPIRE_FORMER, revision);
}

bool
RpCatalog_IsExpireFormer(struct rp_str command)
{
    return command.len > 0 && command.data[0] == COMMAND_EXPIRE_FORMER;
}

void
RpCatalog_StoreAnswer(struct rp_catalog *catalog,
                      const struct rp_catalog_answer *answer)
{
    struct rp_catalog_answer *copy = g_memdup2(answer, sizeof *answer);

    g_queue_push_tail(&catalog->answer_order, copy);
    g_hash_table_replace(catalog->answers, copy->id, copy);
    while (g_queue_get_length(&catalog->answer_order) >
           RP_CATALOG_MAX_ANSWERS) {
        struct rp_catalog_answer *oldest = g_queue_pop_head(
            &catalog->answer_order);
        g_hash_table_remove(catalog->answers, oldest->id);
        g_free(oldest);
    }
}

static void
fill_reply(struct rp_msg_change_reply *reply,
           const struct rp_catalog_answer *answer, bool repeated)
{
    memcpy(reply->id, answer->id, RP_CHANGE_ID_SIZE);
    reply->code = answer->code;
    reply->repeated = repeated;
    reply->revision = answer->revision;
    reply->service = answer->service;
    reply->service_id = answer->service_id;
    reply->is_change = 1;
}

bool
RpCatalog_FindReply(const struct rp_catalog *catalog,
                    const uint8_t id[RP_CHANGE_ID_SIZE],
                    struct rp_msg_change_reply *reply)
{
    const struct rp_catalog_answer *answer = g_hash_table_lookup(
        catalog->answers, id);

    if (answer && reply) {
        fill_reply(reply, answer, true);
    }
    return answer != NULL;
}

void
RpCatalog_AppendFindings(struct rp_msg_change_reply *reply,
                         const struct rp_error *error)
{
    if (!reply->findings) {
        reply->findings = RpSchema_NewList(&rp_msg_finding_schema);
    }
    for (size_t i = 0; i < RpError_Count(error); i++) {
        const struct rp_finding *finding = RpError_Get(error, i);
        struct rp_msg_finding row = {
            .code = (uint8_t)finding->code,
            .place = g_string_new_len(finding->place->str,
                                      (gssize)finding->place->len),
            .text = g_string_new_len(finding->text->str,
                                     (gssize)finding->text->len)};
        g_array_append_val(reply->findings, row);
    }
}

/* Adds a finding if another service uses the document's address, or has used
 * it and the address is still quarantined. */
static enum rp_code
check_address_available(const struct rp_catalog *catalog,
                        const struct rp_document *document,
                        struct rp_error *error)
{
    gchar *place = g_strdup_printf("line %u", document->address_line);
    enum rp_code code = RP_OK;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, catalog->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rp_catalog_entry *entry = value;
        if (!entry->from_edition &&
            !RpName_Equal(&entry->name, &document->name) &&
            RpEndpoint_Equal(entry->document.address, document->address)) {
            code = RpError_Add(error, RP_ERR_DOCUMENT, place,
                               "address is already used by service %s",
                               entry->name.data);
        }
    }
    for (guint i = 0; i < catalog->quarantine->len; i++) {
        const struct rp_quarantined_address *row = &g_array_index(
            catalog->quarantine, struct rp_quarantined_address, i);
        if (row->address == document->address.ip &&
            row->port == document->address.port &&
            !RpName_Equal(&row->service, &document->name)) {
            code = RpError_Add(error, RP_ERR_DOCUMENT, place,
                               "address was used by service %s until "
                               "revision %" G_GUINT64_FORMAT
                               " and some nodes may still use it: try again "
                               "later",
                               row->service.data, row->revision);
        }
    }
    g_free(place);
    return code;
}

static void
quarantine_address(struct rp_catalog *catalog,
                   const struct rp_catalog_entry *entry)
{
    const struct rp_quarantined_address row = {
        .address = entry->document.address.ip,
        .port = entry->document.address.port,
        .revision = catalog->revision,
        .service = entry->name};

    g_array_append_val(catalog->quarantine, row);
}

/* Adds or replaces a service, at the next revision. A changed address starts a
 * new incarnation and quarantines the previous address. */
static void
store_document(struct rp_catalog *catalog, const struct rp_document *document,
               const GString *text)
{
    struct rp_catalog_entry *entry = g_hash_table_lookup(catalog->entries,
                                                         &document->name);

    catalog->revision++;
    if (!entry) {
        entry = g_new0(struct rp_catalog_entry, 1);
        entry->name = document->name;
        entry->id = catalog->next_id++;
        entry->incarnation = (uint32_t)catalog->revision;
        entry->text = g_string_new(NULL);
        g_hash_table_insert(catalog->entries, &entry->name, entry);
    }
    else if (!RpEndpoint_Equal(entry->document.address, document->address)) {
        quarantine_address(catalog, entry);
        entry->incarnation = (uint32_t)catalog->revision;
    }
    entry->revision = catalog->revision;
    entry->document = *document;
    g_string_truncate(entry->text, 0);
    g_string_append_len(entry->text, text->str, (gssize)text->len);
}

/* Applies a change that adds or replaces a document. */
static enum rp_code
apply_document(struct rp_catalog *catalog, const struct rp_msg_change *change,
               struct rp_catalog_answer *answer, struct rp_error *error)
{
    struct rp_document document;
    struct rp_str text = {.data = change->document->str,
                          .len = change->document->len};

    RP_RETURN_IF_ERROR(RpDocument_Parse(text, &document, error));
    answer->service = document.name;
    if (change->service.len &&
        !RpName_Equal(&change->service, &document.name)) {
        return RpError_Add(error, RP_ERR_DOCUMENT, "document",
                           "defines service %s, but the change is for "
                           "service %s",
                           document.name.data, change->service.data);
    }
    const struct rp_catalog_entry *entry = RpCatalog_Find(catalog,
                                                          &document.name);
    if (entry && entry->from_edition) {
        return RpError_Add(error, RP_ERR_DOCUMENT, document.name.data,
                           "is defined by edition %" G_GUINT64_FORMAT
                           " and cannot have a document",
                           catalog->edition.version);
    }
    uint64_t current = entry ? entry->revision : 0;
    if (change->has_base && change->base != current) {
        answer->revision = current;
        return RpError_Add(error, RP_ERR_CONFLICT, document.name.data,
                           "based on revision %" G_GUINT64_FORMAT
                           ", the current revision is %" G_GUINT64_FORMAT,
                           change->base, current);
    }
    RP_RETURN_IF_ERROR(check_address_available(catalog, &document, error));
    store_document(catalog, &document, change->document);
    answer->revision = catalog->revision;
    answer->service_id = RpCatalog_Find(catalog, &document.name)->id;
    return RP_OK;
}

/* Applies a change that deletes a service that has a document. */
static enum rp_code
apply_delete(struct rp_catalog *catalog, const struct rp_msg_change *change,
             struct rp_catalog_answer *answer, struct rp_error *error)
{
    const struct rp_catalog_entry *entry = RpCatalog_Find(catalog,
                                                          &change->service);

    answer->service = change->service;
    if (!entry) {
        return RpError_Add(error, RP_ERR_NOT_FOUND, change->service.data,
                           "no such service");
    }
    if (entry->from_edition) {
        return RpError_Add(error, RP_ERR_DOCUMENT, change->service.data,
                           "is defined by edition %" G_GUINT64_FORMAT
                           " and cannot be deleted separately",
                           catalog->edition.version);
    }
    if (change->has_base && change->base != entry->revision) {
        answer->revision = entry->revision;
        return RpError_Add(error, RP_ERR_CONFLICT, change->service.data,
                           "based on revision %" G_GUINT64_FORMAT
                           ", the current revision is %" G_GUINT64_FORMAT,
                           change->base, entry->revision);
    }
    catalog->revision++;
    answer->service_id = entry->id;
    quarantine_address(catalog, entry);
    g_hash_table_remove(catalog->entries, &change->service);
    answer->revision = catalog->revision;
    return RP_OK;
}

/* Applies a change of a data centre. The answer has the catalogue's revision
 * also if nothing changes: the order is in force from there on. */
static enum rp_code
apply_zone_change(struct rp_catalog *catalog,
                  const struct rp_msg_change *change,
                  struct rp_catalog_answer *answer, bool *unchanged,
                  struct rp_error *error)
{
    RP_RETURN_IF_ERROR(
        RpCatalog_ChangeZone(catalog, change, unchanged, error));
    answer->revision = catalog->revision;
    return RP_OK;
}

/* Applies a change unless its id has been answered before. Stores the answer
 * also if the change is refused. */
static enum rp_code
apply_change(struct rp_catalog *catalog, struct rp_str body,
             struct rp_msg_change_reply *reply)
{
    struct rp_msg_change change;
    struct rp_catalog_answer answer = {0};
    struct rp_error error;

    if (!RpSchema_Decode(&rp_msg_change_schema, body, &change)) {
        return RP_ERR_FORMAT;
    }
    bool is_zone = change.kind == RP_CHANGE_EVACUATE ||
                   change.kind == RP_CHANGE_RESTORE;
    bool unchanged = false;
    bool answered = RpCatalog_FindReply(catalog, change.id, reply);
    if (!answered) {
        enum rp_code code;
        RpError_Init(&error);
        memcpy(answer.id, change.id, RP_CHANGE_ID_SIZE);
        code = is_zone ? apply_zone_change(catalog, &change, &answer,
                                           &unchanged, &error)
               : change.kind == RP_CHANGE_APPLY
                   ? apply_document(catalog, &change, &answer, &error)
                   : apply_delete(catalog, &change, &answer, &error);
        answer.code = (uint8_t)code;
        RpCatalog_StoreAnswer(catalog, &answer);
        if (reply) {
            fill_reply(reply, &answer, false);
            RpCatalog_AppendFindings(reply, &error);
        }
        RpError_Clear(&error);
    }
    if (reply && is_zone && RpName_IsLabel(RpName_View(&change.zone))) {
        reply->zone = change.zone;
        reply->unchanged = unchanged;
    }
    RpSchema_Clear(&rp_msg_change_schema, &change);
    return RP_OK;
}

/* Decodes the body of a command that consists of a revision. */
static bool
decode_revision(struct rp_str body, uint64_t *revision)
{
    if (body.len != sizeof *revision) {
        return false;
    }
    *revision = RpBytes_Get64((const uint8_t *)body.data);
    return true;
}

/* Ends the quarantine of addresses that were given up at or before the
 * revision in `body`. */
static enum rp_code
apply_release(struct rp_catalog *catalog, struct rp_str body)
{
    uint64_t revision;

    if (!decode_revision(body, &revision)) {
        return RP_ERR_FORMAT;
    }
    for (guint i = catalog->quarantine->len; i-- > 0;) {
        const struct rp_quarantined_address *row = &g_array_index(
            catalog->quarantine, struct rp_quarantined_address, i);
        if (row->revision <= revision) {
            g_array_remove_index(catalog->quarantine, i);
        }
    }
    return RP_OK;
}

/* Forgets the former targets that were recorded at or before the revision in
 * `body`. */
static enum rp_code
apply_expire_former(struct rp_catalog *catalog, struct rp_str body)
{
    uint64_t revision;

    if (!decode_revision(body, &revision)) {
        return RP_ERR_FORMAT;
    }
    RpCatalog_ExpireFormer(catalog, revision);
    return RP_OK;
}

/* Sets the limits that an edition gives its services. Returns whether one of
 * them changes. */
static bool
set_limits(struct rp_document *document,
           const struct rp_edition_service *service)
{
    const struct rp_document old = *document;

    document->flows_per_upstream = MAX(service->flows_per_upstream, 1);
    document->warmup_ms = service->warmup_ms;
    document->cold_per_1000_s = service->cold_per_1000_s;
    return document->flows_per_upstream != old.flows_per_upstream ||
           document->warmup_ms != old.warmup_ms ||
           document->cold_per_1000_s != old.cold_per_1000_s;
}

struct rp_catalog_entry *
RpCatalog_AddEditionService(struct rp_catalog *catalog,
                            const struct rp_edition_service *service,
                            uint32_t id, uint64_t revision)
{
    struct rp_catalog_entry *entry = g_new0(struct rp_catalog_entry, 1);

    RpDocument_InitDefaults(&entry->document, &service->name);
    set_limits(&entry->document, service);
    entry->name = service->name;
    entry->id = id;
    entry->incarnation = id;
    entry->revision = revision;
    entry->text = g_string_new(NULL);
    entry->from_edition = true;
    g_hash_table_replace(catalog->entries, &entry->name, entry);
    return entry;
}

bool
RpCatalog_SetEdition(struct rp_catalog *catalog, struct rp_str bytes)
{
    struct rp_edition edition;

    if (!RpSchema_Decode(&rp_edition_schema, bytes, &edition)) {
        return false;
    }
    RpEdition_Clear(&catalog->edition);
    catalog->edition = edition;
    if (catalog->edition_bytes) {
        g_string_free(catalog->edition_bytes, TRUE);
    }
    catalog->edition_bytes = g_string_new_len(bytes.data, (gssize)bytes.len);
    return true;
}

/* Adds a finding for each service of the edition that is already defined by a
 * document. */
static enum rp_code
check_no_documents(const struct rp_catalog *catalog,
                   const struct rp_edition *edition, struct rp_error *error)
{
    enum rp_code code = RP_OK;

    for (guint i = 0; i < edition->services->len; i++) {
        const struct rp_name *name =
            &g_array_index(edition->services, struct rp_edition_service, i)
                 .name;
        const struct rp_catalog_entry *entry = RpCatalog_Find(catalog, name);
        if (entry && !entry->from_edition) {
            code = RpError_Add(error, RP_ERR_DOCUMENT, name->data,
                               "is already defined by a document");
        }
    }
    return code;
}

/* Adds the services that the current edition lists, updates their limits, and
 * removes those services of earlier editions that are not used any more. */
static void
apply_edition_services(struct rp_catalog *catalog)
{
    const GArray *services = catalog->edition.services;

    for (guint i = 0; i < services->len; i++) {
        struct rp_edition_service *service = &g_array_index(
            services, struct rp_edition_service, i);
        struct rp_catalog_entry *entry = g_hash_table_lookup(catalog->entries,
                                                             &service->name);
        if (!entry) {
            RpCatalog_AddEditionService(catalog, service, catalog->next_id++,
                                        catalog->revision);
        }
        else if (set_limits(&entry->document, service)) {
            entry->revision = catalog->revision;
        }
    }
    RpCatalog_RemoveUnusedServices(catalog);
}

/* Applies an edition if it is valid and its version is higher than the current
 * one. An equal or lower version is accepted as repeated. */
static enum rp_code
check_and_apply_edition(struct rp_catalog *catalog, struct rp_str body,
                        struct rp_msg_change_reply *reply,
                        struct rp_error *error)
{
    struct rp_edition edition;

    if (!RpSchema_Decode(&rp_edition_schema, body, &edition)) {
        return RP_ERR_FORMAT;
    }
    uint64_t version = edition.version;
    enum rp_code code = RpEdition_Check(&edition, error);
    code = code == RP_OK ? check_no_documents(catalog, &edition, error) : code;
    reply->repeated = code == RP_OK && version <= catalog->edition.version;
    if (code == RP_OK && !reply->repeated) {
        RpCatalog_RecordFormer(catalog, &edition, catalog->revision + 1);
    }
    RpEdition_Clear(&edition);
    RP_RETURN_IF_ERROR(code);
    if (!reply->repeated && RpCatalog_SetEdition(catalog, body)) {
        catalog->revision++;
        apply_edition_services(catalog);
    }
    return RP_OK;
}

static enum rp_code
apply_edition(struct rp_catalog *catalog, struct rp_str body,
              struct rp_msg_change_reply *reply)
{
    struct rp_msg_change_reply unused = {0};
    struct rp_error error;

    reply = reply ? reply : &unused;
    RpError_Init(&error);
    reply->is_edition = 1;
    reply->code = (uint8_t)check_and_apply_edition(catalog, body, reply,
                                                   &error);
    reply->revision = catalog->revision;
    RpCatalog_AppendFindings(reply, &error);
    RpError_Clear(&error);
    RpSchema_Clear(&rp_msg_change_reply_schema, &unused);
    return RP_OK;
}

const struct rp_edition *
RpCatalog_Edition(const struct rp_catalog *catalog)
{
    return catalog->edition.version ? &catalog->edition : NULL;
}

enum rp_code
RpCatalog_Apply(struct rp_catalog *catalog, struct rp_str command,
                struct rp_msg_change_reply *reply)
{
    if (command.len == 0) {
        return RP_OK;
    }
    struct rp_str body = {.data = command.data + 1, .len = command.len - 1};
    switch (command.data[0]) {
    case COMMAND_INIT:
        if (body.len != RP_HASH_KEY_SIZE) {
            return RP_ERR_FORMAT;
        }
        if (!catalog->initialised) {
            memcpy(catalog->hash_key, body.data, RP_HASH_KEY_SIZE);
            catalog->initialised = true;
            catalog->revision++;
        }
        return RP_OK;
    case COMMAND_CHANGE:
        return apply_change(catalog, body, reply);
    case COMMAND_RELEASE:
        return apply_release(catalog, body);
    case COMMAND_EDITION:
        return apply_edition(catalog, body, reply);
    case COMMAND_EXPIRE_FORMER:
        return apply_expire_former(catalog, body);
    default:
        return RP_ERR_FORMAT;
    }
}

bool
RpCatalog_IsInitialised(const struct rp_catalog *catalog)
{
    return catalog->initialised;
}

const uint8_t *
RpCatalog_HashKey(const struct rp_catalog *catalog)
{
    return catalog->hash_key;
}

uint64_t
RpCatalog_Revision(const struct rp_catalog *catalog)
{
    return catalog->revision;
}

const struct rp_catalog_entry *
RpCatalog_Find(const struct rp_catalog *catalog, const struct rp_name *name)
{
    return g_hash_table_lookup(catalog->entries, name);
}

static gint
compare_entry_names(gconstpointer a, gconstpointer b)
{
    const struct rp_catalog_entry *left = *(
        const struct rp_catalog_entry *const *)a;
    const struct rp_catalog_entry *right = *(
        const struct rp_catalog_entry *const *)b;

    return strcmp(left->name.data, right->name.data);
}

GPtrArray *
RpCatalog_List(const struct rp_catalog *catalog)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, catalog->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(list, value);
    }
    g_ptr_array_sort(list, compare_entry_names);
    return list;
}

uint64_t
RpCatalog_QuarantineRevision(const struct rp_catalog *catalog)
{
    uint64_t highest = 0;

    for (guint i = 0; i < catalog->quarantine->len; i++) {
        const struct rp_quarantined_address *row = &g_array_index(
            catalog->quarantine, struct rp_quarantined_address, i);
        highest = MAX(highest, row->revision);
    }
    return highest;
}
