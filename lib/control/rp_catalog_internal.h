/* The catalogue's own parts, shared by the rp_catalog*.c files. */
#ifndef RP_CATALOG_INTERNAL_H
#define RP_CATALOG_INTERNAL_H

#include "rp_catalog.h"

/* A remembered answer. */
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
    GHashTable *entries; /* name -> struct rp_entry */
    GHashTable *answers; /* id bytes -> struct rp_catalog_answer */
    GQueue answer_order; /* of struct rp_catalog_answer, oldest first; owns
                            them */
    GArray *quarantine;  /* of struct rp_quarantine */
    struct rp_edition edition; /* its version is 0 before the first */
    GString *edition_bytes;    /* the same, encoded */
};

/* Adds the entry of a service that the edition names. */
struct rp_entry *RpCatalog_AddPlain(struct rp_catalog *catalog,
                                    const struct rp_edition_service *service,
                                    uint32_t id, uint64_t revision);

/* Takes an edition over, with its encoded form. */
bool RpCatalog_LoadEdition(struct rp_catalog *catalog, struct rp_str bytes);

/* Drops all content. */
void RpCatalog_Clear(struct rp_catalog *catalog);

/* Keeps an answer, and forgets the oldest over the limit. */
void RpCatalog_Remember(struct rp_catalog *catalog,
                        const struct rp_catalog_answer *answer);

#endif
