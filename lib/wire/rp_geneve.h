/* Encapsulation between fabric, balancers, agents and hosts: Geneve over UDP
 * (RFC 8926) with one inner packet.
 *
 * Options of the experimental class carry the decisions of balancers and
 * agents:
 *
 * - service (critical, 16 bytes): id, incarnation and table generation of
 *   the service that the packet is for;
 * - chain (critical, 4 + 8 * n bytes): the candidate agents in order, how
 *   many of them have seen the packet already, and, for a new flow, which
 *   of these was the least busy and its utilisation;
 * - services (16 * n bytes), only if the candidates belong to more than one
 *   service: the services' tags, which the candidates refer to by their index;
 * - origin (8 bytes): the address at which the balancer that sent the packet
 *   takes hints about owners;
 * - hint (critical, 20 bytes): the flow of a caller, the service of its owner
 *   and a sequence number of the caller; the owner is the agent that sends
 *   this, and there is no inner packet;
 * - search (critical, 12 bytes): the agent that searches the owner of the
 *   packet's flow, and the id of its search;
 * - answer (critical, 8 bytes): the id of a search and the verdict of the
 *   agent that sends this; there is no inner packet;
 * - load (critical, 8 bytes): the service and the utilisation of the host of
 *   the agent that sends this; there is no inner packet. It goes only to the
 *   origin of a packet that opens a flow: balancers of earlier releases name
 *   no origin there.
 *
 * Unknown options are skipped unless they are marked critical.
 */
#ifndef RP_GENEVE_H
#define RP_GENEVE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rp_counters.h"
#include "rp_endpoint.h"
#include "rp_packet.h"

#define RP_GENEVE_IPV4 0x0800   /* protocol type of an inner IPv4 packet */
#define RP_MAX_CHAIN 15         /* most candidates that fit into one option */
#define RP_GENEVE_HEADER 8      /* bytes */
#define RP_CHAIN_MAX_SERVICES 4 /* most services of one chain's candidates */
#define RP_GENEVE_HEADROOM 236  /* bytes; largest header with its options */
#define RP_DATAGRAM_MAX (9216 + RP_GENEVE_HEADROOM) /* bytes */

/* Identifies a service: its id, the incarnation of that id, and the generation
 * of the table by which the sender chose the candidates. */
struct rp_service_tag {
    uint32_t service_id;
    uint32_t incarnation;
    uint64_t generation;
};

/* No candidate has reported its utilisation yet. */
#define RP_CHAIN_NO_UTILISATION 255

/* The candidate agents of a packet, in the order in which they are asked. */
struct rp_chain {
    uint8_t count;   /* candidates in `hop` */
    uint8_t visited; /* candidates that have seen the packet: the first ones */
    /* Index in `hop` of the least busy candidate of those that passed a new
     * flow on because they were busy. */
    uint8_t best;
    /* Utilisation of hop[best] (see rp_admission.h), or
     * RP_CHAIN_NO_UTILISATION. */
    uint8_t lowest_utilisation;
    /* New flow: it was sent back to the least busy candidate, which must take
     * it. Open flow: another service behind the same virtual address passed
     * the packet on; no service passes it on a second time. */
    bool forced;
    struct rp_endpoint hop[RP_MAX_CHAIN];
    /* Only if the candidates belong to several services: hop[i] is an agent
     * of service[hop_service[i]]. Else `service_count` is 0, and all are
     * agents of the service that the packet is for. */
    uint8_t service_count;
    uint8_t hop_service[RP_MAX_CHAIN];
    struct rp_service_tag service[RP_CHAIN_MAX_SERVICES];
    /* Where the balancer that sent the packet takes hints; port 0: nowhere. */
    struct rp_endpoint origin;
};

/* What the owner of an open flow tells a balancer that sent a packet of the
 * flow to another agent first. */
struct rp_owner_hint {
    struct rp_flow_key flow; /* its source is the caller */
    uint32_t service_id;     /* of the owner */
    uint32_t seq;            /* of that packet */
};

/* What an agent tells a balancer about the load of its host. */
struct rp_load_note {
    uint32_t service_id;
    uint8_t utilisation; /* see rp_load_average.h */
};

/* What an agent answers to another one that searches the owner of a flow. */
enum rp_search_verdict {
    RP_SEARCH_OWNS = 1,
    RP_SEARCH_NOT_OWNED,
    RP_SEARCH_UNSURE /* it may have lost the entry of the flow */
};

/* A parsed datagram; `inner` points into the datagram. */
struct rp_geneve {
    bool has_tag;
    bool has_chain;
    bool has_search;
    bool has_answer;
    bool has_hint;
    bool has_load;
    struct rp_owner_hint hint;      /* with a hint */
    struct rp_load_note load;       /* with a load */
    uint32_t search_id;             /* with a search or an answer */
    struct rp_endpoint searcher;    /* with a search */
    enum rp_search_verdict verdict; /* with an answer */
    struct rp_service_tag tag;
    struct rp_chain chain;
    const uint8_t *inner;
    size_t inner_len;
};

/* Parses a datagram whose inner packet must have the protocol type
 * `protocol`. If it is invalid, returns false and sets `*reason` to the drop
 * counter. */
bool RpGeneve_Parse(const uint8_t *data, size_t len, uint16_t protocol,
                    struct rp_geneve *out, enum rp_counter *reason);

/* Writes the Geneve header for an inner packet of the protocol type
 * `protocol`. If `tag` or `chain` is NULL, its option is left out. Returns the
 * size of the header in bytes, at most RP_GENEVE_HEADROOM. */
size_t RpGeneve_Write(uint8_t out[RP_GENEVE_HEADROOM], uint16_t protocol,
                      const struct rp_service_tag *tag,
                      const struct rp_chain *chain);

/* Write the header of a search for the owner of the inner packet's flow, and
 * of an answer to a search. The size is as for RpGeneve_Write. */
size_t RpGeneve_WriteSearch(uint8_t out[RP_GENEVE_HEADROOM], uint16_t protocol,
                            const struct rp_service_tag *tag,
                            struct rp_endpoint searcher, uint32_t search_id);
size_t RpGeneve_WriteAnswer(uint8_t out[RP_GENEVE_HEADROOM], uint16_t protocol,
                            uint32_t search_id,
                            enum rp_search_verdict verdict);

/* Writes the header of a hint. The size is as for RpGeneve_Write. */
size_t RpGeneve_WriteHint(uint8_t out[RP_GENEVE_HEADROOM], uint16_t protocol,
                          const struct rp_owner_hint *hint);

/* Writes the header of a note about the load of a host. The size is as for
 * RpGeneve_Write. */
size_t RpGeneve_WriteLoad(uint8_t out[RP_GENEVE_HEADROOM], uint16_t protocol,
                          const struct rp_load_note *load);

/* Returns whether `endpoint` is one of the candidates. */
bool RpChain_Contains(const struct rp_chain *chain,
                      struct rp_endpoint endpoint);

/* Adds a candidate at the end; returns false if the chain is full. If the
 * chain has several services, the candidate belongs to the first. */
bool RpChain_Append(struct rp_chain *chain, struct rp_endpoint endpoint);

/* As RpChain_Append, for an agent of the service with this id. Returns false
 * if the chain is full, or if it has several services and none has that id. */
bool RpChain_AppendOf(struct rp_chain *chain, struct rp_endpoint endpoint,
                      uint32_t service_id);

/* Returns the tag of the service that hop[index] belongs to. `own` is the tag
 * of the service that handles the packet now: a chain with one service belongs
 * to it, and it replaces an older tag of the same service. */
struct rp_service_tag RpChain_HopTag(const struct rp_chain *chain,
                                     size_t index, struct rp_service_tag own);

#endif
