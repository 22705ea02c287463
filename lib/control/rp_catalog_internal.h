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

/* Stores an answer, and drops the oldest ones above
 * RP_CATALOG_MAX_ANSWERS. */
void RpCatalog_StoreAnswer(struct rp_catalog *catalog,
                           const struct rp_catalog_answer *answer);

#endif
