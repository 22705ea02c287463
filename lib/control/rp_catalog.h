/* The catalogue of services: the replicated configuration of the system.
 *
 * It is a deterministic state machine: the same commands in the same order
 * give the same state and the same replies on every replica. Commands and
 * snapshots are byte strings, so that the replicated log does not depend on
 * their contents.
 *
 * - Each accepted change gets the next revision; revisions never decrease.
 * - A change id is applied at most once. A change that is sent again gets the
 *   stored reply. The replies to the last RP_CATALOG_MAX_ANSWERS ids are
 *   stored.
 * - A change based on a revision that is no longer current is refused, and
 *   the reply holds the current revision.
 * - A service is defined either by a document (rp_document.h) or by the
 *   edition (rp_edition.h). A new edition replaces the services and virtual
 *   addresses of the previous one and leaves services with a document
 *   unchanged. A service keeps its id as long as each edition lists it.
 * - When an edition moves a virtual address to other services or changes their
 *   weights, the catalogue keeps the services that had the address as former
 *   targets, so that packets of open flows still find their owner. It keeps a
 *   service that the edition no longer lists as long as it is a former target.
 *   An expiry command ends that once no flow of that time can be open.
 * - An address that a service no longer uses stays quarantined: other services
 *   cannot use it until a release command confirms that the connected nodes
 *   run the revision in which it was given up, or a later one.
 * - The operator evacuates data centres and restores them; the order of the
 *   log decides. The catalogue keeps which are evacuated, and also the names
 * of restored ones while there is room, so that an order that was accepted
 * stays one for a known data centre.
 */
#ifndef RP_CATALOG_H
#define RP_CATALOG_H

#include <glib.h>

#include "rp_document.h"
#include "rp_edition.h"
#include "rp_msg.h"

#define RP_CATALOG_MAX_ANSWERS 65536 /* change ids */
#define RP_CATALOG_MAX_FORMER 7      /* former targets of one address */
#define RP_CATALOG_MAX_ZONES 64      /* data centres, evacuated or restored */

/* A service in the catalogue. */
struct rp_catalog_entry {
    struct rp_name name;
    uint32_t id;
    uint32_t incarnation; /* changes when the address changes */
    uint64_t revision;    /* of its last change */
    struct rp_document document;
    GString *text;     /* the document as it was sent; empty: none */
    bool from_edition; /* the edition defines the service, not a document */
};

/* A service to which an earlier edition sent flows of a virtual address. */
struct rp_former_target {
    uint32_t service_id; /* RP_TARGET_UNLISTED: services that are not kept */
    uint64_t revision; /* at which an edition changed the address's targets */
};

/* An address that a service no longer uses but other services cannot use
 * yet. */
struct rp_quarantined_address {
    uint32_t address;
    uint16_t port;
    uint64_t revision;      /* at which the service stopped using it */
    struct rp_name service; /* its last user, which may take it back */
};

/* A data centre that the operator has evacuated. */
struct rp_catalog_zone {
    struct rp_name name;
    uint8_t evacuated; /* 1: its upstreams get no new flows; 0: restored */
    uint64_t revision; /* of its last change */
};

struct rp_catalog;

/* Creates an empty catalogue; free it with RpCatalog_Free. */
struct rp_catalog *RpCatalog_Create(void);

void RpCatalog_Free(struct rp_catalog *catalog);

/* Empties the catalogue, as after RpCatalog_Create. */
void RpCatalog_Reset(struct rp_catalog *catalog);

/* These functions encode commands for RpCatalog_Apply. The caller frees the
 * result. Init sets the flow hash key once; Change applies or deletes a
 * document, or evacuates or restores a data centre; Release ends the
 * quarantine of addresses up to `revision`; Edition installs an edition;
 * ExpireFormer forgets the former targets that were recorded up to `revision`.
 */
GString *RpCatalog_EncodeInit(const uint8_t hash_key[RP_HASH_KEY_SIZE]);
GString *RpCatalog_EncodeChange(const struct rp_msg_change *change);
GString *RpCatalog_EncodeRelease(uint64_t revision);
GString *RpCatalog_EncodeEdition(const struct rp_edition *edition);
GString *RpCatalog_EncodeExpireFormer(uint64_t revision);

/* Returns whether a command is one of RpCatalog_EncodeExpireFormer. It changes
 * the tables of nodes, but not the revision. */
bool RpCatalog_IsExpireFormer(struct rp_str command);

/* Applies a command. `reply` receives the reply to a change or an edition,
 * and may be NULL; clear it with rp_msg_change_reply_schema. A change or an
 * edition that is refused returns RP_OK, with the error code in the reply; so
 * does an edition that cannot be decoded. Any other command that cannot be
 * decoded returns RP_ERR_FORMAT and leaves the reply as it was. An empty
 * command changes nothing and returns RP_OK. */
enum rp_code RpCatalog_Apply(struct rp_catalog *catalog, struct rp_str command,
                             struct rp_msg_change_reply *reply);

/* Finds the stored reply to a change id. Returns false if there is none.
 * `reply` may be NULL. */
bool RpCatalog_FindReply(const struct rp_catalog *catalog,
                         const uint8_t id[RP_CHANGE_ID_SIZE],
                         struct rp_msg_change_reply *reply);

/* Encodes the whole state. The caller frees the result. */
GString *RpCatalog_Snapshot(const struct rp_catalog *catalog);

/* Replaces the whole state by a snapshot. Returns an error code if the
 * snapshot cannot be decoded; the catalogue may then be incomplete. */
enum rp_code RpCatalog_Restore(struct rp_catalog *catalog,
                               struct rp_str snapshot);

/* Returns whether the flow hash key has been set. */
bool RpCatalog_IsInitialised(const struct rp_catalog *catalog);

/* Returns the flow hash key, RP_HASH_KEY_SIZE bytes; zero before it is
 * set. */
const uint8_t *RpCatalog_HashKey(const struct rp_catalog *catalog);

uint64_t RpCatalog_Revision(const struct rp_catalog *catalog);

/* Returns the service with this name, or NULL. The catalogue owns it. */
const struct rp_catalog_entry *RpCatalog_Find(const struct rp_catalog *catalog,
                                              const struct rp_name *name);

/* Lists all services, ordered by name. The catalogue owns the elements; free
 * the array with g_ptr_array_unref. */
GPtrArray *RpCatalog_List(const struct rp_catalog *catalog);

/* Returns the edition in force, or NULL before the first one. */
const struct rp_edition *RpCatalog_Edition(const struct rp_catalog *catalog);

/* Returns the former targets of a virtual address as an array of struct
 * rp_former_target, the latest last, or NULL. The catalogue owns it. */
const GArray *RpCatalog_FormerTargets(const struct rp_catalog *catalog,
                                      struct rp_endpoint address);

/* Returns the highest revision at which a former target was recorded, or 0 if
 * there is none. */
uint64_t RpCatalog_FormerRevision(const struct rp_catalog *catalog);

/* Lists the data centres that the catalogue knows, ordered by name, as an
 * array of struct rp_catalog_zone. The catalogue owns it. */
const GArray *RpCatalog_Zones(const struct rp_catalog *catalog);

/* Returns the data centre with this name, or NULL if it was never
 * evacuated. The catalogue owns it. */
const struct rp_catalog_zone *
RpCatalog_FindZone(const struct rp_catalog *catalog,
                   const struct rp_name *name);

/* Lists the evacuated data centres as struct rp_msg_zone, ordered by name. The
 * caller frees the array. */
GArray *RpCatalog_ListEvacuated(const struct rp_catalog *catalog);

/* Returns the highest revision at which a quarantined address was given up,
 * or 0 if no address is quarantined. */
uint64_t RpCatalog_QuarantineRevision(const struct rp_catalog *catalog);

/* Appends a copy of the error's findings to the reply. */
void RpCatalog_AppendFindings(struct rp_msg_change_reply *reply,
                              const struct rp_error *error);

#endif
