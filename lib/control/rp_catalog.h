/* The catalogue of services: the replicated state of the system.
 *
 * It is a deterministic state machine: the same commands in the same order
 * give the same state and the same replies on every replica. Commands and
 * snapshots are bytes, so that the log below need not know them.
 *
 * - Each accepted change gets the next revision; revisions never fall.
 * - A change id is applied at most once; sent again it gets its first
 *   answer again. The last RP_CATALOG_CHANGE_MEMORY ids are remembered.
 * - A change based on a revision that is no longer current is refused with
 *   the current one.
 * - An edition (rp_edition.h) replaces the services and virtual addresses of
 *   the edition before it; services that have a document stay as they are.
 *   A service keeps its id as long as editions name it.
 * - An address that a service gives up stays quarantined until a release
 *   command says that no instance uses it any more.
 */
#ifndef RP_CATALOG_H
#define RP_CATALOG_H

#include <glib.h>

#include "rp_document.h"
#include "rp_edition.h"
#include "rp_msg.h"

#define RP_CATALOG_CHANGE_MEMORY 65536 /* change ids */

/* One service. */
struct rp_entry {
    struct rp_name name;
    uint32_t id;
    uint32_t incarnation; /* changes when the address does */
    uint64_t revision;    /* of its last change */
    struct rp_document document;
    GString *text;
    bool from_edition; /* it has no document: the edition names it */
};

/* An address between two services. */
struct rp_quarantine {
    uint32_t address;
    uint16_t port;
    uint64_t revision; /* at which it was given up */
    struct rp_name service;
};

struct rp_catalog;

struct rp_catalog *RpCatalog_Create(void);

void RpCatalog_Free(struct rp_catalog *catalog);

/* Makes it an empty catalogue again, as after RpCatalog_Create. */
void RpCatalog_Reset(struct rp_catalog *catalog);

/* Commands. Free the result. */
GString *RpCatalog_EncodeInit(const uint8_t hash_key[RP_HASH_KEY_SIZE]);
GString *RpCatalog_EncodeChange(const struct rp_msg_change *change);
GString *RpCatalog_EncodeRelease(uint64_t revision);
GString *RpCatalog_EncodeEdition(const struct rp_edition *edition);

/* Applies a command. For a change, `reply` gets the answer (clear it with
 * the schema); NULL if nobody waits for it. */
enum rp_code RpCatalog_Apply(struct rp_catalog *catalog, struct rp_str command,
                             struct rp_msg_change_reply *reply);

/* The answer that a change id was given before; false if none. */
bool RpCatalog_FindReply(const struct rp_catalog *catalog,
                         const uint8_t id[RP_CHANGE_ID_SIZE],
                         struct rp_msg_change_reply *reply);

/* The whole state as bytes, and back. */
GString *RpCatalog_Snapshot(const struct rp_catalog *catalog);
enum rp_code RpCatalog_Restore(struct rp_catalog *catalog,
                               struct rp_str snapshot);

/* Whether the hash key is set, and the key. */
bool RpCatalog_IsInitialised(const struct rp_catalog *catalog);
const uint8_t *RpCatalog_HashKey(const struct rp_catalog *catalog);

uint64_t RpCatalog_Revision(const struct rp_catalog *catalog);

/* A service by name, or NULL. */
const struct rp_entry *RpCatalog_Find(const struct rp_catalog *catalog,
                                      const struct rp_name *name);

/* All services, ordered by name; free with g_ptr_array_unref. */
GPtrArray *RpCatalog_List(const struct rp_catalog *catalog);

/* The edition in force, or NULL before the first. */
const struct rp_edition *RpCatalog_Edition(const struct rp_catalog *catalog);

/* The highest revision of a quarantined address; 0 if there is none. */
uint64_t RpCatalog_QuarantineRevision(const struct rp_catalog *catalog);

/* Copies an error's findings into a reply. */
void RpCatalog_ReplyFindings(struct rp_msg_change_reply *reply,
                             const struct rp_error *error);

#endif
