/* Structs and functions that only the rp_catalog*.c files share. */
#ifndef RP_CATALOG_INTERNAL_H
#define RP_CATALOG_INTERNAL_H

#include "rp_catalog.h"

/* The reply to a change, stored so that a repeated change gets it again. */
struct rp_catalog_answer {
    uint8_t id[RP_CHANGE_ID_SIZE];
    uint8_t code;
    uint64_t revision;
    uint32_t service_id;
    struct rp_name service;
};

struct rp_catalog {
    uint64_t revision;
    uint32_t next_id;
    bool initialised;
    uint8_t hash_key[RP_HASH_KEY_SIZE];
    GHashTable *entries; /* name -> struct rp_catalog_entry */
    GHashTable *answers; /* id bytes -> struct rp_catalog_answer */
    GQueue answer_order; /* of struct rp_catalog_answer, oldest first; owns
                            the elements */
    GArray *quarantine;  /* of struct rp_quarantined_address */
    /* Earlier targets of the edition's virtual addresses: address key ->
     * GArray of struct rp_former_target, the latest last. */
    GHashTable *former;
    GArray *zones;             /* of struct rp_catalog_zone, ordered by name */
    struct rp_edition edition; /* version 0: no edition yet */
    GString *edition_bytes;    /* `edition`, encoded; NULL: none yet */
};

/* Adds a service that the edition defines, with default limits for those that
 * the edition does not set. */
struct rp_catalog_entry *
RpCatalog_AddEditionService(struct rp_catalog *catalog,
                            const struct rp_edition_service *service,
                            uint32_t id, uint64_t revision);

/* Decodes an edition and makes it the current one, without changing the
 * services. Returns false, and changes nothing, if it cannot be decoded. */
bool RpCatalog_SetEdition(struct rp_catalog *catalog, struct rp_str bytes);

/* Frees all services, answers, quarantined addresses and the edition. */
void RpCatalog_Clear(struct rp_catalog *catalog);

/* rp_catalog_former.c: frees a list in `former`; a GDestroyNotify. */
void RpCatalog_FreeFormerList(gpointer data);

/* Adds a former target of the virtual address with this key, as its latest.
 * Above RP_CATALOG_MAX_FORMER, RP_TARGET_UNLISTED takes the place of the
 * earliest one. */
void RpCatalog_AddFormer(struct rp_catalog *catalog, guint64 key,
                         uint32_t service_id, uint64_t revision);

/* Compares the edition in force with `new`, which takes effect at `revision`:
 * the targets of an address whose targets or weights change become former
 * ones. Forgets the former targets of addresses that `new` does not list. */
void RpCatalog_RecordFormer(struct rp_catalog *catalog,
                            const struct rp_edition *new, uint64_t revision);

/* Removes the services of earlier editions that the edition in force does not
 * list and that are no former target. */
void RpCatalog_RemoveUnusedServices(struct rp_catalog *catalog);

/* Removes the former targets that were recorded at or before `revision`, and
 * the services that are unused then. */
void RpCatalog_ExpireFormer(struct rp_catalog *catalog, uint64_t revision);

/* rp_catalog_zones.c: applies the evacuation or the restoration of a data
 * centre, at the next revision. Sets `*unchanged` if it was in that state
 * before. Returns RP_ERR_DOCUMENT or RP_ERR_LIMIT, and adds a finding, if it
 * is refused. */
enum rp_code RpCatalog_ChangeZone(struct rp_catalog *catalog,
                                  const struct rp_msg_change *change,
                                  bool *unchanged, struct rp_error *error);

/* Stores an answer, and drops the oldest ones above
 * RP_CATALOG_MAX_ANSWERS. */
void RpCatalog_StoreAnswer(struct rp_catalog *catalog,
                           const struct rp_catalog_answer *answer);

#endif
