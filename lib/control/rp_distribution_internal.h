/* The distribution's own parts, shared by the rp_distribution*.c files. */
#ifndef RP_DISTRIBUTION_INTERNAL_H
#define RP_DISTRIBUTION_INTERNAL_H

#include "rp_distribution.h"

/* A node, known by its name; `connection` is 0 while it is away. */
struct node {
    struct rp_name name;
    struct rp_name zone;
    struct rp_name service; /* empty: subscribed to all */
    uint8_t role;
    uint64_t connection;
    bool served; /* has got a whole table on this connection */
    uint64_t confirmed;
    int64_t behind_since; /* 0 while it is not behind */
    int64_t away_since;
};

/* What changed since the last flush. */
struct pending {
    GHashTable *touched;  /* names of services, as struct rp_name */
    GHashTable *shared;   /* names: agents of siblings may lack them */
    GArray *removed;      /* of struct removed_service */
    GArray *vips;         /* of struct rp_msg_vip: new or changed */
    GArray *removed_vips; /* of struct rp_msg_removed_vip */
    bool edition;
    bool everything;
    bool revision;
    int64_t deadline;
};

struct removed_service {
    struct rp_name name;
    uint32_t id;
    bool maybe_shared; /* agents of other services may have seen it */
};

struct rp_distribution {
    const struct rp_catalog *catalog;
    const struct rp_registry *registry;
    RpDistribution_Send send;
    void *user;
    GHashTable *nodes; /* name -> struct node */
    GHashTable *vips;  /* address key -> encoded struct rp_msg_vip, as sent */
    GHashTable *plain; /* names of the edition's services -> their ids */
    bool vips_known;   /* `vips` has been filled */
    struct pending pending;
    uint64_t generation;
    uint64_t sent_revision;
    uint64_t withheld;
    int64_t gather_until; /* 0: all upstreams are known */
    bool fresh;
};

/* Frees a GString, for hash tables. */
void RpDistribution_FreeText(gpointer data);

/* Empties a list of struct rp_msg_vip. */
void RpDistribution_ClearVips(GArray *vips);

struct rp_msg_vip RpDistribution_CopyVip(const struct rp_msg_vip *vip);

/* Whether a node with this subscription sees the virtual address. */
bool RpDistribution_SeesVip(const struct rp_distribution *distribution,
                            const struct node *node,
                            const struct rp_msg_vip *vip);

/* Adds all virtual addresses that the node sees. */
void RpDistribution_AddVips(const struct rp_distribution *distribution,
                            const struct node *node, GArray *vips);

/* Compares the edition's virtual addresses with those sent so far; what
 * differs is pending. */
void RpDistribution_ReviewVips(struct rp_distribution *distribution);

/* Whether two services share a virtual address: then flows of the one may
 * have been placed when their shares were different. */
bool RpDistribution_AreSiblings(const struct rp_distribution *distribution,
                                const struct rp_name *a,
                                const struct rp_name *b);

/* Whether the service shares a virtual address with any other. */
bool RpDistribution_IsShared(const struct rp_distribution *distribution,
                             const struct rp_name *service);

#endif
