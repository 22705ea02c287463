/* Structs and functions that only the rp_distribution*.c files share. */
#ifndef RP_DISTRIBUTION_INTERNAL_H
#define RP_DISTRIBUTION_INTERNAL_H

#include "rp_distribution.h"

/* A node, identified by its name. */
struct node {
    struct rp_name name;
    struct rp_name zone;
    struct rp_name service; /* empty: subscribed to all services */
    uint8_t role;
    uint64_t connection;  /* 0: disconnected */
    bool has_full_table;  /* was sent one on this connection */
    uint64_t confirmed;   /* highest revision that the node confirmed */
    int64_t behind_since; /* 0: not behind the catalogue */
    int64_t disconnected_at;
};

/* Changes since the last flush. */
struct pending {
    GHashTable *services; /* names of changed services, as struct rp_name */
    /* Names of services that share a virtual address. Agents of the services
     * behind the same address may not have them in their tables yet. */
    GHashTable *shared_services;
    GArray *removed_services; /* of struct removed_service */
    GArray *vips;             /* of struct rp_msg_vip: new or changed */
    GArray *removed_vips;     /* of struct rp_msg_removed_vip */
    bool edition_changed;
    bool resend_all;       /* send full tables to all nodes */
    bool fresh_changed;    /* every node must learn `cut_off` */
    bool revision_changed; /* every node must learn the new revision */
    int64_t deadline;      /* of the next flush; RP_NEVER: none scheduled */
};

struct removed_service {
    struct rp_name name;
    uint32_t id;
    bool maybe_shared; /* agents of other services may have it */
};

struct rp_distribution {
    const struct rp_catalog *catalog;
    const struct rp_registry *registry;
    RpDistribution_Send send;
    void *user;
    GHashTable *nodes; /* name -> struct node */
    /* Virtual addresses as they were last sent: address key -> encoded
     * struct rp_msg_vip. */
    GHashTable *sent_vips;
    GHashTable *edition_services; /* names in the edition -> service ids */
    /* Pairs of services that share a virtual address, as share_key; each
     * service is also paired with itself. Empty until `shared_filled`. */
    GHashTable *shared;
    bool shared_filled;
    bool sent_vips_filled; /* a flush has filled `sent_vips` */
    struct pending pending;
    uint64_t generation;    /* of the services in tables: number of flushes */
    uint64_t sent_revision; /* the catalogue's, at the last flush */
    uint64_t withheld_count;
    int64_t gathering_until; /* 0: agents have had time to announce */
    bool fresh;
};

/* Frees a GString; a GDestroyNotify for hash tables. */
void RpDistribution_FreeString(gpointer data);

/* Empties a list of struct rp_msg_vip and frees what the elements own. */
void RpDistribution_ClearVips(GArray *vips);

/* Makes a deep copy; free it with RpSchema_Clear. */
struct rp_msg_vip RpDistribution_CopyVip(const struct rp_msg_vip *vip);

/* Returns whether the node's tables include the virtual address: a node that
 * is subscribed to one service gets only the addresses that target it. */
bool RpDistribution_IsVipVisible(const struct rp_distribution *distribution,
                                 const struct node *node,
                                 const struct rp_msg_vip *vip);

/* Appends the virtual addresses of the edition that are visible to the node
 * to a list of struct rp_msg_vip. */
void
RpDistribution_AppendVisibleVips(const struct rp_distribution *distribution,
                                 const struct node *node, GArray *vips);

/* Compares the edition's virtual addresses with those last sent, and adds
 * the new, changed and removed ones to the pending changes. */
void RpDistribution_DiffVips(struct rp_distribution *distribution);

/* Returns whether two services share a virtual address, as present or former
 * targets. If they do, flows of one service may have been placed while the
 * targets or weights were different, and arrive at agents of the other. */
bool RpDistribution_ShareVip(struct rp_distribution *distribution,
                             const struct rp_name *a, const struct rp_name *b);

/* Returns whether the service shares a virtual address with any other
 * service. */
bool RpDistribution_IsShared(struct rp_distribution *distribution,
                             const struct rp_name *service);

#endif
