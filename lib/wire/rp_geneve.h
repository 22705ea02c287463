/* Encapsulation between fabric, balancers, agents and hosts: Geneve over UDP
 * (RFC 8926) with one inner packet.
 *
 * Two options of the experimental class carry the balancer's decision:
 *
 * - service (critical, 16 bytes): id, incarnation and table generation of
 *   the service that the packet is for;
 * - chain (critical, 4 + 8 * n bytes): the candidate agents in order, how
 *   many of them have seen the packet already, and, for a new flow, which
 *   of these was the least busy and its utilisation.
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

#define RP_GENEVE_IPV4 0x0800  /* protocol type of an inner IPv4 packet */
#define RP_MAX_CHAIN 15        /* most candidates that fit into one option */
#define RP_GENEVE_HEADER 8     /* bytes */
#define RP_GENEVE_HEADROOM 160 /* bytes; largest header with its options */
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
};

/* A parsed datagram; `inner` points into the datagram. */
struct rp_geneve {
    bool has_tag;
    bool has_chain;
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

/* Returns whether `endpoint` is one of the candidates. */
bool RpChain_Contains(const struct rp_chain *chain,
                      struct rp_endpoint endpoint);

/* Adds a candidate at the end; returns false if the chain is full. */
bool RpChain_Append(struct rp_chain *chain, struct rp_endpoint endpoint);

#endif
